"""Faults of the stand-in platform that tests can switch on and off.

They cover the failures that the platform's owners say can occur: outages, slow
answers, an answer lost after its write took effect, reads of an older state,
watch events lost or out of order, and clients that are cut off.
"""

from collections.abc import Callable
import random


class PlatformFaults:
    """Switches of the faults; all are off by default.

    Attributes:
      slow_s: seconds added to each call.
      lose_answers_next: number of next writes that take effect but whose answer
        is lost.
      lose_answers_share: share of writes that take effect but whose answer is
        lost.
      lose_before_next: number of next writes lost before they take effect.
      lose_before_share: share of writes lost before they take effect.
      unsure_after_s: seconds after which a client times out on a lost call or
        answer.
      stale_s: age in seconds of the state that reads and listings return.
      drop_events_share: share of watch events that are never delivered.
      reorder_events_share: share of watch events delivered after the next one.
      list_frozen: whether the instance list stops updating.
    """

    __slots__ = (
        "_disconnected",
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
        self._disconnected: set[str] = set()
        self._listeners: list[Callable[[], None]] = []

    @property
    def outage(self) -> bool:
        """Whether every call is refused as unavailable."""
        return self._outage

    def start_outage(self) -> None:
        """Refuses every call from now on and closes all watches."""
        self._outage = True
        self._notify_listeners()

    def end_outage(self) -> None:
        """Ends the outage; calls are answered again."""
        self._outage = False

    def cut_off(self, client_id: str) -> None:
        """Cuts a client off: its calls are lost, its watches get no events."""
        self._disconnected.add(client_id)

    def join(self, client_id: str) -> None:
        """Reconnects a client and closes the watches that missed events."""
        self._disconnected.discard(client_id)
        self._notify_listeners()

    def is_cut_off(self, client_id: str) -> bool:
        """Returns whether a client is cut off."""
        return client_id in self._disconnected

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Adds a callback for changes that may close watches."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Removes a callback."""
        self._listeners.remove(listener)

    def draw_lost_answer(self, rng: random.Random) -> bool:
        """Returns whether the answer to a write that took effect is lost.

        Counts down ``lose_answers_next``.
        """
        if self.lose_answers_next > 0:
            self.lose_answers_next -= 1
            return True
        share = self.lose_answers_share
        return share > 0 and rng.random() < share

    def draw_lost_call(self, rng: random.Random) -> bool:
        """Returns whether a write is lost before it takes effect.

        Counts down ``lose_before_next``.
        """
        if self.lose_before_next > 0:
            self.lose_before_next -= 1
            return True
        share = self.lose_before_share
        return share > 0 and rng.random() < share

    def _notify_listeners(self) -> None:
        for listener in list(self._listeners):
            listener()
