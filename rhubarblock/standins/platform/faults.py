"""Faults of the stand-in platform that a test can switch on and off.

They cover what the platform's owners say can happen: outages, slow answers,
an answer lost after the write took effect, reads of an older state, watch
events that are lost or out of order, and a client that is cut off.
"""

from collections.abc import Callable
import random


class PlatformFaults:
    """The switches; all of them are off at first.

    Attributes:
      slow_s: seconds added to each call.
      lose_answers_next: number of next writes that take effect unanswered.
      lose_answers_share: share of writes that take effect unanswered.
      lose_before_next: number of next writes lost before they take effect.
      lose_before_share: share of writes lost before they take effect.
      unsure_after_s: seconds until a client gives up on a lost answer.
      stale_s: reads and listings serve the state of this many seconds ago.
      drop_events_share: share of watch events that are never delivered.
      reorder_events_share: share of watch events delivered after the next.
      list_frozen: whether the instance list stops following reality.
    """

    __slots__ = (
        "_cut",
        "_listeners",
        "_outage",
        "drop_events_share",
        "list_frozen",
        "lose_answers_next",
        "lose_answers_share",
        "lose_before_next",
        "lose_before_share",
        "reorder_events_share",
        "slow_s",
        "stale_s",
        "unsure_after_s",
    )

    def __init__(self) -> None:
        self.slow_s = 0.0
        self.lose_answers_next = 0
        self.lose_answers_share = 0.0
        self.lose_before_next = 0
        self.lose_before_share = 0.0
        self.unsure_after_s = 1.0
        self.stale_s = 0.0
        self.drop_events_share = 0.0
        self.reorder_events_share = 0.0
        self.list_frozen = False
        self._outage = False
        self._cut: set[str] = set()
        self._listeners: list[Callable[[], None]] = []

    @property
    def outage(self) -> bool:
        """Whether every call is refused."""
        return self._outage

    def start_outage(self) -> None:
        """Refuses every call and closes all watches."""
        self._outage = True
        self._tell_listeners()

    def end_outage(self) -> None:
        """Answers calls again."""
        self._outage = False

    def cut_off(self, client_id: str) -> None:
        """Loses every call of one client; its watches go silent."""
        self._cut.add(client_id)

    def join(self, client_id: str) -> None:
        """Ends the cut of one client; its watches of before are closed."""
        self._cut.discard(client_id)
        self._tell_listeners()

    def is_cut_off(self, client_id: str) -> bool:
        """Says whether calls of a client get lost."""
        return client_id in self._cut

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls back when watches may have to be closed."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Ends the callbacks to a listener."""
        self._listeners.remove(listener)

    def take_lost_answer(self, rng: random.Random) -> bool:
        """Decides whether the answer of a write that took effect is lost."""
        if self.lose_answers_next > 0:
            self.lose_answers_next -= 1
            return True
        share = self.lose_answers_share
        return share > 0 and rng.random() < share

    def take_lost_call(self, rng: random.Random) -> bool:
        """Decides whether a write is lost before it takes effect."""
        if self.lose_before_next > 0:
            self.lose_before_next -= 1
            return True
        share = self.lose_before_share
        return share > 0 and rng.random() < share

    def _tell_listeners(self) -> None:
        for listener in list(self._listeners):
            listener()
