"""Tests that the scenario passes, and that it detects broken code."""

import pytest
from returns import result

from rhubarblock.experiments.faults import scenario as faults
from rhubarblock.fleet import orphans
from rhubarblock.relay import cursor
from rhubarblock.relay.claims import ledger as claims


@pytest.mark.parametrize(
    ("seed", "kinds"),
    [
        (7, ("instance_death", "platform_lost_answers")),
        (4, ("poison_request",)),
        (3, ("engine_death", "partition")),
        (5, ("instance_stop", "cut_streams")),
    ],
)
def test_no_guarantee_is_violated(seed, kinds):
    figures = faults.measure(seed, kinds)
    assert figures.requests > 100
    assert figures.list_violations() == []


def test_figures_are_deterministic_for_a_seed():
    kinds = ("engine_death", "operator_race")
    assert faults.measure(2, kinds) == faults.measure(2, kinds)


def test_kv_leak_of_a_crashed_instance_is_detected(monkeypatch):
    async def collect(self):
        return

    monkeypatch.setattr(orphans.OrphanCollector, "collect", collect)
    figures = faults.measure(7, ("instance_death",))
    assert figures.list_violations() == ["kv_leaked_tokens"]


def test_crossed_answers_are_detected(monkeypatch):
    async def accept(self, chunk):
        if chunk.count:
            self.next_index = chunk.index + chunk.count
            await self._sink.write(chunk)
        self.finish_reason = chunk.finish_reason
        return chunk.end

    monkeypatch.setattr(cursor.AnswerCursor, "accept", accept)
    figures = faults.measure(2, ("crossed_answers", "crossed_answers"))
    assert "crossed" in figures.list_violations()


def test_double_runs_are_detected(monkeypatch):
    async def claim(self, institution, key, digest, attempt_id, deadline_s):
        return result.Success(claims.Claim(key, attempt_id, deadline_s))

    async def finish(self, *args):
        return

    monkeypatch.setattr(claims.ClaimLedger, "claim", claim)
    monkeypatch.setattr(claims.ClaimLedger, "finish", finish)
    monkeypatch.setattr(claims.ClaimLedger, "finish_unknown", finish)
    figures = faults.measure(2, ("service_cut",))
    assert "double_runs" in figures.list_violations()


def test_shortest_trace_has_only_the_fault_that_causes_the_violation(
    monkeypatch,
):
    async def collect(self):
        return

    monkeypatch.setattr(orphans.OrphanCollector, "collect", collect)
    trace = faults.find_minimal_faults(7, ("instance_death", "operator_race"))
    assert len(trace) == 1
    assert "instance_death" in trace[0]
