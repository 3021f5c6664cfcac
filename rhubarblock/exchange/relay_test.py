"""Retries of the relay, and the final answers to callers."""

import asyncio
import contextlib
import dataclasses

import pytest

from rhubarblock.core import failure as failures
from rhubarblock.core import route as routes
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import attempts
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.exchange import sends
from rhubarblock.exchange import stalls
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.platform import names
from rhubarblock.routing.quarantine import partregistry
from rhubarblock.routing.retrylending import reserve as reserves

ONCE = fakes.make_route(routes.RouteKind.NON_IDEMPOTENT)
STREAM = fakes.make_route(routes.RouteKind.STREAMING)
SHED = fakes.whole(
    b"", "503 Service Unavailable", f"{names.NOT_EXECUTED}: 1\r\n"
)
MISDIRECTED = fakes.whole(b"", "421 Misdirected Request")
FAILS = fakes.whole(b"bad", "500 Internal Server Error")


async def cut(head, writer):
    raise ConnectionError


def run(*scripts, **changes):
    """Serves one exchange; each endpoint has one script.

    Returns:
      The sink, the failure or None, and the heads of all requests.
    """

    async def main():
        endpoints = [fakes.ScriptedEndpoint(script) for script in scripts]
        async with fakes.open_parts(*endpoints) as parts:
            sink = fakes.MemorySink()
            failure = None
            try:
                await parts.relay.serve(fakes.make_exchange(**changes), sink)
            except failures.FailureError as error:
                failure = error.failure
            heads = [head for e in endpoints for head in e.heads]
            return sink, failure, heads

    return asyncio.run(main())


def test_complete_answer_is_forwarded():
    sink, failure, heads = run(fakes.whole(b"ok"), route=ONCE)
    assert (sink.status, sink.body, sink.finished) == (200, b"ok", True)
    assert failure is None
    assert len(heads) == 1


def test_non_idempotent_call_that_may_have_run_is_not_retried():
    sink, failure, heads = run(cut, cut, route=ONCE)
    assert len(heads) == 1
    assert failure.http_status == 502
    assert failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert failure.retry_after_s is None
    assert not sink.begun


@pytest.mark.parametrize("refusal", [SHED, MISDIRECTED])
def test_refused_call_is_retried_at_another_endpoint(refusal):
    sink, failure, heads = run(refusal, refusal, route=ONCE)
    assert len(heads) == 2
    assert failure.http_status == 503
    assert failure.verdict is verdicts.Verdict.NOT_RUN
    assert failure.retry_after_s > 0.0


class LateCopies:
    """Scripts that repeat a refusal before the next answer on a connection.

    Attributes:
      runs: heads of the requests that were run.
    """

    # Seconds between a copy and the answer that follows it.
    AHEAD_S = 0.05

    def __init__(self, refusal):
        self.runs = []
        self._refusal = refusal
        self._refused = set()

    async def refuse(self, head, writer):
        self._refused.add(writer)
        await self._refusal(head, writer)

    async def run(self, head, writer):
        self.runs.append(head)
        if writer in self._refused:
            await self._refusal(head, writer)
            await writer.drain()
        await asyncio.sleep(self.AHEAD_S)
        await fakes.whole(b"ok")(head, writer)


@pytest.mark.parametrize(
    "refusal", [SHED, MISDIRECTED], ids=["full", "misdirected"]
)
def test_late_copy_of_a_refusal_does_not_make_a_call_run_twice(refusal):
    copies = LateCopies(refusal)

    async def main():
        restarted = fakes.ScriptedEndpoint(copies.refuse, copies.run)
        other = fakes.ScriptedEndpoint(copies.run)
        async with fakes.open_parts(restarted, other) as parts:
            # The present start of the first endpoint, at the same address.
            parts.directory.update(fakes.make_endpoint(2, restarted.address))
            parts.directory.update(fakes.make_endpoint(3, other.address))
            sink = fakes.MemorySink()
            await parts.relay.serve(fakes.make_exchange(ONCE), sink)
            return sink

    sink = asyncio.run(main())
    assert (sink.status, sink.body) == (200, b"ok")
    assert len(copies.runs) == 1


