"""State of one exchange while it is served."""

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import crashes
from rhubarblock.exchange import eventcursor
from rhubarblock.exchange import progress
from rhubarblock.exchange import sends
from rhubarblock.exchange import sink as sinks
from rhubarblock.relay import retries

# Number of refusals after which an exchange is only retried if an endpoint is
# predicted to serve it in time.
MAX_REFUSALS = 4


class Flow:
    """State of one exchange.

    Attributes:
      exchange: the request.
      sink: the caller's side.
      cursor: position in a stream of events.
      progress: timing of the answer.
      history: outcomes of the attempts so far.
      refusals: number of refusals by endpoints.
      refused_by: ids of engines that refused it because of another engine.
      denied: whether the retry budget denied a retry.
      is_admitted: whether admission let it in.
      is_trial: whether it tries prompt parts that are quarantined.
      running: what is known of the present attempt; None without one.
      sends: the connections on which it was sent.
    """

    __slots__ = (
        "cursor",
        "denied",
        "exchange",
        "history",
        "is_admitted",
        "is_trial",
        "progress",
        "refusals",
        "refused_by",
        "running",
        "sends",
        "sink",
    )

    def __init__(self, exchange: exchanges.Exchange, sink: sinks.Sink):
        """Creates the state before the first attempt."""
        self.exchange = exchange
        self.sink = sink
        self.cursor = eventcursor.EventCursor(exchange.last_event)
        self.progress = progress.Progress(exchange.arrived_s)
        self.history = retries.History()
        self.refusals = 0
        self.refused_by: set[str] = set()
        self.denied = False
        self.is_admitted = False
        self.is_trial = False
        self.running: crashes.Running | None = None
        self.sends = sends.SendHistory()

    def note_answering(self, now_s: float) -> None:
        """Records that the endpoint has answered something."""
        if self.running is not None and self.running.begun_s is None:
            self.running.begun_s = now_s

    @property
    def is_last_attempt(self) -> bool:
        """Whether the present attempt is the last one allowed."""
        route = self.exchange.route
        if not route.repeatable:
            return True
        return self.history.attempts + 1 >= route.max_attempts

    def may_retry(self) -> bool:
        """Returns whether the outcomes so far allow a retry.

        Refusals don't count: the route limits how often an exchange runs.
        """
        route = self.exchange.route
        not_run = self.history.verdict is verdicts.Verdict.NOT_RUN
        if not route.repeatable and (self.sink.begun or not not_run):
            return False
        return self.history.attempts < route.max_attempts
