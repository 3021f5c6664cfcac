import asyncio
import contextlib

import aiohttp
from aiohttp import web
import pytest

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import httpengine

ATTEMPT = attempts.Attempt("r/1", "entry/1", "m", "", 7, (), "d", 3)
TOKEN = (
    b'data: {"attempt":"r/1","offset":0,"choices":[{"text":" 012345",'
    b'"finish_reason":null}]}\n\n'
)
ERROR = (
    b'data: {"error":{"code":"endpoint_failed","message":"bad model",'
    b'"verdict":"MAY_HAVE_RUN"}}\n\n'
)
DONE = b"data: [DONE]\n\n"


@contextlib.asynccontextmanager
async def serve(handler):
    """Runs a fake engine; yields a client and its address."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, shutdown_timeout=0.1)
    await site.start()
    host, port = runner.addresses[0]
    async with aiohttp.ClientSession() as session:
        yield httpengine.HttpEngineClient(session), f"{host}:{port}"
    await runner.cleanup()


def answer_in_pieces(*pieces, abort=False):
    async def handler(request):
        response = web.StreamResponse()
        await response.prepare(request)
        for piece in pieces:
            await response.write(piece)
            await asyncio.sleep(0.01)
        if abort:
            request.transport.abort()
        return response

    return handler


def read_raw(handler):
    """Returns the blocks, whether the answer was complete, and the failure."""

    async def main():
        blocks = []
        answer = None
        async with serve(handler) as (client, address):
            try:
                async with client.open_raw(address, ATTEMPT) as answer:
                    async for block in answer.read_events():
                        blocks.append(block)
            except failures.FailureError as error:
                return blocks, answer and answer.complete, error.failure
        return blocks, answer.complete, None

    return asyncio.run(main())


def test_raw_blocks_hold_whole_unchanged_events():
    handler = answer_in_pieces(
        TOKEN[:9], TOKEN[9:] + TOKEN + TOKEN[:-1], TOKEN[-1:] + DONE
    )
    blocks, complete, failure = read_raw(handler)

    assert b"".join(blocks) == 3 * TOKEN + DONE
    assert all(block.endswith(b"\n\n") for block in blocks)
    assert blocks[0] == 2 * TOKEN
    assert (complete, failure) == (True, None)


def test_raw_answer_without_end_mark_is_incomplete():
    assert read_raw(answer_in_pieces(TOKEN)) == ([TOKEN], False, None)


def test_error_event_is_raised_after_preceding_events():
    blocks, complete, failure = read_raw(answer_in_pieces(TOKEN + ERROR))

    assert (blocks, complete) == ([TOKEN], False)
    assert failure == failures.Failure(
        failures.FailureCode.ENDPOINT_FAILED,
        "bad model",
        verdicts.Verdict.MAY_HAVE_RUN,
    )


def test_broken_stream_raises_stream_cut():
    blocks, complete, failure = read_raw(answer_in_pieces(TOKEN, abort=True))

    assert (blocks, complete) == ([TOKEN], False)
    assert failure.code is failures.FailureCode.STREAM_CUT
    assert failure.verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_error_response_raises_the_failure_it_holds():
    async def handler(request):
        return web.Response(
            status=503,
            body=b'{"error":{"code":"draining","message":"no",'
            b'"verdict":"NOT_RUN"}}',
        )

    assert read_raw(handler) == (
        [],
        None,
        failures.Failure(failures.FailureCode.DRAINING, "no"),
    )


def test_connection_lost_after_the_body_means_may_have_run():
    async def handler(request):
        await request.read()
        request.transport.abort()
        return web.Response()

    _, _, failure = read_raw(handler)
    assert failure.code is failures.FailureCode.ENDPOINT_FAILED
    assert failure.verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_refused_connection_means_not_run():
    async def main():
        async with serve(answer_in_pieces()) as (client, address):
            pass
        async with aiohttp.ClientSession() as session:
            client = httpengine.HttpEngineClient(session)
            found = []
            for call in (
                anext(client.generate(address, ATTEMPT)),
                client.cancel(address, "r/1"),
                client.fetch_load(address),
            ):
                with pytest.raises(failures.FailureError) as caught:
                    await call
                found.append(caught.value.failure)
            return found

    for failure in asyncio.run(main()):
        assert failure.code is failures.FailureCode.ENDPOINT_FAILED
        assert failure.verdict is verdicts.Verdict.NOT_RUN


def test_closing_the_iterator_closes_the_connection():
    async def main():
        closed = asyncio.Event()

        async def handler(request):
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(TOKEN)
            try:
                await asyncio.sleep(60)
            finally:
                closed.set()

        async with serve(handler) as (client, address):
            chunks = client.generate(address, ATTEMPT)
            first = await anext(chunks)
            await chunks.aclose()
            async with asyncio.timeout(5):
                await closed.wait()
        return first

    assert asyncio.run(main()) == attempts.Chunk("r/1", 0, 1, " 012345")


@pytest.mark.parametrize("body", [b"{}", b"[]", b"nonsense"])
def test_malformed_response_raises_a_failure(body):
    async def handler(request):
        return web.Response(body=body)

    async def main():
        order = attempts.Order(1, 1, "both", ())
        async with serve(handler) as (client, address):
            for call in (
                client.cancel(address, "r/1"),
                client.fetch_load(address),
                client.fetch_cache_events(address, 0),
                client.give_order(address, order),
            ):
                with pytest.raises(failures.FailureError) as caught:
                    await call
                assert "against the protocol" in caught.value.failure.message

    asyncio.run(main())


def test_malformed_event_raises_stream_cut():
    async def main():
        handler = answer_in_pieces(b"data: nonsense\n\n")
        async with serve(handler) as (client, address):
            with pytest.raises(failures.FailureError) as caught:
                await anext(client.generate(address, ATTEMPT))
        return caught.value.failure.code

    assert asyncio.run(main()) is failures.FailureCode.STREAM_CUT


FULL_TOKEN = (
    b'data: {"id":"r","attempt":"r/1","offset":%d,"object":"text_completion",'
    b'"created":1800000000,"model":"m","choices":[{"index":0,"text":" %06d",'
    b'"logprobs":null,"finish_reason":null}]}\n\n'
)
RELAYED = httpengine.StreamSettings(pass_through=True, batch_s=0.02)


def generate(handler, streaming):
    """Returns the chunks of an answer and the failure that ended it."""

    async def main():
        chunks = []
        async with serve(handler) as (client, address):
            client.set_streaming(streaming)
            try:
                async for chunk in client.generate(address, ATTEMPT):
                    chunks.append(chunk)
            except failures.FailureError as error:
                return chunks, error.failure
        return chunks, None

    return asyncio.run(main())


def test_tokens_received_together_are_joined():
    tokens = [FULL_TOKEN % (number, number) for number in range(3)]
    handler = answer_in_pieces(b"".join(tokens) + DONE)
    assert generate(handler, RELAYED) == (
        [attempts.Chunk("r/1", 0, 3, " 000000 000001 000002")],
        None,
    )


def test_paused_connection_loses_no_tokens():
    tokens = [FULL_TOKEN % (number, number) for number in range(12)]
    chunks, failure = generate(answer_in_pieces(*tokens, DONE), RELAYED)
    text = "".join(f" {number:06d}" for number in range(12))
    assert failure is None
    assert "".join(chunk.text for chunk in chunks) == text


def test_broken_relayed_stream_yields_preceding_tokens():
    tokens = [FULL_TOKEN % (number, number) for number in range(2)]
    chunks, failure = generate(answer_in_pieces(*tokens, abort=True), RELAYED)
    assert "".join(chunk.text for chunk in chunks) == " 000000 000001"
    assert failure.code is failures.FailureCode.STREAM_CUT


def test_error_after_relayed_tokens_is_raised():
    handler = answer_in_pieces(FULL_TOKEN % (0, 0) + ERROR)
    chunks, failure = generate(handler, RELAYED)
    assert [chunk.index for chunk in chunks] == [0]
    assert failure.message == "bad model"
