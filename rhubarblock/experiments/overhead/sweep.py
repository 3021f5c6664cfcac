"""Measures the cost of the relay at several loads and fits its slopes.

The model is linear: as long as the instance is not overloaded, each request
and each token has a constant cost.
"""

from collections.abc import Sequence
import dataclasses

from rhubarblock.experiments import machine as machines
from rhubarblock.experiments import slopes
from rhubarblock.experiments.capacity import measurement as capacity
from rhubarblock.experiments.capacity import probe as capacityprobe
from rhubarblock.experiments.overhead import measurement as overhead

SCENARIO = "relay"
# Requests and tokens a second of each measured load.
LOADS = (
    (5.0, 10.0),
    (20.0, 40.0),
    (40.0, 80.0),
    (5.0, 1_000.0),
    (5.0, 2_000.0),
    (5.0, 4_000.0),
    (10.0, 6_000.0),
    (20.0, 4_000.0),
)
_TERMS = ("1", "requests_per_s", "tokens_per_s")
_BYTES_PER_MIB = 1 << 20
_NOTE = (
    "Streams through one whole daemon over real sockets, in a process of its "
    "own, with 16 engines that send a token every {gap_ms:g} ms; prompts of "
    "{prompt} tokens."
)


async def measure(
    plan: overhead.OverheadPlan,
    targets: overhead.Targets,
    loads: Sequence[tuple[float, float]] = LOADS,
) -> capacity.CapacityResult:
    """Measures both implementations at each load.

    Args:
      plan: parameters of a run, except for the load.
      targets: running sources and instances.
      loads: requests and tokens a second.

    Returns:
      A series for the product and one for the baseline.
    """
    points: dict[str, list[capacityprobe.Point]] = {"relay": [], "earlier": []}
    for requests_per_s, tokens_per_s in loads:
        run_plan = dataclasses.replace(
            plan, requests_per_s=requests_per_s, tokens_per_s=tokens_per_s
        )
        found = await overhead.measure(run_plan, targets)
        # The tokens of an answer are rounded, which changes the rate.
        sizes = {
            "requests_per_s": requests_per_s,
            "tokens_per_s": requests_per_s * run_plan.tokens,
        }
        points["relay"].append(_make_point(sizes, found.present))
        points["earlier"].append(_make_point(sizes, found.earlier))
    note = _NOTE.format(
        gap_ms=plan.gap_s * 1_000, prompt=plan.prompt_tokens or "mixed"
    )
    return capacity.CapacityResult(
        SCENARIO,
        machines.describe_machine(),
        tuple(_fit(name, note, each) for name, each in points.items()),
    )


def _make_point(
    sizes: capacityprobe.Sizes, figures: overhead.PathFigures
) -> capacityprobe.Point:
    return capacityprobe.Point(
        sizes,
        {
            capacityprobe.CPU: figures.cpu_share,
            capacityprobe.MEMORY: figures.rss_mb * _BYTES_PER_MIB,
            "added_ttft_ms_p50": figures.added_ttft_ms.p50,
            "added_ttft_ms_p99": figures.added_ttft_ms.p99,
            "added_gap_ms_p50": figures.added_gap_ms.p50,
            "added_gap_ms_p99": figures.added_gap_ms.p99,
            "tokens_per_piece": figures.tokens_per_piece,
            "wrong": figures.wrong,
        },
    )


def _fit(
    name: str, note: str, points: list[capacityprobe.Point]
) -> capacityprobe.Series:
    sizes = [point.sizes for point in points]
    fits = {
        quantity: slopes.fit_line(
            _TERMS, sizes, [point.values[quantity] for point in points]
        )
        for quantity in (capacityprobe.CPU, capacityprobe.MEMORY)
    }
    return capacityprobe.Series(name, "relay", note, tuple(points), fits)
