"""An instance that relays opaque exchanges, assembled from its parts.

It has no disk and its settings name no peers: the configuration, the endpoints
and the other instances are all read from the store.
"""

import asyncio
from collections.abc import Callable
import contextlib
import functools
import logging
import random

import aiohttp

from rhubarblock.daemon import intake as intakes
from rhubarblock.daemon import listener as listeners
from rhubarblock.daemon import peerdiscovery
from rhubarblock.daemon import plannedstop
from rhubarblock.daemon import statuspages
from rhubarblock.exchange import admission
from rhubarblock.exchange import attempts
from rhubarblock.exchange import calltimes
from rhubarblock.exchange import candidates
from rhubarblock.exchange import coldroom
from rhubarblock.exchange import coldstarts
from rhubarblock.exchange import crashes
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange import leases
from rhubarblock.exchange import memoryaccount
from rhubarblock.exchange import outcomes
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange import pathwatch
from rhubarblock.exchange import placer as placers
from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.exchange import quarantinestore
from rhubarblock.exchange import relay as relays
from rhubarblock.exchange import requesthandler
from rhubarblock.exchange import retrybudgets
from rhubarblock.exchange import statements
from rhubarblock.exchange import transport as transports
from rhubarblock.exchange.peering import demandupdates
from rhubarblock.exchange.peering import limitupdates
from rhubarblock.exchange.peering import quarantineupdates
from rhubarblock.exchange.peering import retryupdates
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import evacuationfollower
from rhubarblock.exchange.state import evacuationreplica
from rhubarblock.exchange.state import feed as statefeed
from rhubarblock.exchange.state import follower as followers
from rhubarblock.exchange.state import isolation as isolations
from rhubarblock.exchange.state import replica as replicas
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.exchange.tunnels import client as tunnel_client
from rhubarblock.exchange.tunnels import server as tunnel_server
from rhubarblock.httpclient import connector as connectors
from rhubarblock.httpclient import sessions
from rhubarblock.kernel import countlog
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import looplag
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import cooldowns
from rhubarblock.routing import health as healths
from rhubarblock.routing.admission import controller as controllers
from rhubarblock.routing.coldstart import coldbound
from rhubarblock.routing.placement import jobtracker
from rhubarblock.settings import exchange as settings_lib
from rhubarblock.store import era as era_lib
from rhubarblock.store import store as stores

# Timeout of one wait for a valid configuration; the wait is then repeated.
CONFIGURATION_WAIT_S = 10.0
# Seconds for which an idle connection is kept open.
KEEPALIVE_S = 20.0
# Seconds from the accept of a connection until its request is checked against
# the configuration, at most.
REQUEST_START_S = 0.25
# Time in seconds for which an idle connection to the store or a peer is reused:
# connections may go silent, and a call that meets one takes its whole timeout.
# The reads of the configuration follow one another faster.
STORE_IDLE_S = 1.6
# Longest answer of the store or a peer in bytes: several times the state of the
# largest deployment.
MAX_STATE_BYTES = 32_000_000
# Seconds between two removals of the state of unlisted endpoints.
CLEANUP_INTERVAL_S = 30.0
# Seconds that a start waits for the list of its peers and, if there is none by
# then, for heartbeats from them.
PEER_DISCOVERY_TIMEOUT_S = 0.5
HEARTBEAT_WAIT_S = 0.05
# Longest wait in seconds of a start for the stored quarantines, once everything
# else is known.
QUARANTINE_WAIT_S = 0.3

_logger = logging.getLogger(__name__)

StoreFactory = Callable[
    [aiohttp.ClientSession, metric_store.Metrics, stores.Eras],
    stores.ObjectStore,
]
LeaseFactory = Callable[[aiohttp.ClientSession], dialects.LeaseClient]


