"""Refuses requests, and prompt parts, that crash endpoints.

Two registries judge each crash: one by whole requests, one by the parts that
prompts share. A crash that a part explains speaks against no request. All
instances exchange crashes and what follows from them, so that they judge alike.
"""

import abc
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import logging
import math

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.quarantine import partregistry
from rhubarblock.routing.quarantine import registry as quarantineregistry

# Retry-After of a quarantined request in seconds.
RETRY_AFTER_S = 60.0
# Seconds between two announcements of a quarantine that refuses requests, for
# peers that missed it.
SHARE_INTERVAL_S = 2.0

_REFUSE = quarantineregistry.Decision.REFUSE

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Records:
    """Quarantines of prompt parts and of whole requests."""

    parts: tuple[partregistry.Quarantine, ...] = ()
    requests: tuple[quarantineregistry.QuarantineRecord, ...] = ()


class QuarantinePeers(abc.ABC):
    """The other instances. Nothing that is sent to them is acknowledged."""

    @abc.abstractmethod
    def announce_crash(
        self,
        endpoint_id: str,
        requests: Mapping[str, partregistry.Parts],
        served_ages: Mapping[str, float],
        ages: Mapping[str, float],
    ) -> None:
        """Announces a crash.

        Args:
          endpoint_id: the endpoint.
          requests: the parts of the requests that may be its cause, by digest.
          served_ages: seconds since answers on some of these parts ended.
          ages: seconds for which requests had run there, by digest.
        """

    @abc.abstractmethod
    def announce_served(self, ages: Mapping[str, float]) -> None:
        """Announces seconds since answers on some parts ended."""

    @abc.abstractmethod
    def announce_records(self, records: Records) -> None:
        """Announces quarantines."""

    @abc.abstractmethod
    def is_first(self, key: str) -> bool:
        """Returns whether this instance acts for all on a key."""


