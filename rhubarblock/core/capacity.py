"""What the machine of an instance can carry."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Capacity:
    """What an instance's machine can carry; the greater can carry more.

    Attributes:
      link_mbps: bandwidth of its link in Mbit/s; 0 where that is not known.
      cores: processor cores that it may use; 0 where that is not known.
    """

    link_mbps: float = 0.0
    cores: float = 0.0


UNKNOWN = Capacity()
