"""The measurement ``capacity``: runs all probes and stores their series."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import json
from typing import Any

from rhubarblock.experiments import machine as machines
from rhubarblock.experiments import slopes
from rhubarblock.experiments.capacity import fleet as capacityfleet
from rhubarblock.experiments.capacity import instance as capacityinstance
from rhubarblock.experiments.capacity import lists as capacitylists
from rhubarblock.experiments.capacity import platform as capacityplatform
from rhubarblock.experiments.capacity import probe as capacityprobe
from rhubarblock.experiments.capacity import routing as capacityrouting
from rhubarblock.experiments.capacity import sockets as capacitysockets

SCENARIO = "capacity"

PROBES: tuple[type[capacityprobe.Probe], ...] = (
    capacityfleet.MembershipProbe,
    capacityfleet.ChurnProbe,
    capacityfleet.CatalogueProbe,
    capacitysockets.LoadProbe,
    capacitysockets.CacheProbe,
    capacitysockets.ListProbe,
    capacitylists.ListRelayProbe,
    capacityrouting.LimitsProbe,
    capacityrouting.PlacementProbe,
    capacityplatform.OrdersProbe,
    capacityplatform.ClaimsProbe,
    capacityinstance.InstanceProbe,
)


@dataclasses.dataclass(slots=True, frozen=True)
class CapacityResult:
    """All series of one run.

    Attributes:
      scenario: name of the measurement.
      machine: the machine on which it ran.
      series: the measurements with their fits.
    """

    scenario: str
    machine: machines.Machine
    series: tuple[capacityprobe.Series, ...]


def measure(
    names: Sequence[str] = (), progress: Callable[[str], None] = lambda _: None
) -> CapacityResult:
    """Runs probes one after the other.

    Args:
      names: probes to run; empty for all.
      progress: called with the name of each probe before it runs.
    """
    series = []
    for probe_class in PROBES:
        if names and probe_class.name not in names:
            continue
        progress(probe_class.name)
        series.append(probe_class().measure())
    return CapacityResult(SCENARIO, machines.describe_machine(), tuple(series))


def encode_result(result: CapacityResult) -> str:
    """Returns a result as JSON text."""
    return json.dumps(dataclasses.asdict(result), indent=1)


def decode_result(text: str) -> CapacityResult:
    """Parses the output of ``encode_result``.

    Raises:
      ValueError: the text is not a result of ``capacity``.
    """
    try:
        fields = json.loads(text)
        return CapacityResult(
            fields["scenario"],
            machines.Machine(**fields["machine"]),
            tuple(_decode_series(each) for each in fields["series"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a result of capacity: {error}") from error


def _decode_series(fields: dict[str, Any]) -> capacityprobe.Series:
    return capacityprobe.Series(
        fields["name"],
        fields["role"],
        fields["note"],
        tuple(
            capacityprobe.Point(each["sizes"], each["values"])
            for each in fields["points"]
        ),
        {
            name: slopes.Fit(
                tuple(each["terms"]),
                tuple(each["slopes"]),
                tuple(each["errors"]),
                each["r_squared"],
            )
            for name, each in fields["fits"].items()
        },
    )
