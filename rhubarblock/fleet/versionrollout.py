"""Tracks the rollout of new model versions in a pool.

One engine changes to a new version first. After it has served the version for
the bake time, the others follow. If the version fails, the rollout halts, and
the halt is stored in the platform so that later holders respect it.
"""

import dataclasses
import logging

from rhubarblock.core import endpoint as endpoints
from rhubarblock.fleet import engineupdate
from rhubarblock.fleet import poolrecord
from rhubarblock.fleet import versionplan
from rhubarblock.kernel import logs
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutSettings:
    """Settings of a rollout.

    Attributes:
      bake_s: seconds for which the first engine serves a new version alone.
      failures_limit: number of failures attributed to a new version that halt
        its rollout; a failure that is certainly the version's fault halts it
        at once.
    """

    bake_s: float = 10.0
    failures_limit: int = 2


@dataclasses.dataclass(slots=True)
class RolloutCounters:
    """Counters of rollouts since start."""

    versions_verified: int = 0
    versions_halted: int = 0
    platform_failures: int = 0


class VersionRollouts:
    """Rollouts of new versions in one pool."""

    __slots__ = (
        "_record",
        "_timers",
        "_settings",
        "_verified_s",
        "_failure_counts",
        "_counters",
    )

    def __init__(
        self,
        record: poolrecord.PoolRecordClient,
        timers: timers_lib.Timers,
        settings: RolloutSettings,
        counters: RolloutCounters,
    ):
        """Creates the tracker without any results.

        Args:
          record: rollout state stored for later holders.
          timers: the timer service.
          settings: settings of the rollouts.
          counters: counters, shared between pools.
        """
        self._record = record
        self._timers = timers
        self._settings = settings
        self._verified_s: dict[str, float] = {}
        self._failure_counts: dict[str, int] = {}
        self._counters = counters

    def is_trusted(self, name: str) -> bool:
        """Returns whether a loaded version needs no canary prompt."""
        return not self._is_new(name) or name in self._verified_s

    def may_roll_out(self, name: str, report: endpoints.LoadReport) -> bool:
        """Returns whether an engine may follow the first one to a version.

        Args:
          name: the version.
          report: load report of the engine.
        """
        verified_s = self._verified_s.get(name)
        if verified_s is None:
            return False
        age_s = self._timers.read_monotonic() - verified_s
        return age_s >= self._settings.bake_s or name in report.models

    def is_unverified(self, name: str) -> bool:
        """Returns whether no engine has answered with a version yet."""
        return name not in self._verified_s

    def record_verified(self, name: str) -> None:
        """Records that an engine answered with a version."""
        if name not in self._verified_s:
            self._verified_s[name] = self._timers.read_monotonic()
            self._counters.versions_verified += 1

    def record_failure(self, error: engineupdate.VersionFailedError) -> None:
        """Records that a version did not load or did not answer."""
        _logger.warning("version failed: %s", error)
        weight = self._settings.failures_limit if error.certain else 1
        self._failure_counts[error.name] = (
            self._failure_counts.get(error.name, 0) + weight
        )

    def record_suspect(self, report: endpoints.LoadReport) -> None:
        """Attributes the failure of an engine to its new versions."""
        for name in filter(self._is_new, report.models):
            self._failure_counts[name] = self._failure_counts.get(name, 0) + 1

    async def update(
        self, wanted: dict[str, str], reports: list[endpoints.LoadReport]
    ) -> versionplan.VersionPlan:
        """Halts failed versions and promotes versions that all engines run.

        Args:
          wanted: version by model, from the catalogue.
          reports: load reports of the pool.

        Returns:
          The resulting plan.
        """
        await self._save(self._record.record.clean(wanted))
        for name, count in list(self._failure_counts.items()):
            if count >= self._settings.failures_limit:
                await self._halt(name, count)
        plan = versionplan.make_plan(wanted, self._record.record, reports)
        for model, version in plan.targets.items():
            is_stable = self._record.record.stable.get(model) == version
            if not is_stable and versionplan.is_rolled_out(
                plan, model, reports
            ):
                await self._save(self._record.record.promote(model, version))
        return plan

    async def _halt(self, name: str, count: int) -> None:
        model, _, version = name.partition("@")
        record = self._record.record
        if record.stable.get(model) == version:
            # It is the stable version; there is no other to roll back to.
            del self._failure_counts[name]
            return
        if await self._save(record.halt(model, version, f"{count} failures")):
            del self._failure_counts[name]
            self._verified_s.pop(name, None)
            self._counters.versions_halted += 1
            logs.log_state_change(
                _logger, f"version {name}", "changing", "halted"
            )

    def _is_new(self, name: str) -> bool:
        model, _, version = name.partition("@")
        stable = self._record.record.stable.get(model)
        return stable is not None and stable != version

    async def _save(self, record: poolrecord.PoolRecord) -> bool:
        """Writes the record; returns whether that succeeded."""
        try:
            await self._record.save(record)
        except stores.StoreError:
            self._counters.platform_failures += 1
            return False
        return True
