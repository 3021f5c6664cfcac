"""Keeps an instance's view of the endpoints and of their load up to date."""

import asyncio
from collections.abc import Callable
import zlib

from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import engineclient
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.placement import loadtable
from rhubarblock.store import instances
from rhubarblock.store import store as stores

LIST_INTERVAL_S = 1.0
LOAD_INTERVAL_S = 0.25
CACHE_INTERVAL_S = 1.0
# Memory of an engine in tokens until it reports its own.
DEFAULT_KV_TOKENS = 400_000
# An engine that gives no report within this time counts as failed.
REPORT_TIMEOUT_S = 2.0


class EndpointWatch:
    """Reads the platform's list and the engines' reports.

    Attributes:
      states: state of each endpoint.
    """

    __slots__ = (
        "_client",
        "_coordinates",
        "_source",
        "_table",
        "_timers",
        "states",
    )

    def __init__(
        self,
        source: instances.InstanceSource,
        client: engineclient.EngineClient,
        table: loadtable.LoadTable,
        states: endpointtables.EndpointTable,
        timers: timer_service.Timers,
        coordinates: Callable[[str], bool],
    ):
        """Creates a watch.

        Args:
          source: the platform's list.
          client: way to the engines.
          table: takes the load of the usable engines.
          states: takes the states of all endpoints.
          timers: timer service.
          coordinates: says whether this instance places for a service.
        """
        self._source = source
        self._client = client
        self._table = table
        self._timers = timers
        self._coordinates = coordinates
        self.states = states
        states.subscribe(self._take_state)

    async def refresh_list(self) -> None:
        """Reads the list; keeps the last one while the platform is down."""
        try:
            listed = await self._source.fetch_instances()
        except stores.StoreError:
            return
        self.states.update_from_list(listed)
        self.update_table()

    async def refresh_loads(self) -> None:
        """Asks every engine for its load report, and waits for the answers.

        A tick of the timer service: an engine that answers late holds up the
        tick and not the requests.
        """
        views = self.states.list_views()
        await asyncio.gather(
            *(
                self._refresh_load(view.endpoint)
                for view in views
                if view.endpoint.kind is endpoints.EndpointKind.ENGINE
                and view.state is not endpoints.EndpointState.GONE
            )
        )
        self.update_table()

    async def refresh_caches(self) -> None:
        """Reads the cache events of the engines that are placed from here."""
        usable = [load.endpoint for load in self._table.list_usable()]
        services = {endpoint.service for endpoint in usable}
        placed = {name for name in services if self._coordinates(name)}
        await asyncio.gather(
            *(
                self._refresh_cache(endpoint)
                for endpoint in usable
                if endpoint.service in placed
            )
        )

    def report(
        self, endpoint_id: str, failure: failures.Failure | None
    ) -> None:
        """Takes in the end of an attempt at an endpoint."""
        if failure is None:
            self.states.record_success(endpoint_id)
            return
        self.states.record_failure(endpoint_id, failure)
        self.update_table()

    def update_table(self) -> None:
        """Offers the usable engines to the placement."""
        services = {
            view.endpoint.service
            for view in self.states.list_views()
            if view.endpoint.kind is endpoints.EndpointKind.ENGINE
        }
        usable = [
            view.endpoint
            for service in sorted(services)
            for view in self.states.usable(service)
        ]
        usable.sort(key=lambda endpoint: endpoint.endpoint_id)
        self._table.set_endpoints(usable, DEFAULT_KV_TOKENS)

    def choose_service_address(
        self, call: requests.ServiceCall, failed: frozenset[str]
    ) -> str | None:
        """Returns an endpoint for a call to a plain service."""
        usable = [
            view.endpoint.address
            for view in self.states.usable(call.service)
            if view.endpoint.address not in failed
        ]
        if not usable:
            return None
        return usable[zlib.crc32(call.request_id.encode()) % len(usable)]

    async def _refresh_load(self, endpoint: endpoints.Endpoint) -> None:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await self._client.fetch_load(endpoint.address)
        except TimeoutError:
            self.states.record_failure(
                endpoint.endpoint_id,
                failures.Failure(
                    failures.FailureCode.ENDPOINT_FAILED, "no load report"
                ),
            )
        except failures.FailureError as error:
            self.states.record_failure(endpoint.endpoint_id, error.failure)
        else:
            self.states.record_load(report)
            self._table.take_report(report, self._timers.read_monotonic())

    async def _refresh_cache(self, endpoint: endpoints.Endpoint) -> None:
        prefixes = self._table.prefixes
        name = endpoint.endpoint_id
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                events = await self._client.fetch_cache_events(
                    endpoint.address, prefixes.read_sequence(name)
                )
        except (TimeoutError, failures.FailureError):
            # The load report tells of a broken engine; this is but a hint.
            return
        prefixes.take_events(name, events)

    def _take_state(
        self,
        endpoint_id: str,
        before: endpoints.EndpointState,
        after: endpoints.EndpointState,
    ) -> None:
        del endpoint_id, before, after
        self.update_table()
