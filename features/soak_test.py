"""The soak's checks find violations, and a short run of it has none."""

import asyncio
import contextlib
import math
import random
import time
import types

import pytest

from rhubarblock.platform import names
from tools.soak import coldwatch
from tools.soak import cooldownwatch
from tools.soak import evacuations
from tools.soak import evacuationwatch
from tools.soak import evidence as evidences
from tools.soak import keepalivecallers
from tools.soak import leavewatch
from tools.soak import pace as paces
from tools.soak import proxy as proxies
from tools.soak import ratewatch
from tools.soak import run
from tools.soak import store as stores
from tools.soak import storms
from tools.soak import unread
from tools.soak import wire

# When the requests of the tests are sent, in seconds of the soak's clock.
SENT_S = 100.0


def make_evidence(kind="once", **fields):
    seen = evidences.Evidence()
    seen.sent["q1"] = evidences.SentRequest("q1", kind, "k", SENT_S, **fields)
    return seen


def test_second_run_of_a_non_idempotent_call_is_a_violation():
    seen = make_evidence()
    seen.note_run("q1", "e1")
    assert seen.violations == []
    seen.note_run("q1", "e2")
    assert seen.violations == ["q1 ran twice: ['e1', 'e2']"]


def test_second_run_of_an_idempotent_request_is_allowed():
    seen = make_evidence("again")
    seen.note_run("q1", "e1")
    seen.note_run("q1", "e2")
    assert seen.violations == []


def test_refusal_of_a_call_that_ran_is_a_violation():
    seen = make_evidence(status=503)
    seen.note_run("q1", "e1")
    seen.check_outcomes()
    assert seen.violations == ["q1 was called not run and ran"]


def test_incomplete_or_foreign_answer_is_a_violation():
    seen = make_evidence(status=200, is_complete=False)
    seen.check_outcomes()
    assert seen.violations == ["q1 got an answer that is not its own whole"]


def test_run_with_a_revoked_key_is_a_violation():
    seen = make_evidence()
    seen.key_revoked_s["k"] = SENT_S - 3.5
    seen.check_revoked("q1", 4.0)
    assert seen.violations == []
    seen.check_revoked("q1", 3.0)
    assert seen.violations == ["q1 ran with a key removed 3.50 s before"]


def test_run_of_a_request_that_nobody_sent_is_a_violation():
    seen = evidences.Evidence()
    seen.note_run("q9", "e1")
    assert seen.violations == ["q9 ran and nobody sent it"]


def test_process_that_accepts_a_key_again_is_a_violation():
    seen = make_evidence(process_id=5)
    seen.sent["q1"].status = 401
    seen.note_answer(seen.sent["q1"], 5)
    later = evidences.SentRequest(
        "q2", "again", "k", evidences.read_clock() + 1.0
    )
    seen.sent["q2"] = later
    later.process_id = 6
    seen.note_run("q2", "e1")
    assert seen.violations == []
    later.process_id = 5
    seen.note_run("q2", "e1")
    assert seen.violations == [
        "q2 ran with a key that process 5 had refused before"
    ]


def count_limit_violations(
    monkeypatch, arrivals, limit_forwarded_s=SENT_S, disturbed_s=None
):
    """Sends ten requests a second to an endpoint with a rate limit."""
    clock = [SENT_S]
    monkeypatch.setattr(evidences, "read_clock", lambda: clock[0])
    seen = make_evidence(process_id=5)
    rate = ratewatch.RateWatch("e1", seen)
    rate.set_limit(1.0)
    if limit_forwarded_s is not None:
        seen.note_limit_forwarded(rate.announcement_id, 5)
    if disturbed_s is not None:
        seen.disturbed_s[5] = disturbed_s
    clock[0] += ratewatch.SETTLING_S
    for _ in range(arrivals):
        rate.note_arrival("q1", 0.0)
        clock[0] += 0.1
    return len(seen.violations)


def test_requests_above_a_rate_limit_are_a_violation(monkeypatch):
    assert count_limit_violations(monkeypatch, 11) == 0
    assert count_limit_violations(monkeypatch, 12) == 1


