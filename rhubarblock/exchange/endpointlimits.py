"""The rate limits that endpoints name, as one instance uses them."""

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.endpointlimits import book as limitbook


class EndpointLimits:
    """Hears what endpoints say of their limits."""

    __slots__ = ("_book", "_timers")

    def __init__(self, book: limitbook.LimitBook, timers: timer_service.Timers):
        """Creates limits over what is known.

        Args:
          book: what endpoints said.
          timers: the clock.
        """
        self._book = book
        self._timers = timers

    def note_answer(
        self, endpoint_id: str, stated: ratelimits.StatedLimit, sent_s: float
    ) -> None:
        """Takes in the head of an answer.

        Args:
          endpoint_id: the endpoint that answered.
          stated: what its head says.
          sent_s: when the request was sent, in monotonic seconds.
        """
        now_s = self._timers.read_monotonic()
        self._book.note_answer(endpoint_id, stated, sent_s, now_s)

    def find_rate(self, endpoint_id: str) -> float | None:
        """Returns the requests a second of an endpoint; None without limit."""
        limit = self._book.find(endpoint_id)
        return limit.per_s if limit else None

    def forget(self, endpoint_id: str) -> None:
        """Forgets what an earlier start of an endpoint named."""
        self._book.forget(endpoint_id)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are not there any more."""
        self._book.keep_only(endpoint_ids)
