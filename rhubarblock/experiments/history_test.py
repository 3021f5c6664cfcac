import json

import pytest

from rhubarblock.experiments import history


def make_result(seed, p95, **more):
    return {
        "scenario": "mixed-adwoa",
        "policy": "naive",
        "seed": seed,
        "load": 0.7,
        "ttft_s": {"lt8k": {"p95": p95, "n": 10}},
        **more,
    }


def read(tmp_path, name, *results):
    path = tmp_path / name
    path.write_text("\n".join(map(json.dumps, results)))
    return history.read_runs(path)


def compare_p95(tmp_path, old, new):
    """Returns the verdict on p95 for two lists of (seed, value)."""
    runs = [
        read(tmp_path, name, *(make_result(*each) for each in pairs))
        for name, pairs in (("old", old), ("new", new))
    ]
    changes = history.compare(*runs)
    return {x.figure: x.verdict for x in changes}["ttft_s.lt8k.p95"]


def test_run_has_its_numbers_by_dotted_path(tmp_path):
    (run,) = read(tmp_path, "a", make_result(3, 0.5, ok=True, gone=None))
    assert run.group == "mixed-adwoa policy=naive load=0.7"
    assert run.seed == 3
    assert run.figures == {"ttft_s.lt8k.p95": 0.5, "ttft_s.lt8k.n": 10.0}


def test_slopes_are_figures_with_errors(tmp_path):
    fit = {"terms": ["1", "x"], "slopes": [1, 2], "errors": [0.1, 0.2]}
    series = [{"name": "loads", "fits": {"cpu": fit}}]
    (run,) = read(tmp_path, "a", {"scenario": "capacity", "series": series})
    assert run.figures == {"loads.cpu.1": 1, "loads.cpu.x": 2}
    assert run.errors == {"loads.cpu.1": 0.1, "loads.cpu.x": 0.2}


def test_difference_within_the_noise_of_seeds_is_no_change(tmp_path):
    old = [(1, 1.0), (2, 1.4), (3, 0.8)]
    new = [(4, 1.1), (5, 1.5), (6, 0.9)]
    assert compare_p95(tmp_path, old, new) is history.Verdict.SAME


def test_the_same_seeds_are_compared_in_pairs(tmp_path):
    old = [(1, 1.0), (2, 1.4), (3, 0.8)]
    new = [(1, 1.1), (2, 1.51), (3, 0.89)]
    assert compare_p95(tmp_path, old, new) is history.Verdict.HIGHER


def test_decrease_beyond_the_noise_is_detected(tmp_path):
    old = [(1, 2.0), (2, 2.1)]
    new = [(3, 1.0), (4, 1.1)]
    assert compare_p95(tmp_path, old, new) is history.Verdict.LOWER


def test_noise_of_single_runs_is_unknown(tmp_path):
    assert (
        compare_p95(tmp_path, [(1, 1.0)], [(1, 1.1)]) is history.Verdict.UNKNOWN
    )
    assert compare_p95(tmp_path, [(1, 1.0)], [(1, 1.0)]) is history.Verdict.SAME


def test_groups_in_only_one_file_are_listed_as_unmatched(tmp_path):
    old = read(tmp_path, "a", make_result(1, 1.0))
    new = read(tmp_path, "b", make_result(1, 1.0) | {"policy": "length_aware"})
    assert history.compare(old, new) == []
    assert history.list_unmatched(old, new) == [
        "mixed-adwoa policy=length_aware load=0.7",
        "mixed-adwoa policy=naive load=0.7",
    ]


@pytest.mark.parametrize("text", ["[1]", "{}", "nonsense"])
def test_file_without_results_is_refused(tmp_path, text):
    path = tmp_path / "bad"
    path.write_text(text)
    with pytest.raises(ValueError):
        history.read_runs(path)