def test_process_without_the_limit_or_frozen_violates_no_limit(monkeypatch):
    assert count_limit_violations(monkeypatch, 20, limit_forwarded_s=None) == 0
    assert (
        count_limit_violations(monkeypatch, 20, disturbed_s=SENT_S + 2.0) == 0
    )


def test_refusal_by_a_replaced_process_is_not_recorded():
    seen = make_evidence(process_id=5, status=401)
    seen.note_answer(seen.sent["q1"], 6)
    assert seen.key_refused_s == {}


def test_cut_or_timed_out_request_in_calm_times_is_a_violation():
    for has_timed_out, message in (
        (False, "q1 was cut in calm times"),
        (True, "q1 had no answer in its time"),
    ):
        seen = make_evidence(has_timed_out=has_timed_out)
        seen.note_answer(seen.sent["q1"], 5)
        assert seen.violations == []
        seen.calm_since_s = SENT_S
        seen.note_answer(seen.sent["q1"], 5)
        assert seen.violations == [message]


LEFT_UNREAD = (
    '{"time": "2026-12-01 10:00:%02d,500", "logger": '
    '"rhubarblock.daemon.intake", "message": "connections are left unread"}'
)
READ_AGAIN = (
    '{"time": "2026-12-01 10:00:%02d,000", "message": '
    '"connections are read again"}'
)


def test_times_of_unread_connections_are_read_from_a_log(monkeypatch):
    monkeypatch.setattr(evidences, "read_clock", time.time)
    log = "\n".join(
        [LEFT_UNREAD % 1, LEFT_UNREAD % 2, READ_AGAIN % 4, "{", LEFT_UNREAD % 7]
    )
    first, second = unread.read_windows(log)
    assert first[1] - first[0] == pytest.approx(2.5)
    assert second[0] - first[0] == pytest.approx(6.0)
    assert math.isinf(second[1])


@pytest.mark.parametrize(
    ("changes", "ran", "begin_s", "end_s", "violations"),
    [
        ({}, False, -1.0, 1.0, 0),
        ({"is_first": False}, False, -1.0, 1.0, 1),
        ({"address": "127.0.0.2"}, False, -1.0, 1.0, 1),
        ({}, True, -1.0, 1.0, 1),
        # Over before it was sent, and begun after it was cut.
        ({}, False, -2.0, -1.0, 1),
        ({}, False, 1.0, 2.0, 1),
    ],
)
def test_only_unread_first_requests_may_be_cut(
    monkeypatch, changes, ran, begin_s, end_s, violations
):
    monkeypatch.setattr(evidences, "read_clock", lambda: SENT_S)
    fields = {"address": "127.0.0.1", "is_first": True, "process_id": 5}
    seen = make_evidence("again", **{**fields, **changes})
    seen.calm_since_s = SENT_S - 3.0
    if ran:
        seen.note_run("q1", "e1")
    seen.note_answer(seen.sent["q1"], 5)
    seen.unread_s["127.0.0.1"] = [(SENT_S + begin_s, SENT_S + end_s)]
    seen.check_outcomes()
    assert len(seen.violations) == violations


def test_request_cut_by_a_planned_stop_is_a_violation(monkeypatch):
    monkeypatch.setattr(evidences, "read_clock", lambda: SENT_S + 0.7)
    seen = make_evidence(process_id=5)
    seen.calm_since_s = SENT_S - 10.0
    seen.stop_signalled_s[5] = SENT_S - 2.5
    seen.note_answer(seen.sent["q1"], 5)
    assert seen.violations == [
        "q1 was cut by a planned stop 3.20 s after the signal; "
        "it was sent 2.50 s after it"
    ]


def test_unread_request_on_a_closed_connection_must_not_run():
    seen = make_evidence(process_id=5, may_be_unread=True)
    seen.calm_since_s = SENT_S - 10.0
    seen.note_answer(seen.sent["q1"], 5)
    seen.check_outcomes()
    assert seen.violations == []
    seen.note_run("q1", "e1")
    seen.check_outcomes()
    assert seen.violations == ["q1 ran and was cut by a planned stop"]


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


