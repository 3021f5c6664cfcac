"""Tests of the comparison, on canned reports."""

import dataclasses

import pytest

from tools.ways import comparison
from tools.ways import plays
from tools.ways import results
from tools.ways import table

REPORT = {
    "G": 0.9,
    "fault": None,
    "parts": [
        ["whole day", 0.28, 0.99],
        ["worst windows", 0.4, 0.8],
        ["worst class", 0.12, 0.9],
    ],
    "prices": [["machine-seconds", 392.0, 0.01], ["orders", 12.0, 0.02]],
    "breaks": {},
}


def make_outcome(worth, **changes):
    fields = {**REPORT, "G": worth, **changes}
    return results.read_report(fields)


def test_table_has_a_row_for_each_way_and_site():
    outcomes = {
        results.Play("whole", "a", "d", 1, False): make_outcome(0.5),
        results.Play("whole", "a", "d", 2, False): make_outcome(0.7),
        results.Play("changes", "a", "d", 1, False): make_outcome(
            0.8, breaks={"CONFIG": 2}
        ),
        results.Play("changes", "a", "d", 2, False): make_outcome(0.8),
        # Not counted: the other way has no play with this seed.
        results.Play("whole", "a", "d", 3, False): make_outcome(0.1),
        results.Play("changes", "b", "d", 1, True): make_outcome(
            0.8, fault="ended"
        ),
        results.Play("whole", "b", "d", 1, True): make_outcome(0.8),
    }
    assert table.format_table(outcomes, ["whole", "changes"]) == (
        "| way | site | plays | worth | worst windows | whole day | prices "
        "| rules broken |\n"
        "|---|---|---|---|---|---|---|---|\n"
        "| whole | a | 2 | 0.600 ± 0.141 | 0.800 ± 0.000 | 0.990 ± 0.000 "
        "| 0.030 ± 0.000 | none |\n"
        "| changes | a | 2 | 0.800 ± 0.000 | 0.800 ± 0.000 | 0.990 ± 0.000 "
        "| 0.030 ± 0.000 | CONFIG |\n"
        "| whole | b | 1 | 0.800 | 0.800 | 0.990 | 0.030 | none |\n"
        "| changes | b | 1 | 0.800 | 0.800 | 0.990 | 0.030 | ended |\n"
    )


def test_comparison_runs_only_plays_without_an_outcome(tmp_path):
    ways = [comparison.Way("x", "r1"), comparison.Way("y", "r2")]
    wanted = comparison.list_plays(ways, ["a"], ["d"], [1, 2], True)
    path = tmp_path / "kept" / "state.jsonl"
    played, lines = [], []

    def run(play):
        played.append((play.way, play.seed))
        if len(played) == 3:
            raise plays.PlayError("the bench gave no report: busy")
        return make_outcome(0.5, breaks={"LOST": 1})

    comparison.run_missing_plays(
        wanted, results.ResultFile(path), run, 1, lines.append
    )
    comparison.run_missing_plays(
        wanted, results.ResultFile(path), run, 1, lines.append
    )
    assert played == [("x", 1), ("y", 1), ("x", 2), ("y", 2), ("x", 2)]
    assert lines[0] == "0 plays are kept, 4 to go"
    assert "x a d: the bench gave no report: busy" in lines
    assert "3 plays are kept, 1 to go" in lines
    result_file = results.ResultFile(path).outcomes
    assert result_file[wanted[0]] == make_outcome(0.5, breaks={"LOST": 1})
    assert len(result_file) == 4


def test_way_needs_a_name_and_a_revision():
    assert comparison.parse_way("a=b") == comparison.Way("a", "b")
    with pytest.raises(ValueError) as caught:
        comparison.parse_way("HEAD")
    assert str(caught.value) == "'HEAD' is not NAME=REVISION"


def test_missing_bench_and_site_are_reported(tmp_path):
    bench = plays.BenchmarkProgram(tmp_path / "bench", tmp_path)
    with pytest.raises(plays.PlayError) as caught:
        bench.find_site("a")
    assert str(caught.value) == f"there is no bench at {tmp_path}/bench"
    existing = dataclasses.replace(bench, program=tmp_path)
    with pytest.raises(plays.PlayError) as caught:
        existing.find_site("a")
    assert str(caught.value) == f"there is no site a below {tmp_path}"
