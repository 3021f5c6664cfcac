"""Capacity of the machine that an instance runs on."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Capacity:
    """Network, CPU and memory, ordered by bandwidth and then by cores.

    Attributes:
      link_mbps: bandwidth of the network link in Mbit/s; 0 if unknown.
      cores: CPU cores that the instance may use; 0 if unknown.
      memory_mb: memory that the instance may use, in units of 1,000,000 bytes;
        0 if unknown. It is not sent to peers and does not count in the order.
    """

    link_mbps: float = 0.0
    cores: float = 0.0
    memory_mb: float = dataclasses.field(default=0.0, compare=False)


UNKNOWN = Capacity()
