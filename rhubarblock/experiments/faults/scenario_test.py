"""The scenario runs clean, and finds what is broken on purpose."""

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
def test_promises_hold(seed, kinds):
    figures = faults.measure(seed, kinds)
    assert figures.requests > 100
    assert figures.list_violations() == []


def test_same_seed_gives_the_same_figures():
    kinds = ("engine_death", "operator_race")
    assert faults.measure(2, kinds) == faults.measure(2, kinds)


def test_what_a_dead_instance_leaves_is_found(monkeypatch):
    async def collect(self):
        return

    monkeypatch.setattr(orphans.OrphanCollector, "collect", collect)
    figures = faults.measure(7, ("instance_death",))
    assert figures.list_violations() == ["kv_leaked_tokens"]


def test_a_crossed_answer_is_found(monkeypatch):
    async def accept(self, chunk):
        if chunk.count:
            self.next_index = chunk.index + chunk.count
            await self._sink.write(chunk)
        self.finish_reason = chunk.finish_reason
        return chunk.end

    monkeypatch.setattr(cursor.AnswerCursor, "accept", accept)
    figures = faults.measure(2, ("crossed_answers", "crossed_answers"))
    assert "crossed" in figures.list_violations()


def test_a_double_run_is_found(monkeypatch):
    async def claim(self, institution, key, digest, attempt_id, deadline_s):
        return result.Success(claims.Claim(key, attempt_id, deadline_s))

    async def finish(self, *args):
        return

    monkeypatch.setattr(claims.ClaimLedger, "claim", claim)
    monkeypatch.setattr(claims.ClaimLedger, "finish", finish)
    monkeypatch.setattr(claims.ClaimLedger, "finish_unknown", finish)
    figures = faults.measure(2, ("service_cut",))
    assert "double_runs" in figures.list_violations()


def test_the_shortest_trace_names_one_fault(monkeypatch):
    async def collect(self):
        return

    monkeypatch.setattr(orphans.OrphanCollector, "collect", collect)
    trace = faults.find_shortest(7, ("instance_death", "operator_race"))
    assert len(trace) == 1
    assert "instance_death" in trace[0]
