from rhubarblock.experiments import history
from rhubarblock.experiments import report


def make_run(policy, seed, p95):
    fields = {
        "scenario": "mixed-adwoa",
        "policy": policy,
        "ttft_s": {"lt8k": {"p50": 0.1, "p95": p95, "p99": None, "n": 4}},
        "short_slowdown": {"p50": 1.0, "p95": 1.5, "p99": 2.0, "n": 3},
    }
    return history.Run(
        f"mixed-adwoa policy={policy}",
        seed,
        {"ttft_s.lt8k.p95": p95},
        {},
        fields,
    )


RUNS = [make_run("naive", 1, 0.9), make_run("length_aware", 1, 0.2)]

TEXT = """\
Time to first token by prompt length, seconds
┏━━━━━━━━━━━━━━━┳━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━┳━━━┳━━━━━┳━━━━━┳━━━━━┓
┃ prompt tokens ┃ run                                    ┃ n ┃ p50 ┃ p95 ┃ p99 ┃
┡━━━━━━━━━━━━━━━╇━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━━╇━━━╇━━━━━╇━━━━━╇━━━━━┩
│ lt8k          │ mixed-adwoa policy=naive seed=1        │ 4 │ 0.1 │ 0.9 │ -   │
│ lt8k          │ mixed-adwoa policy=length_aware seed=1 │ 4 │ 0.1 │ 0.2 │ -   │
└───────────────┴────────────────────────────────────────┴───┴─────┴─────┴─────┘
"""


def test_terminal_report_lists_policies_next_to_each_other():
    sections = report.build_sections(RUNS)
    assert [section.title for section in sections] == [
        "Time to first token by prompt length, seconds",
        "Slowdown of short requests",
        "All figures",
    ]
    assert report.write_text(sections[:1]) == TEXT


def test_slopes_are_listed_with_their_errors():
    run = history.Run(
        "capacity",
        None,
        {"loads.cpu.x": 0.5},
        {"loads.cpu.x": 0.1},
        {"series": []},
    )
    (section,) = report.build_sections([run])
    assert section.rows == (("loads.cpu.x", "0.5", "0.1"),)


def test_page_embeds_its_plots_and_references_no_other_file():
    page = report.write_page(report.build_sections(RUNS))
    assert page.count("<svg") == 2
    assert page.count("<table>") == 3
    assert "<td>mixed-adwoa policy=naive seed=1</td>" in page
    assert "<img" not in page and "src=" not in page and "<script" not in page


def test_names_are_escaped_in_the_page():
    section = report.Section("a < b", ("x",), (("<b>",),))
    page = report.write_page([section])
    assert "<h2>a &lt; b</h2>" in page and "<td>&lt;b&gt;</td>" in page
