"""The soak's checks can fail, and a short seed of it holds."""

import asyncio

from tools.soak import evidence as evidences
from tools.soak import run

# Removed keys count from here in the tests of the checks.
REMOVED_S = 100.0


def make_evidence(kind="once", **fields):
    seen = evidences.Evidence()
    seen.sent["q1"] = evidences.Sent("q1", kind, "k", REMOVED_S, **fields)
    return seen


def test_second_run_of_a_call_is_a_fault():
    seen = make_evidence()
    seen.note_run("q1", "e1")
    assert seen.faults == []
    seen.note_run("q1", "e2")
    assert seen.faults == ["q1 ran twice: ['e1', 'e2']"]


def test_second_run_of_an_idempotent_request_is_none():
    seen = make_evidence("again")
    seen.note_run("q1", "e1")
    seen.note_run("q1", "e2")
    assert seen.faults == []


def test_refusal_of_a_call_that_ran_is_a_fault():
    seen = make_evidence(status=503)
    seen.note_run("q1", "e1")
    seen.close()
    assert seen.faults == ["q1 was called not run and ran"]


def test_answer_that_is_not_the_own_whole_is_a_fault():
    seen = make_evidence(status=200, whole=False)
    seen.close()
    assert seen.faults == ["q1 got an answer that is not its own whole"]


def test_key_that_was_removed_long_before_is_a_fault():
    seen = make_evidence()
    seen.revoked_s["k"] = REMOVED_S - 3.5
    seen.check_revoked("q1", 4.0)
    assert seen.faults == []
    seen.check_revoked("q1", 3.0)
    assert seen.faults == ["q1 ran with a key removed 3.50 s before"]


def test_run_of_a_request_that_nobody_sent_is_a_fault():
    seen = evidences.Evidence()
    seen.note_run("q9", "e1")
    assert seen.faults == ["q9 ran and nobody sent it"]


def test_short_seed_breaks_no_rule():
    seen = asyncio.run(run.play_seed(7, 4.0))
    assert seen.faults == []
    assert seen.count(200) > 0
