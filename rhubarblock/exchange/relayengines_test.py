"""Prompts at several engines: refusals of helpers, moves, late starts."""

import asyncio

from rhubarblock.core import failure as failures
from rhubarblock.core import route as routes
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import relay_test as shared
from rhubarblock.platform import names
from rhubarblock.routing.placement import jobtracker


def refuse_for_helper(blamed):
    """Returns a script that blames a helper; `blamed` gets its address."""

    async def refuse(head, writer):
        helper = next(x for x in head.split("\r\n") if names.HELPERS in x)
        blamed.append(helper.split(": ")[1].split(",")[0])
        await fakes.whole(
            b"",
            "503 Service Unavailable",
            f"{names.NOT_EXECUTED}: 1\r\n{names.AT_SERVER}: {blamed[-1]}\r\n",
        )(head, writer)

    return refuse


def test_helper_that_caused_a_refusal_is_avoided():
    async def main():
        endpoints = [
            fakes.ScriptedEndpoint(refuse_for_helper([]), fakes.events(1))
            for _ in range(4)
        ]
        async with fakes.open_parts(*endpoints, service="pool") as parts:
            exchange = fakes.make_exchange(
                shared.STREAM,
                fakes.ENGINES,
                prompt_tokens=60_000,
                answer_tokens=800,
            )
            exchange.deadline_s += 5.0
            try:
                await parts.relay.serve(exchange, fakes.MemorySink())
            except failures.FailureError:
                pass
            return [n for n in range(1, 5) if parts.health.is_tripped(f"e{n}")]

    assert asyncio.run(main())


def test_engine_that_refused_is_not_asked_again_while_another_can_serve():
    # An engine that queues a prompt for seconds and then refuses it because of
    # a helper would refuse it again.
    asked = []

    def make_engine():
        async def refuse(head, writer):
            target = next(x for x in head.split("\r\n") if names.TARGET in x)
            asked.append(target)
            lines = [x for x in head.split("\r\n") if names.HELPERS in x]
            extra = f"{names.NOT_EXECUTED}: 1\r\n"
            if lines:
                helper = lines[0].split(": ")[1].split(",")[0].split("/")[0]
                extra += f"{names.AT_SERVER}: {helper}\r\n"
            await fakes.whole(b"", "503 Service Unavailable", extra)(
                head, writer
            )

        return fakes.ScriptedEndpoint(*[refuse] * 9)

    async def main():
        endpoints = [make_engine() for _ in range(6)]
        async with fakes.open_parts(*endpoints, service="pool") as parts:
            exchange = fakes.make_exchange(
                shared.STREAM,
                fakes.ENGINES,
                prompt_tokens=60_000,
                answer_tokens=800,
            )
            flow = flows.Flow(exchange, fakes.MemorySink())
            for _ in range(3):
                await parts.relay._try_once(flow)

    asyncio.run(main())
    assert len(asked) == len(set(asked)) == 3


def test_late_copy_of_a_refusal_does_not_end_a_stream_that_runs():
    refuse = refuse_for_helper([])
    refused = {}
    runs = []

    async def refuse_split(head, writer):
        if names.HELPERS in head:
            refused[writer] = head
            await refuse(head, writer)
            return
        runs.append(head)
        if writer in refused:
            await refuse(refused[writer], writer)
            await writer.drain()
        await asyncio.sleep(shared.LateCopies.AHEAD_S)
        await fakes.events(1)(head, writer)

    async def main():
        endpoints = [
            fakes.ScriptedEndpoint(*[refuse_split] * 2) for _ in range(2)
        ]
        async with fakes.open_parts(*endpoints, service="pool") as parts:
            exchange = fakes.make_exchange(
                fakes.make_route(routes.RouteKind.STREAMING, resumable=False),
                fakes.ENGINES,
                prompt_tokens=60_000,
                answer_tokens=800,
            )
            sink = fakes.MemorySink()
            await parts.relay.serve(exchange, sink)
            return sink

    assert asyncio.run(main()).finished
    assert len(refused) == len(runs) == 1


def test_engine_that_refused_is_asked_again_if_no_other_one_can_serve():
    async def main():
        endpoints = [
            fakes.ScriptedEndpoint(*[fakes.events(1)] * 2) for _ in range(2)
        ]
        async with fakes.open_parts(*endpoints, service="pool") as parts:
            exchange = fakes.make_exchange(
                shared.STREAM,
                fakes.ENGINES,
                prompt_tokens=2_000,
                answer_tokens=100,
            )
            flow = flows.Flow(exchange, fakes.MemorySink())
            flow.history.failed_endpoints.add("e2")
            flow.refused_by.add("e1")
            error = await parts.relay._try_once(flow)
            return error, [len(e.heads) for e in endpoints]

    assert asyncio.run(main()) == (None, [1, 0])


