"""An instance that relays opaque exchanges, assembled from its parts.

It has no disk and its settings name no peers: the configuration, the endpoints
and the other instances are all read from the store.
"""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import random

import aiohttp

from rhubarblock.daemon import listener as listeners
from rhubarblock.daemon import peerdiscovery
from rhubarblock.daemon import plannedstop
from rhubarblock.daemon import statuspages
from rhubarblock.exchange import attempts
from rhubarblock.exchange import calltimes
from rhubarblock.exchange import candidates
from rhubarblock.exchange import crashes
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange import leases
from rhubarblock.exchange import outcomes
from rhubarblock.exchange import placer as placers
from rhubarblock.exchange import relay as relays
from rhubarblock.exchange import requesthandler
from rhubarblock.exchange import statements
from rhubarblock.exchange import transport as transports
from rhubarblock.exchange.peering import limitupdates
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import feed as statefeed
from rhubarblock.exchange.state import follower as followers
from rhubarblock.exchange.state import replica as replicas
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import countlog
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import cooldowns
from rhubarblock.routing import health as healths
from rhubarblock.routing.placement import jobtracker
from rhubarblock.settings import exchange as settings_lib
from rhubarblock.store import era as era_lib
from rhubarblock.store import store as stores

# Timeout of one wait for a valid configuration; the wait is then repeated.
CONFIGURATION_WAIT_S = 10.0
# Seconds for which an idle connection is kept open.
KEEPALIVE_S = 20.0
# Seconds between two removals of the state of unlisted endpoints.
CLEANUP_INTERVAL_S = 30.0
# Seconds that a start waits for the list of its peers and, if there is none by
# then, for heartbeats from them.
PEER_DISCOVERY_TIMEOUT_S = 0.5
HEARTBEAT_WAIT_S = 0.05

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
            an HTTP session.
          attempt_header: name of the header that endpoints echo in responses.
          rng: source of jitter and of random choices.
        """
        self.settings = settings
        self.lifecycle = lifecycles.InstanceLifecycle()
        self.metrics = metric_store.Metrics()
        self.timers = timer_service.LoopTimers()
        self.config_lease = config_leases.ConfigurationLease(
            settings.bounds.revoke_s
        )
        self.directory = directories.Directory(
            self.timers, settings.bounds.drain_s
        )
        self.subsets = subsets.Subsets(self.directory)
        self.state = replicas.StateReplica(
            dialect, self.config_lease, self.directory, self.timers
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
        self._dialect = dialect
        self._make_store = make_store
        self._make_leases = make_leases
        self._attempt_header = attempt_header
        self._rng = rng

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
        session = await stack.enter_async_context(aiohttp.ClientSession())
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
        limits = self._make_limits(updates)
        self.directory.on_restart = lambda endpoint_id: self._reset_endpoint(
            endpoint_id, limits
        )
        await stack.enter_async_context(
            updates.open(settings.peers.host, settings.peers.port)
        )
        relay = await self._open_relay(stack, session, updates, limits)
        await self._listen(stack, relay, updates)
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

    def _make_limits(
        self, updates: peer_updates.PeerUpdates
    ) -> endpointlimits.EndpointLimits:
        """Returns the part that enforces the rate limits of endpoints."""
        settings = self.settings
        limits = endpointlimits.EndpointLimits(
            limitupdates.DatagramLimitPeers(
                updates,
                self.peers,
                self.subsets,
                settings.instance_id,
                settings.data_centre,
                self.timers,
            ),
            self._rng,
            self.timers,
            self.metrics,
        )
        limitupdates.connect(updates, limits)
        return limits

    async def _open_relay(
        self,
        stack: contextlib.AsyncExitStack,
        session: aiohttp.ClientSession,
        updates: peer_updates.PeerUpdates,
        limits: endpointlimits.EndpointLimits,
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
            self.directory, limits, self.cooldowns, self.timers, self.metrics
        )
        lease_holder = await stack.enter_async_context(
            leases.open_holder(
                self._make_leases(session),
                bounds,
                statement_handler,
                self.timers,
            )
        )
        endpoint_sessions = await stack.enter_async_context(
            transports.open_sessions(self._attempt_header)
        )
        runner = attempts.AttemptRunner(
            placer,
            transports.EndpointTransport(endpoint_sessions, self._dialect),
            self.health,
            lease_holder,
            statement_handler,
            self.timers,
        )
        outcome = outcomes.OutcomeRecorder(
            self.health,
            updates,
            self.peers.count_instances,
            bounds,
            self.timers,
            self.metrics,
        )
        self.job_tracker.speeds.on_change = outcome.note_speed
        crash_detector = crashes.CrashDetector(updates, self.timers)
        return relays.ExchangeRelay(
            placer, runner, outcome, crash_detector, self.timers
        )

    async def _listen(
        self,
        stack: contextlib.AsyncExitStack,
        relay: relays.ExchangeRelay,
        updates: peer_updates.PeerUpdates,
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
            self.lifecycle,
            self.config_lease,
            self.eras,
            self.timers,
            self.metrics,
        )
        self._callers = await stack.enter_async_context(
            listeners.open_listener(
                request_handler.handle, settings.callers, KEEPALIVE_S
            )
        )
        for handler, address in (
            (pages.answer_readiness, settings.readiness),
            (feed.handle, settings.peers),
            (pages.answer_metrics, settings.metrics),
        ):
            await stack.enter_async_context(
                listeners.open_listener(handler, address, KEEPALIVE_S)
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

    def _log_lifecycle(self, step: Callable[[], None]) -> None:
        lifecycles.log_transition(
            _logger, self.lifecycle, self.settings.instance_id, step
        )
