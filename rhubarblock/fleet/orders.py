"""Which pools this instance gives orders to.

The coordinator of a pool, by rendezvous hashing, pursues its lease; the lease
and its fencing number decide, so two coordinators for a while are harmless.
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
from rhubarblock.fleet import enginework
from rhubarblock.fleet import lease as leases
from rhubarblock.fleet import poolkeeper
from rhubarblock.fleet import poolrecord
from rhubarblock.fleet.membership import membership as memberships
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores


@dataclasses.dataclass(slots=True, frozen=True)
class OrderSettings:
    """Numbers of the orders to engines.

    Attributes:
      duty_interval_s: seconds between two looks at which pools are due here.
      concurrent_loads: engines of the whole fleet that may read the weight
        store at a time; each pool of each data centre gets an equal part, at
        least one, so that the budget needs no talk between them.
      lease: times of the leases.
      keeper: times and numbers of the keepers.
      work: times of the work at one engine.
    """

    duty_interval_s: float = 1.0
    concurrent_loads: int = 8
    lease: leases.LeaseSettings = dataclasses.field(
        default_factory=leases.LeaseSettings
    )
    keeper: poolkeeper.KeeperSettings = dataclasses.field(
        default_factory=poolkeeper.KeeperSettings
    )
    work: enginework.WorkSettings = dataclasses.field(
        default_factory=enginework.WorkSettings
    )


@dataclasses.dataclass(slots=True, frozen=True)
class _Duty:
    """A pool that is kept here."""

    keeper: poolkeeper.PoolKeeper
    task: asyncio.Task[None]


class OrderService:
    """Keeps the pools of this data centre that fall to this instance."""

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
          client: calls to engines.
          table: the endpoints and what they report.
          read_catalogue: returns the catalogue in force.
          timers: the timer service.
          rng: makes ids.
          settings: numbers.
        """
        self._membership = membership
        self._store = store
        self._client = client
        self._table = table
        self._read_catalogue = read_catalogue
        self._timers = timers
        self._rng = rng
        self._settings = settings or OrderSettings()
        self._duties: dict[str, _Duty] = {}
        self.counters = poolkeeper.KeeperCounters()
        table.subscribe(self._record_state)

    def list_pools(self) -> list[str]:
        """Returns the services whose engines this instance tries to order."""
        return sorted(self._duties)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["OrderService"]:
        """Keeps what falls to this instance while the context is open.

        Yields:
          This service.
        """
        interval_s = self._settings.duty_interval_s
        try:
            with self._timers.subscribe(interval_s, self._follow_duties):
                yield self
        finally:
            for service in list(self._duties):
                await self._end(service)

    async def _follow_duties(self) -> None:
        catalogue = self._read_catalogue()
        due = {
            service.name
            for service in catalogue.services.values()
            if service.kind is endpoints.EndpointKind.ENGINE
            and self._is_due(service.name)
        }
        for service in due - self._duties.keys():
            self._begin(service)
        for service in self._duties.keys() - due:
            await self._end(service)
        for service, duty in list(self._duties.items()):
            if duty.task.done():
                # What it raised is raised here, and ends the service.
                del self._duties[service]
                duty.task.result()

    def _is_due(self, service: str) -> bool:
        own = self._membership.own
        chosen = assignment.choose_coordinator(
            f"orders/{own.data_centre}/{service}",
            self._membership.live_instances(own.data_centre),
        )
        return chosen is not None and chosen.instance_id == own.instance_id

    def _begin(self, service: str) -> None:
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
        keeper = poolkeeper.PoolKeeper(
            poolkeeper.Pool(
                own.data_centre,
                service,
                self._read_catalogue,
                self._table.list_views,
                self._table.is_drained,
                self._count_loads,
            ),
            lease,
            poolrecord.RecordKeeper(self._store, own.data_centre, service),
            enginework.EngineWorker(
                self._client,
                lease,
                self._timers,
                self._rng,
                owner,
                self._settings.work,
            ),
            self._timers,
            self._settings.keeper,
            self.counters,
        )
        task = asyncio.ensure_future(keeper.run())
        self._duties[service] = _Duty(keeper, task)

    async def _end(self, service: str) -> None:
        duty = self._duties.pop(service)
        duty.task.cancel()
        await asyncio.wait([duty.task])

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
        for duty in self._duties.values():
            duty.keeper.record_state(endpoint_id, after)
