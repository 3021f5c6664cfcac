"""Which endpoints are left alone for a while, from what requests met there.

Nothing is asked of an endpoint to find out: its answers tell. One that broke
a connection or kept silent is left for a time that doubles with each further
failure and is forgotten with the next success.
"""

import dataclasses

# First time in seconds for which an endpoint is left, and the longest. A
# restart takes some seconds; the first time is below the time in which a
# caller gives up, as one failure may be the way's and not the endpoint's.
FIRST_S = 0.7
LONGEST_S = 6.0
# How much one answer moves the share of failures of an endpoint.
SHARE_STEP = 0.15
# Share of failures from which an endpoint counts as sick although it answers:
# well above what a sound service fails by itself.
SICK_SHARE = 0.4


@dataclasses.dataclass(slots=True)
class _State:
    failures: int = 0
    until_s: float = 0.0
    share: float = 0.0


class Health:
    """What requests met at each endpoint."""

    __slots__ = ("_states",)

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}

    def note_broken(self, endpoint_id: str, now_s: float) -> None:
        """Takes in a connection that failed, or a silence."""
        state = self._states.setdefault(endpoint_id, _State())
        if now_s < state.until_s:
            # What was under way when it was left says nothing new.
            return
        away_s = min(LONGEST_S, FIRST_S * 2.0**state.failures)
        state.failures += 1
        state.until_s = now_s + away_s

    def note_error(self, endpoint_id: str) -> None:
        """Takes in an answer that says that the endpoint failed."""
        state = self._states.setdefault(endpoint_id, _State())
        state.share += SHARE_STEP * (1.0 - state.share)

    def note_success(self, endpoint_id: str) -> None:
        """Takes in a whole answer."""
        state = self._states.get(endpoint_id)
        if state is None:
            return
        state.failures = 0
        state.until_s = 0.0
        state.share -= SHARE_STEP * state.share

    def is_suspect(self, endpoint_id: str, now_s: float) -> bool:
        """Says whether an endpoint is left alone at present."""
        state = self._states.get(endpoint_id)
        if state is None:
            return False
        return now_s < state.until_s or state.share > SICK_SHARE

    def share_of(self, endpoint_id: str) -> float:
        """Returns the share of failures among its latest answers."""
        state = self._states.get(endpoint_id)
        return state.share if state else 0.0
