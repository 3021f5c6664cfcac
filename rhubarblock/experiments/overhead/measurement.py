"""The measurement ``overhead``: what the relay adds, and what it costs.

Callers open streams over real sockets, directly at the token sources and
through an instance, in turns in one run. Two ways through are compared: the
present one, and the earlier one that parses every event and writes every
token by itself, which is kept as the baseline.
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
# A node's share of the two-year size: 31,000 requests and 12 million tokens a
# second over 370 nodes.
REQUESTS_PER_S = 84.0
TOKENS_PER_S = 32_500.0
# An iteration of the stand-in engine at some 40 running answers.
GAP_S = 0.012
# Prompts shorter than this count as short in the figures.
SHORT_TOKENS = 8_000
_MS_PER_S = 1_000.0
_KIB_PER_MIB = 1024


@dataclasses.dataclass(slots=True, frozen=True)
class OverheadPlan:
    """What is measured.

    Attributes:
      requests_per_s: streams opened a second.
      tokens_per_s: tokens a second over all streams.
      gap_s: seconds between two tokens of a stream at the source.
      prompt_tokens: length of each prompt; 0 draws them from the workload.
      rounds: turns that each way gets.
      window_s: seconds of each turn that count.
      settle_s: seconds before that, beside those that a stream lasts.
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
        """Returns what the callers do in one round.

        The warm-up lasts until as many streams end as begin.
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
    """Reads what an instance uses of the machine."""

    @abc.abstractmethod
    async def read_cpu(self) -> float:
        """Returns the processor seconds used since the start."""

    @abc.abstractmethod
    def read_rss(self) -> float:
        """Returns the resident memory in MiB."""


class ProcessMeter(Meter):
    """Reads a process by its id, as Linux shows it."""

    def __init__(self, pid: int):
        self._folder = pathlib.Path("/proc") / str(pid)

    async def read_cpu(self) -> float:
        # The name in brackets may hold spaces, so fields count from its end.
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
      meter: reads what it uses.
    """

    address: str
    meter: Meter


@dataclasses.dataclass(slots=True, frozen=True)
class Targets:
    """All that the callers go to.

    Attributes:
      engines: addresses of the token sources.
      present: the product.
      earlier: the way that is kept as the baseline.
    """

    engines: tuple[str, ...]
    present: Target
    earlier: Target


@dataclasses.dataclass(slots=True, frozen=True)
class Tails:
    """Median and tail of some times, in milliseconds."""

    p50: float
    p99: float


@dataclasses.dataclass(slots=True, frozen=True)
class DirectFigures:
    """What callers saw without an instance between.

    Attributes:
      answers: streams that ended.
      wrong: those that were not whole and right.
      ttft_ms: time to the first token.
      gap_ms: time between two pieces of one stream.
      answer_s: mean seconds of a whole answer.
    """

    answers: int
    wrong: int
    ttft_ms: Tails
    gap_ms: Tails
    answer_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class PathFigures:
    """What an instance added and used.

    Attributes:
      answers: streams that ended.
      wrong: those that were not whole and right.
      added_ttft_ms: time to the first token over that of the direct way, each
        quantile less the same quantile.
      added_short_ttft_ms: the same for short prompts.
      added_gap_ms: time between two pieces over that of the direct way.
      gap_ms: time between two pieces of one stream.
      tokens_per_piece: tokens that a caller got at a time.
      requests_per_s_core: requests a second for each core used.
      tokens_per_s_core: tokens a second for each core used.
      cpu_share: share of a core that was used.
      rss_mb: resident memory in MiB at the end.
      ratio_direct: mean time of a whole answer over that of the direct way.
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
      plan: what was measured.
      machine: where it ran, and how busy that was.
      direct: without an instance.
      present: through the product.
      earlier: through the baseline.
    """

    scenario: str
    plan: OverheadPlan
    machine: machines.Machine
    direct: DirectFigures
    present: PathFigures
    earlier: PathFigures


@dataclasses.dataclass(slots=True)
class _Seen:
    """What all turns of one way gave."""

    wanted: int
    streams: list[overheadload.Stream] = dataclasses.field(default_factory=list)
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    tokens: int = 0
    cpu_s: float = 0.0
    window_s: float = 0.0
    rss_mb: float = 0.0