def test_refusals_do_not_use_up_the_attempts_of_the_route():
    sink, failure, heads = run(*[SHED] * 6, fakes.whole(), route=ONCE)
    assert failure is None
    assert sink.body == b"ok"
    assert len(heads) == 7


def test_refused_exchange_is_not_retried_when_it_would_be_too_late():
    async def slow_refusal(head, writer):
        await asyncio.sleep(0.12)
        await SHED(head, writer)

    async def main():
        endpoints = [fakes.ScriptedEndpoint(slow_refusal) for _ in range(6)]
        async with fakes.open_parts(*endpoints) as parts:
            now_s = asyncio.get_running_loop().time()
            exchange = fakes.make_exchange(ONCE, deadline_s=now_s + 0.55)
            with pytest.raises(failures.FailureError) as raised:
                await parts.relay.serve(exchange, fakes.MemorySink())
            return raised.value.failure, sum(len(e.heads) for e in endpoints)

    failure, count = asyncio.run(main())
    assert count == flows.MAX_REFUSALS
    assert failure.http_status == 503
    assert failure.verdict is verdicts.Verdict.NOT_RUN


def test_endpoint_whose_address_was_reused_is_removed():
    async def main():
        endpoint = fakes.ScriptedEndpoint(MISDIRECTED)
        async with fakes.open_parts(endpoint) as parts:
            with pytest.raises(failures.FailureError):
                await parts.relay.serve(
                    fakes.make_exchange(ONCE), fakes.MemorySink()
                )
            return parts.directory.list_usable("desk")

    assert asyncio.run(main()) == []


def test_peer_learns_of_a_reused_address_from_the_refusal():
    async def main():
        endpoint = fakes.ScriptedEndpoint(MISDIRECTED)
        async with (
            fakes.open_parts(endpoint) as parts,
            fakes.open_parts() as peer,
            parts.updates.open("127.0.0.1", 0),
            peer.updates.open("127.0.0.1", 0),
        ):
            peer.add_endpoints(endpoint)
            peer.updates.listen(
                peer_updates.ADDRESS_REUSED, peer.placer.receive_reused
            )
            socket = peer.updates._transport.get_extra_info("sockname")
            parts.updates._peers.add(*socket[:2])
            with pytest.raises(failures.FailureError):
                await parts.relay.serve(
                    fakes.make_exchange(ONCE), fakes.MemorySink()
                )
            async with asyncio.timeout(5.0):
                while peer.directory.list_usable("desk"):
                    await asyncio.sleep(0.001)

    asyncio.run(main())


def test_health_of_unlisted_endpoints_is_dropped():
    async def main():
        endpoint = fakes.ScriptedEndpoint(cut)
        async with fakes.open_parts(endpoint) as parts:
            with pytest.raises(failures.FailureError):
                await parts.relay.serve(
                    fakes.make_exchange(ONCE), fakes.MemorySink()
                )
            before = parts.health.is_tripped("e1")
            parts.directory.remove("e1")
            await parts.placer.remove_unlisted()
            return before, parts.health.is_tripped("e1")

    assert asyncio.run(main()) == (True, False)


def test_idempotent_request_is_retried_after_a_cut():
    sink, failure, heads = run(cut, cut)
    assert len(heads) == 2
    assert failure.http_status == 502


def test_attempts_are_limited_by_the_route():
    _, failure, heads = run(cut, cut, cut)
    assert len(heads) == 2
    assert failure is not None


def test_server_error_is_forwarded_if_all_attempts_fail():
    sink, failure, heads = run(FAILS, FAILS)
    assert (sink.status, sink.body) == (500, b"bad")
    assert len(heads) == 2
    assert failure is None


