"""One exchange on its way: what was asked, what was tried, what was given."""

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import eventcursor
from rhubarblock.exchange import progress
from rhubarblock.exchange import sink as sinks
from rhubarblock.relay import retries

# Endpoints that may refuse one exchange before it is given up.
MAX_REFUSALS = 4


class Flow:
    """State of one exchange.

    Attributes:
      exchange: what was asked.
      sink: the caller's side.
      cursor: place in a stream of events.
      progress: when the pieces of the answer came.
      history: what the attempts said.
      refusals: endpoints that refused it.
    """

    __slots__ = (
        "cursor",
        "exchange",
        "history",
        "progress",
        "refusals",
        "sink",
    )

    def __init__(self, exchange: exchanges.Exchange, sink: sinks.Sink):
        """Starts before the first attempt."""
        self.exchange = exchange
        self.sink = sink
        self.cursor = eventcursor.EventCursor(exchange.last_event)
        self.progress = progress.Progress(exchange.arrived_s)
        self.history = retries.History()
        self.refusals = 0

    @property
    def is_last_attempt(self) -> bool:
        """Whether an attempt that runs now must be the last one."""
        route = self.exchange.route
        if not route.repeatable:
            return True
        return self.history.attempts + 1 >= route.max_attempts

    def may_try_again(self) -> bool:
        """Says whether what is known of the attempts allows another one."""
        route = self.exchange.route
        not_run = self.history.verdict is verdicts.Verdict.NOT_RUN
        if not route.repeatable and (self.sink.begun or not not_run):
            return False
        if self.history.attempts >= route.max_attempts:
            return False
        return self.refusals < MAX_REFUSALS
