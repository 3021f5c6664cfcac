"""Chooses the endpoint of an exchange and tells the books of it."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.exchange import callbalancer
from rhubarblock.exchange import candidates
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import places
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.exchange.state import directory as directories
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import cooldowns
from rhubarblock.routing import health as healths
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import parting
from rhubarblock.routing.placement import prompt as prompts

# Longest prompt in tokens that is read again elsewhere to spare its caller a
# pause: a tenth of a second of reading.
MOVED_TOKENS = 16_000
# Predicted pauses of an engine, in pauses that are on time, from which a short
# stream leaves it. Moving itself costs most of one such pause.
MOVED_PAUSES = 1.2
# Part of the silence before a stream that moving it may take: less gains
# nothing for the reading that it costs.
MOVE_PART = 0.6


class Placer:
    """Places the exchanges of one instance."""

    __slots__ = (
        "_book",
        "_calls",
        "_candidates",
        "_data_centre",
        "_directory",
        "_health",
        "_limits",
        "_updates",
        "_numbers",
        "_parter",
        "_rests",
        "_timers",
    )

    def __init__(
        self,
        directory: directories.Directory,
        book: jobtracker.JobTracker,
        health: healths.Health,
        updates: peer_updates.PeerUpdates,
        candidates_: candidates.Candidates,
        limits: endpointlimits.EndpointLimits,
        rests_: cooldowns.Cooldowns,
        data_centre: str,
        timers: timer_service.Timers,
    ):
        """Creates a placer.

        Args:
          directory: endpoints that are known.
          book: what each engine has before it.
          health: takes which endpoints are chosen.
          updates: tells peers what was placed.
          candidates_: endpoints to choose from.
          limits: rate limits that endpoints name.
          rests_: endpoints that asked for rest.
          data_centre: where this instance runs.
          timers: the clock.
        """
        self._directory = directory
        self._book = book
        self._health = health
        self._candidates = candidates_
        self._limits = limits
        self._rests = rests_
        self._updates = updates
        self._timers = timers
        self._data_centre = data_centre
        self._parter = parting.Parter(book, data_centre)
        self._calls = callbalancer.CallBalancer(health, data_centre, timers)
        self._numbers = 0

    @contextlib.contextmanager
    def hold(
        self,
        exchange: exchanges.Exchange,
        avoid: set[str],
        is_mid_stream: bool = False,
        refusals: int = 0,
    ) -> Iterator[places.Place | None]:
        """Places an attempt and keeps it in the books while it lasts.

        Args:
          exchange: what is to be sent.
          avoid: endpoints that failed it.
          is_mid_stream: whether the caller is within a stream already.
          refusals: attempts that an endpoint refused.

        Yields:
          Where it goes, or None if there is no room anywhere.
        """
        endpoints = self._candidates.list_for(exchange, avoid)
        if not endpoints:
            yield None
            return
        model = _find_model(exchange)
        if model is None:
            with self._hold_call(endpoints) as place:
                yield place
            return
        now_s = self._timers.read_monotonic()
        job_id = self._make_job_id()
        prompt = _describe(exchange, job_id, is_mid_stream, now_s, refusals)
        with self._hold_prompt(prompt, endpoints, model, now_s) as place:
            yield place

    def _make_job_id(self) -> str:
        self._numbers += 1
        return self._updates.make_job_id(self._numbers)

    def forget(self, endpoint: lists.ListedEndpoint) -> None:
        """Takes in that another endpoint has the address of one now.

        It is not used again unless the list names it anew.
        """
        self._directory.remove(endpoint.endpoint_id)

    def note_refused(self, endpoint: lists.ListedEndpoint) -> None:
        """Takes in that an endpoint refused an attempt."""
        self._calls.note_refused(endpoint.endpoint_id)

    def has_many_helps(
        self, exchange: exchanges.Exchange, engine: lists.ListedEndpoint
    ) -> bool:
        """Says whether an engine helps so many that it may refuse for that."""
        model = _find_model(exchange)
        if model is None:
            return False
        helped = self._book.find(engine.endpoint_id).count_helped()
        return 2 * helped >= model.slots

    async def remove_unlisted(self) -> None:
        """Forgets what is known of endpoints that are not listed any more."""
        ids = self._directory.list_ids()
        self._book.keep_only(ids)
        self._health.keep_only(ids)
        self._limits.keep_only(ids)
        self._calls.keep_only(ids)
        # An endpoint that is not listed for a moment rests all the same.
        self._rests.expire(self._timers.read_monotonic())

    def predict_free(self, place: places.Place, begun: bool) -> float:
        """Returns when the engines of a place have read what they were given.

        Args:
          place: where an attempt went.
          begun: whether its own reading is over, so that only the engine that
            writes matters.

        Returns:
          Monotonic seconds, in the past for an endpoint that reads nothing.
        """
        ids = [place.endpoint.endpoint_id]
        if not begun:
            ids += [engine.endpoint_id for engine in place.helper_engines]
        now_s = self._timers.read_monotonic()
        waits = [self._book.find(name).predict_wait(now_s) for name in ids]
        return now_s + max(waits)

    def has_room(self, flow: flows.Flow) -> bool:
        """Says whether an exchange that is under way has a place to go."""
        return self._foresee(flow, flow.history.failed_endpoints) is not None

    def find_return(self, flow: flows.Flow) -> candidates.Opening | None:
        """Returns when a refused caller may come back.

        None if neither rate limits nor rests of endpoints were why.
        """
        return self._candidates.find_return(
            flow.exchange, flow.history.failed_endpoints
        )

    def predict_opening(self, flow: flows.Flow) -> float | None:
        """Returns the seconds until an endpoint may be open.

        None if one is open that named no limit.
        """
        return self._candidates.predict_opening(
            flow.exchange, flow.history.failed_endpoints
        )

    def find_start_delay(self, flow: flows.Flow) -> float:
        """Returns the seconds that an exchange had better wait here."""
        exchange = flow.exchange
        model = _find_model(exchange)
        if model is None:
            return 0.0
        now_s = self._timers.read_monotonic()
        prompt = _describe(exchange, "", flow.sink.begun, now_s)
        # Asked first: short prompts are most of all, and have no endpoints
        # listed for this.
        if not self._parter.may_defer(prompt, model):
            return 0.0
        endpoints = self._candidates.list_for(
            exchange, flow.history.failed_endpoints
        )
        return self._parter.find_start_delay(prompt, endpoints, model, now_s)

    def can_move(
        self, flow: flows.Flow, place: places.Place, is_busy: bool
    ) -> bool:
        """Says whether an attempt had better go on elsewhere.

        Args:
          flow: the exchange.
          place: where it is now.
          is_busy: whether its engine is sound and only reads for others; then
            another one must begin much sooner than this one goes on.
        """
        avoid = {place.endpoint.endpoint_id, *flow.history.failed_endpoints}
        there_s = self._foresee(flow, avoid)
        if there_s is None:
            return False
        free_s = self.predict_free(place, flow.sink.begun)
        here_s = free_s - self._timers.read_monotonic()
        return not is_busy or there_s < MOVE_PART * here_s

    def _foresee(self, flow: flows.Flow, avoid: set[str]) -> float | None:
        """Returns the seconds until an exchange would go on elsewhere.

        An engine that reads for others begins it at once and then falls silent
        for the rest of that reading, so the longer of both counts.
        """
        exchange = flow.exchange
        endpoints = self._candidates.list_for(exchange, avoid)
        if not endpoints:
            return None
        model = _find_model(exchange)
        if model is None:
            return places.SERVICE_S
        now_s = self._timers.read_monotonic()
        prompt = _describe(exchange, "", flow.sink.begun, now_s)
        choice = self._parter.choose(prompt, endpoints, model, now_s)
        return max(choice.expected_s, choice.pause_s) if choice else None

    @contextlib.contextmanager
    def watch_disturbance(
        self,
        exchange: exchanges.Exchange,
        place: places.Place,
        has_begun: Callable[[], bool],
        leave: Callable[[], object],
    ) -> Iterator[None]:
        """Calls back when an engine gets reading that makes it pause too long.

        A short prompt is read again elsewhere in a fraction of such a pause; a
        long one stays.

        Args:
          exchange: what runs there.
          place: where.
          has_begun: says whether its own reading is over.
          leave: is called when it had better go on elsewhere.

        Yields:
          Nothing; it is called while the context is open.
        """
        model = exchange.service.engine
        pause_s = exchange.route.pause_s
        if model is None or not pause_s:
            yield
            return
        if exchange.prompt_tokens > MOVED_TOKENS:
            yield
            return
        engine_id = place.endpoint.endpoint_id

        def check() -> None:
            load = self._book.find(engine_id)
            free_s = self.predict_free(place, has_begun())
            wait_s = free_s - self._timers.read_monotonic()
            if wait_s + load.predict_stride(model) > MOVED_PAUSES * pause_s:
                leave()

        with contextlib.ExitStack() as stack:
            for engine in (place.endpoint, *place.helper_engines):
                watch = self._book.watch(engine.endpoint_id, check)
                stack.enter_context(watch)
            yield

    def _note_chosen(
        self, endpoint: lists.ListedEndpoint, now_s: float
    ) -> None:
        self._health.note_chosen(endpoint.endpoint_id, now_s)
        self._rests.note_chosen(endpoint.endpoint_id, now_s)
        self._limits.take(endpoint.endpoint_id)

    @contextlib.contextmanager
    def _hold_call(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> Iterator[places.Place]:
        chosen = self._calls.choose(endpoints)
        self._note_chosen(chosen, self._timers.read_monotonic())
        with self._calls.hold(chosen.endpoint_id):
            rate = self._limits.find_rate(chosen.endpoint_id)
            yield places.Place(chosen, limit_per_s=rate)

    @contextlib.contextmanager
    def _hold_prompt(
        self,
        prompt: prompts.Prompt,
        endpoints: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ) -> Iterator[places.Place | None]:
        self._book.expire(now_s)
        choice = self._parter.choose(prompt, endpoints, model, now_s)
        if choice is None:
            yield None
            return
        for engine in choice.engines:
            self._note_chosen(engine, now_s)
        self._book.add(choice.job, now_s)
        self._updates.announce_placed(choice.job)
        try:
            rate = self._limits.find_rate(choice.engines[0].endpoint_id)
            yield places.make_place(choice, rate)
        finally:
            self._book.remove(choice.job.job_id)
            self._updates.announce_ended(choice.job)


def _find_model(exchange: exchanges.Exchange) -> routes.EngineCostModel | None:
    """Returns what the steps of its engines cost; None for a plain call."""
    return exchange.service.engine if exchange.prompt_tokens else None


def _describe(
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
