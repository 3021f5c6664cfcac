"""Reconciles the engines of one pool with the catalogue.

One instance per data centre and pool does this, under a lease. Orders are
idempotent, since they state what an engine should run. Each round compares the
load reports with the desired state and corrects an engine that obeyed an
earlier holder, restarted or missed an order.
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
from rhubarblock.fleet import engineupdate
from rhubarblock.fleet import lease as leases
from rhubarblock.fleet import ordertracker
from rhubarblock.fleet import poolrecord
from rhubarblock.fleet import roleplan
from rhubarblock.fleet import versionplan
from rhubarblock.fleet import versionrollout
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores

_State = endpoints.EndpointState


@dataclasses.dataclass(slots=True, frozen=True)
class PoolControllerSettings:
    """Settings of a pool controller.

    Attributes:
      reconcile_interval_s: seconds between two reconciliation rounds.
      adapter_load_s: seconds that an engine is assumed to need to load
        adapters, since load reports do not show them.
      order_tracker: times of the order tracker.
      rollout: settings of version rollouts.
    """

    reconcile_interval_s: float = 0.5
    adapter_load_s: float = 2.0
    order_tracker: ordertracker.OrderTrackerSettings = dataclasses.field(
        default_factory=ordertracker.OrderTrackerSettings
    )
    rollout: versionrollout.RolloutSettings = dataclasses.field(
        default_factory=versionrollout.RolloutSettings
    )


@dataclasses.dataclass(slots=True)
class PoolControllerCounters(versionrollout.RolloutCounters):
    """Counters of all pool controllers since start."""

    orders: int = 0
    order_failures: int = 0
    corrections: int = 0
    leases_lost: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """The pool that a controller manages.

    Attributes:
      data_centre: data centre of the engines.
      service: name of a service in the catalogue.
      read_catalogue: returns the catalogue in force.
      list_views: returns every known endpoint.
      is_drained: returns whether an operator drains an endpoint.
      count_loads: returns how many engines may load models at a time.
    """

    data_centre: str
    service: str
    read_catalogue: Callable[[], catalogues.Catalogue]
    list_views: Callable[[], list[endpointtables.EndpointView]]
    is_drained: Callable[[str], bool]
    count_loads: Callable[[], int]


class PoolController:
    """Gives orders to the engines of one pool while it holds the lease."""

    def __init__(
        self,
        pool: Pool,
        lease: leases.Lease,
        record: poolrecord.PoolRecordClient,
        updater: engineupdate.EngineUpdater,
        timers: timers_lib.Timers,
        settings: PoolControllerSettings,
        counters: PoolControllerCounters,
    ):
        """Creates a controller; ``run`` starts it.

        Args:
          pool: the pool to manage.
          lease: lease of this pool.
          record: rollout state stored for later holders.
          updater: gives the orders.
          timers: the timer service.
          settings: settings of the controller.
          counters: counters, shared between controllers.
        """
        self._pool = pool
        self._lease = lease
        self._record = record
        self._updater = updater
        self._timers = timers
        self._settings = settings
        self._counters = counters
        self._order_tracker = ordertracker.OrderTracker(
            timers, settings.order_tracker
        )
        self._roles = roleplan.RolePlanner(timers)
        self._rollouts = versionrollout.VersionRollouts(
            record, timers, settings.rollout, counters
        )
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._loading: set[str] = set()
        self._held_since_s = 0.0

    async def run(self) -> None:
        """Contends for the lease and manages the pool while it is held."""
        try:
            while True:
                if await self._lease.renew_or_acquire():
                    await self._run_while_held()
                await self._timers.sleep(self._settings.reconcile_interval_s)
        finally:
            self._cancel_tasks()
            await self._lease.release()

    def record_state(
        self, endpoint_id: str, after: endpoints.EndpointState
    ) -> None:
        """Handles a state change of any endpoint."""
        if after is not _State.SUSPECT or not self._lease.is_held():
            return
        for view in self._list_engines():
            if view.endpoint.endpoint_id == endpoint_id and view.report:
                self._rollouts.record_suspect(view.report)

    async def _run_while_held(self) -> None:
        """Manages the pool until the lease is lost."""
        try:
            await self._record.load()
        except stores.StoreError:
            self._counters.platform_failures += 1
            return
        # Every engine gets a new order at once, which also carries the fencing
        # number below which it must refuse orders.
        self._order_tracker.clear()
        renewed_s = self._held_since_s = self._timers.read_monotonic()
        while self._lease.is_held():
            await self._reconcile()
            await self._timers.sleep(self._settings.reconcile_interval_s)
            now_s = self._timers.read_monotonic()
            if now_s - renewed_s >= self._lease.renew_s:
                renewed_s = now_s
                await self._lease.renew_or_acquire()
        self._counters.leases_lost += 1
        self._cancel_tasks()

    async def _reconcile(self) -> None:
        """Runs one reconciliation round."""
        catalogue = self._pool.read_catalogue()
        service = catalogue.services.get(self._pool.service)
        if service is None:
            return
        views = self._list_engines()
        reports = [
            self._order_tracker.estimate_state(view.report)
            for view in views
            if view.report
        ]
        wanted = _list_wanted_versions(catalogue, service.name)
        plan = await self._rollouts.update(wanted, reports)
        self._roles.update(service, reports)
        for view in views:
            if view.report and self._has_fresh_report(view):
                report = self._order_tracker.estimate_state(view.report)
                self._reconcile_engine(view, report, plan, catalogue)

    def _list_engines(self) -> list[endpointtables.EndpointView]:
        """Returns the pool's engines that are not leaving, sorted by id."""
        views = [
            view
            for view in self._pool.list_views()
            if view.endpoint.service == self._pool.service
            and view.endpoint.data_centre == self._pool.data_centre
            and view.endpoint.kind is endpoints.EndpointKind.ENGINE
            and view.state not in (_State.LEAVING, _State.GONE)
        ]
        return sorted(views, key=lambda view: view.endpoint.endpoint_id)

    def _has_fresh_report(self, view: endpointtables.EndpointView) -> bool:
        """Returns whether an idle engine's load report is recent enough.

        An older report may not show yet what the last holder ordered, and an
        order based on it could unload the only model. An engine that is being
        updated needs no decision.
        """
        if view.endpoint.endpoint_id in self._tasks:
            return False
        lag_s = self._settings.order_tracker.report_lag_s
        now_s = self._timers.read_monotonic()
        earliest_s = max(self._held_since_s + lag_s, now_s - 2 * lag_s)
        return view.reported_s >= earliest_s

    def _reconcile_engine(
        self,
        view: endpointtables.EndpointView,
        report: endpoints.LoadReport,
        plan: versionplan.VersionPlan,
        catalogue: catalogues.Catalogue,
    ) -> None:
        """Starts an update of one engine if it needs one."""
        endpoint_id = view.endpoint.endpoint_id
        if self._order_tracker.is_backing_off(endpoint_id):
            return
        desired = self._make_desired(report, plan, catalogue)
        if self._order_tracker.is_satisfied(report, desired):
            return
        has_adapters = self._order_tracker.has_adapters(report, desired)
        if set(desired.models) - set(report.models) or not has_adapters:
            if len(self._loading) >= self._pool.count_loads():
                return
            self._loading.add(endpoint_id)
        self._counters.orders += 1
        self._counters.corrections += self._order_tracker.has_drifted(
            report, desired
        )
        self._start(
            endpoint_id,
            self._apply_desired(view.endpoint, report, desired, has_adapters),
        )

    def _make_desired(
        self,
        report: endpoints.LoadReport,
        plan: versionplan.VersionPlan,
        catalogue: catalogues.Catalogue,
    ) -> attempts.Order:
        """Returns the desired state of an engine."""
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
            # Without a known target the engine keeps its models.
            models=plan.choose_models(report.models, changing) or report.models,
            adapters=_list_adapters(catalogue, self._pool.service),
            drain=self._order_tracker.should_drain(report, is_drained),
        )

    def _may_change(
        self,
        report: endpoints.LoadReport,
        plan: versionplan.VersionPlan,
        model: str,
    ) -> bool:
        """Returns whether an engine may change to the target version now.

        An unverified version is tried only while no engine is being updated.
        """
        name = versionplan.name_version(model, plan.targets[model])
        if self._rollouts.is_unverified(name):
            return not self._tasks
        return self._rollouts.may_roll_out(name, report)

    async def _apply_desired(
        self,
        endpoint: endpoints.Endpoint,
        report: endpoints.LoadReport,
        desired: attempts.Order,
        has_adapters: bool,
    ) -> None:
        """Updates one engine to its desired state; records a failure."""
        is_drained = self._pool.is_drained(endpoint.endpoint_id)
        try:
            state = await self._updater.change_models(
                endpoint, report, desired, self._rollouts.is_trusted
            )
            self._order_tracker.record_accepted(state, desired, is_drained)
            if not has_adapters:
                await self._timers.sleep(self._settings.adapter_load_s)
        except engineupdate.LeaseLostError:
            self._lease.abandon()
        except engineupdate.VersionFailedError as error:
            self._order_tracker.record_failed(endpoint.endpoint_id)
            self._rollouts.record_failure(error)
        except failures.FailureError:
            self._order_tracker.record_failed(endpoint.endpoint_id)
            self._counters.order_failures += 1
        else:
            for name in desired.models:
                self._rollouts.record_verified(name)
        finally:
            self._loading.discard(endpoint.endpoint_id)

    def _start(self, endpoint_id: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks[endpoint_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(endpoint_id, None))

    def _cancel_tasks(self) -> None:
        for task in list(self._tasks.values()):
            task.cancel()
        self._loading.clear()


def _list_wanted_versions(
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
