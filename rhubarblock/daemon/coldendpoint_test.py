"""A complete instance with an endpoint that its entry says to be cold."""

import asyncio
import dataclasses

import pytest

from rhubarblock.daemon import endpointlimit_test
from rhubarblock.daemon import exchangeinstance_test as instancefixtures
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import fakeparts_test as fakes

CALLS = 30
COLD = dataclasses.replace(fakes.SERVICE, cold_start_s=60.0, cold_per_s=2.0)
# Most requests in any second.
BOUND = 2.0 * 1.5 + 5.0


class ColdDialect(instancefixtures.FakeDialect):
    def change_table(self, before, document, difference):
        table = super().change_table(before, document, difference)
        return dataclasses.replace(table, services={"desk": COLD})


async def call_all(bounds, fields):
    """Sends calls at once; returns the endpoint and the statuses."""
    endpoint = endpointlimit_test.CountingEndpoint()
    settings = instancefixtures.make_settings(bounds=bounds)
    async with endpoint.open():
        store = instancefixtures.FakeStore(endpoint)
        store.objects["servers/e1"].update(fields)
        async with instancefixtures.run_instance(
            settings, ColdDialect(), store
        ) as (_, session, _, _):

            async def call():
                headers = instancefixtures.HEADERS
                url = f"http://{settings.callers}/a/x"
                async with session.get(url, headers=headers) as answer:
                    return answer.status

            statuses = await asyncio.gather(*(call() for _ in range(CALLS)))
    return endpoint, statuses


def count_worst(arrived_s):
    return max(
        sum(first <= at_s < first + 1.0 for at_s in arrived_s)
        for first in arrived_s
    )


@pytest.fixture(autouse=True)
def stop_quickly(monkeypatch):
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.1)


@pytest.mark.parametrize("fields", [{"coldRemainingMs": 60_000}, {}])
def test_cold_endpoint_gets_no_more_than_its_bound(fields):
    """Without the field the endpoint may be cold unnoticed."""
    bounds = dataclasses.replace(fakes.BOUNDS, cold_excess=1.5, cold_slack=5.0)
    endpoint, statuses = asyncio.run(call_all(bounds, fields))
    assert 1 <= count_worst(endpoint.arrived_s) <= BOUND
    # The others are refused as not run, with a time to return.
    assert set(statuses) == {200, 503}


@pytest.mark.parametrize("cold_excess", [None, 1.5])
def test_nothing_is_limited_without_both_bounds(cold_excess):
    bounds = dataclasses.replace(fakes.BOUNDS, cold_excess=cold_excess)
    endpoint, statuses = asyncio.run(
        call_all(bounds, {"coldRemainingMs": 60_000})
    )
    assert statuses == [200] * CALLS
    assert count_worst(endpoint.arrived_s) == CALLS