async def send_to_closing_server(
    monkeypatch, wait_s=0.0, answer=b"", after_s=3.0
):
    """Sends two requests after a stop signal, the second as it closes.

    Returns:
      Whether the second may be unread, and the number of violations.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ClosingServer(wait_s, answer), "127.0.0.1", 0
    )
    seen = evidences.Evidence(calm_since_s=0.0)
    seen.stop_signalled_s[5] = evidences.read_clock() - after_s
    monkeypatch.setattr(keepalivecallers, "SPLIT_SHARE", 0.0)
    instance = types.SimpleNamespace(ip="127.0.0.1")
    caller = keepalivecallers.KeepAliveCaller(
        "k", instance, ["key"], seen, random.Random(1)
    )
    async with server:
        port = server.sockets[0].getsockname()[1]
        connection = await wire.connect("127.0.0.1", port)
        for _ in range(2):
            await caller.send_request(connection, 5)
        connection.close()
    return seen.sent["k-2"].may_be_unread, len(seen.violations)


def test_request_is_unread_if_its_idle_connection_closes_at_once(monkeypatch):
    assert asyncio.run(send_to_closing_server(monkeypatch)) == (True, 0)


def test_close_of_a_read_or_answered_request_is_a_violation(monkeypatch):
    for case in (
        {"wait_s": 2 * keepalivecallers.UNREAD_CLOSE_S},
        {"answer": b"HTTP"},
        {"after_s": 1.0},
    ):
        seen = asyncio.run(send_to_closing_server(monkeypatch, **case))
        assert seen == (False, 1)


def test_answer_is_parsed_only_when_complete():
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


def test_work_for_a_draining_endpoint_in_calm_times_is_a_violation():
    now_s = evidences.read_clock()
    seen = make_evidence("again")
    seen.drain_listed_s["e1"] = now_s - 3.0
    seen.note_run("q1", "e1")
    assert seen.violations == []
    seen.calm_since_s = now_s - 4.0
    seen.note_run("q1", "e1")
    assert len(seen.violations) == 1
    assert seen.violations[0].startswith("q1 reached e1 3.")
    seen.drain_listed_s["e1"] = now_s - 1.0
    seen.note_run("q1", "e1")
    assert len(seen.violations) == 1


def request_cooldown(
    monkeypatch, arrivals_s, requested_s=(0.0,), retry_after_s=3.0
):
    """Sends requests of a process to an endpoint that asks for cool-downs."""
    clock = [SENT_S]
    monkeypatch.setattr(evidences, "read_clock", lambda: clock[0])
    seen = make_evidence("again", process_id=5)
    watch = cooldownwatch.CooldownWatch("e1", seen)
    proxy = proxies.SoakProxy()
    for after_s in sorted({*arrivals_s, *requested_s}):
        clock[0] = SENT_S + after_s
        if after_s in arrivals_s:
            watch.note_arrival("q1", proxy)
        if after_s in requested_s:
            watch.note_requested("q1", retry_after_s)
        yield seen, proxy


def count_cooldown_violations(monkeypatch, arrivals_s, **options):
    for seen, _ in request_cooldown(monkeypatch, arrivals_s, **options):
        count = len(seen.violations)
    return count


def test_third_request_in_a_cool_down_is_a_violation(monkeypatch):
    assert count_cooldown_violations(monkeypatch, (0.6, 1.0)) == 0
    assert count_cooldown_violations(monkeypatch, (0.6, 1.0, 2.9)) == 1
    assert (
        count_cooldown_violations(monkeypatch, (0.1, 0.2, 0.49, 3.0, 3.1)) == 0
    )
    again = {"requested_s": (0.0, 2.0), "retry_after_s": 2.5}
    assert count_cooldown_violations(monkeypatch, (2.6, 3.0, 4.0), **again) == 1


def test_other_or_disturbed_processes_violate_no_cool_down(
    monkeypatch,
):
    for disturb in (
        lambda seen, proxy: seen.disturbed_s.update({5: SENT_S + 0.1}),
        lambda seen, proxy: setattr(seen.sent["q1"], "process_id", 6),
        lambda seen, proxy: setattr(proxy, "mode", "slow"),
        lambda seen, proxy: setattr(proxy, "healed_s", SENT_S + 0.1),
    ):
        is_disturbed = False
        for seen, proxy in request_cooldown(monkeypatch, (0.6, 0.7, 0.8, 0.9)):
            if not is_disturbed:
                disturb(seen, proxy)
            is_disturbed = True
        assert seen.violations == []


def make_leaving(monkeypatch, sent_s, forwarding_process=5):
    """Records a forwarded leaving header, and a request sent later."""
    clock = [SENT_S - sent_s]
    monkeypatch.setattr(evidences, "read_clock", lambda: clock[0])
    seen = make_evidence("again", process_id=5)
    headers = {names.LEAVING: "1", names.SEAL: "e1.77.0"}
    leavewatch.note_answer(seen, {names.SEAL: "e2.77.0"}, forwarding_process)
    leavewatch.note_answer(seen, headers, forwarding_process)
    clock[0] = SENT_S
    return seen


def test_request_sent_to_a_leaving_endpoint_is_a_violation(
    monkeypatch,
):
    seen = make_leaving(monkeypatch, 2.1)
    leavewatch.check_arrival(seen, "q1", "e2")
    assert seen.violations == []
    leavewatch.check_arrival(seen, "q1", "e1")
    assert seen.violations == [
        "q1 reached e1 and was sent 2.10 s after process 5 passed on that it "
        "leaves"
    ]


def test_early_request_or_frozen_process_violates_no_leaving(monkeypatch):
    early = make_leaving(monkeypatch, 1.9)
    other = make_leaving(monkeypatch, 2.1, forwarding_process=6)
    frozen = make_leaving(monkeypatch, 2.1)
    frozen.disturbed_s[5] = SENT_S - 1.0
    for seen in (early, other, frozen):
        leavewatch.check_arrival(seen, "q1", "e1")
        assert seen.violations == []


class EvacuationCase:
    """An evacuation of ``osu``, with a clock of its own."""

    def __init__(self, monkeypatch):
        self.now_s = SENT_S
        monkeypatch.setattr(evidences, "read_clock", lambda: self.now_s)
        self.seen = make_evidence("again", process_id=5)
        self.store = stores.SoakStore()
        self.proxy = proxies.SoakProxy()
        self.watch = evacuationwatch.EvacuationWatch(self.store, self.seen)
        self.operator = evacuations.Operator(
            self.store, self.watch, ["osu"], random.Random(1)
        )
        self.store.put("evacuations/osu", {})
        self.watch.note_written("osu")

    def arrive(self, after_s, data_centre="osu", process_id=5):
        """Lets a request arrive, and returns the number of violations."""
        self.now_s = SENT_S + after_s
        self.watch.observe(process_id, self.proxy)
        self.seen.sent["q1"].process_id = process_id
        endpoint_proxy = proxies.SoakProxy()
        self.watch.check_arrival("q1", "e1", data_centre, endpoint_proxy)
        return len(self.seen.violations)


def test_request_to_an_evacuated_data_centre_is_a_violation(monkeypatch):
    case = EvacuationCase(monkeypatch)
    assert case.arrive(0.0) == 0
    assert case.arrive(5.4) == 0
    assert case.arrive(6.0, "tema") == 0
    assert case.arrive(6.0) == 1
    assert "q1 of process 5 reached e1 1.00 s after" in case.seen.violations[0]
    # A process that starts now must know the evacuation before it serves.
    assert case.arrive(6.0, process_id=6) == 2


def test_time_to_obey_an_evacuation_counts_from_a_fault(monkeypatch):
    for disturb in (
        lambda case, is_on: setattr(case.store, "is_down", is_on),
        lambda case, is_on: setattr(case.proxy, "mode", "mute" * is_on),
        lambda case, is_on: case.seen.disturbed_s.update(
            {5: math.inf if is_on else case.now_s}
        ),
    ):
        case = EvacuationCase(monkeypatch)
        disturb(case, True)
        assert case.arrive(6.0) == 0
        disturb(case, False)
        assert case.arrive(11.4) == 0
        # The process knew the evacuation before this fault.
        disturb(case, True)
        assert case.arrive(12.0) == 1


def test_evacuation_that_a_restored_store_lacks_is_not_forgotten(monkeypatch):
    case = EvacuationCase(monkeypatch)
    case.arrive(5.0)
    case.store.remove("evacuations/osu")
    assert case.arrive(5.1, process_id=6) == 0
    assert case.arrive(10.4, process_id=6) == 0
    assert case.arrive(10.4) == 1


def test_operator_writes_what_the_store_lost_or_regained(monkeypatch):
    case = EvacuationCase(monkeypatch)

    async def evacuate():
        longer = asyncio.ensure_future(case.operator.evacuate_some())
        await asyncio.sleep(0)
        monkeypatch.setattr(evacuations, "LENGTHS_S", (0.0, 0.0))
        await case.operator.evacuate_some()
        assert "evacuations/osu" in case.store.list_names("evacuations/")
        case.store.remove("evacuations/osu")
        case.operator.write()
        assert "evacuations/osu" in case.store.list_names("evacuations/")
        case.operator.end_all()
        case.store.put("evacuations/osu", {})
        case.operator.write()
        longer.cancel()

    asyncio.run(evacuate())
    assert case.store.list_names("evacuations/") == []
    assert case.arrive(9.0) == 0


class RefusedCaller:
    """A caller whose first request is refused, for half a second."""

    def __init__(self):
        self.sent_s = []

    async def send_request(self, session):
        del session
        self.sent_s.append(evidences.read_clock())
        sent = evidences.SentRequest("q1", "again", "k", SENT_S)
        sent.retry_after_s = 0.5 if len(self.sent_s) == 1 else None
        return sent


def test_callers_of_a_storm_return_when_told_or_at_once():
    for is_hasty in (False, True):
        caller = RefusedCaller()
        until_s = evidences.read_clock() + 0.25
        asyncio.run(storms.send_until(caller, None, until_s, is_hasty))
        if is_hasty:
            assert caller.sent_s[1] < until_s
        else:
            first_s, second_s = caller.sent_s
            assert second_s >= first_s + 0.5


def test_endpoints_have_speeds_and_some_slow_down_when_nearly_full():
    factors = set()
    for seed in range(50):
        pace = paces.Pace(random.Random(seed))
        idle = pace.slowness
        with contextlib.ExitStack() as slots:
            for _ in range(paces.NEARLY_FULL - 1):
                slots.enter_context(pace.hold_slot())
            assert pace.slowness == idle
            slots.enter_context(pace.hold_slot())
            factors.add((idle, pace.slowness / idle))
        assert pace.slowness == idle
    wanted = (1.0, paces.SLOWING_FACTOR)
    assert factors == {(s, f) for s in paces.SLOWNESS for f in wanted}


def count_cold_violations(monkeypatch, arrivals, interval_s, mode=""):
    """Sends requests to a cold endpoint, and returns the violations."""
    clock = [SENT_S]
    monkeypatch.setattr(evidences, "read_clock", lambda: clock[0])
    monkeypatch.setattr(coldwatch, "IS_ON", True)
    seen = evidences.Evidence()
    watch = coldwatch.ColdWatch("e1", seen)
    assert watch.remaining_ms == round(coldwatch.COLD_START_S * 1e3)
    proxy = proxies.SoakProxy()
    proxy.mode = mode
    for _ in range(arrivals):
        watch.note_arrival(proxy)
        clock[0] += interval_s
    return len(seen.violations)


def test_requests_above_the_bound_of_a_cold_endpoint_are_a_violation(
    monkeypatch,
):
    allowed = int(coldwatch.ALLOWED)
    assert count_cold_violations(monkeypatch, allowed, 0.01) == 0
    assert count_cold_violations(monkeypatch, 2 * allowed, 0.01) == 1
    assert count_cold_violations(monkeypatch, 2 * allowed, 0.01, "slow") == 0
    assert count_cold_violations(monkeypatch, 4 * allowed, 0.11) == 0
    # The endpoint is warm at the second request.
    assert count_cold_violations(monkeypatch, 2, 5.0) == 0


def test_seeds_are_parsed_from_the_file_and_the_option(tmp_path):
    path = tmp_path / "seeds.txt"
    path.write_text("# Seeds.\n17 a stop that cut streams\n\n4 a lost lease\n")
    assert run.read_seeds(path) == [17, 4]
    assert list(run.parse_seeds("3..5")) == [3, 4, 5]
    assert list(run.parse_seeds("8")) == [8]
    assert list(run.parse_seeds("")) == []


def test_short_run_has_no_violation():
    seen = asyncio.run(run.run_seed(7, 4.0))
    assert seen.violations == []
    assert seen.count(200) > 0
