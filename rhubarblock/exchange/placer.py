"""Chooses the endpoint of an exchange and tracks the placement."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
from typing import Any

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.exchange import callbalancer
from rhubarblock.exchange import calltimes
from rhubarblock.exchange import candidates
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import placements
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.exchange.state import directory as directories
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import cooldowns
from rhubarblock.routing import health as healths
from rhubarblock.routing.admission import controller as controllers
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import speedsamples
from rhubarblock.routing.placement import splitpolicy
from rhubarblock.routing.retrylending import reserve as reserves

# Longest prompt in tokens that is prefilled again elsewhere to spare its caller
# a pause: this prefill takes a tenth of a second.
MAX_MOVED_TOKENS = 16_000
# A short stream moves if the predicted pause of its engine exceeds this
# multiple of the route's objective for pauses. The move itself costs most of
# one such pause.
MOVED_PAUSES = 1.2
# A stream moves only if it resumes elsewhere within this fraction of the
# predicted pause; otherwise the gain is not worth the second prefill.
MOVE_FRACTION = 0.6

# Says whether an exchange is let in at a placement, None for no placement.
Admits = Callable[[controllers.Outlook | None], bool]


def admit_all(outlook: controllers.Outlook | None) -> bool:
    """Lets in every exchange, as one that was let in at an earlier attempt."""
    del outlook
    return True


_logger = logging.getLogger(__name__)


class Placer:
    """Places the exchanges of one instance."""

    __slots__ = (
        "_job_tracker",
        "_calls",
        "_candidates",
        "_data_centre",
        "_directory",
        "_health",
        "_limits",
        "_updates",
        "_numbers",
        "_prompt_policy",
        "_cooldowns",
        "_timers",
    )

    def __init__(
        self,
        directory: directories.Directory,
        job_tracker: jobtracker.JobTracker,
        health: healths.Health,
        updates: peer_updates.PeerUpdates,
        candidates_: candidates.Candidates,
        limits: endpointlimits.EndpointLimits,
        cooldowns_: cooldowns.Cooldowns,
        data_centre: str,
        timers: timer_service.Timers,
        call_times: calltimes.CallTimes | None = None,
    ):
        """Creates a placer.

        Args:
          directory: known endpoints.
          job_tracker: jobs placed on each engine.
          health: circuit breakers of endpoints.
          updates: announces placements to peers.
          candidates_: endpoints to choose from.
          limits: rate limits that endpoints state.
          cooldowns_: cool-downs that endpoints asked for.
          data_centre: where this instance runs.
          timers: the clock.
          call_times: how long plain calls took; None to start without any.
        """
        self._directory = directory
        self._job_tracker = job_tracker
        self._health = health
        self._candidates = candidates_
        self._limits = limits
        self._cooldowns = cooldowns_
        self._updates = updates
        self._timers = timers
        self._data_centre = data_centre
        self._prompt_policy = splitpolicy.SplitPromptPolicy(
            job_tracker, data_centre
        )
        self._calls = callbalancer.CallBalancer(
            health, data_centre, timers, call_times
        )
        self._numbers = 0

    @contextlib.contextmanager
    def hold(
        self,
        exchange: exchanges.Exchange,
        avoid: set[str],
        is_mid_stream: bool = False,
        refusals: int = 0,
        admits: Admits = admit_all,
        last_choice: frozenset[str] = frozenset(),
    ) -> Iterator[placements.Placement | None]:
        """Places an attempt and tracks it while the context is open.

        Args:
          exchange: the exchange to send.
          avoid: ids of endpoints at which it failed.
          is_mid_stream: whether the caller already receives a stream.
          refusals: number of attempts that endpoints refused.
          admits: says whether the exchange is let in at the best placement; it
            isn't asked if there is no endpoint.
          last_choice: ids of engines that are used only if no other one can
            serve the exchange in time.

        Yields:
          The placement, or None if no endpoint has capacity or the exchange is
          not let in.
        """
        endpoints = self._candidates.list_for(exchange, avoid)
        if not endpoints:
            yield None
            return
        model = _find_model(exchange)
        if model is None:
            with self._hold_call(endpoints, admits) as placement:
                yield placement
            return
        now_s = self._timers.read_monotonic()
        job_id = self._make_job_id()
        prompt = _make_prompt(exchange, job_id, is_mid_stream, now_s, refusals)
        self._job_tracker.expire(now_s)
        self._job_tracker.speeds.refresh(now_s)
        choice = None
        if last_choice:
            others = self._candidates.list_for(exchange, avoid | last_choice)
            choice = self._prompt_policy.choose(prompt, others, model, now_s)
            if choice and now_s + choice.expected_s >= exchange.deadline_s:
                choice = None
        if choice is None:
            choice = self._prompt_policy.choose(prompt, endpoints, model, now_s)
        outlook = self._describe_outlook(choice, endpoints, model, now_s)
        if not admits(outlook):
            choice = None
        with self._hold_choice(choice, model, now_s) as placement:
            yield placement

    def _make_job_id(self) -> str:
        self._numbers += 1
        return self._updates.make_job_id(self._numbers)

    def forget(self, endpoint: lists.ListedEndpoint) -> None:
        """Removes an endpoint whose address belongs to another one now.

        It is not used again until a list names it. Peers are notified.
        """
        self._updates.announce_reused(endpoint)
        self._directory.remove(endpoint.endpoint_id)

    def receive_reused(
        self, fields: list[Any], peer: peer_table.Address
    ) -> None:
        """Applies a peer's report that an endpoint's address was reused."""
        endpoint_id, address, born_ms = fields[:3]
        is_removed = self._directory.remove_reused(
            str(endpoint_id), str(address), int(born_ms)
        )
        _logger.info(
            "address belongs to another endpoint",
            extra={
                "endpoint": endpoint_id,
                "address": address,
                "peer": peer_table.format_address(peer),
                "removed": is_removed,
            },
        )

    def note_refused(self, endpoint: lists.ListedEndpoint) -> None:
        """Records that an endpoint refused an attempt."""
        self._calls.note_refused(endpoint.endpoint_id)

    def is_busy_helping(
        self, exchange: exchanges.Exchange, engine: lists.ListedEndpoint
    ) -> bool:
        """Returns whether an engine helps so often that it may refuse."""
        model = _find_model(exchange)
        if model is None:
            return False
        helped = self._job_tracker.find(engine.endpoint_id).count_helped()
        return 2 * helped >= model.slots

    async def remove_unlisted(self) -> None:
        """Drops what is kept about endpoints that are no longer listed."""
        ids = self._directory.list_ids()
        self._job_tracker.keep_only(ids)
        self._health.keep_only(ids)
        self._limits.keep_only(ids)
        self._calls.keep_only(ids)
        self._candidates.keep_only(ids)
        # The cool-down of an endpoint outlasts a short gap in the list.
        self._cooldowns.expire(self._timers.read_monotonic())

    def predict_prefill_end(
        self, placement: placements.Placement, begun: bool
    ) -> float:
        """Returns when the engines of a placement finish their prefills.

        Args:
          placement: where an attempt was sent.
          begun: whether its own prefill is over, so that only the engine that
            decodes matters.

        Returns:
          Monotonic seconds, in the past for an endpoint that prefills nothing.
        """
        ids = [placement.endpoint.endpoint_id]
        if not begun:
            ids += [engine.endpoint_id for engine in placement.helper_engines]
        now_s = self._timers.read_monotonic()
        waits = [
            self._job_tracker.find(name).predict_wait(now_s) for name in ids
        ]
        return now_s + max(waits)

    def has_room(self, flow: flows.Flow) -> bool:
        """Returns whether some endpoint has capacity for an exchange."""
        return (
            self._predict_start_elsewhere(flow, flow.history.failed_endpoints)
            is not None
        )

    def predict_outlook(self, flow: flows.Flow) -> reserves.Outlook:
        """Returns what an exchange can still meet if it is retried now."""
        exchange = flow.exchange
        now_s = self._timers.read_monotonic()
        start_s = self._predict_start_elsewhere(
            flow, flow.history.failed_endpoints
        )
        if now_s + (start_s or 0.0) >= exchange.deadline_s:
            return reserves.Outlook.NOTHING
        if start_s is None:
            # An endpoint may get capacity while the exchange waits for it.
            return reserves.Outlook.DEADLINE
        first_s = flow.progress.first_s
        if first_s is None:
            first_s = now_s + start_s - exchange.arrived_s
        if first_s <= exchange.route.objective_s:
            return reserves.Outlook.OBJECTIVE
        return reserves.Outlook.DEADLINE

    def find_retry_after(
        self, flow: flows.Flow
    ) -> candidates.RetryAdvice | None:
        """Returns when a refused caller may retry.

        None if neither rate limits nor cool-downs were the reason.
        """
        return self._candidates.find_retry_after(
            flow.exchange, flow.history.failed_endpoints
        )

    def find_home_shortage(
        self, exchange: exchanges.Exchange
    ) -> candidates.HomeShortage | None:
        """Returns why home regions leave an exchange no endpoint, or None."""
        return self._candidates.find_home_shortage(exchange)

    def predict_availability(self, flow: flows.Flow) -> float | None:
        """Returns the seconds until an endpoint may be available.

        None if an endpoint is available that has no rate limit, or if there is
        no endpoint to wait for.
        """
        return self._candidates.predict_availability(
            flow.exchange, flow.history.failed_endpoints
        )

    def find_start_delay(self, flow: flows.Flow) -> float:
        """Returns the seconds by which the start of an exchange is delayed."""
        exchange = flow.exchange
        model = _find_model(exchange)
        if model is None:
            return 0.0
        now_s = self._timers.read_monotonic()
        prompt = _make_prompt(exchange, "", flow.sink.begun, now_s)
        # Checked first: most prompts are short, and need no list of endpoints
        # here.
        if not self._prompt_policy.may_defer(prompt, model):
            return 0.0
        endpoints = self._candidates.list_for(
            exchange, flow.history.failed_endpoints
        )
        return self._prompt_policy.find_start_delay(
            prompt, endpoints, model, now_s
        )

    def can_move(
        self, flow: flows.Flow, placement: placements.Placement, is_busy: bool
    ) -> bool:
        """Returns whether an attempt should move to another endpoint.

        Args:
          flow: the exchange.
          placement: where it is now.
          is_busy: whether its engine is healthy and only prefills for others;
            then another engine must start much sooner than this one resumes.
        """
        avoid = {placement.endpoint.endpoint_id, *flow.history.failed_endpoints}
        elsewhere_s = self._predict_start_elsewhere(flow, avoid)
        if elsewhere_s is None:
            return False
        prefill_end_s = self.predict_prefill_end(placement, flow.sink.begun)
        here_s = prefill_end_s - self._timers.read_monotonic()
        return not is_busy or elsewhere_s < MOVE_FRACTION * here_s

    def _predict_start_elsewhere(
        self, flow: flows.Flow, avoid: set[str]
    ) -> float | None:
        """Returns the seconds until an exchange would resume elsewhere.

        An engine that prefills for others starts at once and then pauses for
        the remainder of those prefills, so the longer of both counts. None if
        no endpoint has capacity.
        """
        exchange = flow.exchange
        endpoints = self._candidates.list_for(exchange, avoid)
        if not endpoints:
            return None
        model = _find_model(exchange)
        if model is None:
            return placements.SERVICE_S
        now_s = self._timers.read_monotonic()
        prompt = _make_prompt(exchange, "", flow.sink.begun, now_s)
        choice = self._prompt_policy.choose(prompt, endpoints, model, now_s)
        return max(choice.expected_s, choice.pause_s) if choice else None

    @contextlib.contextmanager
    def watch_added_prefill(
        self,
        exchange: exchanges.Exchange,
        placement: placements.Placement,
        has_begun: Callable[[], bool],
        abandon: Callable[[], object],
    ) -> Iterator[None]:
        """Calls back when added prefill makes an engine pause too long.

        Only a short prompt moves, as it is prefilled again elsewhere in a
        fraction of such a pause. A long one stays.

        Args:
          exchange: the exchange.
          placement: where it runs.
          has_begun: returns whether its own prefill is over.
          abandon: called when the exchange should move elsewhere.

        Yields:
          Nothing; calls back while the context is open.
        """
        model = exchange.service.engine
        pause_s = exchange.route.pause_s
        if model is None or not pause_s:
            yield
            return
        if exchange.prompt_tokens > MAX_MOVED_TOKENS:
            yield
            return
        engine_id = placement.endpoint.endpoint_id

        def check() -> None:
            load = self._job_tracker.find(engine_id)
            prefill_end_s = self.predict_prefill_end(placement, has_begun())
            wait_s = prefill_end_s - self._timers.read_monotonic()
            if wait_s + load.predict_stride(model) > MOVED_PAUSES * pause_s:
                abandon()

        with contextlib.ExitStack() as stack:
            for engine in (placement.endpoint, *placement.helper_engines):
                watch = self._job_tracker.watch(engine.endpoint_id, check)
                stack.enter_context(watch)
            yield

    def _describe_outlook(
        self,
        choice: prompts.Choice | None,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ) -> controllers.Outlook | None:
        if choice is None:
            return None
        ids = [engine.endpoint_id for engine in engines]
        return controllers.Outlook(
            choice.cost,
            choice.others_cost,
            choice.expected_s,
            self._job_tracker.measure_utilisation(ids, model.slots, now_s),
        )

    def _note_chosen(
        self, endpoint: lists.ListedEndpoint, now_s: float
    ) -> None:
        self._health.note_chosen(endpoint.endpoint_id, now_s)
        self._cooldowns.note_chosen(endpoint.endpoint_id, now_s)
        self._limits.take(endpoint.endpoint_id)

    @contextlib.contextmanager
    def _hold_call(
        self, endpoints: list[lists.ListedEndpoint], admits: Admits
    ) -> Iterator[placements.Placement | None]:
        if not admits(self._calls.predict(endpoints)):
            yield None
            return
        chosen = self._calls.choose(endpoints)
        self._note_chosen(chosen, self._timers.read_monotonic())
        self._candidates.note_called(chosen.endpoint_id)
        with self._calls.hold(chosen.endpoint_id):
            call = self._calls.measure(chosen)
            rate = self._limits.find_rate(chosen.endpoint_id)
            yield placements.Placement(chosen, limit_per_s=rate, call=call)

    @contextlib.contextmanager
    def _hold_choice(
        self,
        choice: prompts.Choice | None,
        model: routes.EngineCostModel,
        now_s: float,
    ) -> Iterator[placements.Placement | None]:
        if choice is None:
            yield None
            return
        for engine in choice.engines:
            self._note_chosen(engine, now_s)
        self._job_tracker.add(choice.job, now_s)
        self._updates.announce_placed(choice.job)
        try:
            rate = self._limits.find_rate(choice.engines[0].endpoint_id)
            samples = speedsamples.AnswerSamples(
                self._job_tracker, choice.job, model, now_s
            )
            yield placements.make_placement(choice, rate, samples)
        finally:
            self._job_tracker.remove(choice.job.job_id)
            self._updates.announce_ended(choice.job)


def _find_model(exchange: exchanges.Exchange) -> routes.EngineCostModel | None:
    """Returns the cost model of its engines; None for a plain call."""
    return exchange.service.engine if exchange.prompt_tokens else None


def _make_prompt(
    exchange: exchanges.Exchange,
    job_id: str,
    is_mid_stream: bool,
    now_s: float,
    refusals: int = 0,
) -> prompts.Prompt:
    return prompts.Prompt(
        job_id,
        exchange.prompt_tokens,
        exchange.answer_tokens,
        exchange.route.pause_s,
        exchange.route.objective_s,
        is_mid_stream,
        now_s - exchange.arrived_s,
        refusals,
    )
