"""Tracks the era of a store that may be restored from an older copy.

One ``EraTracker`` validates the era of every response with state of the store,
whether the store or a peer sent it. The content of a response from an ended era
is discarded. Modules that depend on writes that the store acknowledged are
notified of a new era before any content of that era is used.
"""

from collections.abc import Callable
import logging

from rhubarblock.kernel import metrics as metric_store
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind

_logger = logging.getLogger(__name__)


class EraTracker(stores.Eras):
    """Tracks the latest era that any response named."""

    __slots__ = ("_era", "_first", "_listeners", "_metrics")

    def __init__(self, metrics: metric_store.Metrics):
        """Starts without an era.

        Args:
          metrics: counts changes of the era and discarded responses.
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
        """Whether the store was restored since this instance started."""
        return self._era > self._first

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls a listener on each later change of the era."""
        self._listeners.append(listener)

    def validate(self, era: int | None) -> int:
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
            self._start_era(era)
        return era

    def _start_era(self, era: int) -> None:
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
