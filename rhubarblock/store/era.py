"""The eras of a store that may come back from an older copy of itself.

One instance of ``EraTracker`` hears the era of every answer that tells of the
store, be it the store's own or a peer's. Nothing that an answer of an ended era
says is taken in, and parts that rely on what the store acknowledged hear of a
new era before anything of it is.
"""

from collections.abc import Callable
import logging

from rhubarblock.kernel import metrics as metric_store
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind

_logger = logging.getLogger(__name__)


class EraTracker(stores.Eras):
    """Knows the present era as far as any answer told of it."""

    __slots__ = ("_era", "_first", "_listeners", "_metrics")

    def __init__(self, metrics: metric_store.Metrics):
        """Starts without an era.

        Args:
          metrics: counts eras and answers that are dropped.
        """
        self._metrics = metrics
        self._era = 0
        self._first = 0
        self._listeners: list[Callable[[], None]] = []

    @property
    def current(self) -> int:
        return self._era

    @property
    def has_changed(self) -> bool:
        """Whether the store came back older since this instance started."""
        return self._era > self._first

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls a listener at each later change of the era."""
        self._listeners.append(listener)

    def take(self, era: int | None) -> int:
        if era is None:
            if self._era:
                self._metrics.count("store.answers.no_era")
                raise stores.StoreError(
                    _Kind.UNAVAILABLE, "an answer names no era"
                )
            return 0
        if era < self._era:
            self._metrics.count("store.answers.outdated")
            _logger.info(
                "an answer of an ended era is dropped",
                extra={"era": era, "current": self._era},
            )
            raise stores.StoreError(
                _Kind.OUTDATED, f"era {era} ended, {self._era} is current"
            )
        if era > self._era:
            self._begin(era)
        return era

    def _begin(self, era: int) -> None:
        before, self._era = self._era, era
        if not before:
            self._first = era
            _logger.info("store's era", extra={"era": era})
            return
        self._metrics.count("store.eras")
        _logger.warning(
            "the store came back older", extra={"before": before, "after": era}
        )
        for listener in self._listeners:
            listener()
