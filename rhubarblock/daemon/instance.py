"""An entry instance as a whole, without its sockets.

Builds all parts in the order of their dependencies. The daemon and the demo
pass in clients and peers that use sockets; experiments and tests pass in fakes
on the virtual clock. The same code runs in both cases.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import logging
import random

from rhubarblock.core import attemptid
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import request as requests
from rhubarblock.daemon import clients as clients_lib
from rhubarblock.daemon import coordinators
from rhubarblock.daemon import endpointwatch
from rhubarblock.daemon import listing
from rhubarblock.daemon import promptparts
from rhubarblock.fleet import distribution
from rhubarblock.fleet import endpointnotices
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import listrelay
from rhubarblock.fleet import orders
from rhubarblock.fleet import orphans
from rhubarblock.fleet import peertransport
from rhubarblock.fleet.membership import detection
from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import membership as memberships
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import registry as registries
from rhubarblock.relay import crashes
from rhubarblock.relay import guard as guards
from rhubarblock.relay import servicecalls
from rhubarblock.relay.claims import ledger as claims
from rhubarblock.routing import fairqueue
from rhubarblock.routing import limits
from rhubarblock.routing.lending import holders as lendingholders
from rhubarblock.routing.lending import lender as lending
from rhubarblock.routing.placement import policy as policies
from rhubarblock.routing.quarantine import gate as quarantines
from rhubarblock.settings import entry as settings_lib

# Seconds for announcing a planned stop to the peers.
LEAVE_TIMEOUT_S = 1.0

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class PeerPort:
    """Transport for calls to peers, and the address for calls from them."""

    transport: peertransport.PeerTransport
    address: str


class Instance:
    """An entry instance.

    Attributes:
      identity: its id, incarnation and data centre.
      settings: its settings.
      clients: clients of the platform and the endpoints.
      lifecycle: its lifecycle state and count of requests in flight.
      metrics: its counters.
      membership: its view of the other instances.
      coordinators: finds the coordinator of each duty.
      listed: the platform's instance list, which two instances of each data
        centre read and pass on to the others.
      catalogue: the catalogue in force.
      lender: lends shares of the limits between instances.
      limiter: limits of institutions and workspaces.
      quarantine: quarantined digests of requests that crash endpoints.
      guard: applies limits and quarantine to each request.
      endpoints: polls the endpoints and tracks their state.
      endpoint_notices: announcements and drain orders of endpoints.
      orders: desired state of the engines.
      orphans: cancels attempts that still run at engines after the instance
        that sent them has stopped or crashed.
      parts: serves prompts.
      caller: calls plain services; set only while the instance runs.
    """

    def __init__(
        self,
        settings: settings_lib.EntrySettings,
        clients: clients_lib.Clients,
        port: PeerPort,
        rng: random.Random,
        incarnation: int,
    ):
        """Creates all parts; ``run`` starts them.

        Args:
          settings: validated settings.
          clients: clients of the platform and the endpoints.
          port: transport for calls to peers.
          rng: source of ids and jitter.
          incarnation: increases with each start of this instance.
        """
        self.settings = settings
        self.clients = clients
        self.identity = promptparts.Identity(
            settings.instance.id, incarnation, settings.instance.data_centre
        )
        self.lifecycle = lifecycles.InstanceLifecycle()
        self.metrics = metric_store.Metrics()
        self.caller: servicecalls.ServiceCaller
        self._transport = port.transport
        self._rng = rng
        self._numbers = itertools.count(1)
        self._build_fleet(port)
        self._build_limits(port)
        self._build_prompts(port)
        self._build_endpoints(port)

    def make_id(self) -> str:
        """Returns the id for a new request."""
        return attemptid.format_request_id(
            self.identity.owner, next(self._numbers)
        )

    def find_service(self, model: str) -> str:
        """Returns the engine service that serves a model."""
        return self.catalogue.get().models[model].service

    def weigh(self, request: requests.PromptRequest) -> float:
        """Returns the fair-queueing weight of a request."""
        catalogue = self.catalogue.get()
        institution = catalogue.institutions.get(request.institution)
        workspace = catalogue.workspaces.get(request.workspace)
        if institution is None or workspace is None:
            return 1.0
        return institution.weight * workspace.weight

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["Instance"]:
        """Serves while the context is open, then drains.

        Parts stop in the reverse order of their start: new requests are
        rejected first, then requests in flight end, then the peers are
        notified.
        """
        timers = self.clients.timers
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self.membership.run())
            await stack.enter_async_context(self.catalogue.run())
            await stack.enter_async_context(self.lender.run())
            await stack.enter_async_context(self.quarantine.run())
            await self._poll_endpoints(stack)
            await stack.enter_async_context(self.endpoint_notices.run())
            await stack.enter_async_context(self.orders.run())
            await stack.enter_async_context(
                listing.keep_listed(
                    self.clients.store,
                    listing.describe_entry(
                        self.identity.instance_id,
                        self.membership.own.address,
                        self.identity.data_centre,
                    ),
                    timers,
                )
            )
            stack.enter_context(self.parts.run_periodic_tasks())
            stack.enter_context(
                timers.subscribe(orphans.CHECK_INTERVAL_S, self.orphans.collect)
            )
            await self._open_claims(stack)
            self._mark_ready_with_catalogue()
            try:
                yield self
            finally:
                await self._stop()

    def _build_fleet(self, port: PeerPort) -> None:
        clients = self.clients
        self.membership = memberships.Membership(
            members.Member(
                self.identity.instance_id,
                self.identity.data_centre,
                port.address,
                self.identity.incarnation,
            ),
            port.transport,
            clients.source,
            clients.timers,
            self._rng,
            memberships.MembershipSettings(
                detector=detection.DetectionSettings(
                    period_s=self.settings.peers.heartbeat_s
                )
            ),
            seeds=[str(seed) for seed in self.settings.peers.seeds],
        )
        self.coordinators = coordinators.CoordinatorFinder(self.membership)
        # Two instances of each data centre read the list and pass it on to the
        # others there, which bounds the load on the platform.
        self.listed = listrelay.ListRelay(
            clients.source,
            self.membership,
            port.transport,
            clients.timers,
            self._rng,
        )
        self.catalogue = distribution.CatalogueFollower(
            self.membership,
            port.transport,
            clients.store,
            clients.timers,
            self._rng,
        )

    def _build_limits(self, port: PeerPort) -> None:
        self.lender = lending.Lender(
            self.clients.timers,
            port.transport,
            self.identity.instance_id,
            self.identity.incarnation,
            self.coordinators.find_lender,
            lendingholders.ShareHolders(
                self.clients.timers, self.membership.list_known_instances
            ).list_ids,
            self.catalogue.get,
            self._rng,
        )
        self.limiter = limits.Limiter(
            self.clients.timers, self.catalogue.get, self.lender
        )

    def _build_prompts(self, port: PeerPort) -> None:
        self.quarantine = quarantines.Quarantine(
            self.clients.timers,
            self.clients.store,
            self.identity.instance_id,
            port.transport,
            self.coordinators.list_peers,
            self.coordinators.find_permit_issuer,
            self._rng,
        )
        dependencies = promptparts.PromptDependencies(
            timers=self.clients.timers,
            rng=self._rng,
            client=self.clients.engines,
            peers=port.transport,
            policy=self._choose_policy(),
            find_service=self.find_service,
            find_coordinator=self.coordinators.find_coordinator,
            count_instances=self.coordinators.count_instances,
            weigh=self.weigh,
            list_reserved=self.quarantine.list_reserved,
        )
        bounds = self.settings.limits
        self.guard = guards.Guard(
            self.limiter,
            self.quarantine,
            crashes.EngineCrashDetector(
                self.clients.engines, self.quarantine, self._find_start_id
            ),
            lambda name, failure: self.endpoints.report(name, failure),
        )
        self.parts = promptparts.PromptParts(
            self.identity,
            dependencies,
            self.lifecycle,
            self.metrics,
            self.guard,
            fairqueue.QueueSettings(bounds.queue_entries, bounds.queue_bytes),
        )

    def _build_endpoints(self, port: PeerPort) -> None:
        clients = self.clients
        states = endpointtables.EndpointTable(clients.timers)
        self.endpoints = endpointwatch.EndpointWatch(
            self.listed,
            clients.engines,
            self.parts.table,
            states,
            clients.timers,
            self.coordinators.is_coordinator,
        )
        self.endpoint_notices = endpointnotices.EndpointNotices(
            states,
            self.membership,
            port.transport,
            clients.timers,
            self._rng,
            clients.store,
        )
        self.orphans = orphans.OrphanCollector(
            self.identity.owner,
            self.membership,
            states,
            clients.engines,
            self.parts.relay.is_running,
            clients.timers,
        )
        self.orders = orders.OrderService(
            self.membership,
            clients.store,
            clients.engines,
            states,
            self.catalogue.get,
            clients.timers,
            self._rng,
        )

    def _choose_policy(self) -> policies.Policy:
        registry = registries.Registry()
        registry.load(registries.default_modules())
        routing = self.settings.routing
        policy_class = registry.get(policies.PLUGIN_GROUP, routing.policy)
        policy: policies.Policy = policy_class(routing.weight_ttft)
        return policy

    def _find_start_id(self, endpoint_id: str) -> str:
        """Returns the start id that an engine last reported, or ""."""
        report = self.endpoints.states.find_report(endpoint_id)
        return report.start_id if report else ""

    async def _poll_endpoints(self, stack: contextlib.AsyncExitStack) -> None:
        """Polls endpoints, loads and caches once, then periodically."""
        for interval_s, tick in (
            (endpointwatch.LIST_INTERVAL_S, self.endpoints.refresh_list),
            (endpointwatch.LOAD_INTERVAL_S, self.endpoints.refresh_loads),
            (endpointwatch.CACHE_INTERVAL_S, self.endpoints.refresh_caches),
        ):
            await tick()
            stack.enter_context(self.clients.timers.subscribe(interval_s, tick))

    async def _open_claims(self, stack: contextlib.AsyncExitStack) -> None:
        clients = self.clients
        ledger = await stack.enter_async_context(
            claims.open_ledger(
                clients.store,
                clients.timers,
                self.identity.instance_id,
                self._rng,
                peers=self._transport,
                find_coordinator=self.coordinators.find_claim_coordinator,
            )
        )
        self.caller = await stack.enter_async_context(
            servicecalls.open_caller(
                servicecalls.ServiceCaller(
                    ledger,
                    clients.services,
                    self.endpoints.choose_service_address,
                    clients.timers,
                    self._rng,
                    take_retry=self.parts.retry_budget.try_spend,
                )
            )
        )

    def _mark_ready_with_catalogue(self) -> None:
        """Becomes ready once there is a catalogue to authenticate callers."""
        if self.catalogue.revision:
            self._log_lifecycle(self.lifecycle.mark_ready)
        else:
            self.catalogue.subscribe(self._on_first_catalogue)

    def _on_first_catalogue(self, catalogue: catalogues.Catalogue) -> None:
        del catalogue
        if self.lifecycle.state is lifecycles.LifecycleState.STARTING:
            self._log_lifecycle(self.lifecycle.mark_ready)

    async def _stop(self) -> None:
        """Rejects new requests, drains the others, notifies the peers."""
        self._log_lifecycle(self.lifecycle.start_drain)
        is_drained = await self.lifecycle.drain(self.settings.drain.deadline_s)
        if not is_drained:
            self.metrics.count("instance.cut", self.lifecycle.in_flight)
        await self.parts.cleanup.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self.membership.leave()
        self._log_lifecycle(self.lifecycle.mark_stopped)

    def _log_lifecycle(self, step: Callable[[], None]) -> None:
        lifecycles.log_transition(
            _logger, self.lifecycle, self.identity.instance_id, step
        )
