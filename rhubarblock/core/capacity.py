"""Capacity of the machine that an instance runs on."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Capacity:
    """Network and CPU capacity, ordered by bandwidth and then by cores.

    Attributes:
      link_mbps: bandwidth of the network link in Mbit/s; 0 if unknown.
      cores: CPU cores that the instance may use; 0 if unknown.
    """

    link_mbps: float = 0.0
    cores: float = 0.0


UNKNOWN = Capacity()