def test_server_error_of_a_non_idempotent_call_is_forwarded_at_once():
    sink, _, heads = run(FAILS, FAILS, route=ONCE)
    assert (sink.status, sink.body) == (500, b"bad")
    assert len(heads) == 1


@pytest.mark.parametrize(
    "status", ["503 Service Unavailable", "429 Too Many", "408 Timeout"]
)
def test_status_that_implies_not_run_is_not_forwarded_without_a_refusal(status):
    sink, failure, heads = run(fakes.whole(b"", status), route=ONCE)
    assert not sink.begun
    assert failure.http_status == 502
    assert len(heads) == 1


def test_success_without_a_signature_is_an_error():
    sink, failure, _ = run(fakes.whole(b"ok", seal=False), route=ONCE)
    assert not sink.begun
    assert failure.http_status == 502


def test_truncated_answer_is_not_forwarded():
    async def half(head, writer):
        await fakes.whole(b"whole")(head, writer)
        raise ConnectionError

    async def short(head, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{fakes.ATTEMPT}: q1\r\n{fakes.SEAL}: s\r\n"
            "Content-Length: 9\r\n\r\nhalf".encode()
        )
        await writer.drain()
        raise ConnectionError

    sink, failure, _ = run(short, short)
    assert not sink.begun
    assert failure.http_status == 502


def test_broken_stream_resumes_after_its_last_complete_event():
    first = fakes.events(1, 2, end=False, partial=b"id: 3\nda")
    heads_seen = []

    async def resume(head, writer):
        heads_seen.append(head)
        await fakes.events(3, 4)(head, writer)

    async def first_or_resumed(head, writer):
        if "Last-Event-Id" in head:
            await resume(head, writer)
        else:
            await first(head, writer)

    sink, failure, heads = run(first_or_resumed, first_or_resumed, route=STREAM)
    assert failure is None
    assert sink.body == b"".join(
        b"id: %d\ndata: x\n\n" % number for number in (1, 2, 3, 4)
    )
    assert sink.finished
    assert "Last-Event-Id: 2" in heads_seen[0]


def test_stream_that_may_not_be_resumed_is_cut():
    route = fakes.make_route(routes.RouteKind.STREAMING, resumable=False)
    broken = fakes.events(1, end=False)
    sink, failure, heads = run(broken, broken, route=route)
    assert len(heads) == 1
    assert sink.begun
    assert not sink.finished
    assert failure is not None


def test_stream_that_ends_within_an_event_is_an_error():
    ends_early = fakes.events(1, partial=b"id: 2\nda")
    sink, failure, _ = run(ends_early, ends_early, route=STREAM)
    assert not sink.finished
    assert failure is not None


def test_endpoint_receives_the_remaining_time():
    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.whole())
        async with fakes.open_parts(endpoint) as parts:
            now_s = asyncio.get_running_loop().time()
            exchange = fakes.make_exchange(deadline_s=now_s + 0.75)
            await parts.relay.serve(exchange, fakes.MemorySink())
            return endpoint.heads[0]

    head = asyncio.run(main())
    line = next(x for x in head.split("\r\n") if "Deadline-Remaining" in x)
    assert 600 < int(line.split(": ")[1]) <= 750


def test_deadline_within_an_attempt_gives_may_have_run():
    async def hang(head, writer):
        await asyncio.sleep(5.0)

    async def main():
        endpoint = fakes.ScriptedEndpoint(hang)
        async with fakes.open_parts(endpoint) as parts:
            now_s = asyncio.get_running_loop().time()
            exchange = fakes.make_exchange(ONCE, deadline_s=now_s + 0.2)
            with pytest.raises(failures.FailureError) as raised:
                await parts.relay.serve(exchange, fakes.MemorySink())
            return raised.value.failure

    failure = asyncio.run(main())
    assert failure.http_status == 504
    assert failure.verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_disconnect_of_the_caller_cancels_the_attempt():
    async def hang(head, writer):
        await asyncio.sleep(0.5)
        writer.write(b"x")
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.write(b"x")
        await writer.drain()

    async def main():
        endpoint = fakes.ScriptedEndpoint(hang)
        async with fakes.open_parts(endpoint) as parts:
            task = asyncio.ensure_future(
                parts.relay.serve(fakes.make_exchange(), fakes.MemorySink())
            )
            while not endpoint.heads:
                await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await endpoint.closed.wait()

    asyncio.run(main())


