"""The soak's checks can fail, and a short seed of it holds."""

import asyncio
import random

from rhubarblock.platform import names
from tools.soak import evidence as evidences
from tools.soak import keptcallers
from tools.soak import leavewatch
from tools.soak import proxy as proxies
from tools.soak import ratewatch
from tools.soak import restwatch
from tools.soak import run
from tools.soak import wire

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


def test_key_that_a_process_takes_again_is_a_fault():
    seen = make_evidence(process_id=5)
    seen.sent["q1"].status = 401
    seen.note_answer(seen.sent["q1"], 5)
    later = evidences.Sent("q2", "again", "k", evidences.read_clock() + 1.0)
    seen.sent["q2"] = later
    later.process_id = 6
    seen.note_run("q2", "e1")
    assert seen.faults == []
    later.process_id = 5
    seen.note_run("q2", "e1")
    assert seen.faults == [
        "q2 ran with a key that process 5 had refused before"
    ]


def count_faults(monkeypatch, arrivals, told_s=REMOVED_S, disturbed_s=None):
    """Sends requests to an endpoint that named a limit, ten a second."""
    clock = [REMOVED_S]
    monkeypatch.setattr(evidences, "read_clock", lambda: clock[0])
    seen = make_evidence(process_id=5)
    rate = ratewatch.RateWatch("e1", seen)
    rate.name(1.0)
    if told_s is not None:
        seen.note_told(rate.mark, 5)
    if disturbed_s is not None:
        seen.disturbed_s[5] = disturbed_s
    clock[0] += ratewatch.STABLE_S
    for _ in range(arrivals):
        rate.note_arrival("q1", 0.0)
        clock[0] += 0.1
    return len(seen.faults)


def test_more_requests_than_an_endpoint_takes_are_a_fault(monkeypatch):
    assert count_faults(monkeypatch, 11) == 0
    assert count_faults(monkeypatch, 12) == 1


def test_process_that_was_not_told_or_was_frozen_breaks_no_limit(monkeypatch):
    assert count_faults(monkeypatch, 20, told_s=None) == 0
    assert count_faults(monkeypatch, 20, disturbed_s=REMOVED_S + 2.0) == 0


def test_refusal_by_a_process_that_was_replaced_proves_nothing():
    seen = make_evidence(process_id=5, status=401)
    seen.note_answer(seen.sent["q1"], 6)
    assert seen.refused_s == {}


def test_request_that_is_cut_or_late_in_calm_times_is_a_fault():
    for overdue, fault in (
        (False, "q1 was cut in calm times"),
        (True, "q1 had no answer in its time"),
    ):
        seen = make_evidence(overdue=overdue)
        seen.note_answer(seen.sent["q1"], 5)
        assert seen.faults == []
        seen.calm_s = REMOVED_S
        seen.note_answer(seen.sent["q1"], 5)
        assert seen.faults == [fault]


def test_request_that_a_planned_stop_cut_is_a_fault(monkeypatch):
    monkeypatch.setattr(evidences, "read_clock", lambda: REMOVED_S + 0.7)
    seen = make_evidence(process_id=5)
    seen.calm_s = REMOVED_S - 10.0
    seen.stopped_s[5] = REMOVED_S - 2.5
    seen.note_answer(seen.sent["q1"], 5)
    assert seen.faults == [
        "q1 was cut by a planned stop 3.20 s after the signal; "
        "it was sent 2.50 s after it"
    ]


def test_request_that_crossed_a_close_and_did_not_run_is_none():
    seen = make_evidence(process_id=5, is_unread=True)
    seen.calm_s = REMOVED_S - 10.0
    seen.note_answer(seen.sent["q1"], 5)
    seen.close()
    assert seen.faults == []
    seen.note_run("q1", "e1")
    seen.close()
    assert seen.faults == ["q1 ran and was cut by a planned stop"]


class ClosingServer(asyncio.Protocol):
    """Answers once, then closes after the first bytes of the next request."""

    def __init__(self, wait_s, answer):
        self._wait_s = wait_s
        self._answer = answer
        self._served = False

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        del data
        if not self._served:
            self._served = True
            self._transport.write(b"HTTP/1.1 503 Busy\r\n\r\n")
            return
        self._transport.write(self._answer)
        loop = asyncio.get_running_loop()
        loop.call_later(self._wait_s, self._transport.close)


