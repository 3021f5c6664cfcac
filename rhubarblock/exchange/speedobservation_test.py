"""Observations of endpoint speeds on the path of an exchange."""

import asyncio
import dataclasses
import logging

import pytest

from rhubarblock.core import route as routes
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import outcomes
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import health as healths
from rhubarblock.routing.placement import speeds

# A pass takes 20 ms by the model.
MODEL = dataclasses.replace(
    fakes.MODEL, stride=20, step_ms=1.0, sequence_ms=0.0, context_ms=0.0
)
POOL = routes.ServiceSpec("pool", "/health", 100, MODEL)


class _NoReset:
    """Writes the head and the first event of a stream, without its end."""

    def __init__(self, writer):
        self._writer = writer

    def write(self, data):
        if data != b"0\r\n\r\n":
            self._writer.write(data)


def serve(pause_s):
    """Serves one prompt and returns the factors that were learned."""

    async def main():
        async def script(head, writer):
            body = _NoReset(writer)
            await fakes.events(0)(head, body)
            for number in range(1, 12):
                await writer.drain()
                await asyncio.sleep(pause_s)
                fakes.write_chunk(writer, b"id: %d\ndata: x\n\n" % number)
            writer.write(b"0\r\n\r\n")

        endpoint = fakes.ScriptedEndpoint(script)
        async with fakes.open_parts(endpoint, service="pool") as parts:
            exchange = fakes.make_exchange(
                fakes.make_route(routes.RouteKind.STREAMING, pause_s=0.5),
                POOL,
                prompt_tokens=1_000,
                answer_tokens=400,
            )
            sink = fakes.MemorySink()
            await parts.relay.serve(exchange, sink)
            assert sink.finished
            return parts.job_tracker.speeds.find("e1")

    return asyncio.run(main())


def test_pauses_of_a_stream_show_a_slow_engine():
    assert serve(0.08).passes > 2.0


def test_plain_call_that_was_answered_is_learned():
    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.whole())
        async with fakes.open_parts(endpoint) as parts:
            await parts.relay.serve(fakes.make_exchange(), fakes.MemorySink())
            times = parts.placer._calls._times
            return times._durations["desk"]["e1"].weight

    assert asyncio.run(main()) == 1.0


@pytest.mark.parametrize("deviates", [True, False])
def test_crossing_the_threshold_is_logged_and_counted(deviates, caplog):
    metrics = metric_store.Metrics()
    recorder = outcomes.OutcomeRecorder(
        healths.Health("osu-hall"),
        None,
        None,
        None,
        timer_service.LoopTimers(),
        metrics,
    )
    with caplog.at_level(logging.INFO, "rhubarblock"):
        recorder.note_speed(
            speeds.Change("e1", deviates, 2.0, 2.1, 1.5, 0.25, 3)
        )
    record = caplog.records[-1]
    assert (record.endpoint, record.age_s, record.weight) == ("e1", 0.25, 1.5)
    assert metrics.gauges["exchange.deviating_engines"] == 3
    name = "deviates" if deviates else "returned"
    assert metrics.counts[f"exchange.speed_{name}"] == 1
