"""Complete instances over sockets, with endpoints in three regions."""

import asyncio
import contextlib
import dataclasses

from rhubarblock.core import route as routes
from rhubarblock.daemon import endpointlimit_test as fleetfixtures
from rhubarblock.daemon import exchangeinstance_test as instancefixtures
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.platform import names

REGIONS = {"osu-hall": "accra", "oda-hall": "kumasi", "wa-hall": "tamale"}
REQUESTS = 12


class HomesDialect(instancefixtures.FakeDialect):
    """One route for each set of home regions, and two workspaces."""

    def change_table(self, before, document, difference):
        table = super().change_table(before, document, difference)
        homes = {
            "all": (),
            "accra": ("accra",),
            "north": ("kumasi", "tamale"),
            "elsewhere": ("lagos",),
        }
        kind = routes.RouteKind.NON_IDEMPOTENT
        return dataclasses.replace(
            table,
            routes=routes.RouteIndex(
                fakes.make_route(
                    kind,
                    name=name,
                    path_prefix=f"/{name}/",
                    home_regions=frozenset(regions),
                )
                for name, regions in homes.items()
            ),
            keys={
                "secret": routes.Workspace("members", None),
                "tamale": routes.Workspace("t", None, frozenset({"tamale"})),
            },
        )


@contextlib.asynccontextmanager
async def open_instance(endpoints):
    """Runs an instance and yields a function that sends requests."""
    async with contextlib.AsyncExitStack() as stack:
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint.open())
        store = fleetfixtures.FleetStore(*endpoints)
        for number, data_centre in enumerate(REGIONS, 1):
            store.objects[f"servers/e{number}"]["zone"] = data_centre
        settings = dataclasses.replace(
            instancefixtures.make_settings(), regions=REGIONS
        )
        instance, session, _, _ = await stack.enter_async_context(
            instancefixtures.run_instance(settings, HomesDialect(), store)
        )

        async def ask(route, key="secret"):
            headers = {**instancefixtures.HEADERS, names.CREDENTIAL: key}
            url = f"http://{settings.callers}/{route}/x"
            async with session.post(url, headers=headers) as answer:
                await answer.read()
                return answer.status, "Retry-After" in answer.headers

        yield ask, instance


def test_requests_stay_in_their_home_regions(monkeypatch):
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.0)

    async def main():
        endpoints = [fleetfixtures.CountingEndpoint() for _ in REGIONS]
        seen = {}
        async with open_instance(endpoints) as (ask, instance):
            for route, key in (
                ("all", "secret"),
                ("accra", "secret"),
                ("north", "secret"),
                ("all", "tamale"),
                ("north", "tamale"),
                ("accra", "tamale"),
                ("elsewhere", "secret"),
            ):
                before = [len(e.arrived_s) for e in endpoints]
                answers = {await ask(route, key) for _ in range(REQUESTS)}
                used = [
                    len(e.arrived_s) > n
                    for e, n in zip(endpoints, before, strict=True)
                ]
                seen[route, key] = (used, answers)
            instance.directory.remove("e1")
            lost = await ask("accra")
            return seen, lost, instance.metrics.counts

    seen, lost, counts = asyncio.run(main())
    served, final = {(200, False)}, {(503, False)}
    everywhere, nowhere = seen["all", "secret"][0], [False] * 3
    # Without a bound, requests prefer endpoints nearby.
    assert seen["all", "secret"] == (everywhere, served)
    assert seen["accra", "secret"] == ([True, False, False], served)
    assert seen["north", "secret"][0][0] is False
    assert seen["north", "secret"][1] == served
    assert seen["all", "tamale"] == ([False, False, True], served)
    assert seen["north", "tamale"] == ([False, False, True], served)
    assert seen["accra", "tamale"] == (nowhere, final)
    assert seen["elsewhere", "secret"] == (nowhere, final)
    assert lost == (503, True)
    assert counts["exchange.homes_unserved"] == 2 * REQUESTS + 1
