"""The measurement ``overhead``: added latency and cost of the relay.

Callers open streams over real sockets, in turn directly at the token sources
and through an instance. Two implementations of streaming are compared: the
product's, and a baseline (``earlier``) that parses every event and writes each
token separately.
"""

import abc
import asyncio
import dataclasses
import os
import pathlib

import aiohttp

from rhubarblock.experiments import machine as machines
from rhubarblock.experiments import quantiles
from rhubarblock.experiments.overhead import load as overheadload
from rhubarblock.kernel import timers as timer_service

SCENARIO = "overhead"
# A node's share of the target size: 31,000 requests and 12 million tokens a
# second over 370 nodes.
REQUESTS_PER_S = 84.0
TOKENS_PER_S = 32_500.0
# Iteration time of the stand-in engine with about 40 running answers.
GAP_S = 0.012
# Prompts shorter than this count as short in the figures.
SHORT_TOKENS = 8_000
_MS_PER_S = 1_000.0
_KIB_PER_MIB = 1024


@dataclasses.dataclass(slots=True, frozen=True)
class OverheadPlan:
    """Parameters of a run.

    Attributes:
      requests_per_s: streams opened a second.
      tokens_per_s: tokens a second over all streams.
      gap_s: seconds between two tokens of a stream at the source.
      prompt_tokens: length of each prompt; 0 draws lengths from the workload.
      rounds: number of turns of each path.
      window_s: measured seconds of each turn.
      settle_s: seconds of warm-up besides the duration of one stream.
    """

    requests_per_s: float = REQUESTS_PER_S
    tokens_per_s: float = TOKENS_PER_S
    gap_s: float = GAP_S
    prompt_tokens: int = 0
    rounds: int = 2
    window_s: float = 10.0
    settle_s: float = 1.0

    @property
    def tokens(self) -> int:
        """Tokens of each answer."""
        return max(2, round(self.tokens_per_s / self.requests_per_s))

    def make_load(self, number: int) -> overheadload.LoadPlan:
        """Returns the load of one round.

        The warm-up lasts until the number of open streams is steady.
        """
        return overheadload.LoadPlan(
            requests_per_s=self.requests_per_s,
            tokens=self.tokens,
            prompt_tokens=self.prompt_tokens,
            warm_s=self.settle_s + self.tokens * self.gap_s,
            window_s=self.window_s,
            seed=number + 1,
        )


class Meter(abc.ABC):
    """Reads the resource usage of an instance."""

    @abc.abstractmethod
    async def read_cpu(self) -> float:
        """Returns the processor seconds used since the start."""

    @abc.abstractmethod
    def read_rss(self) -> float:
        """Returns the resident memory in MiB."""


class ProcessMeter(Meter):
    """Reads the resource usage of a process from Linux's ``/proc``."""

    def __init__(self, pid: int):
        self._folder = pathlib.Path("/proc") / str(pid)

    async def read_cpu(self) -> float:
        # The process name in brackets may contain spaces, so it is cut off.
        fields = (self._folder / "stat").read_text().rpartition(")")[2].split()
        user, system = int(fields[11]), int(fields[12])
        return (user + system) / os.sysconf("SC_CLK_TCK")

    def read_rss(self) -> float:
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / _KIB_PER_MIB
        return 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """An instance that is measured.

    Attributes:
      address: ``host:port`` for callers.
      meter: reads its resource usage.
    """

    address: str
    meter: Meter


@dataclasses.dataclass(slots=True, frozen=True)
class Targets:
    """Everything that the callers send to.

    Attributes:
      engines: addresses of the token sources.
      present: the product.
      earlier: the baseline.
    """

    engines: tuple[str, ...]
    present: Target
    earlier: Target


@dataclasses.dataclass(slots=True, frozen=True)
class Tails:
    """Median and 99th percentile of some times, in milliseconds."""

    p50: float
    p99: float


