"""The prompt parts that crash endpoints, as one instance knows them.

Requests that are all different may share one part of their prompts that crashes
each endpoint which begins to write an answer on it. A part is blamed by what
the crashes have in common: it was in the prompt of a request that had just
begun, or was about to begin, at several crashed endpoints, under different
requests, and no endpoint has written an answer on it since. Parts that always
came together are blamed together, and only prompts that have them all are
refused.

Endpoints that crash at the same moment have failed for another reason and count
once. An answer on a part, at any instance, ends its blame. Times are in seconds
of the caller's monotonic clock.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import math
from typing import TypeVar

K = TypeVar("K")

# Crashes, at different moments, from which a part is the cause: one that no
# endpoint has answered yet, and one that was answered before.
FRESH_CRASHES = 2
KNOWN_CRASHES = 4
# Seconds over which the crashes of a part that was answered before must extend.
KNOWN_SPAN_S = 1.0
# Different requests under which endpoints crashed, from which their part is the
# cause and not one of the requests.
MIN_REQUESTS = 2
# Crashes from which a part is the cause although another one has as many.
TIED_CRASHES = 4
# Crashes within these seconds count once: a rack or a switch has failed.
SAME_MOMENT_S = 0.1
# Crashes of one endpoint within these seconds are the same crash, as several
# instances report it.
SAME_CRASH_S = 2.0
# Seconds for which a crash counts.
CRASH_S = 3600.0
# Seconds until a quarantined part may be tried once in the whole fleet, doubled
# after each failed trial, and their maximum.
TRIAL_S = 3600.0
MAX_TRIAL_S = 24 * 3600.0
# Seconds without a request after which a quarantine is forgotten.
IDLE_S = 24 * 3600.0
# Bounds of the tables; the oldest entries are dropped first.
MAX_CRASHES = 128
MAX_PARTS_OF_CRASH = 256
MAX_SERVED = 8192
MAX_LIFTED = 1024
MAX_QUARANTINES = 256

Parts = frozenset[str]


@dataclasses.dataclass(slots=True)
class Crash:
    """The crash of an endpoint.

    Attributes:
      endpoint_id: the endpoint.
      at_s: when it was noticed.
      requests: the parts of the requests that may be its cause, by digest.
      is_explained: whether a quarantined part is its cause.
    """

    endpoint_id: str
    at_s: float
    requests: dict[str, Parts]
    is_explained: bool = False

    def falls_under(self, quarantine: "Quarantine") -> bool:
        """Returns whether quarantined parts may be its cause."""
        return any(
            quarantine.parts <= parts for parts in self.requests.values()
        )


@dataclasses.dataclass(slots=True)
class Quarantine:
    """Parts that are refused together.

    Attributes:
      parts: prompts that have all of them are refused.
      at_s: when they were found, or last tried.
      crashes: number of crashes that they explain.
      trials: number of trials since.
      refused_s: when a request was last refused.
      shared_s: when this was last sent to peers or received from one.
    """

    parts: Parts
    at_s: float
    crashes: int
    trials: int = 0
    refused_s: float = -math.inf
    shared_s: float = -math.inf

    @property
    def trial_due_s(self) -> float:
        """When the parts may be tried."""
        return self.at_s + min(TRIAL_S * 2**self.trials, MAX_TRIAL_S)


@dataclasses.dataclass(slots=True, frozen=True)
class Findings:
    """What follows from a crash.

    Attributes:
      found: new quarantines.
      renewed: quarantines that explain this crash too.
      endpoint_ids: endpoints whose crashes are explained now.
    """

    found: list[Quarantine]
    renewed: list[Quarantine]
    endpoint_ids: frozenset[str]


@dataclasses.dataclass(slots=True)
class _Evidence:
    """Parts that were in the same requests at the same crashes."""

    parts: Parts
    is_known: bool
    crashes: list[Crash]
    digests: Parts

    @property
    def moments(self) -> int:
        """Number of different moments of its crashes."""
        count, last_s = 0, -math.inf
        for crash in self.crashes:
            if crash.at_s - last_s > SAME_MOMENT_S:
                count, last_s = count + 1, crash.at_s
        return count

    @property
    def suffices(self) -> bool:
        """Whether these parts may be blamed."""
        if len(self.digests) < MIN_REQUESTS:
            return False
        if not self.is_known:
            return self.moments >= FRESH_CRASHES
        span_s = self.crashes[-1].at_s - self.crashes[0].at_s
        return self.moments >= KNOWN_CRASHES and span_s >= KNOWN_SPAN_S


class PartRegistry:
    """Crashes, answered parts and quarantined parts."""

    __slots__ = (
        "_crashes",
        "_lifted",
        "_quarantines",
        "_served",
        "_suspects",
    )

    def __init__(self) -> None:
        self._crashes: list[Crash] = []
        # When an answer on a part last ended, the longest ago first.
        self._served: dict[str, float] = {}
        # The same for parts that were quarantined, for longer.
        self._lifted: dict[str, float] = {}
        self._quarantines: dict[Parts, Quarantine] = {}
        # The parts of crashes without a cause that no answer has cleared, and
        # the latest such crash of each.
        self._suspects: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is quarantined."""
        return not self._quarantines

    def find(self, parts: Iterable[str]) -> Quarantine | None:
        """Returns the quarantine that a prompt falls under, or None."""
        present = frozenset(parts)
        for quarantine in self._quarantines.values():
            if quarantine.parts <= present:
                return quarantine
        return None

    def list_quarantines(self) -> list[Quarantine]:
        """Returns all quarantines, the oldest first."""
        return sorted(self._quarantines.values(), key=lambda q: q.at_s)

    def list_suspects(self) -> frozenset[str]:
        """Returns the parts of crashes without a cause, answered ones not."""
        return frozenset(self._suspects)

    def find_served(self, parts: Iterable[str]) -> dict[str, float]:
        """Returns when answers on some parts last ended, if any did."""
        return {p: self._served[p] for p in parts if p in self._served}

    def add_crash(
        self, endpoint_id: str, requests: Mapping[str, Parts], now_s: float
    ) -> Findings:
        """Records a crash, or what one more instance knows of it.

        Args:
          endpoint_id: the endpoint.
          requests: the shared parts of the requests that had just begun or were
            about to begin there, by digest.
          now_s: the current time.
        """
        crash = self._find_crash(endpoint_id, now_s)
        if crash is None:
            crash = Crash(endpoint_id, now_s, {})
            self._crashes.append(crash)
        mentioned = _add_requests(crash.requests, requests)
        self._drop_old(now_s)
        renewed = self._explain_known(crash)
        found: list[Quarantine] = []
        endpoint_ids = {endpoint_id} if crash.is_explained else set()
        while (cause := self._find_cause(mentioned)) is not None:
            found.append(self._add_quarantine(cause, now_s))
            endpoint_ids |= {c.endpoint_id for c in cause.crashes}
        self._update_suspects()
        return Findings(found, renewed, frozenset(endpoint_ids))

    def is_explained(self, endpoint_id: str, now_s: float) -> bool:
        """Returns whether quarantined parts explain a crash of just now."""
        crash = self._find_crash(endpoint_id, now_s)
        return crash is not None and crash.is_explained

    def note_served(
        self, parts: Iterable[str], now_s: float
    ) -> tuple[dict[str, float], list[Quarantine]]:
        """Records that an answer on some parts was written to its end.

        Returns:
          The parts that were under suspicion, for the peers, and the
          quarantines that end.
        """
        present = list(parts)
        cleared = {part: now_s for part in present if part in self._suspects}
        lifted = self.merge_served(dict.fromkeys(present, now_s))
        for quarantine in lifted:
            cleared |= {p: now_s for p in present if p in quarantine.parts}
        return cleared, lifted

    def merge_served(self, served: Mapping[str, float]) -> list[Quarantine]:
        """Merges when answers on some parts ended; returns what that lifts."""
        for part, at_s in served.items():
            if at_s >= self._served.get(part, -math.inf):
                self._served.pop(part, None)
                self._served[part] = at_s
            if at_s >= self._suspects.get(part, math.inf):
                del self._suspects[part]
        _drop_first(self._served, MAX_SERVED)
        return self._lift(served)

    def merge_quarantine(self, other: Quarantine) -> Quarantine | None:
        """Merges a quarantine of a peer.

        Returns:
          The quarantine if its parts were not quarantined here before.
        """
        parts = frozenset(
            p for p in other.parts if self._read_served(p) <= other.at_s
        )
        if not parts:
            return None
        known = self._quarantines.get(parts)
        if known is None:
            added = dataclasses.replace(other, parts=parts)
            self._quarantines[parts] = added
            self._drop_quarantines()
            return added
        if (other.trials, other.at_s) > (known.trials, known.at_s):
            known.trials, known.at_s = other.trials, other.at_s
        known.crashes = max(known.crashes, other.crashes)
        known.refused_s = max(known.refused_s, other.refused_s)
        known.shared_s = max(known.shared_s, other.shared_s)
        return None

    def explain(self, quarantine: Quarantine) -> frozenset[str]:
        """Explains earlier crashes by a quarantine that a peer found.

        Returns:
          The endpoints whose crashes it explains.
        """
        endpoint_ids = set()
        for crash in self._crashes:
            if crash.falls_under(quarantine):
                crash.is_explained = True
                endpoint_ids.add(crash.endpoint_id)
        self._update_suspects()
        return frozenset(endpoint_ids)

    def begin_trial(self, quarantine: Quarantine, now_s: float) -> None:
        """Records that one request may try quarantined parts now."""
        quarantine.at_s = now_s
        quarantine.trials += 1

    def remove_idle(self, now_s: float) -> list[Quarantine]:
        """Removes the quarantines that have refused nothing for long."""
        idle = [
            q
            for q in self._quarantines.values()
            if now_s - max(q.at_s, q.refused_s) >= IDLE_S
        ]
        for quarantine in idle:
            del self._quarantines[quarantine.parts]
        return idle

    def _find_crash(self, endpoint_id: str, now_s: float) -> Crash | None:
        for crash in reversed(self._crashes):
            if (
                crash.endpoint_id == endpoint_id
                and now_s - crash.at_s <= SAME_CRASH_S
            ):
                return crash
        return None

    def _drop_old(self, now_s: float) -> None:
        self._crashes = [c for c in self._crashes if now_s - c.at_s < CRASH_S]
        surplus = len(self._crashes) - MAX_CRASHES
        if surplus > 0:
            order = sorted(
                self._crashes, key=lambda c: (not c.is_explained, c.at_s)
            )
            dropped = {id(crash) for crash in order[:surplus]}
            self._crashes = [c for c in self._crashes if id(c) not in dropped]

    def _update_suspects(self) -> None:
        self._suspects = {
            part: crash.at_s
            for crash in self._crashes
            if not crash.is_explained
            for parts in crash.requests.values()
            for part in parts
            if self._read_served(part) < crash.at_s
        }

    def _read_served(self, part: str) -> float:
        """Returns when an answer on a part last ended, or minus infinity."""
        return max(
            self._served.get(part, -math.inf),
            self._lifted.get(part, -math.inf),
        )

    def _explain_known(self, crash: Crash) -> list[Quarantine]:
        """Explains a crash by the quarantines that its requests fall under."""
        if crash.is_explained:
            return []
        causes = {
            id(found): found
            for parts in crash.requests.values()
            if (found := self.find(parts)) is not None
        }
        for quarantine in causes.values():
            crash.is_explained = True
            if quarantine.trials or crash.at_s - quarantine.at_s > SAME_CRASH_S:
                quarantine.crashes += 1
                continue
            # The peer that found it may have counted this crash already.
            explained = sum(c.falls_under(quarantine) for c in self._crashes)
            quarantine.crashes = max(quarantine.crashes, explained)
        return list(causes.values())

    def _add_quarantine(self, cause: _Evidence, now_s: float) -> Quarantine:
        """Quarantines parts, which explains the crashes under them."""
        quarantine = Quarantine(cause.parts, now_s, len(cause.crashes))
        self._quarantines[cause.parts] = quarantine
        self._drop_quarantines()
        for crash in cause.crashes:
            crash.is_explained = True
        return quarantine

    def _find_cause(self, mentioned: Parts) -> _Evidence | None:
        """Returns the parts to blame, or None while none stand out.

        Args:
          mentioned: the parts on which there is new evidence.
        """
        if not any(e.suffices for e in self._gather(mentioned)):
            return None
        gathered = [e for e in self._gather() if e.suffices]
        # Parts in fewer requests first: they explain as much, and blaming them
        # refuses less.
        gathered.sort(key=lambda e: (e.is_known, -e.moments, len(e.digests)))
        for evidence in gathered:
            rivals = [
                other
                for other in gathered
                if other is not evidence
                and evidence.crashes[-1] in other.crashes
                and other.is_known == evidence.is_known
                and other.moments >= evidence.moments
                and not other.digests > evidence.digests
            ]
            if not rivals or evidence.moments >= TIED_CRASHES:
                return evidence
        return None

    def _gather(self, mentioned: Parts | None = None) -> Iterator[_Evidence]:
        """Yields the evidence against some parts, or all."""
        mentions: dict[str, list[tuple[int, str]]] = {}
        open_crashes = [c for c in self._crashes if not c.is_explained]
        for number, crash in enumerate(open_crashes):
            for digest, parts in crash.requests.items():
                for part in parts if mentioned is None else parts & mentioned:
                    if self._read_served(part) < crash.at_s:
                        mentions.setdefault(part, []).append((number, digest))
        groups: dict[tuple[bool, tuple[tuple[int, str], ...]], set[str]] = {}
        for part, places in mentions.items():
            is_known = self._read_served(part) > -math.inf
            groups.setdefault((is_known, tuple(places)), set()).add(part)
        for (is_known, incidents), group in groups.items():
            numbers = dict.fromkeys(number for number, _ in incidents)
            yield _Evidence(
                frozenset(group),
                is_known,
                [open_crashes[number] for number in numbers],
                frozenset(digest for _, digest in incidents),
            )

    def _lift(self, served: Mapping[str, float]) -> list[Quarantine]:
        """Takes answered parts out of the quarantines; returns those ended."""
        ended = []
        for quarantine in list(self._quarantines.values()):
            innocent = {
                part
                for part in quarantine.parts
                if served.get(part, -math.inf) > quarantine.at_s
            }
            if not innocent:
                continue
            self._lifted |= {part: served[part] for part in innocent}
            del self._quarantines[quarantine.parts]
            left = quarantine.parts - innocent
            if left:
                self._quarantines[left] = dataclasses.replace(
                    quarantine, parts=left
                )
            else:
                ended.append(quarantine)
        _drop_first(self._lifted, MAX_LIFTED)
        return ended

    def _drop_quarantines(self) -> None:
        """Drops the quarantines beyond the bound that refused longest ago."""
        surplus = len(self._quarantines) - MAX_QUARANTINES
        if surplus > 0:
            order = sorted(
                self._quarantines.values(),
                key=lambda q: max(q.at_s, q.refused_s),
            )
            for quarantine in order[:surplus]:
                del self._quarantines[quarantine.parts]


def _add_requests(
    known: dict[str, Parts], requests: Mapping[str, Parts]
) -> Parts:
    """Adds requests to those of a crash; returns the parts of those added.

    It leaves out what exceeds the bound of parts.
    """
    left = MAX_PARTS_OF_CRASH - sum(len(parts) for parts in known.values())
    added: set[str] = set()
    for digest, parts in requests.items():
        if digest not in known and parts and len(parts) <= left:
            known[digest] = parts
            left -= len(parts)
            added |= parts
    return frozenset(added)


def _drop_first(table: dict[K, float], limit: int) -> None:
    """Drops the entries beyond a number that were added first."""
    while len(table) > limit:
        del table[next(iter(table))]