class ExchangeQuarantine:
    """The quarantine of one instance.

    Attributes:
      on_found: called when requests or parts have been quarantined.
      on_changed: called when the quarantines may have changed.
    """

    __slots__ = (
        "_metrics",
        "_parts",
        "_peers",
        "_requests",
        "_timers",
        "on_changed",
        "on_found",
    )

    def __init__(
        self,
        peers: QuarantinePeers,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Creates a quarantine without entries.

        Args:
          peers: the other instances.
          timers: the clock; its times are not sent to peers, only ages.
          metrics: counters.
        """
        self._peers = peers
        self._timers = timers
        self._metrics = metrics
        self._parts = partregistry.PartRegistry()
        self._requests = quarantineregistry.QuarantineRegistry()
        self.on_found: Callable[[], None] = lambda: None
        self.on_changed: Callable[[], None] = lambda: None

    # Requests.

    def check(self, exchange: exchanges.Exchange) -> bool:
        """Refuses a quarantined exchange.

        Returns:
          Whether the exchange tries quarantined parts, for all instances.

        Raises:
          failures.FailureError: it is quarantined; it did not run.
        """
        if self._is_quarantined_request(exchange):
            self._metrics.count("quarantine.refused_requests")
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.NO_ENDPOINT,
                    "requests like this one crashed endpoints",
                    retry_after_s=RETRY_AFTER_S,
                )
            )
        found = self._find_parts(exchange)
        if found is None:
            return False
        now_s = self._timers.read_monotonic()
        if now_s >= found.trial_due_s and self._peers.is_first(_name(found)):
            self._begin_trial(found)
            return True
        self._note_refused(found)
        # Without Retry-After, as no other time would help the caller.
        raise failures.FailureError(
            failures.Failure(
                failures.FailureCode.NO_ENDPOINT,
                "prompts that share a part with this one crashed endpoints",
            )
        )

    def is_quarantined(self, exchange: exchanges.Exchange) -> bool:
        """Returns whether an exchange is quarantined."""
        return (
            self._is_quarantined_request(exchange)
            or self._find_parts(exchange) is not None
        )

    def note_served(self, exchange: exchanges.Exchange) -> None:
        """Clears an exchange and its parts after its answer was complete."""
        now_s = self._timers.read_monotonic()
        digest = quarantineregistry.shorten(exchange.digest)
        allowed = quarantineregistry.Decision.ALLOW
        if self._requests.decide(digest, now_s) is not allowed:
            self._requests.clear(digest, now_s)
        if not exchange.prompt_parts:
            return
        cleared, lifted = self._parts.note_served(name_parts(exchange), now_s)
        self._note_lifted(lifted)
        if cleared:
            self._peers.announce_served(dict.fromkeys(cleared, 0.0))

    def _find_parts(
        self, exchange: exchanges.Exchange
    ) -> partregistry.Quarantine | None:
        """Returns the quarantine that a prompt falls under, or None."""
        if self._parts.is_empty:
            return None
        return self._parts.find(name_parts(exchange))

    def _is_quarantined_request(self, exchange: exchanges.Exchange) -> bool:
        now_s = self._timers.read_monotonic()
        digest = quarantineregistry.shorten(exchange.digest)
        return self._requests.decide(digest, now_s) is _REFUSE

    def _begin_trial(self, found: partregistry.Quarantine) -> None:
        self._metrics.count("quarantine.trials")
        self._parts.begin_trial(found, self._timers.read_monotonic())
        _logger.info("quarantined parts are tried", extra=self._describe(found))
        self._share([found])
        self.on_changed()

    def _note_refused(self, found: partregistry.Quarantine) -> None:
        now_s = self._timers.read_monotonic()
        found.refused_s = now_s
        self._metrics.count("quarantine.refused_parts")
        if now_s - found.shared_s >= SHARE_INTERVAL_S:
            self._share([found])

    # Crashes.

    def add_crash(
        self,
        endpoint_id: str,
        ages: Mapping[str, float],
        requests: Mapping[str, partregistry.Parts],
    ) -> None:
        """Records a crash that this instance has seen, and announces it.

        Args:
          endpoint_id: the endpoint.
          ages: seconds for which requests had run there, by digest.
          requests: the named parts of those that may be its cause, by digest.
        """
        self._metrics.count("quarantine.crashes")
        served_ages = self._find_served_ages(_list_parts(requests))
        self._peers.announce_crash(endpoint_id, requests, served_ages, ages)
        self._merge_crash(endpoint_id, requests)
        self.receive_request_crash(endpoint_id, ages)

    def find_crash_age(self, endpoint_id: str) -> float:
        """Returns the seconds since a crash of an endpoint became known."""
        at_s = self._requests.find_crash(endpoint_id)
        return (
            math.inf if at_s is None else self._timers.read_monotonic() - at_s
        )

    def receive_request_crash(
        self, endpoint_id: str, ages: Mapping[str, float]
    ) -> None:
        """Records which requests ran at an endpoint that crashed."""
        now_s = self._timers.read_monotonic()
        facts = self._requests.add_crash(endpoint_id, ages, now_s)
        if self._parts.is_explained(endpoint_id, now_s):
            self._requests.explain([endpoint_id], now_s)
        elif facts.quarantined:
            self.on_found()
        self.on_changed()

    def receive_part_crash(
        self,
        endpoint_id: str,
        requests: Mapping[str, partregistry.Parts],
        served_ages: Mapping[str, float],
    ) -> dict[str, float]:
        """Records a crash that a peer has seen.

        Returns:
          Seconds since answers on some of the parts ended here, on which the
          peer knows of none.
        """
        self.receive_served(served_ages)
        unknown = _list_parts(requests) - served_ages.keys()
        ages = self._find_served_ages(unknown)
        self._merge_crash(endpoint_id, requests)
        return ages

    def receive_served(self, ages: Mapping[str, float]) -> None:
        """Records when answers on parts ended elsewhere, in seconds ago."""
        now_s = self._timers.read_monotonic()
        self._note_lifted(
            self._parts.merge_served(
                {part: now_s - age_s for part, age_s in ages.items()}
            )
        )

    def _find_served_ages(self, parts: Iterable[str]) -> dict[str, float]:
        """Returns seconds since answers on some parts ended, if any did."""
        now_s = self._timers.read_monotonic()
        served = self._parts.find_served(parts)
        return {part: now_s - at_s for part, at_s in served.items()}

    def decide_request(self, digest: str) -> str:
        """Returns what is concluded of a request, for logs."""
        now_s = self._timers.read_monotonic()
        return self._requests.decide(digest, now_s).value

    def _merge_crash(
        self, endpoint_id: str, requests: Mapping[str, partregistry.Parts]
    ) -> None:
        now_s = self._timers.read_monotonic()
        findings = self._parts.add_crash(endpoint_id, requests, now_s)
        if findings.endpoint_ids:
            self._requests.explain(findings.endpoint_ids, now_s)
        for quarantine in findings.found:
            self._metrics.count("quarantine.found")
            _logger.warning(
                "prompt parts quarantined",
                extra={
                    **self._describe(quarantine),
                    "endpoints": sorted(findings.endpoint_ids),
                },
            )
        if findings.found:
            self._share(findings.found)
            self.on_found()
            self.on_changed()
        if findings.renewed:
            self._share(findings.renewed)

    # Records.

    def list_records(self) -> Records:
        """Returns all quarantines in force."""
        now_s = self._timers.read_monotonic()
        self._parts.remove_idle(now_s)
        return Records(
            tuple(self._parts.list_quarantines()),
            tuple(self._requests.list_quarantined(now_s)),
        )

    def describe(self) -> list[tuple[str, int, float]]:
        """Returns names of the quarantines, crashes, and seconds left of each.

        The time left of quarantined parts is that until they may be tried.
        """
        now_s = self._timers.read_monotonic()
        records = self.list_records()
        return [
            *(
                ("+".join(sorted(q.parts)), q.crashes, q.trial_due_s - now_s)
                for q in records.parts
            ),
            *(
                (r.digest, r.crashes, r.until_s - now_s)
                for r in records.requests
            ),
        ]

    def receive_records(self, records: Records) -> None:
        """Merges quarantines of peers or of the store."""
        now_s = self._timers.read_monotonic()
        added = [
            merged
            for quarantine in records.parts
            if (merged := self._parts.merge_quarantine(quarantine)) is not None
        ]
        for quarantine in added:
            endpoint_ids = self._parts.explain(quarantine)
            self._requests.explain(endpoint_ids, now_s)
            _logger.warning(
                "prompt parts quarantined by a peer",
                extra={
                    **self._describe(quarantine),
                    "endpoints": sorted(endpoint_ids),
                },
            )
        if records.requests:
            facts = quarantineregistry.Facts(quarantined=list(records.requests))
            self._requests.merge(facts, now_s)
        if added:
            self.on_found()
            self.on_changed()

    def _share(self, quarantines: Iterable[partregistry.Quarantine]) -> None:
        now_s = self._timers.read_monotonic()
        shared = tuple(quarantines)
        for quarantine in shared:
            quarantine.shared_s = now_s
        self._peers.announce_records(Records(shared))

    def _note_lifted(self, lifted: list[partregistry.Quarantine]) -> None:
        if lifted:
            self.on_changed()
        for quarantine in lifted:
            self._metrics.count("quarantine.lifted")
            _logger.warning(
                "quarantine of prompt parts lifted",
                extra=self._describe(quarantine),
            )

    def _describe(
        self, quarantine: partregistry.Quarantine
    ) -> dict[str, object]:
        """Returns the log fields of a quarantine."""
        now_s = self._timers.read_monotonic()
        return {
            "parts": sorted(quarantine.parts),
            "crashes": quarantine.crashes,
            "trials": quarantine.trials,
            "age_s": round(now_s - quarantine.at_s, 3),
        }


def name_parts(exchange: exchanges.Exchange) -> partregistry.Parts:
    """Returns the shared parts of a prompt, each with its service.

    A part that crashes the endpoints of one service may be sound at another.
    """
    service = exchange.service.name
    return frozenset(f"{service}/{part}" for part in exchange.prompt_parts)


def _list_parts(requests: Mapping[str, partregistry.Parts]) -> set[str]:
    return {part for parts in requests.values() for part in parts}


def _name(quarantine: partregistry.Quarantine) -> str:
    return "quarantine/" + ",".join(sorted(quarantine.parts))