class ExchangeInstance:
    """One instance; ``run`` serves until its stop event is set."""

    def __init__(
        self,
        settings: settings_lib.ExchangeSettings,
        dialect: dialects.Dialect,
        make_store: StoreFactory,
        make_leases: LeaseFactory,
        attempt_header: str,
        rng: random.Random,
    ):
        """Creates the parts that need no running event loop.

        Args:
          settings: validated settings.
          dialect: header names and formats of the deployment's protocol.
          make_store: creates the store client on an HTTP session.
          make_leases: creates the client for leases of engines' KV memory on
            an HTTP session for requests to endpoints.
          attempt_header: name of the header that endpoints echo in responses.
          rng: source of jitter and of random choices.
        """
        self.settings = settings
        self.lifecycle = lifecycles.InstanceLifecycle()
        self.metrics = metric_store.Metrics()
        self.timers = timer_service.LoopTimers()
        self.loop_lag = looplag.LoopLag(self.timers, self.metrics)
        self.config_lease = config_leases.ConfigurationLease(
            settings.bounds.revoke_s
        )
        self.isolation = isolations.Isolation()
        self.directory = directories.Directory(
            self.timers, settings.bounds.drain_s
        )
        self.subsets = subsets.Subsets(self.directory, regions=settings.regions)
        self.state = replicas.StateReplica(
            dialect,
            self.config_lease,
            self.directory,
            self.timers,
            self._make_evacuations(dialect),
        )
        self.peers = peer_table.PeerTable(
            settings.instance_id,
            settings.data_centre,
            self.timers,
            settings.capacity,
        )
        self.job_tracker = jobtracker.JobTracker()
        self.job_tracker.speeds.find_pool = self._find_service
        self.call_times = calltimes.CallTimes()
        self.health = healths.Health(settings.data_centre)
        self.cooldowns = cooldowns.Cooldowns(self.metrics)
        self.eras = era_lib.EraTracker(self.metrics)
        self.paths = endpoint_paths.EndpointPaths(
            self.directory.find_at,
            self.directory.list_usable,
            self.timers,
            self.metrics,
        )
        self.tunnels = tunnel_server.TunnelServer(
            self.directory, self.peers, self.paths, self.metrics
        )
        self._dialect = dialect
        self._make_store = make_store
        self._make_leases = make_leases
        self._attempt_header = attempt_header
        self._rng = rng

    def _make_evacuations(
        self, dialect: dialects.Dialect
    ) -> evacuationreplica.EvacuationReplica | None:
        """Returns the replica of the evacuations, if there may be any."""
        if self.settings.bounds.evacuate_s is None:
            return None
        return evacuationreplica.EvacuationReplica(
            dialect, self.directory, self.timers, self.metrics
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until the event is set, then drains.

        Args:
          stop: set to request a planned stop.

        Raises:
          OSError: an address cannot be listened on.
        """
        _logger.info("starting")
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            _logger.info("listening")
            await self._become_ready(stop)
            await stop.wait()
            await plannedstop.PlannedStop(
                self.settings.instance_id,
                self.lifecycle,
                self._callers,
                self.tunnels,
                self.settings.bounds.grace_s,
                self.timers,
            ).run()

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        """Opens all parts; the stack closes them in reverse order."""
        settings = self.settings
        stack.enter_context(
            countlog.log_counts(
                self.metrics, lambda: self.timers.wakeups, self.timers
            )
        )
        stack.enter_context(self.loop_lag.measure())
        session = await stack.enter_async_context(
            sessions.open_session(
                connectors.AnswerConnector(
                    max_body_bytes=MAX_STATE_BYTES,
                    keepalive_timeout=STORE_IDLE_S,
                )
            )
        )
        store = self._make_store(session, self.metrics, self.eras)
        start_id = f"{self._rng.getrandbits(32):08x}"
        updates = peer_updates.PeerUpdates(
            settings.instance_id,
            start_id,
            settings.data_centre,
            self.job_tracker,
            self.health,
            self.subsets,
            self.peers,
            self.timers,
            self.metrics,
            settings.capacity,
        )
        limit_peers = self._make_limit_peers(updates)
        limits = self._make_limits(updates, limit_peers)
        cold_starts = self._make_cold_starts(limits)
        self.directory.on_restart = lambda endpoint_id: self._reset_endpoint(
            endpoint_id, limits
        )
        await stack.enter_async_context(
            updates.open(settings.peers.host, settings.peers.port)
        )
        quarantine_peers = self._make_quarantine_peers(updates)
        quarantine = self._make_quarantine(updates, quarantine_peers)
        relay = await self._open_relay(
            stack, updates, limits, limit_peers, cold_starts, quarantine
        )
        self.lifecycle.add_drain_listener(relay.note_drain_end)
        await self._listen(stack, relay, updates, quarantine)
        self._quarantine_store = quarantinestore.QuarantineStore(
            store,
            quarantine,
            quarantine_peers,
            self.eras,
            self.timers,
            self._rng,
        )
        syncing = asyncio.create_task(self._quarantine_store.run())
        stack.callback(syncing.cancel)
        follower = self._make_follower(session, store)
        following = asyncio.create_task(self._follow(store, updates, follower))
        stack.callback(following.cancel)

    def _find_service(self, endpoint_id: str) -> str:
        """Returns the service of an endpoint; empty if it is unknown."""
        listed = self.directory.find(endpoint_id)
        return listed.service if listed else ""

    def _reset_endpoint(
        self, endpoint_id: str, limits: endpointlimits.EndpointLimits
    ) -> None:
        """Discards the state recorded for earlier runs of an endpoint."""
        self.job_tracker.remove_engine(endpoint_id)
        self.job_tracker.speeds.forget(endpoint_id)
        self.call_times.forget(endpoint_id)
        self.health.forget(endpoint_id)
        limits.forget(endpoint_id)
        self.cooldowns.forget(endpoint_id)

    async def _remove_unlisted(
        self, cold_starts: coldstarts.ColdStarts
    ) -> None:
        cold_starts.keep_only(self.directory.list_ids())

    def _make_limit_peers(
        self, updates: peer_updates.PeerUpdates
    ) -> limitupdates.DatagramLimitPeers:
        return limitupdates.DatagramLimitPeers(
            updates,
            self.peers,
            self.subsets,
            self.settings.instance_id,
            self.settings.data_centre,
            self.timers,
        )

    def _make_limits(
        self,
        updates: peer_updates.PeerUpdates,
        limit_peers: limitupdates.DatagramLimitPeers,
    ) -> endpointlimits.EndpointLimits:
        """Returns the part that enforces the rate limits of endpoints."""
        limits = endpointlimits.EndpointLimits(
            limit_peers, self._rng, self.timers, self.metrics
        )
        limitupdates.connect(updates, limits)
        return limits

    def _make_budgets(
        self, updates: peer_updates.PeerUpdates
    ) -> retrybudgets.RetryBudgets:
        """Returns the retry budgets that this instance shares with peers."""
        budgets = retrybudgets.RetryBudgets(
            retryupdates.DatagramLoanPeers(
                updates, self.peers, self.settings.data_centre, self.timers
            ),
            self.peers.count_instances,
            self.settings.bounds,
            self._rng,
            self.metrics,
        )
        retryupdates.connect(updates, budgets)
        return budgets

    def _find_cold_bound(self) -> coldbound.ColdBound | None:
        """Returns the bound of cold endpoints; None unless both parts exist."""
        bounds = self.settings.bounds
        if bounds.cold_excess is None or bounds.cold_slack is None:
            return None
        return coldbound.ColdBound(bounds.cold_excess, bounds.cold_slack)

    def _make_cold_starts(
        self, limits: endpointlimits.EndpointLimits
    ) -> coldstarts.ColdStarts | None:
        """Returns the part that limits cold endpoints, if they have bounds."""
        if self._find_cold_bound() is None:
            return None
        settings = self.settings
        cold_starts = coldstarts.ColdStarts(
            self.directory,
            limits,
            self.config_lease.find_service,
            lambda endpoint_id: self.subsets.uses(
                settings.instance_id, settings.data_centre, endpoint_id
            ),
            self.timers,
            self.metrics,
        )
        limits.on_cold_report = cold_starts.receive
        self.directory.on_listed = cold_starts.note_listed
        self.directory.on_return = cold_starts.note_return
        return cold_starts

    def _make_cold_room(
        self, limit_peers: limitupdates.DatagramLimitPeers
    ) -> coldroom.ColdRoom | None:
        """Returns the bound of possibly cold endpoints, if there is one."""
        bound = self._find_cold_bound()
        if bound is None:
            return None
        return coldroom.ColdRoom(
            bound,
            self.job_tracker.recent,
            limit_peers.find_reached,
            limit_peers.count_users,
            self.timers,
            self._rng,
        )

    async def _open_relay(
        self,
        stack: contextlib.AsyncExitStack,
        updates: peer_updates.PeerUpdates,
        limits: endpointlimits.EndpointLimits,
        limit_peers: limitupdates.DatagramLimitPeers,
        cold_starts: coldstarts.ColdStarts | None,
        quarantine: quarantines.ExchangeQuarantine,
    ) -> relays.ExchangeRelay:
        """Assembles the parts that serve an exchange."""
        bounds = self.settings.bounds
        placer = placers.Placer(
            self.directory,
            self.job_tracker,
            self.health,
            updates,
            candidates.Candidates(
                self.directory,
                self.health,
                self.subsets,
                limits,
                self.cooldowns,
                self.settings.instance_id,
                self.settings.data_centre,
                self.timers,
                self._rng,
                self.settings.regions,
                self._make_cold_room(limit_peers),
            ),
            limits,
            self.cooldowns,
            self.settings.data_centre,
            self.timers,
            self.call_times,
        )
        stack.enter_context(
            self.timers.subscribe(CLEANUP_INTERVAL_S, placer.remove_unlisted)
        )
        statement_handler = statements.StatementHandler(
            self.directory,
            limits,
            self.cooldowns,
            self.timers,
            self.metrics,
            cold_starts,
        )
        dialer = self._make_dialer()
        endpoint_sessions = await stack.enter_async_context(
            transports.open_sessions(
                self._attempt_header,
                memoryaccount.READ_BYTES
                if self.settings.capacity.memory_mb
                else transports.READ_BYTES,
                dialer,
            )
        )
        lease_holder = await stack.enter_async_context(
            leases.open_holder(
                self._make_leases(endpoint_sessions.unprobed),
                bounds,
                statement_handler,
                self.timers,
            )
        )
        runner = attempts.AttemptRunner(
            placer,
            transports.EndpointTransport(
                endpoint_sessions,
                self._dialect,
                bool(self.settings.capacity.memory_mb),
                pathwatch.PathWatch(dialer, self.timers),
            ),
            self.health,
            lease_holder,
            statement_handler,
            self.timers,
        )
        updates.listen(peer_updates.ADDRESS_REUSED, placer.receive_reused)
        budgets = self._make_budgets(updates)
        stack.enter_context(
            self.timers.subscribe(
                peer_table.HEARTBEAT_S, budgets.count_instances
            )
        )
        outcome = outcomes.OutcomeRecorder(
            self.health,
            updates,
            budgets,
            self.paths,
            self.timers,
            self.metrics,
        )
        if cold_starts is not None:
            outcome.on_broken = cold_starts.note_broken
            stack.enter_context(
                self.timers.subscribe(
                    CLEANUP_INTERVAL_S,
                    lambda: self._remove_unlisted(cold_starts),
                )
            )
        crash_detector = crashes.CrashDetector(
            quarantine,
            self.timers,
            functools.partial(crashes.has_crashed, dialer),
            self.directory.is_evacuated,
            functools.partial(crashes.is_gone, dialer),
        )
        self.job_tracker.speeds.on_change = outcome.note_speed
        return relays.ExchangeRelay(
            placer,
            runner,
            outcome,
            crash_detector,
            quarantine,
            self._make_admission(updates),
            self.timers,
            self.paths,
        )

    def _make_quarantine_peers(
        self, updates: peer_updates.PeerUpdates
    ) -> quarantineupdates.DatagramQuarantinePeers:
        return quarantineupdates.DatagramQuarantinePeers(
            updates,
            self.peers,
            self.settings.instance_id,
            self.timers,
            self._rng,
        )

    def _make_quarantine(
        self,
        updates: peer_updates.PeerUpdates,
        peers: quarantineupdates.DatagramQuarantinePeers,
    ) -> quarantines.ExchangeQuarantine:
        """Returns the quarantine, which shares what it knows with peers."""
        quarantine = quarantines.ExchangeQuarantine(
            peers, self.timers, self.metrics
        )
        quarantineupdates.connect(updates, peers, quarantine, self.timers)
        return quarantine

    def _make_dialer(self) -> dialers.Dialer:
        """Returns the part that connects to endpoints."""
        tunnels = tunnel_client.PeerTunnels(
            self.directory,
            self.peers,
            self.subsets,
            self.settings.data_centre,
            self.timers,
            self._rng,
            self.settings.peers.host,
        )
        return dialers.Dialer(self.paths, tunnels)

    def _make_admission(
        self, updates: peer_updates.PeerUpdates
    ) -> admission.ExchangeAdmission:
        """Returns the admission control, which reports demand to peers."""
        controller = controllers.AdmissionController(self._rng)
        demand_updates = demandupdates.DemandUpdates(
            controller, updates, self.peers, self.timers, self._rng
        )
        return admission.ExchangeAdmission(
            controller, self.timers, self.metrics, demand_updates.note_pressure
        )

    async def _listen(
        self,
        stack: contextlib.AsyncExitStack,
        relay: relays.ExchangeRelay,
        updates: peer_updates.PeerUpdates,
        quarantine: quarantines.ExchangeQuarantine,
    ) -> None:
        """Opens the listeners for callers, readiness, peers and metrics."""
        settings = self.settings
        request_handler = requesthandler.RequestHandler(
            self.config_lease,
            self._dialect,
            relay,
            self.state.listed,
            self.lifecycle,
            self.timers,
            self.metrics,
            self._rng,
            memoryaccount.make_account(
                settings.capacity.memory_mb, self.metrics
            ),
        )
        feed = statefeed.StateServer(
            self.state,
            self.config_lease,
            self.directory,
            self.subsets,
            updates.source,
            self.metrics,
            self.eras,
        )
        pages = statuspages.StatusPages(
            settings,
            self.lifecycle,
            self.config_lease,
            self.eras,
            self.timers,
            self.metrics,
            self.isolation,
            self.state.evacuations,
            quarantine,
        )
        intake = intakes.Intake(
            self.lifecycle,
            self.loop_lag,
            self.timers,
            self.metrics,
            lambda: self.isolation.is_isolated,
            lambda: self.config_lease.left_s > REQUEST_START_S,
        )
        self._callers = await stack.enter_async_context(
            listeners.open_listener(
                request_handler.handle,
                settings.callers,
                KEEPALIVE_S,
                memoryaccount.READ_BYTES
                if settings.capacity.memory_mb
                else listeners.READ_BYTES,
                intake=intake,
                read_head_bound=lambda: self.config_lease.bounds.header_bytes,
            )
        )
        for handler, address, wrap in (
            (pages.answer_readiness, settings.readiness, None),
            (feed.handle, settings.peers, self.tunnels.make_protocol),
            (pages.answer_metrics, settings.metrics, None),
        ):
            await stack.enter_async_context(
                listeners.open_listener(
                    handler, address, KEEPALIVE_S, wrap=wrap
                )
            )

    def _make_follower(
        self,
        session: aiohttp.ClientSession,
        store: stores.ObjectStore,
    ) -> followers.StoreFollower:
        """Returns the part that keeps the replicated state up to date."""
        client = statefeed.StateClient(
            session,
            self.settings.instance_id,
            self.settings.data_centre,
            self.state,
            self.directory,
            self.config_lease,
            self.timers,
            self.eras,
        )
        return followers.StoreFollower(
            store,
            self._dialect,
            self.state,
            self.config_lease,
            client,
            self.peers,
            followers.PollIntervals(self.settings.bounds.apply_s),
            self.timers,
            self._rng,
            self.eras,
            self.isolation,
            self._make_evacuation_follower(store),
        )

    def _make_evacuation_follower(
        self, store: stores.ObjectStore
    ) -> evacuationfollower.EvacuationFollower | None:
        """Returns the part that reads the evacuations, if there may be any."""
        evacuate_s = self.settings.bounds.evacuate_s
        if evacuate_s is None or self.state.evacuations is None:
            return None
        return evacuationfollower.EvacuationFollower(
            store,
            self._dialect,
            self.state.evacuations,
            evacuate_s,
            self.timers,
            self._rng,
            self.eras,
        )

    async def _follow(
        self,
        store: stores.ObjectStore,
        updates: peer_updates.PeerUpdates,
        follower: followers.StoreFollower,
    ) -> None:
        """Waits briefly for peer discovery, then follows the state.

        Discovery goes on in the background if it takes longer.
        """
        discovery = peerdiscovery.PeerDiscovery(
            self.settings,
            store,
            self.peers,
            updates,
            self.timers,
            self.eras,
            self.metrics,
        )
        discovering = asyncio.create_task(discovery.run())
        keeping_listed = asyncio.create_task(discovery.keep_listed())
        try:
            done, _ = await asyncio.wait(
                {discovering}, timeout=PEER_DISCOVERY_TIMEOUT_S
            )
            _logger.info("peers listed", extra={"listed": bool(done)})
            if not done:
                # A peer that sends a heartbeat now may pass the store's state
                # on, so that this instance need not read the store.
                await self.timers.sleep(HEARTBEAT_WAIT_S)
            async with follower.run():
                await asyncio.Event().wait()
        finally:
            discovering.cancel()
            keeping_listed.cancel()

    async def _become_ready(self, stop: asyncio.Event) -> None:
        """Marks the instance ready once it has state, unless it is stopped."""
        stopping = asyncio.create_task(stop.wait())
        waiting = asyncio.create_task(self._wait_for_state())
        try:
            await asyncio.wait(
                {stopping, waiting}, return_when=asyncio.FIRST_COMPLETED
            )
            if waiting.done():
                self._log_lifecycle(self.lifecycle.mark_ready)
        finally:
            stopping.cancel()
            waiting.cancel()

    async def _wait_for_state(self) -> None:
        """Waits for the endpoint list and a valid configuration lease."""
        await self.state.listed.wait()
        while await self.config_lease.wait_valid(CONFIGURATION_WAIT_S) is None:
            pass
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(QUARANTINE_WAIT_S):
                await self._quarantine_store.read.wait()

    def _log_lifecycle(self, step: Callable[[], None]) -> None:
        lifecycles.log_transition(
            _logger, self.lifecycle, self.settings.instance_id, step
        )
