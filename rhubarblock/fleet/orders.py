"""Runs the pool controllers that are assigned to this instance.

The coordinator of a pool, chosen by rendezvous hashing, contends for the pool's
lease. The lease and its fencing number decide who may give orders, so it is
harmless if two instances count as coordinator for a short time.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import random

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.fleet import assignment
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import engineclient
from rhubarblock.fleet import engineupdate
from rhubarblock.fleet import lease as leases
from rhubarblock.fleet import poolcontroller
from rhubarblock.fleet import poolrecord
from rhubarblock.fleet.membership import membership as memberships
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores


@dataclasses.dataclass(slots=True, frozen=True)
class OrderSettings:
    """Settings of the orders to engines.

    Attributes:
      assignment_interval_s: seconds between two checks of which pools are
        assigned to this instance.
      concurrent_loads: engines of the whole fleet that may read the weight
        store at a time. Each pool of each data centre gets an equal share, at
        least one, so that the budget needs no coordination.
      lease: settings of the leases.
      controller: settings of the pool controllers.
      engine_update: timeouts of updates of one engine.
    """

    assignment_interval_s: float = 1.0
    concurrent_loads: int = 8
    lease: leases.LeaseSettings = dataclasses.field(
        default_factory=leases.LeaseSettings
    )
    controller: poolcontroller.PoolControllerSettings = dataclasses.field(
        default_factory=poolcontroller.PoolControllerSettings
    )
    engine_update: engineupdate.EngineUpdateSettings = dataclasses.field(
        default_factory=engineupdate.EngineUpdateSettings
    )


@dataclasses.dataclass(slots=True, frozen=True)
class _RunningController:
    """A pool controller and the task that runs it."""

    controller: poolcontroller.PoolController
    task: asyncio.Task[None]


class OrderService:
    """Runs controllers for the pools of this data centre assigned here."""

    def __init__(
        self,
        membership: memberships.Membership,
        store: stores.ObjectStore,
        client: engineclient.EngineClient,
        table: endpointtables.EndpointTable,
        read_catalogue: Callable[[], catalogues.Catalogue],
        timers: timers_lib.Timers,
        rng: random.Random,
        settings: OrderSettings | None = None,
    ):
        """Creates the service; it gives no orders until it runs.

        Args:
          membership: the instances that share the pools.
          store: the platform's object API.
          client: carries calls to engines.
          table: the endpoints and their load reports.
          read_catalogue: returns the catalogue in force.
          timers: the timer service.
          rng: generates ids.
          settings: settings; None uses the defaults.
        """
        self._membership = membership
        self._store = store
        self._client = client
        self._table = table
        self._read_catalogue = read_catalogue
        self._timers = timers
        self._rng = rng
        self._settings = settings or OrderSettings()
        self._controllers: dict[str, _RunningController] = {}
        self.counters = poolcontroller.PoolControllerCounters()
        table.subscribe(self._record_state)

    def list_pools(self) -> list[str]:
        """Returns the services whose pools are assigned to this instance."""
        return sorted(self._controllers)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["OrderService"]:
        """Runs the assigned controllers while the context is open.

        Yields:
          This service.
        """
        interval_s = self._settings.assignment_interval_s
        try:
            with self._timers.subscribe(interval_s, self._update_controllers):
                yield self
        finally:
            for service in list(self._controllers):
                await self._stop_controller(service)

    async def _update_controllers(self) -> None:
        catalogue = self._read_catalogue()
        assigned = {
            service.name
            for service in catalogue.services.values()
            if service.kind is endpoints.EndpointKind.ENGINE
            and self._is_coordinator(service.name)
        }
        for service in assigned - self._controllers.keys():
            self._start_controller(service)
        for service in self._controllers.keys() - assigned:
            await self._stop_controller(service)
        for service, running in list(self._controllers.items()):
            if running.task.done():
                # Re-raises the error that ended the controller. The timer
                # service logs it, and the next check starts a new controller.
                del self._controllers[service]
                running.task.result()

    def _is_coordinator(self, service: str) -> bool:
        own = self._membership.own
        chosen = assignment.choose_coordinator(
            f"orders/{own.data_centre}/{service}",
            self._membership.list_live_instances(own.data_centre),
        )
        return chosen is not None and chosen.instance_id == own.instance_id

    def _start_controller(self, service: str) -> None:
        own = self._membership.own
        owner = f"{own.instance_id}/{own.incarnation}"
        lease = leases.Lease(
            self._store,
            self._timers,
            self._rng,
            f"orders/{own.data_centre}/{service}",
            owner,
            self._settings.lease,
        )
        controller = poolcontroller.PoolController(
            poolcontroller.Pool(
                own.data_centre,
                service,
                self._read_catalogue,
                self._table.list_views,
                self._table.is_drained,
                self._count_loads,
            ),
            lease,
            poolrecord.PoolRecordClient(self._store, own.data_centre, service),
            engineupdate.EngineUpdater(
                self._client,
                lease,
                self._timers,
                self._rng,
                owner,
                self._settings.engine_update,
            ),
            self._timers,
            self._settings.controller,
            self.counters,
        )
        task = asyncio.ensure_future(controller.run())
        self._controllers[service] = _RunningController(controller, task)

    async def _stop_controller(self, service: str) -> None:
        running = self._controllers.pop(service)
        running.task.cancel()
        await asyncio.wait([running.task])

    def _count_loads(self) -> int:
        catalogue = self._read_catalogue()
        pools = sum(
            service.kind is endpoints.EndpointKind.ENGINE
            for service in catalogue.services.values()
        )
        parts = max(1, len(catalogue.places)) * max(1, pools)
        return max(1, self._settings.concurrent_loads // parts)

    def _record_state(
        self,
        endpoint_id: str,
        before: endpoints.EndpointState,
        after: endpoints.EndpointState,
    ) -> None:
        for running in self._controllers.values():
            running.controller.record_state(endpoint_id, after)