def make_long_prefill(number, prefill_s):
    part = jobtracker.Part(f"e{number}", prefill_s)
    return jobtracker.Job(f"long{number}", (part,), 0.8)


def run_beside_long_prefill(*other_prefills_s):
    """Streams from the first engine while a long prefill is placed there.

    Args:
      *other_prefills_s: seconds of prefill placed at each further engine.

    Returns:
      The sink, and the number of requests at each engine.
    """

    async def slow_events(head, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{fakes.ATTEMPT}: q1\r\n{fakes.SEAL}: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = 3 if "Last-Event-Id" in head else 1
        for number in range(first, 5):
            fakes.write_chunk(writer, b"id: %d\ndata: x\n\n" % number)
            await writer.drain()
            if number == 2:
                await asyncio.sleep(0.3)
        writer.write(b"0\r\n\r\n")

    async def main():
        engines = [
            fakes.ScriptedEndpoint(slow_events)
            for _ in range(1 + len(other_prefills_s))
        ]
        async with fakes.open_parts(*engines, service="pool") as parts:
            now_s = asyncio.get_running_loop().time()
            for number, prefill_s in enumerate(other_prefills_s, 2):
                if not prefill_s:
                    continue
                parts.job_tracker.add(
                    make_long_prefill(number, prefill_s), now_s
                )
            sink = fakes.MemorySink()
            exchange = fakes.make_exchange(
                shared.STREAM,
                fakes.ENGINES,
                prompt_tokens=2_000,
                answer_tokens=100,
            )
            serving = asyncio.ensure_future(parts.relay.serve(exchange, sink))
            while b"id: 2" not in sink.body:
                await asyncio.sleep(0.005)
            parts.job_tracker.add(make_long_prefill(1, 2.0), now_s)
            await serving
            return sink, [len(engine.heads) for engine in engines]

    return asyncio.run(main())


def test_short_stream_moves_away_from_a_long_prefill():
    sink, arrivals = run_beside_long_prefill(0.0)
    assert arrivals == [1, 1]
    assert sink.body == b"".join(
        b"id: %d\ndata: x\n\n" % number for number in (1, 2, 3, 4)
    )


def test_short_stream_stays_if_no_other_engine_starts_sooner():
    sink, arrivals = run_beside_long_prefill(1.9)
    assert arrivals == [1, 0]
    assert sink.finished


def test_short_stream_stays_if_there_is_no_other_engine():
    sink, arrivals = run_beside_long_prefill()
    assert arrivals == [1]
    assert sink.finished


def run_giant_prompt(busy_s):
    """Sends a giant prompt to engines that each prefill another prompt.

    Returns:
      How often a start was delayed, and whether the answer is complete.
    """

    async def main():
        engines = [fakes.ScriptedEndpoint(fakes.events(1)) for _ in range(6)]
        async with fakes.open_parts(*engines, service="pool") as parts:
            now_s = asyncio.get_running_loop().time()
            for number in range(1, 7):
                part = jobtracker.Part(f"e{number}", busy_s)
                job = jobtracker.Job(f"r{number}", (part,), 0.8, 210_000, 1.6)
                parts.job_tracker.add(job, now_s)
            route = fakes.make_route(
                routes.RouteKind.STREAMING, objective_s=3.0, pause_s=0.8
            )
            exchange = fakes.make_exchange(
                route, fakes.ENGINES, prompt_tokens=420_000, answer_tokens=100
            )
            exchange.deadline_s += 8.0
            sink = fakes.MemorySink()
            await parts.relay.serve(exchange, sink)
            waited = parts.metrics.snapshot().get("exchange.waited", 0)
            return waited, sink.finished

    return asyncio.run(main())


def test_giant_prompt_waits_for_running_prefills():
    assert run_giant_prompt(0.9) == (1, True)


def test_giant_prompt_starts_at_once_on_idle_engines():
    assert run_giant_prompt(0.0) == (0, True)


def test_refused_split_avoids_the_helper_and_not_the_asked_engine():
    blamed = []

    async def main():
        endpoints = [
            fakes.ScriptedEndpoint(refuse_for_helper(blamed), fakes.events(1))
            for _ in range(4)
        ]
        async with fakes.open_parts(*endpoints, service="pool") as parts:
            exchange = fakes.make_exchange(
                shared.STREAM,
                fakes.ENGINES,
                prompt_tokens=60_000,
                answer_tokens=800,
            )
            flow = flows.Flow(exchange, fakes.MemorySink())
            error = await parts.relay._try_once(flow)
            listed = parts.directory.list_usable("pool")
            addresses = {e.endpoint_id: e.address for e in listed}
            return error, [
                addresses[name] for name in flow.history.failed_endpoints
            ]

    error, avoided = asyncio.run(main())
    assert error is not None
    assert avoided == blamed[:1]


# So low that no further permit is granted within a test.
