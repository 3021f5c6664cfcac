"""The crashes that one instance knows, and the request digests they implicate.

The registry is a set of facts that are only added, and that expire after a
time: crashes with the digests that were in flight, digests that ran to
completion, digests in quarantine. Instances that receive crashes in a different
order may decide differently for a moment; once they have exchanged their facts
they decide the same. Times are in seconds of the caller's clock. If instances
exchange their facts it must be the wall clock, as times are compared between
them.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import hashlib
import math
from typing import TypeVar

T = TypeVar("T")

# A request that started at most this long before the crash is a likely cause,
# an older one an unlikely cause, in seconds.
YOUNG_S = 1.5
# What a crash adds to the score of a digest that was in flight.
YOUNG_SCORE = 2
OLD_SCORE = 1
# Score from which a digest is suspect, and score from which it is the cause if
# no other digest of its latest crash has as much: two crashes as a likely
# cause.
SUSPECT_SCORE = 2
CAUSE_SCORE = 4
# Seconds for which a crash makes its digests suspect.
SUSPECT_S = 300.0
# Seconds for which a digest stays in quarantine.
QUARANTINE_S = 3600.0
# Crashes of one endpoint that are noticed within these seconds are the same
# crash: instances notice it at different times.
SAME_CRASH_S = 2.0
# If at least MASS_ENDPOINTS endpoints crash within MASS_S seconds, the cause is
# not a single request.
MASS_ENDPOINTS = 3
MASS_S = 2.0
# Bounds of the registry; the oldest facts are dropped first.
MAX_CRASHES = 128
MAX_DIGESTS = 512
MAX_CLEARED = 1024
MAX_QUARANTINED = 1024

# Cause of a crash that no request is to blame for.
OTHER_CAUSE = "other"

_KEY_CHARACTERS = 32


class Decision(enum.Enum):
    """How a request may be handled."""

    ALLOW = "allow"
    ISOLATE = "isolate"  # Run a single copy, away from other suspects.
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True)
class Crash:
    """The crash of an endpoint process.

    Attributes:
      endpoint_id: the endpoint.
      at_s: when it was first noticed.
      young: digests in flight there that had just started.
      old: other digests in flight there.
      cause: digest that counts as the cause, or empty.
    """

    endpoint_id: str
    at_s: float
    young: set[str]
    old: set[str] = dataclasses.field(default_factory=set)
    cause: str = ""

    def merge(self, other: "Crash") -> bool:
        """Merges another instance's view; returns whether this one changed."""
        before = len(self.young), len(self.old), self.cause
        self.young |= other.young
        self.old |= other.old
        self.cause = min(filter(None, (self.cause, other.cause)), default="")
        return (len(self.young), len(self.old), self.cause) != before

    def truncate(self, limit: int) -> None:
        """Drops digests beyond a number, unlikely causes first."""
        self.young = set(sorted(self.young)[:limit])
        self.old = set(sorted(self.old)[: limit - len(self.young)])

    def scores(self) -> Iterator[tuple[str, int]]:
        """Yields each digest with the score that this crash adds to it."""
        for digest in self.young:
            yield digest, YOUNG_SCORE
        for digest in self.old - self.young:
            yield digest, OLD_SCORE


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineRecord:
    """A digest in quarantine, which is refused.

    Attributes:
      digest: shortened digest.
      at_s: start of the quarantine.
      crashes: number of crashes attributed to it.
      is_own: whether this registry found it by the crashes that it knows.
    """

    digest: str
    at_s: float
    crashes: int
    is_own: bool = dataclasses.field(default=False, compare=False)

    @property
    def until_s(self) -> float:
        """End of the quarantine."""
        return self.at_s + QUARANTINE_S


@dataclasses.dataclass(slots=True)
class Facts:
    """Facts that registries exchange.

    Attributes:
      crashes: crashes of endpoints.
      cleared: digests that ran to completion or were cleared by an operator,
        and when.
      quarantined: digests in quarantine.
      reserved: services with endpoints reserved for suspects, and until when.
    """

    crashes: list[Crash] = dataclasses.field(default_factory=list)
    cleared: dict[str, float] = dataclasses.field(default_factory=dict)
    quarantined: list[QuarantineRecord] = dataclasses.field(
        default_factory=list
    )
    reserved: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Suspicion:
    """The evidence against a digest.

    Attributes:
      score: sum over its crashes.
      crashes: crashes without a known cause in which it was in flight, the
        latest one last.
    """

    score: int = 0
    crashes: list[Crash] = dataclasses.field(default_factory=list)