async def measure(plan: OverheadPlan, targets: Targets) -> OverheadResult:
    """Runs all ways in turns.

    Args:
      plan: what to measure.
      targets: running sources and instances.

    Returns:
      The figures of all turns together.
    """
    timers = timer_service.LoopTimers()
    direct, present, earlier = (_Seen(plan.tokens) for _ in range(3))
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout, read_bufsize=1 << 20
    ) as session:
        for number in range(plan.rounds):
            load_plan = plan.make_load(number)
            turns: tuple[tuple[_Seen, overheadload.Way, Meter | None], ...] = (
                (direct, overheadload.DirectWay(targets.engines), None),
                _make_turn(earlier, targets.earlier),
                _make_turn(present, targets.present),
            )
            for seen, way, meter in turns:
                load = overheadload.Load(session, way, load_plan, timers)
                await _run_turn(load, load_plan, seen, meter, timers)
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
    seen: _Seen, target: Target
) -> tuple[_Seen, overheadload.Way, Meter]:
    return seen, overheadload.EntryWay(target.address), target.meter


async def _run_turn(
    load: overheadload.Load,
    plan: overheadload.LoadPlan,
    seen: _Seen,
    meter: Meter | None,
    timers: timer_service.Timers,
) -> None:
    """Runs one turn and adds what its window gave."""
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
        seen.rss_mb = max(seen.rss_mb, meter.read_rss())
    await load.wait()
    (begun_s, cpu_before), (ended_s, cpu_after) = marks
    seen.cpu_s += cpu_after - cpu_before
    seen.window_s += ended_s - begun_s
    _add_streams(load.streams, begun_s, ended_s, seen)


def _add_streams(
    streams: list[overheadload.Stream],
    begun_s: float,
    ended_s: float,
    seen: _Seen,
) -> None:
    for stream in streams:
        came_s = stream.came_s
        inside = [x for x in came_s if begun_s <= x < ended_s]
        # The tokens of a piece are not kept, so they count by its share.
        seen.tokens += round(stream.tokens * len(inside) / max(1, len(came_s)))
        seen.gaps_s += [
            later - earlier
            for earlier, later in zip(inside, inside[1:], strict=False)
        ]
        if begun_s <= stream.sent_s < ended_s:
            seen.streams.append(stream)


def _summarise_direct(seen: _Seen) -> DirectFigures:
    return DirectFigures(
        len(seen.streams),
        _count_wrong(seen),
        _summarise(_list_firsts(seen.streams)),
        _summarise(seen.gaps_s),
        round(_mean_answer(seen), 4),
    )


def _summarise_path(
    seen: _Seen, direct: _Seen, base: DirectFigures
) -> PathFigures:
    cpu_share = seen.cpu_s / seen.window_s
    gap_ms = _summarise(seen.gaps_s)
    pieces = sum(len(x.came_s) for x in seen.streams)
    return PathFigures(
        answers=len(seen.streams),
        wrong=_count_wrong(seen),
        added_ttft_ms=_subtract(
            _summarise(_list_firsts(seen.streams)), base.ttft_ms
        ),
        added_short_ttft_ms=_subtract(
            _summarise(_list_firsts(_list_short(seen))),
            _summarise(_list_firsts(_list_short(direct))),
        ),
        added_gap_ms=_subtract(gap_ms, base.gap_ms),
        gap_ms=gap_ms,
        tokens_per_piece=round(
            sum(x.tokens for x in seen.streams) / max(1, pieces), 2
        ),
        requests_per_s_core=round(len(seen.streams) / seen.cpu_s, 1),
        tokens_per_s_core=round(seen.tokens / seen.cpu_s),
        cpu_share=round(cpu_share, 4),
        rss_mb=round(seen.rss_mb, 1),
        ratio_direct=round(_mean_answer(seen) / base.answer_s, 4),
    )


def _list_short(seen: _Seen) -> list[overheadload.Stream]:
    return [x for x in seen.streams if x.prompt_tokens < SHORT_TOKENS]


def _list_firsts(streams: list[overheadload.Stream]) -> list[float]:
    return [x.came_s[0] - x.sent_s for x in streams if x.came_s]


def _mean_answer(seen: _Seen) -> float:
    lengths = [x.came_s[-1] - x.sent_s for x in seen.streams if x.came_s]
    return sum(lengths) / max(1, len(lengths))


def _count_wrong(seen: _Seen) -> int:
    return sum(
        not (x.whole and x.right and x.tokens == seen.wanted)
        for x in seen.streams
    )


def _summarise(samples_s: list[float]) -> Tails:
    ordered = sorted(samples_s)
    p50 = quantiles.pick_quantile(ordered, 0.5) or 0.0
    p99 = quantiles.pick_quantile(ordered, 0.99) or 0.0
    return Tails(round(p50 * _MS_PER_S, 3), round(p99 * _MS_PER_S, 3))


def _subtract(tails: Tails, base: Tails) -> Tails:
    return Tails(round(tails.p50 - base.p50, 3), round(tails.p99 - base.p99, 3))
