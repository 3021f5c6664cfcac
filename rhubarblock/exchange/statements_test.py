"""Effects of endpoints' statements on exchanges."""

import asyncio

import pytest

from rhubarblock.core import failure as failures
from rhubarblock.core import route as routes
from rhubarblock.core import statement as statements
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import attempts
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import leases
from rhubarblock.exchange import placements
from rhubarblock.platform import names


def refuse_for(length, status="503 Service Unavailable"):
    return fakes.whole(
        b"",
        status,
        f"{names.NOT_EXECUTED}: 1\r\n{names.RETRY_AFTER}: {length}\r\n",
    )


async def serve(parts, **changes):
    sink = fakes.MemorySink()
    try:
        await parts.relay.serve(fakes.make_exchange(**changes), sink)
    except failures.FailureError as error:
        return error.failure
    return sink.status


def test_caller_is_refused_at_once_while_all_endpoints_cool_down():
    async def main():
        endpoint = fakes.ScriptedEndpoint(refuse_for(600))
        async with fakes.open_parts(endpoint) as parts:
            both = [await serve(parts) for _ in range(2)]
            return both, len(endpoint.heads)

    both, arrived = asyncio.run(main())
    assert arrived == 1
    for failure in both:
        assert failure.code is failures.FailureCode.NO_ENDPOINT
        assert failure.message == "endpoints ask for rest"
        assert failure.retry_after_s >= 599.0


def test_request_waits_for_a_cooldown_that_ends_soon():
    async def main():
        endpoint = fakes.ScriptedEndpoint(refuse_for("0.2"), fakes.whole())
        async with fakes.open_parts(endpoint) as parts:
            return await serve(parts), await serve(parts)

    refused, status = asyncio.run(main())
    assert refused.message == "endpoints ask for rest"
    assert status == 200


def test_cooldown_in_an_unsigned_refusal_is_kept():
    """An unsigned refusal counts as a failure, but its cool-down applies."""

    async def main():
        extra = f"{names.RETRY_AFTER}: 600\r\n"
        unsigned = fakes.whole(b"", "503 Full", extra, seal=False)
        endpoint = fakes.ScriptedEndpoint(unsigned)
        async with fakes.open_parts(endpoint) as parts:
            await serve(parts)
            await serve(parts)
            return len(endpoint.heads)

    assert asyncio.run(main()) == 1


def test_cooldown_of_another_endpoint_at_the_address_is_ignored():
    async def main():
        endpoint = fakes.ScriptedEndpoint(refuse_for(600, "421 Misdirected"))
        async with fakes.open_parts(endpoint) as parts:
            await serve(parts)
            return bool(parts.cooldowns)

    assert not asyncio.run(main())


class CoolingDownEngines(fakes.NoLeases):
    """Engines that state a cool-down in lease answers."""

    async def reserve(self, endpoint, request):
        cooldown = statements.StatedCooldown(600.0)
        return dialects.LeaseReply(
            dialects.LeaseAnswer.DONE, statements.Statement(cooldown=cooldown)
        )


def test_request_is_not_sent_after_a_cooldown_in_a_lease_answer():
    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.whole())
        async with fakes.open_parts(endpoint) as parts:
            engine = parts.directory.find("e1")
            holder = leases.LeaseHolder(
                CoolingDownEngines(),
                fakes.BOUNDS,
                parts.statements,
                parts.timers,
            )
            runner = attempts.AttemptRunner(
                parts.placer,
                parts.transport,
                parts.health,
                holder,
                parts.statements,
                parts.timers,
            )
            lease = leases.Lease(engine, "l1", 1000)
            placement = placements.Placement(engine, held_leases=(lease,))
            flow = flows.Flow(fakes.make_exchange(), fakes.MemorySink())
            with pytest.raises(attempts.ClosedError):
                await runner.run(flow, placement, lambda reason: False)
            return flow.history.sent, endpoint.heads

    assert asyncio.run(main()) == (False, [])


@pytest.mark.parametrize("begins", ["cooldown", "evacuation"])
def test_request_is_not_sent_after_what_began_while_it_connected(begins):
    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.whole())
        async with fakes.open_parts(endpoint) as parts:
            loop = asyncio.get_running_loop()
            connect = loop.sock_connect

            async def connect_late(sock, address):
                if begins == "cooldown":
                    now_s = parts.timers.read_monotonic()
                    parts.cooldowns.note("e1", 600.0, now_s)
                else:
                    parts.directory.set_evacuated(frozenset({"osu-hall"}))
                await connect(sock, address)

            loop.sock_connect = connect_late
            failure = await serve(parts)
            return failure.code, failure.verdict, endpoint.heads

    code, verdict, heads = asyncio.run(main())
    assert code is failures.FailureCode.NO_ENDPOINT
    assert verdict is verdicts.Verdict.NOT_RUN
    assert not heads


