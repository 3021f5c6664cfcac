"""Keeps the engines of one pool at what the catalogue declares.

One instance per data centre and pool does it, by a lease. Orders state what
an engine should run, so repeating one is harmless. What engines report is
compared with it in every round: an engine that obeyed an older holder, that
started anew or that lost an order is put right.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
from typing import Any

from rhubarblock.core import attempt as attempts
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import enginework
from rhubarblock.fleet import lease as leases
from rhubarblock.fleet import orderbook
from rhubarblock.fleet import poolrecord
from rhubarblock.fleet import roleplan
from rhubarblock.fleet import versionplan
from rhubarblock.fleet import versiontrial
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores

_State = endpoints.EndpointState


@dataclasses.dataclass(slots=True, frozen=True)
class KeeperSettings:
    """Times and numbers of a keeper.

    Attributes:
      round_s: seconds between two looks at the pool.
      adapter_load_s: seconds that an engine is taken to load adapters, which
        its load reports do not show.
      book: times of the orders.
      trial: numbers of version changes.
    """

    round_s: float = 0.5
    adapter_load_s: float = 2.0
    book: orderbook.BookSettings = dataclasses.field(
        default_factory=orderbook.BookSettings
    )
    trial: versiontrial.TrialSettings = dataclasses.field(
        default_factory=versiontrial.TrialSettings
    )


@dataclasses.dataclass(slots=True)
class KeeperCounters(versiontrial.TrialCounters):
    """What keepers counted since their start."""

    orders: int = 0
    order_failures: int = 0
    corrections: int = 0
    leases_lost: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """What a keeper keeps.

    Attributes:
      data_centre: data centre of the engines.
      service: service of the catalogue.
      read_catalogue: returns the catalogue in force.
      list_views: returns every endpoint known.
      is_drained: says whether an operator drains an endpoint.
      count_loads: returns how many engines may load at a time.
    """

    data_centre: str
    service: str
    read_catalogue: Callable[[], catalogues.Catalogue]
    list_views: Callable[[], list[endpointtables.EndpointView]]
    is_drained: Callable[[str], bool]
    count_loads: Callable[[], int]


class PoolKeeper:
    """Gives orders to one pool while it holds the lease."""

    def __init__(
        self,
        pool: Pool,
        lease: leases.Lease,
        record: poolrecord.RecordKeeper,
        worker: enginework.EngineWorker,
        timers: timers_lib.Timers,
        settings: KeeperSettings,
        counters: KeeperCounters,
    ):
        """Creates a keeper; ``run`` does the work.

        Args:
          pool: what to keep.
          lease: lease of this pool.
          record: what holders leave behind.
          worker: gives the orders.
          timers: the timer service.
          settings: times and numbers.
          counters: counters, shared between keepers.
        """
        self._pool = pool
        self._lease = lease
        self._record = record
        self._worker = worker
        self._timers = timers
        self._settings = settings
        self._counters = counters
        self._book = orderbook.OrderBook(timers, settings.book)
        self._roles = roleplan.RolePlanner(timers)
        self._trials = versiontrial.VersionTrials(
            record, timers, settings.trial, counters
        )
        self._work: dict[str, asyncio.Task[None]] = {}
        self._loading: set[str] = set()
        self._held_since_s = 0.0

    async def run(self) -> None:
        """Pursues the lease for ever and keeps the pool while it is held."""
        try:
            while True:
                if await self._lease.pursue():
                    await self._hold()
                await self._timers.sleep(self._settings.round_s)
        finally:
            self._drop_work()
            await self._lease.release()

    def record_state(
        self, endpoint_id: str, after: endpoints.EndpointState
    ) -> None:
        """Takes in a change of state of any endpoint."""
        if after is not _State.SUSPECT or not self._lease.is_held():
            return
        for view in self._list_engines():
            if view.endpoint.endpoint_id == endpoint_id and view.report:
                self._trials.note_suspect(view.report)

    async def _hold(self) -> None:
        """Keeps the pool until the lease is lost."""
        try:
            await self._record.load()
        except stores.StoreError:
            self._counters.platform_failures += 1
            return
        # Every engine gets an order at once, which also tells it the number
        # below which it should refuse.
        self._book.clear()
        renewed_s = self._held_since_s = self._timers.read_monotonic()
        while self._lease.is_held():
            await self._look()
            await self._timers.sleep(self._settings.round_s)
            now_s = self._timers.read_monotonic()
            if now_s - renewed_s >= self._lease.renew_s:
                renewed_s = now_s
                await self._lease.pursue()
        self._counters.leases_lost += 1
        self._drop_work()

    async def _look(self) -> None:
        """Compares the pool with the catalogue once."""
        catalogue = self._pool.read_catalogue()
        service = catalogue.services.get(self._pool.service)
        if service is None:
            return
        views = self._list_engines()
        reports = [
            self._book.correct(view.report) for view in views if view.report
        ]
        wanted = _list_wanted(catalogue, service.name)
        plan = await self._trials.update(wanted, reports)
        self._roles.update(service, reports)
        for view in views:
            if view.report and self._can_attend(view):
                report = self._book.correct(view.report)
                self._attend(view, report, plan, catalogue)

    def _list_engines(self) -> list[endpointtables.EndpointView]:
        """Returns the engines of the pool that stay, in order."""
        views = [
            view
            for view in self._pool.list_views()
            if view.endpoint.service == self._pool.service
            and view.endpoint.data_centre == self._pool.data_centre
            and view.endpoint.kind is endpoints.EndpointKind.ENGINE
            and view.state not in (_State.LEAVING, _State.GONE)
        ]
        return sorted(views, key=lambda view: view.endpoint.endpoint_id)

    def _can_attend(self, view: endpointtables.EndpointView) -> bool:
        """Says whether what is known of an engine is enough for an order.

        An older report may not show yet what the last holder ordered, and an
        order that follows from it could drop the only model.
        """
        if view.endpoint.endpoint_id in self._work:
            return False
        lag_s = self._settings.book.report_lag_s
        now_s = self._timers.read_monotonic()
        earliest_s = max(self._held_since_s + lag_s, now_s - 2 * lag_s)
        return view.reported_s >= earliest_s

    def _attend(
        self,
        view: endpointtables.EndpointView,
        report: endpoints.LoadReport,
        plan: versionplan.VersionPlan,
        catalogue: catalogues.Catalogue,
    ) -> None:
        """Starts what one engine needs, if anything."""
        endpoint_id = view.endpoint.endpoint_id
        if self._book.is_waiting(endpoint_id):
            return
        goal = self._make_goal(report, plan, catalogue)
        if self._book.is_obeyed(report, goal):
            return
        has_adapters = self._book.has_adapters(report, goal)
        if set(goal.models) - set(report.models) or not has_adapters:
            if len(self._loading) >= self._pool.count_loads():
                return
            self._loading.add(endpoint_id)
        self._counters.orders += 1
        self._counters.corrections += self._book.was_corrected(report, goal)
        self._start(
            endpoint_id,
            self._bring(view.endpoint, report, goal, has_adapters),
        )

    def _make_goal(
        self,
        report: endpoints.LoadReport,
        plan: versionplan.VersionPlan,
        catalogue: catalogues.Catalogue,
    ) -> attempts.Order:
        """Returns the state that an engine should have now."""
        changing = [
            model
            for model in plan.targets
            if plan.is_changing(model) and self._may_change(report, plan, model)
        ]
        is_drained = self._pool.is_drained(report.endpoint_id)
        return attempts.Order(
            fence=self._lease.fence,
            revision=catalogue.revision,
            role=self._roles.choose_role(report.endpoint_id).value,
            # When nothing is known to be better it keeps what it runs.
            models=plan.choose_models(report.models, changing) or report.models,
            adapters=_list_adapters(catalogue, self._pool.service),
            drain=self._book.should_drain(report, is_drained),
        )

    def _may_change(
        self,
        report: endpoints.LoadReport,
        plan: versionplan.VersionPlan,
        model: str,
    ) -> bool:
        """Says whether an engine may go to the target of a model now."""
        name = versionplan.name_version(model, plan.targets[model])
        if self._trials.is_untried(name):
            return not self._work
        return self._trials.may_follow(name, report)

    async def _bring(
        self,
        endpoint: endpoints.Endpoint,
        report: endpoints.LoadReport,
        goal: attempts.Order,
        has_adapters: bool,
    ) -> None:
        """Brings one engine to its goal, or notes why that failed."""
        is_drained = self._pool.is_drained(endpoint.endpoint_id)
        try:
            state = await self._worker.change_models(
                endpoint, report, goal, self._trials.is_proved
            )
            self._book.note_given(state, goal, is_drained)
            if not has_adapters:
                await self._timers.sleep(self._settings.adapter_load_s)
        except enginework.LeaseLostError:
            self._lease.abandon()
        except enginework.VersionFailedError as error:
            self._book.note_failed(endpoint.endpoint_id)
            self._trials.note_failure(error)
        except failures.FailureError:
            self._book.note_failed(endpoint.endpoint_id)
            self._counters.order_failures += 1
        else:
            for name in goal.models:
                self._trials.note_proof(name)
        finally:
            self._loading.discard(endpoint.endpoint_id)

    def _start(self, endpoint_id: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._work[endpoint_id] = task
        task.add_done_callback(lambda _: self._work.pop(endpoint_id, None))

    def _drop_work(self) -> None:
        for task in list(self._work.values()):
            task.cancel()
        self._loading.clear()


def _list_wanted(
    catalogue: catalogues.Catalogue, service: str
) -> dict[str, str]:
    return {
        model.name: model.version
        for model in catalogue.models.values()
        if model.service == service
    }


def _list_adapters(
    catalogue: catalogues.Catalogue, service: str
) -> tuple[str, ...]:
    names = [
        adapter
        for model in catalogue.models.values()
        if model.service == service
        for adapter in model.adapters
    ]
    return tuple(dict.fromkeys(names))
