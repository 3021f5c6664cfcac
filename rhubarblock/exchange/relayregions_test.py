"""Exchanges bound by evacuations and home regions."""

import asyncio
import contextlib
import dataclasses

import pytest

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import placements
from rhubarblock.exchange import placer as placers
from rhubarblock.exchange import relay_test as shared
from rhubarblock.exchange import statements


def run_evacuated(step, *scripts, service="desk"):
    """Runs a step with endpoints, each in a data centre of its own."""

    async def main():
        endpoints = [fakes.ScriptedEndpoint(script) for script in scripts]
        async with fakes.open_parts(*endpoints, service=service) as parts:
            for number, endpoint in enumerate(endpoints, 1):
                listed = fakes.make_endpoint(number, endpoint.address, service)
                parts.directory.update(
                    dataclasses.replace(listed, data_centre=f"dc{number}")
                )
            return await step(parts, endpoints)

    return asyncio.run(main())


def test_all_data_centres_evacuated_is_refused_with_a_time():
    async def step(parts, endpoints):
        parts.directory.set_evacuated(frozenset({"dc1", "dc2"}))
        with pytest.raises(failures.FailureError) as raised:
            await parts.relay.serve(fakes.make_exchange(), fakes.MemorySink())
        return raised.value.failure, endpoints

    failure, endpoints = run_evacuated(step, fakes.whole(), fakes.whole())
    assert failure.code is failures.FailureCode.NO_ENDPOINT
    assert failure.verdict is verdicts.Verdict.NOT_RUN
    assert 1.0 <= failure.retry_after_s <= 2.0
    assert not any(endpoint.heads for endpoint in endpoints)


@pytest.mark.parametrize("route", [None, shared.ONCE])
def test_evacuation_after_placement_sends_elsewhere_without_a_retry(
    monkeypatch, route
):
    # The data centre of the chosen endpoint is evacuated before the request is
    # sent. No endpoint got it, so it takes nothing from the retry budget.
    async def step(parts, endpoints):
        hold = placers.Placer.hold
        chosen = []

        @contextlib.contextmanager
        def hold_and_evacuate(*arguments):
            with hold(*arguments) as placement:
                if not chosen:
                    centre = placement.endpoint.data_centre
                    parts.directory.set_evacuated(frozenset({centre}))
                chosen.append(placement.endpoint.endpoint_id)
                yield placement

        monkeypatch.setattr(placers.Placer, "hold", hold_and_evacuate)
        sink = fakes.MemorySink()
        await parts.relay.serve(fakes.make_exchange(route=route), sink)
        heads = [len(e.heads) for e in endpoints]
        return sink.status, chosen, heads, parts.metrics.snapshot()

    status, chosen, heads, counts = run_evacuated(
        step, fakes.whole(), fakes.whole()
    )
    assert (status, len(set(chosen)), sorted(heads)) == (200, 2, [0, 1])
    assert "exchange.retries" not in counts


def test_stream_that_runs_at_an_evacuated_endpoint_finishes_there():
    async def step(parts, endpoints):
        async def evacuate_between(head, writer):
            with contextlib.suppress(ConnectionResetError):
                await fakes.events(1, 2, end=False)(head, writer)
            parts.directory.set_evacuated(frozenset({"dc1"}))
            await asyncio.sleep(0.05)
            fakes.write_chunk(writer, b"id: 3\ndata: x\n\n")
            writer.write(b"0\r\n\r\n")

        endpoints[0].scripts = [evacuate_between]
        sink = fakes.MemorySink()
        await parts.relay.serve(fakes.make_exchange(route=shared.STREAM), sink)
        return sink.body.count(b"id:"), sink.finished, len(endpoints[0].heads)

    assert run_evacuated(step, None) == (3, True, 1)


def test_helper_in_an_evacuated_data_centre_stops_the_send():
    async def step(parts, endpoints):
        first, helper = (
            parts.directory.find(f"e{number}") for number in (1, 2)
        )
        placement = placements.Placement(first, helper_engines=(helper,))
        flow = flows.Flow(fakes.make_exchange(), fakes.MemorySink())
        parts.directory.set_evacuated(frozenset({"dc2"}))
        with pytest.raises(statements.EvacuatedError) as raised:
            await parts.relay._runner.run(flow, placement, lambda reason: False)
        return raised.value.endpoint_id, [len(e.heads) for e in endpoints]

    assert run_evacuated(step, fakes.whole(), fakes.whole()) == ("e2", [0, 0])


def test_retry_stays_in_the_home_regions():
    async def main():
        endpoints = [
            fakes.ScriptedEndpoint(x) for x in (shared.FAILS, fakes.whole())
        ]
        async with fakes.open_parts(*endpoints) as parts:
            away = dataclasses.replace(
                fakes.make_endpoint(2, endpoints[1].address),
                data_centre="oda-hall",
            )
            parts.directory.update(away)
            exchange = fakes.make_exchange(home_regions=frozenset({"accra"}))
            with pytest.raises(failures.FailureError) as caught:
                await parts.relay.serve(exchange, fakes.MemorySink())
            verdict = caught.value.failure.verdict
            return verdict, [len(e.heads) for e in endpoints]

    assert asyncio.run(main()) == (verdicts.Verdict.RAN, [1, 0])


@pytest.mark.parametrize(
    ("regions", "code", "has_time"),
    [
        ({"kumasi"}, failures.FailureCode.NO_ENDPOINT, True),
        # Not FORBIDDEN: the configuration allows the request.
        ({"tamale"}, failures.FailureCode.NO_ENDPOINT, False),
        (set(), failures.FailureCode.NO_ENDPOINT, False),
    ],
)
def test_exchange_without_an_endpoint_at_home_has_not_run(
    regions, code, has_time
):
    _, failure, heads = shared.run(
        fakes.whole(), home_regions=frozenset(regions)
    )
    assert (failure.code, heads) == (code, [])
    assert failure.verdict is verdicts.Verdict.NOT_RUN
    assert (failure.retry_after_s is not None) is has_time
    assert "home regions" in failure.message