async def ask_as_it_closes(monkeypatch, wait_s=0.0, answer=b"", late_s=3.0):
    """Sends requests late after a signal; returns the last of them."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ClosingServer(wait_s, answer), "127.0.0.1", 0
    )
    seen = evidences.Evidence(calm_s=0.0)
    seen.stopped_s[5] = evidences.read_clock() - late_s
    monkeypatch.setattr(keptcallers, "PIECES_SHARE", 0.0)
    caller = keptcallers.KeptCaller("k", None, ["key"], seen, random.Random(1))
    async with server:
        port = server.sockets[0].getsockname()[1]
        connection = await wire.connect("127.0.0.1", port)
        for _ in range(2):
            await caller.ask(connection, 5)
        connection.close()
    return seen.sent["k-2"].is_unread, len(seen.faults)


def test_close_at_once_on_a_kept_connection_goes_as_unread(monkeypatch):
    assert asyncio.run(ask_as_it_closes(monkeypatch)) == (True, 0)


def test_close_of_what_was_read_or_answered_is_a_cut(monkeypatch):
    for case in (
        {"wait_s": 2 * keptcallers.UNREAD_S},
        {"answer": b"HTTP"},
        {"late_s": 1.0},
    ):
        seen = asyncio.run(ask_as_it_closes(monkeypatch, **case))
        assert seen == (False, 1)


def test_answers_are_read_from_their_bytes():
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
    plain = head + b"Content-Length: 2\r\n\r\nab"
    chunks = head + b"Transfer-Encoding: chunked\r\n\r\n"
    chunks += b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n"
    for message in (plain, chunks):
        answer = wire.parse_answer(message)
        assert (answer.status, answer.body, answer.is_last) == (
            200,
            b"ab",
            True,
        )
        for length in range(len(message)):
            assert wire.parse_answer(message[:length]) is None


def test_work_for_an_endpoint_that_left_is_a_fault_in_calm_times():
    now_s = evidences.read_clock()
    seen = make_evidence("again")
    seen.left_s["e1"] = now_s - 3.0
    seen.note_run("q1", "e1")
    assert seen.faults == []
    seen.calm_s = now_s - 4.0
    seen.note_run("q1", "e1")
    assert len(seen.faults) == 1
    assert seen.faults[0].startswith("q1 reached e1 3.")
    seen.left_s["e1"] = now_s - 1.0
    seen.note_run("q1", "e1")
    assert len(seen.faults) == 1


def ask_for_rest(monkeypatch, lates_s, asked_s=(0.0,), rest_s=3.0):
    """Sends requests of a process to an endpoint that asked it for rest."""
    clock = [REMOVED_S]
    monkeypatch.setattr(evidences, "read_clock", lambda: clock[0])
    seen = make_evidence("again", process_id=5)
    rest = restwatch.RestWatch("e1", seen)
    way = proxies.SoakProxy()
    for late_s in sorted({*lates_s, *asked_s}):
        clock[0] = REMOVED_S + late_s
        if late_s in lates_s:
            rest.note_arrival("q1", way)
        if late_s in asked_s:
            rest.ask("q1", rest_s)
        yield seen, way


def count_rest_faults(monkeypatch, lates_s, **options):
    for seen, _ in ask_for_rest(monkeypatch, lates_s, **options):
        faults = len(seen.faults)
    return faults


def test_third_request_in_a_rest_is_a_fault(monkeypatch):
    assert count_rest_faults(monkeypatch, (0.6, 1.0)) == 0
    assert count_rest_faults(monkeypatch, (0.6, 1.0, 2.9)) == 1
    assert count_rest_faults(monkeypatch, (0.1, 0.2, 0.49, 3.0, 3.1)) == 0
    again = {"asked_s": (0.0, 2.0), "rest_s": 2.5}
    assert count_rest_faults(monkeypatch, (2.6, 3.0, 4.0), **again) == 1


def test_requests_of_another_process_or_after_a_freeze_break_no_rest(
    monkeypatch,
):
    for spoil in (
        lambda seen, way: seen.disturbed_s.update({5: REMOVED_S + 0.1}),
        lambda seen, way: setattr(seen.sent["q1"], "process_id", 6),
        lambda seen, way: setattr(way, "mode", "slow"),
        lambda seen, way: setattr(way, "healed_s", REMOVED_S + 0.1),
    ):
        spoilt = False
        for seen, way in ask_for_rest(monkeypatch, (0.6, 0.7, 0.8, 0.9)):
            if not spoilt:
                spoil(seen, way)
            spoilt = True
        assert seen.faults == []


def make_leaving(monkeypatch, sent_s, told_process=5):
    """Passes on that an endpoint leaves, and a later request."""
    clock = [REMOVED_S - sent_s]
    monkeypatch.setattr(evidences, "read_clock", lambda: clock[0])
    seen = make_evidence("again", process_id=5)
    headers = {names.LEAVING: "1", names.SEAL: "e1.77.0"}
    leavewatch.note_answer(seen, {names.SEAL: "e2.77.0"}, told_process)
    leavewatch.note_answer(seen, headers, told_process)
    clock[0] = REMOVED_S
    return seen


def test_request_sent_after_a_process_was_told_of_a_leaving_is_a_fault(
    monkeypatch,
):
    seen = make_leaving(monkeypatch, 2.1)
    leavewatch.check_arrival(seen, "q1", "e2")
    assert seen.faults == []
    leavewatch.check_arrival(seen, "q1", "e1")
    assert seen.faults == [
        "q1 reached e1 and was sent 2.10 s after process 5 passed on that it "
        "leaves"
    ]


def test_request_that_came_in_time_or_after_a_freeze_is_no_fault(monkeypatch):
    early = make_leaving(monkeypatch, 1.9)
    other = make_leaving(monkeypatch, 2.1, told_process=6)
    frozen = make_leaving(monkeypatch, 2.1)
    frozen.disturbed_s[5] = REMOVED_S - 1.0
    for seen in (early, other, frozen):
        leavewatch.check_arrival(seen, "q1", "e1")
        assert seen.faults == []


def test_seeds_that_broke_a_rule_are_read_from_their_file(tmp_path):
    path = tmp_path / "seeds.txt"
    path.write_text("# Seeds.\n17 a stop that cut streams\n\n4 a lost lease\n")
    assert run.read_seeds(path) == [17, 4]
    assert list(run.parse_seeds("3..5")) == [3, 4, 5]
    assert list(run.parse_seeds("8")) == [8]
    assert list(run.parse_seeds("")) == []


def test_short_seed_breaks_no_rule():
    seen = asyncio.run(run.play_seed(7, 4.0))
    assert seen.faults == []
    assert seen.count(200) > 0