def test_missing_endpoints_are_an_immediate_error():
    _, failure, _ = run(route=ONCE)
    assert failure.http_status == 503
    assert failure.verdict is verdicts.Verdict.NOT_RUN


def test_spent_retry_budget_ends_retries():
    async def main():
        endpoints = [fakes.ScriptedEndpoint(cut, cut) for _ in range(2)]
        async with fakes.open_parts(*endpoints) as parts:
            exchange = fakes.make_exchange()
            flow = flows.Flow(exchange, fakes.MemorySink())
            outlook = reserves.Outlook.OBJECTIVE
            while parts.relay._outcomes.try_grant(flow, outlook):
                pass
            with pytest.raises(failures.FailureError):
                await parts.relay.serve(exchange, fakes.MemorySink())
            return sum(len(e.heads) for e in endpoints)

    assert asyncio.run(main()) == 1


def test_request_may_be_quarantined_while_its_endpoint_is_probed():
    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.events(end=False))
        async with fakes.open_parts(endpoint) as parts:
            exchange = fakes.make_exchange(
                fakes.make_route(routes.RouteKind.STREAMING),
                prompt_parts=("bad",),
            )

            async def probe(address):
                now_s = parts.timers.read_monotonic()
                found = partregistry.Quarantine(
                    frozenset(["desk/bad"]), now_s, 2
                )
                parts.quarantine.receive_records(quarantines.Records((found,)))
                return True

            parts.relay._crashes._has_crashed = probe
            with pytest.raises(failures.FailureError) as raised:
                await parts.relay.serve(exchange, fakes.MemorySink())
            return (
                raised.value.failure.http_status,
                parts.metrics.counts["quarantine.crashes"],
                len(endpoint.heads),
            )

    assert asyncio.run(main()) == (502, 1, 1)


class SilentRunner:
    """Sends attempts that get no answer; the first one may be abandoned."""

    def __init__(self, reason=None, sends=True):
        self.reason = reason
        self.sends = sends

    async def run(self, flow, placement, may_abandon):
        flow.sends.latest = sends.Send(1, 1, False) if self.sends else None
        if self.reason is None or flow.history.attempts:
            await asyncio.Event().wait()
        raise attempts.AbandonedError(self.reason)


@pytest.mark.parametrize(
    ("runner", "crash_count"),
    [
        (SilentRunner(), 1),
        (SilentRunner(stalls.Reason.SILENT), 2),
        (SilentRunner(stalls.Reason.BUSY), 1),
        (SilentRunner(sends=False), 0),
    ],
    ids=["deadline", "silent", "busy", "not sent"],
)
def test_crash_is_found_under_a_request_without_an_answer(runner, crash_count):
    async def main():
        endpoints = [fakes.ScriptedEndpoint() for _ in range(2)]
        async with fakes.open_parts(*endpoints) as parts:

            async def probe(address):
                return True

            parts.relay._crashes._is_gone = probe
            parts.relay._runner = runner
            deadline_s = parts.timers.read_monotonic() + 0.5
            exchange = fakes.make_exchange(
                digest="p" * 32, deadline_s=deadline_s
            )
            with contextlib.suppress(failures.FailureError):
                await parts.relay.serve(exchange, fakes.MemorySink())
            await asyncio.sleep(0.01)
            return parts.metrics.counts.get("quarantine.crashes", 0)

    assert asyncio.run(main()) == crash_count


