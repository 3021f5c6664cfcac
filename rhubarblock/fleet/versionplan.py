"""Decides which model versions an engine should run during a rollout.

The decision is a pure function of the versions in the catalogue, the stable
versions of the pool and the halted ones. ``fleet.poolcontroller`` executes it.
"""

import collections
from collections.abc import Iterable
import dataclasses

from rhubarblock.core import endpoint as endpoints
from rhubarblock.fleet import poolrecord


def name_version(model: str, version: str) -> str:
    """Returns the name under which an engine loads a version."""
    return f"{model}@{version}"


def list_versions(loaded: Iterable[str], model: str) -> list[str]:
    """Returns the versions of a model among loaded names."""
    found = (name.partition("@") for name in loaded)
    return [version for name, _, version in found if name == model]


@dataclasses.dataclass(slots=True, frozen=True)
class VersionPlan:
    """Target and stable versions of one pool.

    Attributes:
      targets: by model, the version to change to.
      stable: by model, the version to keep until an engine may change.
    """

    targets: dict[str, str]
    stable: dict[str, str]

    def is_changing(self, model: str) -> bool:
        """Returns whether a rollout of a model is in progress."""
        return self.targets[model] != self.stable.get(model)

    def choose_models(
        self, loaded: Iterable[str], may_change: Iterable[str]
    ) -> tuple[str, ...]:
        """Chooses the models that one engine should have loaded.

        Args:
          loaded: names that it has loaded.
          may_change: models that the engine may change to their target now.

        Returns:
          Names of versions, in the order of the catalogue.
        """
        loaded = list(loaded)
        allowed = set(may_change)
        chosen = []
        for model, target in self.targets.items():
            versions = [target]
            if self.is_changing(model) and model not in allowed:
                versions = self._choose_unchanged(loaded, model)
            chosen += [name_version(model, version) for version in versions]
        return tuple(chosen)

    def _choose_unchanged(self, loaded: list[str], model: str) -> list[str]:
        present = list_versions(loaded, model)
        stable = self.stable.get(model)
        if stable is None:
            return present
        if present == [self.targets[model]]:
            # The engine has already changed to the target.
            return present
        return [stable]


def make_plan(
    wanted: dict[str, str],
    record: poolrecord.PoolRecord,
    reports: list[endpoints.LoadReport],
) -> VersionPlan:
    """Computes the version plan of a pool.

    Args:
      wanted: version by model, from the catalogue.
      record: stable and halted versions of the pool.
      reports: load reports of its engines.

    Returns:
      The plan. A model that neither the record nor any engine has gets no
      stable version.
    """
    stable = {}
    targets = {}
    for model, version in wanted.items():
        halted = record.halted.get(model)
        baseline = record.stable.get(model)
        if baseline is None:
            baseline = _find_common(model, halted, reports)
        if baseline is not None:
            stable[model] = baseline
        if version != halted:
            targets[model] = version
        elif baseline is not None:
            targets[model] = baseline
    return VersionPlan(targets, stable)


def is_rolled_out(
    plan: VersionPlan, model: str, reports: list[endpoints.LoadReport]
) -> bool:
    """Returns whether every engine runs only the target of a model."""
    target = plan.targets[model]
    return bool(reports) and all(
        list_versions(report.models, model) == [target] for report in reports
    )


def _find_common(
    model: str, halted: str | None, reports: list[endpoints.LoadReport]
) -> str | None:
    """Returns the most common version of a model, or None."""
    counts = collections.Counter(
        version
        for report in reports
        for version in list_versions(report.models, model)
        if version != halted
    )
    if not counts:
        return None
    return min(counts, key=lambda version: (-counts[version], version))