@dataclasses.dataclass(slots=True, frozen=True)
class DirectFigures:
    """Figures of the direct path.

    Attributes:
      answers: number of streams.
      wrong: streams that were incomplete or had a wrong text.
      ttft_ms: time to the first token.
      gap_ms: time between two pieces of one stream.
      answer_s: mean duration of an answer in seconds.
    """

    answers: int
    wrong: int
    ttft_ms: Tails
    gap_ms: Tails
    answer_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class PathFigures:
    """Added latency and resource usage of an instance.

    Attributes:
      answers: number of streams.
      wrong: streams that were incomplete or had a wrong text.
      added_ttft_ms: quantiles of the time to the first token, minus those of
        the direct path.
      added_short_ttft_ms: the same for short prompts.
      added_gap_ms: quantiles of the time between two pieces of one stream,
        minus those of the direct path.
      gap_ms: time between two pieces of one stream.
      tokens_per_piece: mean tokens in a piece that a caller received.
      requests_per_s_core: requests a second per core used.
      tokens_per_s_core: tokens a second per core used.
      cpu_share: share of a core that was used.
      rss_mb: highest resident memory in MiB at the end of a turn.
      ratio_direct: mean duration of an answer relative to the direct path.
    """

    answers: int
    wrong: int
    added_ttft_ms: Tails
    added_short_ttft_ms: Tails
    added_gap_ms: Tails
    gap_ms: Tails
    tokens_per_piece: float
    requests_per_s_core: float
    tokens_per_s_core: float
    cpu_share: float
    rss_mb: float
    ratio_direct: float


@dataclasses.dataclass(slots=True, frozen=True)
class OverheadResult:
    """The figures of one run.

    Attributes:
      scenario: name of the measurement.
      plan: parameters of the run.
      machine: the machine on which it ran, and its load.
      direct: figures of the direct path.
      present: figures of the product.
      earlier: figures of the baseline.
    """

    scenario: str
    plan: OverheadPlan
    machine: machines.Machine
    direct: DirectFigures
    present: PathFigures
    earlier: PathFigures


@dataclasses.dataclass(slots=True)
class _Samples:
    """Measurements of all turns of one path.

    Attributes:
      wanted: tokens of a complete answer.
      streams: streams that were opened within the windows.
      gaps_s: times between two pieces of one stream.
      tokens: tokens received within the windows.
      cpu_s: processor seconds used within the windows.
      window_s: length of all windows.
      rss_mb: highest resident memory in MiB.
    """

    wanted: int
    streams: list[overheadload.Stream] = dataclasses.field(default_factory=list)
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    tokens: int = 0
    cpu_s: float = 0.0
    window_s: float = 0.0
    rss_mb: float = 0.0


async def measure(plan: OverheadPlan, targets: Targets) -> OverheadResult:
    """Measures all paths in turn.

    Args:
      plan: parameters of the run.
      targets: running sources and instances.

    Returns:
      The figures of all turns together.
    """
    timers = timer_service.LoopTimers()
    direct, present, earlier = (_Samples(plan.tokens) for _ in range(3))
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout, read_bufsize=1 << 20
    ) as session:
        for number in range(plan.rounds):
            load_plan = plan.make_load(number)
            turns: tuple[
                tuple[_Samples, overheadload.DataPath, Meter | None], ...
            ] = (
                (direct, overheadload.DirectPath(targets.engines), None),
                _make_turn(earlier, targets.earlier),
                _make_turn(present, targets.present),
            )
            for samples, path, meter in turns:
                load = overheadload.Load(session, path, load_plan, timers)
                await _run_turn(load, load_plan, samples, meter, timers)
    base = _summarise_direct(direct)
    return OverheadResult(
        SCENARIO,
        plan,
        machines.describe_machine(),
        base,
        _summarise_path(present, direct, base),
        _summarise_path(earlier, direct, base),
    )


def _make_turn(
    samples: _Samples, target: Target
) -> tuple[_Samples, overheadload.DataPath, Meter]:
    return samples, overheadload.EntryPath(target.address), target.meter


