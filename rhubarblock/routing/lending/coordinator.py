"""The coordinator of limits: answers the reports of all instances.

Its callers decide which entries it coordinates. Two instances may coordinate
the same entry while their membership views differ; each one lends only what was
pledged to it.
"""

from collections.abc import Callable
import dataclasses
import math

from rhubarblock.kernel import timers as timers_lib
from rhubarblock.routing.lending import lending_pb2
from rhubarblock.routing.lending import pool as lendingpool

_MS_PER_S = 1000
# Seconds after which the pools of an entry without reports are dropped.
_POOLS_TTL_S = 600.0

HoldersProvider = Callable[[], frozenset[str]]


@dataclasses.dataclass(slots=True)
class _EntryPools:
    rates: lendingpool.Pool
    slots: lendingpool.Pool
    used_s: float = 0.0


@dataclasses.dataclass(slots=True)
class CoordinatorCounters:
    """Counters of the coordinator since its start."""

    reports: int = 0
    stale_reports: int = 0


class LendingCoordinator:
    """Answers reports; keeps the pools of each entry."""

    __slots__ = (
        "_epoch",
        "_holders",
        "_pools",
        "_rates",
        "_sequences",
        "_slots",
        "_timers",
        "counters",
    )

    def __init__(
        self,
        timers: timers_lib.Timers,
        epoch: int,
        holders: HoldersProvider,
        rates: lendingpool.PoolSettings,
        slots: lendingpool.PoolSettings,
    ):
        """Creates a coordinator with empty pools.

        Args:
          timers: the timer service.
          epoch: number of this start of the instance, not 0.
          holders: returns the instances that have a static share.
          rates: times of the pools of rates.
          slots: times of the pools of slots for long prompts.
        """
        self._timers = timers
        self._epoch = epoch
        self._holders = holders
        self._rates = rates
        self._slots = slots
        self._pools: dict[str, _EntryPools] = {}
        self._sequences: dict[str, int] = {}
        self.counters = CoordinatorCounters()

    def answer(
        self, sender: str, request: lending_pb2.LendRequest
    ) -> lending_pb2.LendAnswer:
        """Answers the report of an instance.

        Args:
          sender: the instance.
          request: its report.

        Returns:
          What it may use; without grants if a later report has arrived before,
          as the sender no longer waits for this answer.
        """
        now_s = self._timers.read_monotonic()
        answer = lending_pb2.LendAnswer(
            epoch=self._epoch, stamp_ms=int(now_s * _MS_PER_S)
        )
        if request.sequence <= self._sequences.get(sender, 0):
            self.counters.stale_reports += 1
            return answer
        self._sequences[sender] = request.sequence
        self.counters.reports += 1
        self._forget_unused(now_s)
        stamp_s = -math.inf
        if request.epoch == self._epoch:
            stamp_s = request.stamp_ms / _MS_PER_S
        holders = self._holders()
        for report in request.entries:
            grant = self._exchange(sender, report, stamp_s, holders, now_s)
            answer.grants.append(grant)
        return answer

    def _exchange(
        self,
        sender: str,
        report: lending_pb2.EntryReport,
        stamp_s: float,
        holders: frozenset[str],
        now_s: float,
    ) -> lending_pb2.EntryGrant:
        pools = self._find_pools(report.key, now_s)
        grant = lending_pb2.EntryGrant(
            key=report.key,
            rates=pools.rates.exchange(
                sender, report.rates, stamp_s, holders, now_s
            ),
            slots=pools.slots.exchange(
                sender, report.slots, stamp_s, holders, now_s
            ),
        )
        if not report.rates.own:
            grant.joined = pools.rates.has_room(sender, holders, now_s)
        return grant

    def _find_pools(self, key: str, now_s: float) -> _EntryPools:
        pools = self._pools.get(key)
        if pools is None:
            pools = self._pools[key] = _EntryPools(
                lendingpool.Pool(self._rates), lendingpool.Pool(self._slots)
            )
        pools.used_s = now_s
        return pools

    def _forget_unused(self, now_s: float) -> None:
        unused = [
            key
            for key, pools in self._pools.items()
            if now_s - pools.used_s > _POOLS_TTL_S
        ]
        for key in unused:
            del self._pools[key]