class QuarantineRegistry:
    """The facts that one instance knows."""

    __slots__ = (
        "_cleared",
        "_crashes",
        "_quarantined",
        "_reserved",
        "_suspicions",
    )

    def __init__(self) -> None:
        self._crashes: list[Crash] = []
        self._cleared: dict[str, float] = {}
        self._quarantined: dict[str, QuarantineRecord] = {}
        self._reserved: dict[str, float] = {}
        self._suspicions: dict[str, Suspicion] = {}

    def decide(self, digest: str, now_s: float) -> Decision:
        """Returns how a request may be handled."""
        if not self._quarantined and not self._suspicions:
            return Decision.ALLOW
        key = shorten(digest)
        quarantine = self._quarantined.get(key)
        if quarantine is not None and now_s < quarantine.until_s:
            return Decision.REFUSE
        suspicion = self._suspicions.get(key)
        if suspicion is None or suspicion.score < SUSPECT_SCORE:
            return Decision.ALLOW
        if now_s - suspicion.crashes[-1].at_s >= SUSPECT_S:
            return Decision.ALLOW
        return Decision.ISOLATE

    def find_quarantine(self, digest: str) -> QuarantineRecord | None:
        """Returns the quarantine of a digest, expired or not, or None."""
        return self._quarantined.get(shorten(digest))

    def list_quarantined(self, now_s: float) -> list[QuarantineRecord]:
        """Returns the quarantines in force, the oldest first."""
        present = (q for q in self._quarantined.values() if now_s < q.until_s)
        return sorted(present, key=lambda q: (q.at_s, q.digest))

    def is_reserved(self, service: str, now_s: float) -> bool:
        """Says whether endpoints of a service are reserved for suspects."""
        return now_s < self._reserved.get(service, 0.0)

    def add_crash(
        self, endpoint_id: str, ages: Mapping[str, float], now_s: float
    ) -> Facts:
        """Records the crash of an endpoint.

        Args:
          endpoint_id: the endpoint.
          ages: digests that this instance had in flight there, and their ages
            in seconds.
          now_s: current time on the caller's clock.

        Returns:
          The facts to announce to the peers.
        """
        young = {shorten(d) for d, age_s in ages.items() if age_s <= YOUNG_S}
        old = {shorten(d) for d, age_s in ages.items() if age_s > YOUNG_S}
        crash = Crash(endpoint_id, now_s, young, old)
        return self.merge(Facts(crashes=[crash]), now_s)

    def find_crash(self, endpoint_id: str) -> float | None:
        """Returns when an endpoint crashed last, None if that is not known."""
        return max(
            (c.at_s for c in self._crashes if c.endpoint_id == endpoint_id),
            default=None,
        )

    def clear(self, digest: str, now_s: float) -> Facts:
        """Records that a digest ran to completion or is cleared.

        Returns:
          The facts to announce; empty without any evidence against the digest.
        """
        key = shorten(digest)
        if key not in self._suspicions and key not in self._quarantined:
            return Facts()
        return self.merge(Facts(cleared={key: now_s}), now_s)

    def explain(self, endpoint_ids: Collection[str], now_s: float) -> None:
        """Clears the requests of crashes that have another cause.

        A request that is in quarantine for such crashes only is released.

        Args:
          endpoint_ids: the endpoints that crashed.
          now_s: current time on the caller's clock.
        """
        for crash in self._crashes:
            if crash.endpoint_id in endpoint_ids:
                crash.cause = OTHER_CAUSE
        causes = {crash.cause for crash in self._crashes}
        for digest, quarantine in list(self._quarantined.items()):
            recent = now_s - quarantine.at_s < SUSPECT_S
            if recent and quarantine.is_own and digest not in causes:
                del self._quarantined[digest]
        self._update_suspicions(now_s)

    def reserve(self, service: str, until_s: float) -> Facts:
        """Records that endpoints of a service are reserved for suspects."""
        self._reserved[service] = until_s
        return Facts(reserved={service: until_s})

    def read_facts(self) -> Facts:
        """Returns all facts."""
        return Facts(
            list(self._crashes),
            dict(self._cleared),
            list(self._quarantined.values()),
            dict(self._reserved),
        )

    def merge(self, facts: Facts, now_s: float) -> Facts:
        """Merges facts and re-evaluates causes and suspicions.

        Args:
          facts: from this instance or another one.
          now_s: current time on the caller's clock.

        Returns:
          The facts that were new here, and the quarantines that followed from
          them.
        """
        before = set(self._quarantined)
        changes = Facts()
        for crash in facts.crashes:
            merged = self._merge_crash(crash)
            if merged is not None:
                changes.crashes.append(merged)
        for digest, at_s in facts.cleared.items():
            if at_s > self._cleared.get(digest, -math.inf):
                self._cleared[digest] = changes.cleared[digest] = at_s
        for quarantine in facts.quarantined:
            known = self._quarantined.get(quarantine.digest)
            if known is None or known.at_s < quarantine.at_s:
                self._quarantined[quarantine.digest] = quarantine
        for service, until_s in facts.reserved.items():
            self._reserved[service] = max(
                until_s, self._reserved.get(service, 0.0)
            )
        self._drop_expired(now_s)
        self._update_suspicions(now_s)
        changes.quarantined = [
            quarantine
            for digest, quarantine in self._quarantined.items()
            if digest not in before
        ]
        return changes

    def _merge_crash(self, crash: Crash) -> Crash | None:
        """Merges a crash; returns the result, or None if nothing changed."""
        for known in self._crashes:
            is_near = abs(known.at_s - crash.at_s) <= SAME_CRASH_S
            if known.endpoint_id == crash.endpoint_id and is_near:
                return known if known.merge(crash) else None
        copied = dataclasses.replace(
            crash, young=set(crash.young), old=set(crash.old)
        )
        self._crashes.append(copied)
        return copied

    def _drop_expired(self, now_s: float) -> None:
        """Drops expired facts and enforces the bounds."""
        self._quarantined = {
            digest: quarantine
            for digest, quarantine in self._quarantined.items()
            if now_s < quarantine.until_s
            and quarantine.at_s > self._cleared.get(digest, -math.inf)
        }
        self._crashes = [
            crash for crash in self._crashes if now_s - crash.at_s < SUSPECT_S
        ]
        self._crashes.sort(key=lambda crash: (crash.at_s, crash.endpoint_id))
        del self._crashes[:-MAX_CRASHES]
        for crash in self._crashes:
            if len(crash.young) + len(crash.old) > MAX_DIGESTS:
                crash.truncate(MAX_DIGESTS)
        self._cleared = {
            digest: at_s
            for digest, at_s in self._cleared.items()
            if now_s - at_s < QUARANTINE_S
        }
        _drop_oldest(self._cleared, MAX_CLEARED, lambda at_s: at_s)
        _drop_oldest(self._quarantined, MAX_QUARANTINED, lambda q: q.at_s)

    def _update_suspicions(self, now_s: float) -> None:
        """Finds the causes of crashes, and then the remaining suspects."""
        for crash in self._crashes:
            known = (crash.young | crash.old) & self._quarantined.keys()
            if known and not crash.cause:
                crash.cause = min(known)
        while True:
            self._suspicions = self._find_suspicions()
            cause = self._find_cause()
            if cause is None:
                return
            crashes = self._suspicions[cause].crashes
            self._quarantined[cause] = QuarantineRecord(
                cause, now_s, len(crashes), is_own=True
            )
            for crash in crashes:
                # The other digests in these crashes are innocent.
                crash.cause = cause

    def _find_suspicions(self) -> dict[str, Suspicion]:
        suspicions: dict[str, Suspicion] = {}
        mass = self._find_mass_failures()
        for crash in self._crashes:
            if crash.cause:
                continue
            for digest, score in crash.scores():
                if crash.at_s <= self._cleared.get(digest, -math.inf):
                    continue
                suspicion = suspicions.setdefault(digest, Suspicion())
                suspicion.score += score
                suspicion.crashes.append(crash)
        return {
            digest: suspicion
            for digest, suspicion in suspicions.items()
            if len(suspicion.crashes) > 1
            or id(suspicion.crashes[0]) not in mass
        }

    def _find_mass_failures(self) -> set[int]:
        """Returns crashes without a cause that coincide with many others."""
        mass: set[int] = set()
        unexplained = [crash for crash in self._crashes if not crash.cause]
        for first in unexplained:
            group = [
                crash
                for crash in unexplained
                if 0 <= crash.at_s - first.at_s <= MASS_S
            ]
            if len({crash.endpoint_id for crash in group}) >= MASS_ENDPOINTS:
                mass.update(map(id, group))
        return mass

    def _find_cause(self) -> str | None:
        """Returns a digest that stands out in its latest crash."""
        candidates = {
            digest: suspicion.crashes[-1]
            for digest, suspicion in self._suspicions.items()
            if suspicion.score >= CAUSE_SCORE
        }
        for digest, latest in sorted(
            candidates.items(), key=lambda item: item[0]
        ):
            in_flight = latest.young | latest.old
            if len(in_flight & candidates.keys()) == 1:
                return digest
        return None


def shorten(digest: str) -> str:
    """Returns the shortened form of a digest that registries use."""
    if len(digest) <= _KEY_CHARACTERS:
        return digest
    try:
        int(digest, 16)
    except ValueError:
        return hashlib.sha256(digest.encode()).hexdigest()[:_KEY_CHARACTERS]
    return digest[:_KEY_CHARACTERS]


def _drop_oldest(
    table: dict[str, T], limit: int, read_time: Callable[[T], float]
) -> None:
    """Keeps the latest entries of a table."""
    surplus = len(table) - limit
    if surplus > 0:
        order = sorted(table, key=lambda digest: read_time(table[digest]))
        for digest in order[:surplus]:
            del table[digest]
