import asyncio
import random

import pytest

from rhubarblock.exchange import connection as connections
from rhubarblock.exchange.tunnels import wire
from rhubarblock.httpclient import protocol as protocols


@pytest.mark.parametrize("seed", range(10))
def test_end_mark_is_taken_off_however_it_arrives(seed, monkeypatch):
    rng = random.Random(seed)
    received = []
    monkeypatch.setattr(
        protocols.AnswerProtocol,
        "data_received",
        lambda protocol, data: received.append(data),
    )
    mark = wire.make_end_mark(rng)
    # The answer contains starts of the mark itself.
    body = b"id: 1\n\n" + mark[:5] + rng.randbytes(50) + mark[:1]
    data = body + mark

    async def main():
        loop = asyncio.get_running_loop()
        protocol = connections.EndpointProtocol(loop, "X-Id")
        protocol.set_relayed(mark)
        at = 0
        while at < len(data):
            size = rng.randint(1, 12)
            protocol.data_received(data[at : at + size])
            at += size
        return protocol.was_closed

    assert asyncio.run(main())
    assert b"".join(received) == body


@pytest.mark.parametrize("mark", [b"", b"m" * wire.END_MARK_BYTES])
def test_resumption_without_data_reaches_aiohttp(mark, monkeypatch):
    received = []
    monkeypatch.setattr(
        protocols.AnswerProtocol,
        "data_received",
        lambda protocol, data: received.append(data),
    )

    async def main():
        loop = asyncio.get_running_loop()
        protocol = connections.EndpointProtocol(loop, "X-Id")
        protocol.set_relayed(mark)
        protocol.data_received(b"")

    asyncio.run(main())
    assert received == [b""]


def test_start_of_an_end_mark_belongs_to_an_answer_that_ends_there(
    monkeypatch,
):
    received = []
    monkeypatch.setattr(
        protocols.AnswerProtocol,
        "data_received",
        lambda protocol, data: received.append(data),
    )
    mark = wire.make_end_mark(random.Random(1))

    async def main():
        loop = asyncio.get_running_loop()
        protocol = connections.EndpointProtocol(loop, "X-Id")
        protocol.set_relayed(mark)
        protocol.data_received(b"body" + mark[:3])
        protocol.connection_lost(None)
        return protocol.was_closed

    assert not asyncio.run(main())
    assert b"".join(received) == b"body" + mark[:3]
