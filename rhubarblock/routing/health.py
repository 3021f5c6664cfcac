"""Which endpoints are left alone for a while, from what requests met there.

Nothing is asked of an endpoint to find out: its answers tell. One that broke
a connection or kept silent is left for a time that doubles with each further
failure. After that a single request tries it, and only its success brings the
others back. What peers of the same data centre met counts too, since they use
the same way; and when several endpoints of another data centre fall silent
together, it is the way to it that is broken.
"""

import dataclasses

# First time in seconds for which an endpoint is left, and the longest. A
# restart takes some seconds; the first time is below the time in which a
# caller gives up, as one failure may be the way's and not the endpoint's.
FIRST_S = 0.7
LONGEST_S = 4.0
# Seconds for which one request tries an endpoint before another one may.
TRIAL_S = 1.0
# How much one answer moves the share of failures of an endpoint.
SHARE_STEP = 0.15
# Share of failures from which an endpoint counts as sick although it answers:
# well above what a sound service fails by itself.
SICK_SHARE = 0.4
# Endpoints of one data centre that fall silent within the seconds, none of
# them answering in between, before all of it counts as cut off.
CUT_ENDPOINTS = 2
CUT_WINDOW_S = 2.0
# Seconds for which a data centre that is cut off is left.
CUT_S = 1.5


@dataclasses.dataclass(slots=True)
class _State:
    failures: int = 0
    until_s: float = 0.0
    trial_until_s: float = 0.0
    share: float = 0.0


@dataclasses.dataclass(slots=True)
class _Way:
    """The way to one data centre."""

    silent: dict[str, float] = dataclasses.field(default_factory=dict)
    until_s: float = 0.0


class Health:
    """What requests met at each endpoint."""

    __slots__ = ("_own", "_states", "_ways")

    def __init__(self, own_data_centre: str = ""):
        """Starts with no bad news.

        Args:
          own_data_centre: the way within it is never taken for broken.
        """
        self._own = own_data_centre
        self._states: dict[str, _State] = {}
        self._ways: dict[str, _Way] = {}

    def note_unreachable(
        self, endpoint_id: str, data_centre: str, now_s: float
    ) -> bool:
        """Takes in a connection that failed, or a silence.

        Returns:
          Whether that is news, so that peers should hear of it.
        """
        self._note_silent(endpoint_id, data_centre, now_s)
        state = self._states.setdefault(endpoint_id, _State())
        if now_s < state.until_s:
            # What was under way when it was left says nothing new.
            return False
        away_s = min(LONGEST_S, FIRST_S * 2.0**state.failures)
        state.failures += 1
        state.until_s = now_s + away_s
        state.trial_until_s = 0.0
        return True

    def note_error(self, endpoint_id: str) -> None:
        """Takes in an answer that says that the endpoint failed."""
        state = self._states.setdefault(endpoint_id, _State())
        state.share += SHARE_STEP * (1.0 - state.share)

    def note_success(self, endpoint_id: str, data_centre: str) -> None:
        """Takes in an answer that isn't a refusal."""
        self.note_reached(endpoint_id, data_centre)
        state = self._states.get(endpoint_id)
        if state is not None:
            state.share -= SHARE_STEP * state.share

    def note_reached(self, endpoint_id: str, data_centre: str) -> None:
        """Takes in that an endpoint answered, whatever it said."""
        way = self._ways.get(data_centre)
        if way is not None:
            way.silent.clear()
            way.until_s = 0.0
        state = self._states.get(endpoint_id)
        if state is None:
            return
        state.failures = 0
        state.until_s = 0.0

    def note_chosen(self, endpoint_id: str, now_s: float) -> None:
        """Takes in that a request goes there; it may be the one that tries."""
        state = self._states.get(endpoint_id)
        if state is not None and state.failures:
            state.trial_until_s = now_s + TRIAL_S

    def is_suspect(
        self, endpoint_id: str, data_centre: str, now_s: float
    ) -> bool:
        """Says whether an endpoint is left alone at present."""
        way = self._ways.get(data_centre)
        if way is not None and now_s < way.until_s:
            return True
        state = self._states.get(endpoint_id)
        if state is None:
            return False
        if now_s < state.until_s or now_s < state.trial_until_s:
            return True
        return state.share > SICK_SHARE

    def is_tripped(self, endpoint_id: str) -> bool:
        """Says whether an endpoint failed and has not answered since."""
        state = self._states.get(endpoint_id)
        return state is not None and state.failures > 0

    def find_error_rate(self, endpoint_id: str) -> float:
        """Returns the share of failures among its latest answers."""
        state = self._states.get(endpoint_id)
        return state.share if state else 0.0

    def forget(self, endpoint_id: str) -> None:
        """Forgets what an earlier start of an endpoint did."""
        self._states.pop(endpoint_id, None)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are not there any more."""
        for endpoint_id in [e for e in self._states if e not in endpoint_ids]:
            del self._states[endpoint_id]

    def _note_silent(
        self, endpoint_id: str, data_centre: str, now_s: float
    ) -> None:
        if data_centre == self._own:
            return
        way = self._ways.setdefault(data_centre, _Way())
        way.silent[endpoint_id] = now_s
        for name, at_s in list(way.silent.items()):
            if now_s - at_s > CUT_WINDOW_S:
                del way.silent[name]
        if len(way.silent) >= CUT_ENDPOINTS:
            way.until_s = now_s + CUT_S
