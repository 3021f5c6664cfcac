"""The users' deployments: kinds of requests, engines, and waves of load.

Figures are those of the sheets, at the share at which they are played. Lengths
are drawn from a lognormal distribution whose logarithm has the sheet's spread
as its deviation; how the users draw them is not published.
"""

import dataclasses
import math
import random

from rhubarblock.core import route as routes
from rhubarblock.exchange.state import subset as subsets


@dataclasses.dataclass(slots=True, frozen=True)
class Lengths:
    """A distribution of lengths.

    Attributes:
      mean: mean before the bound.
      spread: deviation of the logarithm.
      most: longest.
    """

    mean: float
    spread: float
    most: float

    def draw(self, rng: random.Random) -> int:
        """Returns one length, 1 at the least."""
        middle = math.log(self.mean) - self.spread**2 / 2
        drawn = rng.lognormvariate(middle, self.spread)
        return max(1, round(min(self.most, drawn)))


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request.

    Attributes:
      name: as on the sheet.
      per_s: requests a second.
      prompt: lengths of prompts in tokens.
      events: lengths of answers in events.
      objective_s: time to the first event that is on time.
      pause_s: longest pause between events that is on time.
      worth: what an answer in time is worth, and a late one.
      late_worth: see ``worth``.
      event_tokens: tokens of an event of its answers: those of a stride.
    """

    name: str
    per_s: float
    prompt: Lengths
    events: Lengths
    objective_s: float
    pause_s: float
    worth: float
    late_worth: float
    event_tokens: int = 46


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """A deployment.

    Attributes:
      name: name of the scenario.
      kinds: short, middle and long requests, in this order.
      engines: engines of each data centre.
      instances: instances of each data centre.
      model: costs of an engine.
      cross_s: way between data centres, in seconds.
      link_bps: link of an instance in bits a second.
      engines_each: engines that an instance uses, as in the product.
    """

    name: str
    kinds: tuple[Kind, Kind, Kind]
    engines: tuple[int, ...]
    instances: tuple[int, ...]
    model: routes.EngineCostModel
    cross_s: float
    link_bps: float = 1e9
    engines_each: int = subsets.SUBSET_SIZE


# Factors of the three kinds in turns, and the seconds of a turn: the waves of a
# calm day on the users' bench.
WAVES = ((0.36, 1.3, 2.85), (2.4, 0.5, 0.05))
WAVE_S = 9.5

_ENGINE = routes.EngineCostModel(
    slots=8,
    kv_capacity_tokens=450_000,
    stride=46,
    step_ms=0.925,
    sequence_ms=0.00483,
    context_ms=0.00254,
    prefill_tokens_per_ms=256.0,
    pair_ms=0.0917,
    chunk_tokens=2048,
    hop_ms=0.1,
)


def _make_kinds(short: float, middle: float, long: float) -> tuple[Kind, ...]:
    return (
        Kind(
            "short",
            short,
            Lengths(4_960, 0.9, 23_800),
            Lengths(34.9, 0.7, 87.2),
            0.3,
            0.2,
            1.3,
            0.33,
        ),
        Kind(
            "middle",
            middle,
            Lengths(45_000, 0.5, 110_000),
            Lengths(20.9, 0.6, 52.3),
            1.5,
            0.5,
            3.1,
            0.79,
        ),
        Kind(
            "long",
            long,
            Lengths(210_000, 0.55, 1_000_000),
            Lengths(17.4, 0.5, 43.6),
            3.0,
            0.8,
            22.0,
            5.4,
        ),
    )


def _make_plan(
    name: str,
    rates: tuple[float, float, float],
    engines: tuple[int, ...],
    instances: tuple[int, ...],
    cross_s: float,
) -> Plan:
    short, middle, long = _make_kinds(*rates)
    return Plan(
        name,
        (short, middle, long),
        engines,
        instances,
        _ENGINE,
        cross_s,
    )


# The large fleet of adwoa, at the share of its sheet that is played.
LARGE = Plan(
    "platform-adwoa-large",
    (
        Kind(
            "short",
            141.0,
            Lengths(4_960, 0.9, 23_800),
            Lengths(24.3, 0.7, 60.8),
            0.321,
            0.25,
            1.4,
            0.34,
            73,
        ),
        Kind(
            "middle",
            15.1,
            Lengths(45_000, 0.5, 110_000),
            Lengths(14.6, 0.6, 36.5),
            1.532,
            0.6,
            2.3,
            0.58,
            73,
        ),
        Kind(
            "long",
            3.45,
            Lengths(300_000, 0.55, 1_000_000),
            Lengths(12.2, 0.5, 30.4),
            4.055,
            1.0,
            26.0,
            6.6,
            73,
        ),
    ),
    (39, 39, 39, 39, 39),
    (40, 43, 32, 37, 43),
    dataclasses.replace(_ENGINE, slots=5, stride=73),
    0.0005,
    link_bps=10e6,
)
ADWOA = _make_plan(
    "platform-adwoa", (25.3, 1.83, 0.761), (8, 8, 7), (3, 2, 2), 0.0005
)
HOFBAUER = _make_plan(
    "platform-hofbauer", (15.3, 1.11, 0.461), (5, 5, 4), (2, 2, 2), 0.0014
)
CARONI = _make_plan(
    "platform-caroni", (19.8, 1.44, 0.595), (6, 6, 6), (3, 3, 2), 0.0009
)


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request.

    Attributes:
      number: its place in the order of arrival.
      at_s: when it arrives.
      kind: its kind.
      prompt_tokens: length of its prompt.
      events: length of its answer.
      instance: index of the instance that gets it.
    """

    number: int
    at_s: float
    kind: Kind
    prompt_tokens: int
    events: int
    instance: int


def draw_arrivals(
    plan: Plan, seed: int, load: float, length_s: float
) -> list[Arrival]:
    """Draws the requests of a run, in the order of their arrival.

    Args:
      plan: the deployment.
      seed: decides all draws.
      load: factor of the rates of the sheet.
      length_s: seconds in which requests arrive.
    """
    rng = random.Random(seed)
    drawn = []
    for index, kind in enumerate(plan.kinds):
        at_s = 0.0
        while True:
            factor = WAVES[int(at_s / WAVE_S) % len(WAVES)][index]
            at_s += rng.expovariate(load * kind.per_s * factor)
            if at_s >= length_s:
                break
            tokens = kind.prompt.draw(rng)
            events = kind.events.draw(rng)
            instance = rng.randrange(sum(plan.instances))
            drawn.append((at_s, kind, tokens, events, instance))
    drawn.sort(key=lambda fields: fields[0])
    return [Arrival(n, *fields) for n, fields in enumerate(drawn)]
