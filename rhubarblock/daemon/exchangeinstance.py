"""An instance that passes opaque exchanges on, put together.

It has no disk and is told nothing of its peers: configuration, endpoints and
the other instances all come from the store.
"""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import random

import aiohttp

from rhubarblock.daemon import listener as listeners
from rhubarblock.daemon import peersearch
from rhubarblock.daemon import plannedstop
from rhubarblock.daemon import statuspages
from rhubarblock.exchange import attempts
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

# Seconds after which a wait for the configuration begins anew.
LOOK_S = 10.0
# Seconds for which an idle connection of a caller is kept.
KEEPALIVE_S = 20.0
# Seconds between two times at which endpoints that left are forgotten.
TIDY_S = 30.0
# Seconds for which a start waits for the list of its peers, and without it for
# greetings of them.
FIND_S = 0.5
GREETING_S = 0.05

_logger = logging.getLogger(__name__)

StoreFactory = Callable[
    [aiohttp.ClientSession, metric_store.Metrics, stores.Eras],
    stores.ObjectStore,
]
LeaseFactory = Callable[[aiohttp.ClientSession], dialects.LeaseClient]


class ExchangeInstance:
    """One instance; ``run`` serves until it is told to stop."""

    def __init__(
        self,
        settings: settings_lib.ExchangeSettings,
        dialect: dialects.Dialect,
        make_store: StoreFactory,
        make_leases: LeaseFactory,
        attempt_header: str,
        rng: random.Random,
    ):
        """Creates the parts that need no running loop.

        Args:
          settings: checked settings.
          dialect: spelling of the deployment.
          make_store: makes the client of the store on a session.
          make_leases: makes the client of engines' memory on a session.
          attempt_header: name of the field that answers echo.
          rng: source of jitter and choices.
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
        self.book = jobtracker.JobTracker()
        self.health = healths.Health(settings.data_centre)
        self.rests = cooldowns.Cooldowns(self.metrics)
        self.eras = era_lib.EraTracker(self.metrics)
        self._dialect = dialect
        self._make_store = make_store
        self._make_leases = make_leases
        self._attempt_header = attempt_header
        self._rng = rng

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until the event is set, then drains.

        Raises:
          OSError: an address can't be listened on.
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
        """Opens all parts; the stack closes them in the opposite order."""
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
            self.book,
            self.health,
            self.subsets,
            self.peers,
            self.timers,
            self.metrics,
            settings.capacity,
        )
        limits = self._make_limits(updates)
        self.directory.on_restart = lambda endpoint_id: self._forget_start(
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

    def _forget_start(
        self, endpoint_id: str, limits: endpointlimits.EndpointLimits
    ) -> None:
        """Holds nothing against an endpoint that started again."""
        self.book.remove_engine(endpoint_id)
        self.health.forget(endpoint_id)
        limits.forget(endpoint_id)
        self.rests.forget(endpoint_id)

    def _make_limits(
        self, updates: peer_updates.PeerUpdates
    ) -> endpointlimits.EndpointLimits:
        """Returns what keeps to the rate limits of endpoints."""
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
        """Puts together what serves an exchange."""
        bounds = self.settings.bounds
        placer = placers.Placer(
            self.directory,
            self.book,
            self.health,
            updates,
            candidates.Candidates(
                self.directory,
                self.health,
                self.subsets,
                limits,
                self.rests,
                self.settings.instance_id,
                self.settings.data_centre,
                self.timers,
                self._rng,
            ),
            limits,
            self.rests,
            self.settings.data_centre,
            self.timers,
        )
        stack.enter_context(
            self.timers.subscribe(TIDY_S, placer.remove_unlisted)
        )
        statement_handler = statements.StatementHandler(
            self.directory, limits, self.rests, self.timers, self.metrics
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
        """Listens for callers, the balancer, peers and scrapers."""
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
        """Returns what keeps the state up to date."""
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
        """Finds peers, for a moment at most, then follows the state."""
        search = peersearch.PeerSearch(
            self.settings,
            store,
            self.peers,
            updates,
            self.timers,
            self.eras,
            self.metrics,
        )
        finding = asyncio.create_task(search.run())
        keeping = asyncio.create_task(search.keep_listed())
        try:
            found, _ = await asyncio.wait({finding}, timeout=FIND_S)
            _logger.info("peers listed", extra={"listed": bool(found)})
            if not found:
                # Who greets this one may read the store for it.
                await self.timers.sleep(GREETING_S)
            async with follower.run():
                await asyncio.Event().wait()
        finally:
            finding.cancel()
            keeping.cancel()

    async def _become_ready(self, stop: asyncio.Event) -> None:
        """Waits until there is something to serve with, or for the stop."""
        stopping = asyncio.create_task(stop.wait())
        waiting = asyncio.create_task(self._wait_state())
        try:
            await asyncio.wait(
                {stopping, waiting}, return_when=asyncio.FIRST_COMPLETED
            )
            if waiting.done():
                self._log_lifecycle(self.lifecycle.mark_ready)
        finally:
            stopping.cancel()
            waiting.cancel()

    async def _wait_state(self) -> None:
        """Waits for endpoints and a configuration that may be used."""
        await self.state.listed.wait()
        while await self.config_lease.wait_valid(LOOK_S) is None:
            pass

    def _log_lifecycle(self, step: Callable[[], None]) -> None:
        lifecycles.log_transition(
            _logger, self.lifecycle, self.settings.instance_id, step
        )
