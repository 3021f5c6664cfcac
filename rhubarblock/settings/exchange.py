"""Settings of an instance that passes opaque exchanges on.

They say where it listens, where the store is and which bounds it must keep.
The format in which a deployment gives them is not known here.
"""

import dataclasses

from rhubarblock.core import capacity as capacities


@dataclasses.dataclass(slots=True, frozen=True)
class SettingError:
    """One value that can't be used.

    Attributes:
      field: dotted name of the field.
      message: what is wrong and what is allowed.
    """

    field: str
    message: str

    def __str__(self) -> str:
        return f"{self.field}: {self.message}"


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangeBounds:
    """Bounds that the deployment promises to its callers.

    The defaults are for deployments that promise nothing of the kind; each is
    at least as strict as what is known of any.

    Attributes:
      grace_s: seconds from the signal to stop until the process is killed.
      drain_s: seconds for which an endpoint that leaves may get new work.
      apply_s: seconds until a configuration is in force everywhere.
      revoke_s: seconds until a removed key is refused everywhere.
      retry_ratio: repeats allowed for each request of a service.
      retry_slack: repeats allowed besides, by all instances together.
      retry_window_s: seconds of the window in which both are counted.
      lease_max_s: longest memory lease at an engine, in seconds.
      lease_free_s: seconds after a request's end by which its memory is free.
    """

    grace_s: float = 8.0
    drain_s: float = 2.0
    apply_s: float = 2.0
    revoke_s: float = 5.0
    retry_ratio: float = 0.1
    retry_slack: int = 50
    retry_window_s: float = 10.0
    lease_max_s: float = 20.0
    lease_free_s: float = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class SocketAddress:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangeSettings:
    """Everything an instance is told at its start.

    Attributes:
      instance_id: unique name.
      data_centre: data centre in which it runs.
      callers: where callers connect.
      readiness: where the balancer asks whether it is ready.
      peers: where peers reach it, over TCP and UDP.
      metrics: where counters are read.
      store: address of the object API.
      bounds: promised bounds.
      is_first_start: whether nothing of the fleet ran before.
      capacity: what its machine can carry.
    """

    instance_id: str
    data_centre: str
    callers: SocketAddress
    readiness: SocketAddress
    peers: SocketAddress
    metrics: SocketAddress
    store: SocketAddress
    bounds: ExchangeBounds
    is_first_start: bool = False
    capacity: capacities.Capacity = capacities.UNKNOWN
