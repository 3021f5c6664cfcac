"""Whole instances before endpoints that ask for rest or say that they leave."""

import asyncio
import contextlib

import pytest

from rhubarblock.daemon import endpointlimit_test as fleets
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.platform import names

# Requests that are sent after the endpoint said something.
LATER = 20


class TellingEndpoint(fleets.CountingEndpoint):
    """Turns all away, or says in each answer that it leaves."""

    def __init__(self, status, field):
        super().__init__(field)
        self._status = status

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.arrived_s.append(asyncio.get_running_loop().time())
                script = fakes.whole(status=self._status, extra=self.field)
                await script(head, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@pytest.fixture(autouse=True)
def stop_at_once(monkeypatch):
    monkeypatch.setattr(plannedstop, "LEAVE_S", 0.0)


@contextlib.asynccontextmanager
async def open_instance(telling):
    """Opens one instance; gives what sends a request and checks its answer."""
    async with fleets.open_fleet(
        telling, fleets.CountingEndpoint(), count=1
    ) as (session, (url,)):

        async def ask():
            assert await fleets.ask(session, url) == 200

        # The first request that reaches the endpoint hears its statement.
        while not telling.arrived_s:
            await ask()
        yield ask


@pytest.mark.parametrize("status", ["503 Full", "429 Too Many Requests"])
def test_endpoint_that_asked_for_rest_gets_none_of_the_next_requests(status):
    async def main():
        resting = TellingEndpoint(
            status, f"{names.NOT_EXECUTED}: 1\r\n{names.RETRY_AFTER}: 600\r\n"
        )
        async with open_instance(resting) as ask:
            for _ in range(LATER):
                await ask()
            return len(resting.arrived_s)

    assert asyncio.run(main()) == 1


def test_endpoint_that_said_that_it_leaves_gets_none_of_the_next_requests():
    async def main():
        leaving = TellingEndpoint("200 OK", f"{names.LEAVING}: 1\r\n")
        async with open_instance(leaving) as ask:
            for _ in range(LATER):
                await ask()
            return len(leaving.arrived_s)

    assert asyncio.run(main()) == 1
