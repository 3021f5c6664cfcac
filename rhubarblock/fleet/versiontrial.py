"""What new versions have shown so far, and whether a change goes on.

The first engine goes to a new version alone. If it serves it for a while, the
others follow; if the version fails, the change stops and is kept as stopped
in the platform, for successors too.
"""

import dataclasses
import logging

from rhubarblock.core import endpoint as endpoints
from rhubarblock.fleet import enginework
from rhubarblock.fleet import poolrecord
from rhubarblock.fleet import versionplan
from rhubarblock.kernel import logs
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class TrialSettings:
    """Numbers of a version change.

    Attributes:
      bake_s: seconds for which the first engine serves a new version alone.
      failures_limit: failures laid to a new version that stop its change.
    """

    bake_s: float = 10.0
    failures_limit: int = 2


@dataclasses.dataclass(slots=True)
class TrialCounters:
    """What trials counted since their start."""

    versions_proved: int = 0
    versions_halted: int = 0
    platform_failures: int = 0


class VersionTrials:
    """The new versions of one pool."""

    __slots__ = (
        "_record",
        "_timers",
        "_settings",
        "_proved_s",
        "_blame",
        "_counters",
    )

    def __init__(
        self,
        record: poolrecord.RecordKeeper,
        timers: timers_lib.Timers,
        settings: TrialSettings,
        counters: TrialCounters,
    ):
        """Creates the trials without anything shown.

        Args:
          record: what holders leave behind.
          timers: the timer service.
          settings: numbers.
          counters: counters, shared between pools.
        """
        self._record = record
        self._timers = timers
        self._settings = settings
        self._proved_s: dict[str, float] = {}
        self._blame: dict[str, int] = {}
        self._counters = counters

    def is_proved(self, name: str) -> bool:
        """Says whether a version needs no prompt of ours any more."""
        return not self._is_new(name) or name in self._proved_s

    def may_follow(self, name: str, report: endpoints.LoadReport) -> bool:
        """Says whether an engine may go where another one went before.

        Args:
          name: the version.
          report: what the engine runs.
        """
        proved_s = self._proved_s.get(name)
        if proved_s is None:
            return False
        age_s = self._timers.read_monotonic() - proved_s
        return age_s >= self._settings.bake_s or name in report.models

    def is_untried(self, name: str) -> bool:
        """Says whether no engine showed a version to work yet."""
        return name not in self._proved_s

    def note_proof(self, name: str) -> None:
        """Notes that an engine answered with a version."""
        if name not in self._proved_s:
            self._proved_s[name] = self._timers.read_monotonic()
            self._counters.versions_proved += 1

    def note_failure(self, error: enginework.VersionFailedError) -> None:
        """Notes that a version did not load or did not answer."""
        _logger.warning("version failed: %s", error)
        weight = self._settings.failures_limit if error.certain else 1
        self._blame[error.name] = self._blame.get(error.name, 0) + weight

    def note_suspect(self, report: endpoints.LoadReport) -> None:
        """Lays the failure of an engine to the new versions that it runs."""
        for name in filter(self._is_new, report.models):
            self._blame[name] = self._blame.get(name, 0) + 1

    async def update(
        self, wanted: dict[str, str], reports: list[endpoints.LoadReport]
    ) -> versionplan.VersionPlan:
        """Stops what failed and settles what every engine runs.

        Args:
          wanted: version by model, from the catalogue.
          reports: load reports of the pool.

        Returns:
          The plan that follows.
        """
        await self._save(self._record.record.clean(wanted))
        for name, count in list(self._blame.items()):
            if count >= self._settings.failures_limit:
                await self._halt(name, count)
        plan = versionplan.make_plan(wanted, self._record.record, reports)
        for model, version in plan.targets.items():
            is_known = self._record.record.stable.get(model) == version
            if not is_known and versionplan.is_settled(plan, model, reports):
                await self._save(self._record.record.promote(model, version))
        return plan

    async def _halt(self, name: str, count: int) -> None:
        model, _, version = name.partition("@")
        record = self._record.record
        if record.stable.get(model) == version:
            # It is what the pool runs; there is nothing to go back to.
            del self._blame[name]
            return
        if await self._save(record.halt(model, version, f"{count} failures")):
            del self._blame[name]
            self._proved_s.pop(name, None)
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
