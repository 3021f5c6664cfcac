"""Replica of the evacuated data centres, applied to the directory.

Until the set is known, no endpoint is used: an instance that has just started
would otherwise send to an evacuated data centre. The wait is bounded, because a
store that lists endpoints but no evacuations must not stop the service.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging

from rhubarblock.core import position as positions
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import evacuations as evacuation_sets
from rhubarblock.exchange.state import evacuationwire
from rhubarblock.exchange.state import tombstones
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import store as stores

# Longest time in seconds for which an instance that knows its endpoints waits
# for the evacuations.
UNKNOWN_S = 1.0
# Seconds for which entries that a peer's new era lacks are kept beyond
# ``evacuations.KEPT_S``: the reader lists once more at the end of that time,
# and its answer takes a moment.
PASS_ON_S = 0.5

_logger = logging.getLogger(__name__)


class EvacuationReplica:
    """The evacuated data centres as this instance knows them.

    Attributes:
      is_fed: whether the last peer that answered sends evacuations; a build
        without them does not.
      is_settled: whether endpoints may be used: the set is known, or known to
        be unavailable.
      known: the set.
      on_change: called when the set, its position or ``is_settled`` changed.
    """

    __slots__ = (
        "_begun_s",
        "_dialect",
        "_directory",
        "_is_waiting",
        "_metrics",
        "_timers",
        "_unreadable",
        "is_fed",
        "is_settled",
        "known",
        "on_change",
    )

    def __init__(
        self,
        dialect: dialects.Dialect,
        directory: directories.Directory,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Creates an empty replica and withholds all endpoints.

        Args:
          dialect: decodes names of objects.
          directory: receives the evacuated data centres.
          timers: the clock, and callbacks.
          metrics: counters of evacuations.
        """
        self._dialect = dialect
        self._directory = directory
        self._timers = timers
        self._metrics = metrics
        self._is_waiting = False
        # When each evacuation came into force here, in monotonic seconds.
        self._begun_s: dict[str, float] = {}
        # Versions of entries that can't be decoded.
        self._unreadable = tombstones.VersionCache()
        self.known = evacuation_sets.Evacuations()
        self.is_fed = True
        self.is_settled = False
        self.on_change: Callable[[], None] = lambda: None
        directory.withhold()

    @property
    def kept_s(self) -> float | None:
        """Seconds for which entries are kept that the store lacks, or None."""
        until_s = self.known.kept_until_s
        if until_s is None:
            return None
        return max(0.0, until_s - self._timers.read_monotonic())

    def describe(self) -> dict[str, float]:
        """Returns for how many seconds each data centre has been evacuated."""
        now_s = self._timers.read_monotonic()
        return {name: now_s - s for name, s in sorted(self._begun_s.items())}

    def apply_listing(
        self,
        objects: Iterable[stores.StoredObject],
        at: positions.Position,
        sent_s: float,
    ) -> None:
        """Applies a list that was read from the store.

        Args:
          objects: its entries, from any writer.
          at: position of the store.
          sent_s: when the call was sent, in monotonic seconds.
        """
        entries = {}
        for stored in objects:
            name = self._decode(stored)
            if name is not None:
                entries[name] = stored.version
        now_s = self._timers.read_monotonic()
        if self.known.apply_list(entries, at, now_s):
            self._publish("store", now_s - sent_s)

    def apply_changes(
        self, objects: Iterable[stores.StoredObject], at: positions.Position
    ) -> None:
        """Applies changes that a watch of the store reported.

        Args:
          objects: the changed entries, from any writer.
          at: position of the store after them.
        """
        for stored in objects:
            name = self._decode(stored)
            if name is not None:
                self.known.apply_change(name, stored.version, stored.deleted)
        self.known.advance(at)
        self._publish("watch", 0.0)

    def apply_sent(self, sent: evacuationwire.SentSet, asked_s: float) -> bool:
        """Applies a peer's set unless a later one is known.

        Args:
          sent: the set.
          asked_s: when the peer was asked, in monotonic seconds.

        Returns:
          Whether another set of data centres is evacuated now.
        """
        before = self.known.data_centres
        now_s = self._timers.read_monotonic()
        keep_s = evacuation_sets.KEPT_S + PASS_ON_S
        if self.known.apply_list(sent.entries, sent.at, now_s, keep_s):
            self._publish("peer", now_s - asked_s)
        return before != self.known.data_centres

    def confirm(self, asked_at: positions.Position) -> bool:
        """Handles that a peer had no later set.

        Args:
          asked_at: position of the set that was held here when it was asked.

        Returns:
          Whether another set of data centres is evacuated now.
        """
        before = self.known.data_centres
        if self.known.is_known and asked_at == self.known.position:
            self.known.expire(self._timers.read_monotonic())
        if before == self.known.data_centres:
            return False
        self._publish("peer", 0.0)
        return True

    def limit_wait(self) -> None:
        """Bounds the time for which endpoints are withheld from now on."""
        if not self.is_settled and not self._is_waiting:
            self._is_waiting = True
            self._timers.call_later(UNKNOWN_S, self._stop_waiting)

    def _stop_waiting(self) -> None:
        if self.is_settled:
            return
        self._metrics.count("evacuations.unknown")
        _logger.warning(
            "evacuations are not available, endpoints are used without them",
            extra={"waited_s": UNKNOWN_S},
        )
        self._settle()

    def _decode(self, stored: stores.StoredObject) -> str | None:
        """Returns the data centre of an object, None if it names none."""
        try:
            return self._dialect.decode_evacuation(stored.name)
        except ValueError as error:
            if self._unreadable.find(stored.name) != stored.version:
                self._unreadable.note(stored)
                self._metrics.count("evacuations.unreadable")
                _logger.warning(
                    "an entry names no data centre to evacuate",
                    extra={"version": stored.version, "reason": str(error)},
                )
            return None

    def _publish(self, source: str, age_s: float) -> None:
        """Applies the set to the directory and logs what changed.

        Args:
          source: where the set comes from.
          age_s: seconds since the call that brought it was sent.
        """
        found = self.known.data_centres
        fields = {
            "position": evacuationwire.encode_position(self.known),
            "source": source,
            "age_s": round(age_s, 3),
        }
        now_s = self._timers.read_monotonic()
        for name in sorted(found - self._begun_s.keys()):
            self._begun_s[name] = now_s
            self._metrics.count("evacuations.begun")
            _logger.warning(
                "evacuation began", extra={"data_centre": name, **fields}
            )
        for name in sorted(self._begun_s.keys() - found):
            lasted_s = round(now_s - self._begun_s.pop(name), 3)
            self._metrics.count("evacuations.ended")
            _logger.warning(
                "evacuation ended",
                extra={"data_centre": name, "lasted_s": lasted_s, **fields},
            )
        self._settle()

    def _settle(self) -> None:
        self.is_settled = True
        self._directory.set_evacuated(self.known.data_centres)
        self.on_change()
