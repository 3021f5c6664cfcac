"""Polls the endpoints of an entry instance for state, load and caches."""

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
# KV memory in tokens assumed for an engine until its first load report.
DEFAULT_KV_TOKENS = 400_000
# An engine whose report takes longer than this counts as failed.
REPORT_TIMEOUT_S = 2.0


class EndpointWatch:
    """Reads the platform's instance list and the engines' reports.

    Attributes:
      states: table of the state of each endpoint.
    """

    __slots__ = (
        "_client",
        "_is_coordinator",
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
        is_coordinator: Callable[[str], bool],
    ):
        """Creates a watch.

        Args:
          source: the platform's instance list.
          client: client of the engines.
          table: load table that placement uses; gets the usable engines.
          states: table that gets the state of every endpoint.
          timers: timer service.
          is_coordinator: returns whether this instance is the placement
            coordinator of a service.
        """
        self._source = source
        self._client = client
        self._table = table
        self._timers = timers
        self._is_coordinator = is_coordinator
        self.states = states
        states.subscribe(self._on_state_change)

    async def refresh_list(self) -> None:
        """Reads the list; keeps the previous one while the platform is down."""
        try:
            listed = await self._source.fetch_instances()
        except stores.StoreError:
            return
        self.states.update_from_list(listed)
        self.update_table()

    async def refresh_loads(self) -> None:
        """Fetches the load reports of all engines that are not gone.

        Runs as a callback of the timer service, so a slow engine delays the
        next poll but no request.
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
        """Fetches the cache events of the engines coordinated here."""
        usable = [load.endpoint for load in self._table.list_usable()]
        services = {endpoint.service for endpoint in usable}
        coordinated = {name for name in services if self._is_coordinator(name)}
        await asyncio.gather(
            *(
                self._refresh_cache(endpoint)
                for endpoint in usable
                if endpoint.service in coordinated
            )
        )

    def report(
        self, endpoint_id: str, failure: failures.Failure | None
    ) -> None:
        """Records the outcome of an attempt at an endpoint.

        Args:
          endpoint_id: the endpoint.
          failure: why the attempt failed; None for a success.
        """
        if failure is None:
            self.states.record_success(endpoint_id)
            return
        self.states.record_failure(endpoint_id, failure)
        self.update_table()

    def update_table(self) -> None:
        """Passes the usable engines on to the load table."""
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
        """Returns the address of an endpoint for a call to a plain service.

        Args:
          call: the call; its request id selects the endpoint.
          failed: addresses at which the call failed already.

        Returns:
          The address, or None when no usable endpoint is left.
        """
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
            # The load report detects a failed engine; cache events are only a
            # hint for placement.
            return
        prefixes.take_events(name, events)

    def _on_state_change(
        self,
        endpoint_id: str,
        before: endpoints.EndpointState,
        after: endpoints.EndpointState,
    ) -> None:
        del endpoint_id, before, after
        self.update_table()
