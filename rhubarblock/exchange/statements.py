"""Handles what endpoints state about themselves in response headers.

Every answer passes through here, also those to lease requests, so that no
statement is overlooked because of the kind of request that it answers.
"""

from collections.abc import Iterable
import logging

from rhubarblock.core import failure as failures
from rhubarblock.core import listed as lists
from rhubarblock.core import statement as statements
from rhubarblock.exchange import coldstarts
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange.state import directory as directories
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import cooldowns

# Longest part of an unreadable text, in characters, that is logged.
SHOWN_CHARACTERS = 40
# Number of unknown field names that are logged, once each.
MAX_UNKNOWN_FIELDS = 32

_logger = logging.getLogger(__name__)


class EvacuatedError(failures.FailureError):
    """The endpoint's data centre was evacuated before a request was sent.

    Attributes:
      endpoint_id: id of the endpoint.
    """

    def __init__(self, endpoint: lists.ListedEndpoint):
        super().__init__(
            failures.Failure(
                failures.FailureCode.NO_ENDPOINT,
                f"data centre {endpoint.data_centre} is evacuated",
            )
        )
        self.endpoint_id = endpoint.endpoint_id


class StatementHandler:
    """Passes statements of endpoints to the components that act on them."""

    __slots__ = (
        "_cold_starts",
        "_directory",
        "_limits",
        "_metrics",
        "_cooldowns",
        "_timers",
        "_unknown",
    )

    def __init__(
        self,
        directory: directories.Directory,
        limits: endpointlimits.EndpointLimits,
        cooldowns_: cooldowns.Cooldowns,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
        cold_starts: coldstarts.ColdStarts | None = None,
    ):
        """Creates a handler.

        Args:
          directory: records which endpoints leave.
          limits: enforces rate limits.
          cooldowns_: records cool-downs.
          timers: the clock.
          metrics: counters of statements and of unreadable ones.
          cold_starts: records which endpoints are cold; None if the deployment
            has no bounds for them.
        """
        self._cold_starts = cold_starts
        self._directory = directory
        self._limits = limits
        self._cooldowns = cooldowns_
        self._timers = timers
        self._metrics = metrics
        self._unknown: set[str] = set()

    def may_send(self, endpoint: lists.ListedEndpoint) -> bool:
        """Returns whether an endpoint accepts requests now."""
        name = endpoint.endpoint_id
        if self._directory.is_closed(name):
            return False
        return not self._cooldowns.is_cooling_down(
            name, self._timers.read_monotonic()
        )

    def check_evacuated(
        self, endpoints: Iterable[lists.ListedEndpoint]
    ) -> None:
        """Checks right before something is sent that endpoints may get it.

        Raises:
          EvacuatedError: the data centre of one of them is evacuated.
        """
        for endpoint in endpoints:
            if self._directory.is_evacuated(endpoint.data_centre):
                raise EvacuatedError(endpoint)

    def note_answer(
        self,
        endpoint: lists.ListedEndpoint,
        fields: dialects.AnswerFields,
        sent_s: float,
    ) -> None:
        """Handles the headers of an answer to an exchange.

        Args:
          endpoint: where the exchange was sent.
          fields: decoded headers; those of another endpoint are ignored.
          sent_s: when the exchange was sent, in monotonic seconds.
        """
        if fields.misdirected:
            return
        self._note_cold(endpoint, fields.statement, sent_s, fields.sealed)
        if (
            not fields.refused
            and fields.statement.cooldown == statements.NO_COOLDOWN
        ):
            self._cooldowns.note_accepted(endpoint.endpoint_id)
        if fields.refused or not fields.sealed:
            self.note_partial_answer(endpoint, fields.statement, sent_s)
            return
        # A limit that is no longer stated has ended.
        limit = fields.statement.limit
        self._limits.note_answer(endpoint.endpoint_id, limit, sent_s)
        self._note_cooldown_and_leaving(endpoint, fields.statement)

    def note_partial_answer(
        self,
        endpoint: lists.ListedEndpoint,
        statement: statements.Statement,
        sent_s: float,
    ) -> None:
        """Handles an answer that may lack some fields.

        Args:
          endpoint: where the request was sent.
          statement: what the answer states.
          sent_s: when the request was sent, in monotonic seconds.
        """
        self._note_cold(endpoint, statement, sent_s, False)
        self._limits.note_if_stated(
            endpoint.endpoint_id, statement.limit, sent_s
        )
        self._note_cooldown_and_leaving(endpoint, statement)

    def _note_cold(
        self,
        endpoint: lists.ListedEndpoint,
        statement: statements.Statement,
        sent_s: float,
        is_sealed: bool,
    ) -> None:
        """Records a cold time; only a sealed answer shows that it is over."""
        if self._cold_starts is None:
            return
        left_s = statement.cold_remaining_s
        if left_s == 0.0 and not is_sealed:
            left_s = None
        self._cold_starts.note_answer(endpoint.endpoint_id, left_s, sent_s)

    def _note_cooldown_and_leaving(
        self, endpoint: lists.ListedEndpoint, statement: statements.Statement
    ) -> None:
        if statement is statements.NOTHING:
            return
        self._note_cooldown(endpoint, statement.cooldown)
        if statement.is_leaving:
            self._note_leaving(endpoint)
        self._log_unknown_fields(endpoint, statement.unknown)

    def _note_cooldown(
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
            self._cooldowns.note(endpoint.endpoint_id, cooldown.length_s, now_s)
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

    def _log_unknown_fields(
        self, endpoint: lists.ListedEndpoint, unknown: tuple[str, ...]
    ) -> None:
        """Logs unknown header fields once each, as they may need support."""
        for name in unknown:
            if (
                name in self._unknown
                or len(self._unknown) >= MAX_UNKNOWN_FIELDS
            ):
                continue
            self._unknown.add(name)
            self._metrics.count("endpoints.unknown_fields")
            _logger.warning(
                "an endpoint's answer has a field that nothing reads",
                extra={"endpoint": endpoint.endpoint_id, "field": name},
            )
