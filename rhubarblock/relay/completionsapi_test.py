"""Tests of the completions API over sockets."""

import asyncio
import contextlib
import json
import re

from aiohttp import web
import openai
import pytest
from returns import result

from rhubarblock.core import attempt as attempts
from rhubarblock.daemon import callerserver
from rhubarblock.daemon import loopbackfleet_test as loopback
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import callcontext
from rhubarblock.relay import completion as completions
from rhubarblock.relay import completionsapi
from rhubarblock.relay import prompts
from rhubarblock.settings import kinds
from rhubarblock.standins.engine import tokens as enginetokens

_PROMPT = "Summarise this claim."
_BODY = {"model": "reader", "prompt": _PROMPT, "max_tokens": 30}


def expect_text() -> str:
    """Returns the answer of the stand-in engine to `_BODY`."""
    call = prompts.parse_call(json.dumps(_BODY).encode())
    return enginetokens.expected_text(prompts.digest_prompt(call), 0, 30)


def run_client(use):
    """Runs the OpenAI client library against a fleet."""

    async def main():
        async with (
            loopback.run_fleet() as fleet,
            openai.AsyncOpenAI(
                base_url=f"http://{fleet.address}/v1",
                api_key=loopback.SECRET,
                max_retries=0,
            ) as client,
        ):
            return await use(client)

    return asyncio.run(main())


def test_client_library_gets_a_whole_answer():
    async def use(client):
        return await client.completions.create(**_BODY)

    answer = run_client(use)
    assert answer.choices[0].text == expect_text()
    assert answer.choices[0].finish_reason == "length"
    assert answer.model == "reader"
    assert answer.usage.prompt_tokens == 6
    assert answer.usage.completion_tokens == 30
    assert answer.usage.total_tokens == 36
    assert answer.usage.prompt_tokens_details.cached_tokens == 0


def test_client_library_gets_a_stream_with_usage():
    async def use(client):
        stream = await client.completions.create(
            **_BODY, stream=True, stream_options={"include_usage": True}
        )
        return [event async for event in stream]

    *chunks, last = run_client(use)
    text = "".join(chunk.choices[0].text for chunk in chunks)
    assert text == expect_text()
    reasons = [chunk.choices[0].finish_reason for chunk in chunks]
    assert reasons == [None] * (len(chunks) - 1) + ["length"]
    assert last.choices == []
    assert last.usage.total_tokens == 36


def test_client_library_maps_refusals_to_its_errors():
    async def use(client):
        models = [model.id async for model in client.models.list()]
        with pytest.raises(openai.NotFoundError) as unknown:
            await client.completions.create(model="writer", prompt="x")
        with pytest.raises(openai.AuthenticationError):
            await client.with_options(api_key="guessed").models.list()
        with pytest.raises(openai.InternalServerError) as late:
            await client.completions.create(
                **_BODY, extra_headers={"X-Timeout-S": "0.001"}
            )
        return models, unknown.value, late.value

    models, unknown, late = run_client(use)
    assert models == ["reader"]
    assert unknown.code == "unknown_model"
    assert unknown.body["verdict"] == "NOT_RUN"
    assert late.code == "deadline_unreachable"
    assert late.response.headers["Retry-After"] == "1"


def test_curl_gets_a_stream():
    async def main() -> loopback.RawAnswer:
        async with loopback.run_fleet() as fleet:
            body = json.dumps(_BODY | {"max_tokens": 1, "stream": True})
            return await loopback.exchange(
                fleet.address, loopback.make_request(body.encode())
            )

    answer = asyncio.run(main())
    name = answer.headers["x-request-id"]
    text = re.sub(r'"created":\d+', '"created":0', answer.body.decode())
    event = (
        'data: {"id":"NAME","object":"text_completion","created":0,'
        '"model":"reader","choices":[{"index":0,"text":"%s",'
        '"logprobs":null,"finish_reason":%s}]}\n\n'
    )
    digest = prompts.digest_prompt(
        prompts.parse_call(json.dumps(_BODY | {"max_tokens": 1}).encode())
    )
    assert text.replace(name, "NAME") == (
        event % (enginetokens.expected_text(digest, 0, 1), "null")
        + event % ("", '"length"')
        + "data: [DONE]\n\n"
    )
    assert answer.status == 200
    assert answer.headers["content-type"] == "text/event-stream"


class CountingRelay:
    """Writes answers as fast as their callers read them."""

    def __init__(self, chunks: int):
        self._chunks = chunks
        self.taken = 0

    async def complete(self, request, sink):
        chunks = self._chunks if request.max_tokens > 1 else 1
        for index in range(chunks):
            await sink.write(attempts.Chunk("", index, 1, "x" * 1_000))
            self.taken += 1
        return result.Success(
            completions.Completion(1, chunks, 0, "length", 1, 0.0)
        )


@contextlib.asynccontextmanager
async def serve_relay(relay):
    """Serves the API with a relay of the test."""
    context = callcontext.CallContext(
        loopback.make_catalogue, timer_service.LoopTimers(), lambda: "r", 60.0
    )
    api = completionsapi.CompletionsApi(relay, context)
    app = web.Application()
    api.add_routes(app)
    free = kinds.Address("127.0.0.1", 0)
    bounds = callerserver.ServerBounds(write_buffer_bytes=200_000)
    async with callerserver.run_server(app, free, bounds) as address:
        yield address


def test_slow_reader_has_bounded_buffers_and_delays_no_other_caller():
    chunks = 15_000
    relay = CountingRelay(chunks)

    async def main() -> tuple[int, bytes]:
        async with serve_relay(relay) as address:
            slow, writer = await loopback.connect(address, limit=1_000)
            body = _BODY | {"stream": True}
            writer.write(loopback.make_request(json.dumps(body).encode()))
            before = -1
            while relay.taken != before:
                before = relay.taken
                await asyncio.sleep(0.05)
            short = json.dumps(body | {"max_tokens": 1}).encode()
            for _ in range(20):
                answer = await loopback.exchange(
                    address, loopback.make_request(short)
                )
                assert answer.body.endswith(b"data: [DONE]\n\n")
            held = relay.taken - 20
            return held, await slow.read(-1)

    held, received = asyncio.run(main())
    # The answer has 15 MB. The relay must be blocked once the socket buffers of
    # the kernel and the response buffer are full.
    assert 0 < held < 10_000
    assert received.count(b"x" * 1_000) == chunks
    assert received.endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n")