LEAVES = f"{names.LEAVING}: 1\r\n"
STREAM = fakes.make_route(routes.RouteKind.STREAMING)


@pytest.mark.parametrize(
    "script",
    [
        fakes.whole(extra=LEAVES),
        fakes.whole(b"bad", "500 Internal Server Error", LEAVES),
        fakes.whole(b"", "503 Full", f"{names.NOT_EXECUTED}: 1\r\n{LEAVES}"),
        fakes.whole(b"", "503 Full", LEAVES, seal=False),
    ],
)
def test_any_answer_can_announce_that_the_endpoint_leaves(script):
    async def main():
        leaving = fakes.ScriptedEndpoint(script)
        async with fakes.open_parts(leaving) as parts:
            # Without another endpoint it would be used as a last resort.
            parts.directory.update(fakes.make_endpoint(2))
            await serve(parts)
            usable = parts.directory.list_usable("desk")
            return [endpoint.endpoint_id for endpoint in usable]

    assert asyncio.run(main()) == ["e2"]


def test_stream_of_a_leaving_endpoint_ends_there():
    async def main():
        leaving = fakes.ScriptedEndpoint(fakes.events(1, 2, 3, extra=LEAVES))
        other = fakes.ScriptedEndpoint()
        async with fakes.open_parts(leaving, other) as parts:
            sink = fakes.MemorySink()
            await parts.relay.serve(fakes.make_exchange(STREAM), sink)
            usable = parts.directory.list_usable("desk")
            return sink.finished, len(usable), other.heads

    assert asyncio.run(main()) == (True, 1, [])


class LeavingEngines(fakes.NoLeases):
    """Engines that announce in a release answer that they leave."""

    async def release(self, endpoint, lease_id):
        return dialects.LeaseReply(
            dialects.LeaseAnswer.DONE, statements.Statement(is_leaving=True)
        )


def test_lease_answer_can_announce_that_the_engine_leaves():
    async def main():
        async with fakes.open_parts(fakes.ScriptedEndpoint()) as parts:
            engine = parts.directory.find("e1")
            holder = leases.LeaseHolder(
                LeavingEngines(), fakes.BOUNDS, parts.statements, parts.timers
            )
            async with holder.hold([leases.Lease(engine, "l1", 1000)]):
                before = parts.directory.is_closed("e1")
            await holder.wait()
            return before, parts.directory.is_closed("e1")

    assert asyncio.run(main()) == (False, True)


class ColdRecorder:
    def __init__(self):
        self.noted = []

    def note_answer(self, endpoint_id, left_s, sent_s):
        self.noted.append((endpoint_id, left_s))


@pytest.mark.parametrize(
    ("script", "noted"),
    [
        (fakes.whole(b"ok", extra=f"{names.COLD_REMAINING}: 0\r\n"), 0.0),
        (fakes.whole(b"ok", extra=f"{names.COLD_REMAINING}: 900\r\n"), 0.9),
        (fakes.whole(b"ok"), None),
        # Only a signed answer shows that the endpoint is warm.
        (
            fakes.whole(
                b"ok", extra=f"{names.COLD_REMAINING}: 0\r\n", seal=False
            ),
            None,
        ),
    ],
)
def test_cold_time_of_an_answer_is_recorded(script, noted):
    async def main():
        endpoint = fakes.ScriptedEndpoint(script)
        async with fakes.open_parts(endpoint) as parts:
            recorder = parts.statements._cold_starts = ColdRecorder()
            await serve(parts, route=fakes.make_route(max_attempts=1))
            return recorder.noted

    assert set(asyncio.run(main())) == {("e1", noted)}


def test_answer_of_another_endpoint_at_the_address_is_not_recorded():
    async def main():
        script = fakes.whole(
            b"", "421 Misdirected", f"{names.COLD_REMAINING}: 900\r\n"
        )
        async with fakes.open_parts(fakes.ScriptedEndpoint(script)) as parts:
            recorder = parts.statements._cold_starts = ColdRecorder()
            await serve(parts, route=fakes.make_route(max_attempts=1))
            return recorder.noted

    assert asyncio.run(main()) == []
