"""Interface for drains that operators request."""

import abc
import dataclasses
import enum

from rhubarblock.admin import status as statuses


class DrainKind(enum.Enum):
    """What can be drained."""

    ENDPOINT = "endpoint"
    INSTANCE = "instance"
    DATA_CENTRE = "data_centre"


@dataclasses.dataclass(slots=True, frozen=True)
class DrainTarget:
    """The endpoint, instance or data centre to drain."""

    kind: DrainKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}"


class DrainControl(abc.ABC):
    """Starts drains; implemented by the daemon."""

    @abc.abstractmethod
    async def start_drain(self, target: DrainTarget) -> statuses.DrainStatus:
        """Starts a drain and returns its present state; idempotent.

        Raises:
          failure.FailureError: the target is unknown or cannot be reached.
        """
