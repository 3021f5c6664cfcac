"""Complete instances with endpoints that ask to back off or announce a stop."""

import asyncio
import contextlib

import pytest

from rhubarblock.daemon import endpointlimit_test as fleetfixtures
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.platform import names
from rhubarblock.routing.retrylending import ledger as ledgers

# Requests that are sent after the statement of the endpoint.
FOLLOWING_REQUESTS = 20


class StatementEndpoint(fleetfixtures.CountingEndpoint):
    """Answers each request with a fixed status and statement header."""

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
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.0)


@pytest.fixture(autouse=True)
def fill_retry_budgets(monkeypatch):
    """Lets the instance retry as one that started long ago."""
    make_ledger = ledgers.Ledger
    monkeypatch.setattr(
        ledgers,
        "Ledger",
        lambda ratio, window_s, start_s, is_first_start: make_ledger(
            ratio, window_s, start_s, is_first_start=True
        ),
    )


@contextlib.asynccontextmanager
async def open_instance(endpoint):
    """Runs one instance; yields a function that sends and checks a request."""
    async with fleetfixtures.open_fleet(
        endpoint, fleetfixtures.CountingEndpoint(), count=1
    ) as (session, (url,)):

        async def ask():
            assert await fleetfixtures.ask(session, url) == 200

        # The first request that reaches the endpoint returns its statement.
        while not endpoint.arrived_s:
            await ask()
        yield ask


@pytest.mark.parametrize("status", ["503 Full", "429 Too Many Requests"])
def test_endpoint_that_asked_to_back_off_gets_no_further_requests(status):
    async def main():
        overloaded = StatementEndpoint(
            status, f"{names.NOT_EXECUTED}: 1\r\n{names.RETRY_AFTER}: 600\r\n"
        )
        async with open_instance(overloaded) as ask:
            for _ in range(FOLLOWING_REQUESTS):
                await ask()
            return len(overloaded.arrived_s)

    assert asyncio.run(main()) == 1


def test_endpoint_that_announced_its_stop_gets_no_further_requests():
    async def main():
        stopping = StatementEndpoint("200 OK", f"{names.LEAVING}: 1\r\n")
        async with open_instance(stopping) as ask:
            for _ in range(FOLLOWING_REQUESTS):
                await ask()
            return len(stopping.arrived_s)

    assert asyncio.run(main()) == 1