async def _run_turn(
    load: overheadload.Load,
    plan: overheadload.LoadPlan,
    samples: _Samples,
    meter: Meter | None,
    timers: timer_service.Timers,
) -> None:
    """Runs one turn and adds the measurements of its window."""
    start_s = timers.read_monotonic() + plan.warm_s
    end_s = start_s + plan.window_s
    marks: list[tuple[float, float]] = []

    async def mark() -> None:
        cpu_s = await meter.read_cpu() if meter else 0.0
        marks.append((timers.read_monotonic(), cpu_s))

    async def mark_window() -> None:
        await timers.sleep(start_s - timers.read_monotonic())
        await mark()
        await timers.sleep(end_s - timers.read_monotonic())
        await mark()

    await asyncio.gather(load.send_until(end_s), mark_window())
    if meter:
        samples.rss_mb = max(samples.rss_mb, meter.read_rss())
    await load.wait()
    (begun_s, cpu_before), (ended_s, cpu_after) = marks
    samples.cpu_s += cpu_after - cpu_before
    samples.window_s += ended_s - begun_s
    _add_streams(load.streams, begun_s, ended_s, samples)


def _add_streams(
    streams: list[overheadload.Stream],
    begun_s: float,
    ended_s: float,
    samples: _Samples,
) -> None:
    for stream in streams:
        arrived_s = stream.arrived_s
        inside = [x for x in arrived_s if begun_s <= x < ended_s]
        # The tokens of each piece are not recorded, so this takes their mean.
        samples.tokens += round(
            stream.tokens * len(inside) / max(1, len(arrived_s))
        )
        samples.gaps_s += [
            later - earlier
            for earlier, later in zip(inside, inside[1:], strict=False)
        ]
        if begun_s <= stream.sent_s < ended_s:
            samples.streams.append(stream)


def _summarise_direct(samples: _Samples) -> DirectFigures:
    return DirectFigures(
        len(samples.streams),
        _count_wrong(samples),
        _summarise(_list_firsts(samples.streams)),
        _summarise(samples.gaps_s),
        round(_compute_mean_answer(samples), 4),
    )


def _summarise_path(
    samples: _Samples, direct: _Samples, base: DirectFigures
) -> PathFigures:
    cpu_share = samples.cpu_s / samples.window_s
    gap_ms = _summarise(samples.gaps_s)
    pieces = sum(len(x.arrived_s) for x in samples.streams)
    return PathFigures(
        answers=len(samples.streams),
        wrong=_count_wrong(samples),
        added_ttft_ms=_subtract(
            _summarise(_list_firsts(samples.streams)), base.ttft_ms
        ),
        added_short_ttft_ms=_subtract(
            _summarise(_list_firsts(_list_short(samples))),
            _summarise(_list_firsts(_list_short(direct))),
        ),
        added_gap_ms=_subtract(gap_ms, base.gap_ms),
        gap_ms=gap_ms,
        tokens_per_piece=round(
            sum(x.tokens for x in samples.streams) / max(1, pieces), 2
        ),
        requests_per_s_core=round(len(samples.streams) / samples.cpu_s, 1),
        tokens_per_s_core=round(samples.tokens / samples.cpu_s),
        cpu_share=round(cpu_share, 4),
        rss_mb=round(samples.rss_mb, 1),
        ratio_direct=round(_compute_mean_answer(samples) / base.answer_s, 4),
    )


def _list_short(samples: _Samples) -> list[overheadload.Stream]:
    return [x for x in samples.streams if x.prompt_tokens < SHORT_TOKENS]


def _list_firsts(streams: list[overheadload.Stream]) -> list[float]:
    return [x.arrived_s[0] - x.sent_s for x in streams if x.arrived_s]


def _compute_mean_answer(samples: _Samples) -> float:
    lengths = [
        x.arrived_s[-1] - x.sent_s for x in samples.streams if x.arrived_s
    ]
    return sum(lengths) / max(1, len(lengths))


def _count_wrong(samples: _Samples) -> int:
    return sum(
        not (x.complete and x.has_correct_text and x.tokens == samples.wanted)
        for x in samples.streams
    )


def _summarise(samples_s: list[float]) -> Tails:
    ordered = sorted(samples_s)
    p50 = quantiles.pick_quantile(ordered, 0.5) or 0.0
    p99 = quantiles.pick_quantile(ordered, 0.99) or 0.0
    return Tails(round(p50 * _MS_PER_S, 3), round(p99 * _MS_PER_S, 3))


def _subtract(tails: Tails, base: Tails) -> Tails:
    return Tails(round(tails.p50 - base.p50, 3), round(tails.p99 - base.p99, 3))
