"""Settings of an instance that forwards opaque exchanges.

They hold its listening addresses, the address of the store and the bounds to
keep, independent of the format in which a deployment states them.
"""

from collections.abc import Mapping
import dataclasses

from rhubarblock.core import capacity as capacities


@dataclasses.dataclass(slots=True, frozen=True)
class SettingError:
    """An invalid value.

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
    """Bounds that a deployment guarantees to its callers.

    The defaults apply if a deployment guarantees nothing; each is at least as
    strict as the bound of any known deployment.

    Attributes:
      grace_s: seconds from the stop signal until the process is killed.
      drain_s: seconds for which a leaving endpoint may still get new requests.
      apply_s: seconds until all instances use a new configuration.
      revoke_s: seconds until all instances reject a removed key.
      retry_ratio: retries allowed per request of a service.
      retry_slack: additional retries allowed, by all instances together.
      retry_window_s: seconds of the window over which both are counted.
      lease_max_s: maximum duration of a memory lease at an engine, in seconds.
      lease_free_s: seconds after the end of a request within which the memory
        that it leased must be free.
      evacuate_s: seconds until nothing more is sent to endpoints of a data
        centre that the operator evacuates; None if the deployment has no
        evacuations.
      cold_excess: factor on a service's cold rate; None if cold endpoints are
        not protected.
      cold_slack: requests in any second, in addition to the cold rate times
        ``cold_excess``; None if cold endpoints are not protected.
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
    evacuate_s: float | None = None
    cold_excess: float | None = None
    cold_slack: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class SocketAddress:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangeSettings:
    """All settings of an instance.

    Attributes:
      instance_id: unique name.
      data_centre: data centre in which it runs.
      callers: address on which callers connect.
      readiness: address of the load balancer's readiness check.
      peers: address on which peers reach it, over TCP and UDP.
      metrics: address on which metrics are scraped.
      store: address of the object API.
      bounds: guaranteed bounds.
      is_first_start: whether no instance of the fleet ran before.
      capacity: capacity of its machine.
      regions: region of each data centre; empty if the regions are unknown.
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
    regions: Mapping[str, str] = dataclasses.field(default_factory=dict)
