"""Settings of an instance that passes opaque exchanges on.

They say where it listens, where the store is and which bounds it must keep.
The format in which a deployment gives them is not known here.
"""

import dataclasses


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
    """Bounds in seconds that the deployment promises to its callers.

    Attributes:
      drain_s: until a leaving endpoint gets nothing more.
      grace_s: from the signal to stop until the process is killed.
      revoke_s: until a removed key is refused everywhere.
      retry_ratio: repeats allowed for each request of a service.
      retry_slack: repeats allowed besides.
      retry_window_s: window in which both are counted.
      lease_max_s: longest memory lease at an engine.
      lease_idle_s: longest time for which a lease may stay unused.
    """

    drain_s: float
    grace_s: float
    revoke_s: float
    retry_ratio: float
    retry_slack: int
    retry_window_s: float
    lease_max_s: float
    lease_idle_s: float


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
      max_files: file descriptors that it may hold.
    """

    instance_id: str
    data_centre: str
    callers: SocketAddress
    readiness: SocketAddress
    peers: SocketAddress
    metrics: SocketAddress
    store: SocketAddress
    bounds: ExchangeBounds
    max_files: int