def test_quarantined_exchange_is_refused_without_an_attempt():
    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.whole())
        async with fakes.open_parts(endpoint) as parts:
            exchange = fakes.make_exchange(digest="p" * 32)
            for number in (1, 2):
                parts.updates.on_crash(f"gone{number}", {"p" * 32: 0.1})
                await asyncio.sleep(0.0)
                parts.quarantine._timers = _AheadClock(parts.timers, 3.0)
            with pytest.raises(failures.FailureError) as raised:
                await parts.relay.serve(exchange, fakes.MemorySink())
            return raised.value.failure, endpoint.heads

    failure, heads = asyncio.run(main())
    assert failure.verdict is verdicts.Verdict.NOT_RUN
    assert failure.retry_after_s == 60.0
    assert heads == []


class _AheadClock:
    """A clock that runs some seconds ahead of another one."""

    def __init__(self, timers, ahead_s):
        self._timers = timers
        self._ahead_s = ahead_s

    def read_monotonic(self):
        return self._timers.read_monotonic() + self._ahead_s


LIMITED = fakes.whole(b"ok", extra=f"{names.LIMIT}: 0.01\r\n")


def serve_in_turn(count, *endpoints):
    """Serves exchanges one after the other.

    Returns:
      The failures (None if served), the requests by endpoint, and the limits.
    """

    async def main():
        async with fakes.open_parts(*endpoints) as parts:
            ends = []
            for _ in range(count):
                try:
                    await parts.relay.serve(
                        fakes.make_exchange(ONCE), fakes.MemorySink()
                    )
                    ends.append(None)
                except failures.FailureError as error:
                    ends.append(error.failure)
            return ends, [len(e.heads) for e in endpoints], parts.limits

    return asyncio.run(main())


def test_rate_limited_endpoint_is_avoided_while_another_has_capacity():
    limited = fakes.ScriptedEndpoint(*[LIMITED] * 9)
    healthy = fakes.ScriptedEndpoint(*[fakes.whole(b"ok")] * 9)
    ends, arrivals, _ = serve_in_turn(8, limited, healthy)
    assert ends == [None] * 8
    assert arrivals == [1, 7]


def test_caller_gets_retry_after_if_all_endpoints_are_rate_limited():
    limited = fakes.ScriptedEndpoint(*[LIMITED] * 9)
    ends, arrivals, _ = serve_in_turn(4, limited)
    assert ends[0] is None
    refused = [end for end in ends if end is not None]
    assert refused
    assert {end.verdict for end in refused} == {verdicts.Verdict.NOT_RUN}
    assert {end.message for end in refused} == {
        "the rate limits of endpoints leave no room"
    }
    # Retries are spread.
    assert len({end.retry_after_s for end in refused}) == len(refused)


@pytest.mark.parametrize(
    ("second", "rate"),
    [
        (fakes.whole(b"ok"), None),
        # A refusal or an unsigned error does not end the limit.
        (SHED, 5_000.0),
        (fakes.whole(b"", "500 Internal Server Error", seal=False), 5_000.0),
        (fakes.whole(b"ok", extra=f"{names.LIMIT}: soon\r\n"), 5_000.0),
        (fakes.whole(b"ok", extra=f"{names.LIMIT}: 7000\r\n"), 7_000.0),
    ],
)
def test_rate_limit_holds_until_a_signed_answer_lacks_it(second, rate):
    first = fakes.whole(b"ok", extra=f"{names.LIMIT}: 5000\r\n")
    endpoint = fakes.ScriptedEndpoint(first, second)
    _, arrivals, limits = serve_in_turn(2, endpoint)
    assert arrivals == [2]
    assert limits.find_rate("e1") == rate


def test_rate_limit_of_an_endpoint_is_forwarded_to_the_caller():
    sink, _, _ = run(LIMITED, route=ONCE)
    forwarded = {header.name: header.value for header in sink.headers}
    assert forwarded[names.LIMIT] == "0.01"


