"""Status of the fleet as reported by the administration API.

The daemon builds these messages from membership, endpoints, limits and
quarantine; the API only filters and serialises them.
"""

import abc
import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class InstanceStatus:
    """One entry instance as seen by the instance that answers.

    Attributes:
      instance_id: its name.
      data_centre: data centre in which it runs.
      state: lifecycle state for the answering instance, otherwise membership
        state.
      revision: catalogue revision in force there; 0 if unknown.
      in_flight: requests in flight; None if unknown.
      heard_s: seconds since it was last known to be alive; 0 for the answering
        instance and if unknown.
    """

    instance_id: str
    data_centre: str
    state: str
    revision: int
    in_flight: int | None = None
    heard_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointStatus:
    """One endpoint as seen by the instance that answers.

    Attributes:
      endpoint_id: its name.
      service: service to which it belongs.
      data_centre: data centre in which it runs.
      state: its lifecycle state.
      role: its current role; empty for plain services.
      models: loaded models.
      running: requests that hold KV memory.
      waiting: requests that wait for KV memory.
      kv_used: KV memory in use, in tokens.
      kv_capacity: total KV memory, in tokens.
    """

    endpoint_id: str
    service: str
    data_centre: str
    state: str
    role: str = ""
    models: tuple[str, ...] = ()
    running: int = 0
    waiting: int = 0
    kv_used: int = 0
    kv_capacity: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class LimitStatus:
    """One limit and its use, as far as the answering instance knows it.

    Attributes:
      owner: name of the institution or workspace in the catalogue.
      limit: name of the limit, such as ``tokens_per_s``.
      allowed: upper bound; 0 means unlimited.
      used: present use, in the unit of the limit.
      share: part of the bound that the answering instance may admit.
    """

    owner: str
    limit: str
    allowed: float
    used: float
    share: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineStatus:
    """A quarantined request body, which is rejected until the quarantine ends.

    Attributes:
      digest: digest of the body.
      institution: institution that sent the request; empty if unknown.
      crashes: number of endpoint crashes attributed to it.
      ends_in_s: seconds until it may run again.
    """

    digest: str
    institution: str
    crashes: int
    ends_in_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class DrainStatus:
    """A drain that an operator requested.

    Attributes:
      kind: ``endpoint``, ``instance`` or ``data_centre``.
      name: name of what is drained.
      state: ``draining`` or ``drained``.
      in_flight: its requests in flight; None if unknown.
    """

    kind: str
    name: str
    state: str
    in_flight: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class EvacuationStatus:
    """A data centre to which nothing more is sent.

    Attributes:
      data_centre: its name.
      age_s: seconds since this came into force at the answering instance.
    """

    data_centre: str
    age_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class FleetStatus:
    """Snapshot of the fleet as seen by the instance that answers."""

    instance_id: str
    revision: int
    instances: tuple[InstanceStatus, ...] = ()
    endpoints: tuple[EndpointStatus, ...] = ()
    limits: tuple[LimitStatus, ...] = ()
    quarantines: tuple[QuarantineStatus, ...] = ()
    drains: tuple[DrainStatus, ...] = ()
    evacuations: tuple[EvacuationStatus, ...] = ()


class StatusSource(abc.ABC):
    """Provides the status of the fleet; implemented by the daemon."""

    @abc.abstractmethod
    async def collect_status(self) -> FleetStatus:
        """Returns the status of the fleet as seen by this instance."""


def restrict(status: FleetStatus, institution: str) -> FleetStatus:
    """Returns the status without data of other institutions.

    Args:
      status: the complete status.
      institution: institution of an operator; empty for an administrator, who
        sees everything.
    """
    if not institution:
        return status
    own = (institution, f"{institution}/")
    return dataclasses.replace(
        status,
        limits=tuple(
            limit
            for limit in status.limits
            if limit.owner == own[0] or limit.owner.startswith(own[1])
        ),
        quarantines=tuple(
            entry
            for entry in status.quarantines
            if entry.institution == institution
        ),
    )


def build_document(status: FleetStatus) -> dict[str, Any]:
    """Returns the status as plain JSON values."""
    return dataclasses.asdict(status)
