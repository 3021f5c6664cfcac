"""Takes in what endpoints say of themselves beside their answers.

Every answer comes through here, those to orders about memory too, so that no
statement decides on one way only.
"""

import logging

from rhubarblock.core import listed as lists
from rhubarblock.core import statement as statements
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange.state import directory as directories
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import cooldowns

# Characters of an unreadable text that a log line holds.
SHOWN_CHARACTERS = 40
# Names of unknown fields that are told, once each.
MOST_UNKNOWN = 32

_logger = logging.getLogger(__name__)


class StatementHandler:
    """Hands what endpoints say to what decides by it."""

    __slots__ = (
        "_directory",
        "_limits",
        "_metrics",
        "_rests",
        "_timers",
        "_unknown",
    )

    def __init__(
        self,
        directory: directories.Directory,
        limits: endpointlimits.EndpointLimits,
        rests_: cooldowns.Cooldowns,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Starts with nothing heard.

        Args:
          directory: keeps who leaves.
          limits: keeps to rate limits.
          rests_: keeps rests.
          timers: the clock.
          metrics: counts what was said and what can't be read.
        """
        self._directory = directory
        self._limits = limits
        self._rests = rests_
        self._timers = timers
        self._metrics = metrics
        self._unknown: set[str] = set()

    def may_send(self, endpoint: lists.ListedEndpoint) -> bool:
        """Says whether an endpoint wants a request at this moment."""
        name = endpoint.endpoint_id
        if self._directory.is_closed(name):
            return False
        return not self._rests.is_cooling_down(
            name, self._timers.read_monotonic()
        )

    def note_answer(
        self,
        endpoint: lists.ListedEndpoint,
        fields: dialects.AnswerFields,
        sent_s: float,
    ) -> None:
        """Takes in the head of an answer to an exchange.

        Args:
          endpoint: where the exchange was sent.
          fields: the head; one of another endpoint is not taken in.
          sent_s: when the exchange was sent, in monotonic seconds.
        """
        if fields.misdirected:
            return
        if (
            not fields.refused
            and fields.statement.cooldown == statements.NO_COOLDOWN
        ):
            self._rests.note_accepted(endpoint.endpoint_id)
        if fields.refused or not fields.sealed:
            self.note_order(endpoint, fields.statement, sent_s)
            return
        # A limit that is not named any more has ended.
        limit = fields.statement.limit
        self._limits.note_answer(endpoint.endpoint_id, limit, sent_s)
        self._note_rest_and_leaving(endpoint, fields.statement)

    def note_order(
        self,
        endpoint: lists.ListedEndpoint,
        statement: statements.Statement,
        sent_s: float,
    ) -> None:
        """Takes in an answer that need not bear all fields.

        Args:
          endpoint: where the order was sent.
          statement: what the answer says.
          sent_s: when the order was sent, in monotonic seconds.
        """
        self._limits.note_named(endpoint.endpoint_id, statement.limit, sent_s)
        self._note_rest_and_leaving(endpoint, statement)

    def _note_rest_and_leaving(
        self, endpoint: lists.ListedEndpoint, statement: statements.Statement
    ) -> None:
        if statement is statements.NOTHING:
            return
        self._note_rest(endpoint, statement.cooldown)
        if statement.is_leaving:
            self._note_leaving(endpoint)
        self._tell_unknown(endpoint, statement.unknown)

    def _note_rest(
        self,
        endpoint: lists.ListedEndpoint,
        cooldown: statements.StatedCooldown,
    ) -> None:
        if cooldown.unreadable:
            self._metrics.count("rests.unreadable")
            _logger.warning(
                "rest of an endpoint can't be read",
                extra={
                    "endpoint": endpoint.endpoint_id,
                    "text": cooldown.unreadable[:SHOWN_CHARACTERS],
                },
            )
        if cooldown.length_s:
            now_s = self._timers.read_monotonic()
            self._rests.note(endpoint.endpoint_id, cooldown.length_s, now_s)
            _logger.info(
                "endpoint asks for rest",
                extra={
                    "endpoint": endpoint.endpoint_id,
                    "rest_s": cooldown.length_s,
                },
            )

    def _note_leaving(self, endpoint: lists.ListedEndpoint) -> None:
        if self._directory.note_leaving(endpoint):
            self._metrics.count("endpoints.leaving")
            _logger.info(
                "endpoint says that it leaves",
                extra={
                    "endpoint": endpoint.endpoint_id,
                    "service": endpoint.service,
                    "born_ms": endpoint.born_ms,
                },
            )

    def _tell_unknown(
        self, endpoint: lists.ListedEndpoint, unknown: tuple[str, ...]
    ) -> None:
        """Tells of fields that no code reads, so that they don't stay so."""
        for name in unknown:
            if name in self._unknown or len(self._unknown) >= MOST_UNKNOWN:
                continue
            self._unknown.add(name)
            self._metrics.count("endpoints.unknown_fields")
            _logger.warning(
                "an endpoint's answer has a field that nothing reads",
                extra={"endpoint": endpoint.endpoint_id, "field": name},
            )