def test_workspace_with_one_request_is_not_starved_by_one_with_many(
    monkeypatch,
):
    monkeypatch.setattr(endpointlimits, "WAIT_S", 60.0)
    many = 30

    async def main():
        script = fakes.whole(b"ok", extra=f"{names.LIMIT}: 20\r\n")
        limited = fakes.ScriptedEndpoint(*[script] * (2 * many))
        async with fakes.open_parts(limited) as parts:
            order = []

            async def serve(workspace):
                exchange = fakes.make_exchange(ONCE, workspace=workspace)
                exchange.deadline_s += 200.0
                await parts.relay.serve(exchange, fakes.MemorySink())
                order.append(workspace)

            await serve("first")
            tasks = [asyncio.ensure_future(serve("a")) for _ in range(many)]
            await asyncio.sleep(0)
            tasks.append(asyncio.ensure_future(serve("b")))
            await asyncio.gather(*tasks, return_exceptions=True)
            return order

    order = asyncio.run(main())
    assert "b" in order[:6]


def test_endpoint_that_refuses_at_once_is_not_preferred():
    async def main():
        full = fakes.ScriptedEndpoint(*[SHED] * 10)
        other = fakes.ScriptedEndpoint(*[fakes.whole()] * 10)
        async with fakes.open_parts(full, other) as parts:
            for _ in range(5):
                await parts.relay.serve(
                    fakes.make_exchange(), fakes.MemorySink()
                )
            return len(full.heads), len(other.heads)

    assert asyncio.run(main()) == (1, 5)


def test_refusal_does_not_lower_the_error_rate():
    async def main():
        endpoint = fakes.ScriptedEndpoint(SHED)
        async with fakes.open_parts(endpoint) as parts:
            parts.health.note_error("e1")
            before = parts.health.find_error_rate("e1")
            with pytest.raises(failures.FailureError):
                await parts.relay.serve(
                    fakes.make_exchange(), fakes.MemorySink()
                )
            return before, parts.health.find_error_rate("e1")

    before, after = asyncio.run(main())
    assert before == after > 0.0


async def stay_silent(head, writer):
    await asyncio.sleep(5.0)


@pytest.mark.parametrize(
    ("script", "broken"), [(cut, ["e1"]), (stay_silent, []), (FAILS, [])]
)
def test_only_a_broken_connection_may_show_a_restart(script, broken):
    """A slow endpoint must not be taken for cold and be slowed further."""

    async def main():
        first = fakes.ScriptedEndpoint(script)
        async with fakes.open_parts(first) as parts:
            told = []
            parts.relay._outcomes.on_broken = told.append
            # The other endpoint refuses connections.
            parts.directory.update(fakes.make_endpoint(2))
            with contextlib.suppress(failures.FailureError):
                await parts.relay.serve(
                    fakes.make_exchange(), fakes.MemorySink()
                )
            return [name for name in told if name != "e2"]

    assert asyncio.run(main()) == broken


def test_failed_connections_take_nothing_from_the_retry_budget():
    """Otherwise an instance that just started fails what never arrived."""

    async def main():
        endpoint = fakes.ScriptedEndpoint(*[fakes.whole()] * 6)
        async with fakes.open_parts(endpoint) as parts:
            listed = fakes.make_endpoint(1, endpoint.address)
            parts.directory.update(
                dataclasses.replace(listed, data_centre="oda-hall")
            )
            for number in (2, 3):
                # Nothing listens there, and both are nearer.
                parts.directory.update(fakes.make_endpoint(number))
            for _ in range(6):
                sink = fakes.MemorySink()
                await parts.relay.serve(fakes.make_exchange(), sink)
                assert sink.status == 200
            return parts.metrics.snapshot()

    counts = asyncio.run(main())
    assert counts.get("exchange.broken", 0) >= 1
    assert "exchange.retries" not in counts
