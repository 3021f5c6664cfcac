"""The users' deployments: kinds of requests, engines and waves of load.

The figures are those that the users specify, scaled to the share of the
deployment that is simulated. How the users draw lengths is not published; here
lengths are log-normal, with the specified spread as the standard deviation of
the logarithm.
"""

import dataclasses
import math
import random

from rhubarblock.core import route as routes
from rhubarblock.exchange.state import subset as subsets


@dataclasses.dataclass(slots=True, frozen=True)
class Lengths:
    """A log-normal distribution of lengths with an upper bound.

    Attributes:
      mean: mean without the bound.
      spread: standard deviation of the logarithm.
      most: upper bound.
    """

    mean: float
    spread: float
    most: float

    def draw(self, rng: random.Random) -> int:
        """Draws one length, at least 1."""
        mu = math.log(self.mean) - self.spread**2 / 2
        drawn = rng.lognormvariate(mu, self.spread)
        return max(1, round(min(self.most, drawn)))


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request.

    Attributes:
      name: its name, as the users specify it.
      per_s: requests a second.
      prompt: lengths of prompts in tokens.
      events: lengths of answers in events.
      objective_s: objective for the time to the first event, in seconds.
      pause_s: objective for the longest pause between events, in seconds.
      worth: value of an answer that meets both objectives.
      late_worth: value of a later answer.
      event_tokens: tokens of one event, equal to the stride of the engine.
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
      engines: number of engines in each data centre.
      instances: number of instances in each data centre.
      model: cost model of an engine.
      cross_s: one-way latency between data centres in seconds.
      link_bps: bandwidth of an instance's link in bits a second.
      engines_each: size of the subset of engines that an instance uses.
    """

    name: str
    kinds: tuple[Kind, Kind, Kind]
    engines: tuple[int, ...]
    instances: tuple[int, ...]
    model: routes.EngineCostModel
    cross_s: float
    link_bps: float = 1e9
    engines_each: int = subsets.SUBSET_SIZE


# Factors on the rates of the three kinds, which alternate every `WAVE_S`
# seconds: the load pattern of a calm day in the users' own measurements.
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


# The large fleet of adwoa, scaled to the share that is simulated.
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


# The deployments under high load: 82 instances before 54 engines, and 33 before
# 45. Rates are halved and links are the slowest ones, as in the large fleet.
HIGH_LOAD_SHARE = 0.5
HIGH_LOAD_LINK_BPS = 10e6
_SITE_ONE_STRIDE = 57
_SITE_TWO_STRIDE = 52
SITE_ONE = Plan(
    "platform-site-one",
    (
        Kind(
            "price-note",
            HIGH_LOAD_SHARE * 65.2,
            Lengths(4_960, 0.9, 23_800),
            Lengths(31.7, 0.7, 79.3),
            0.25,
            0.25,
            1.8,
            0.18,
            _SITE_ONE_STRIDE,
        ),
        Kind(
            "fund-recon",
            HIGH_LOAD_SHARE * 7.18,
            Lengths(45_000, 0.5, 110_000),
            Lengths(19.0, 0.6, 47.6),
            1.5,
            0.6,
            2.5,
            0.64,
            _SITE_ONE_STRIDE,
        ),
        Kind(
            "pds-review",
            HIGH_LOAD_SHARE * 1.77,
            Lengths(220_000, 0.55, 700_000),
            Lengths(15.9, 0.5, 39.6),
            8.0,
            1.0,
            11.0,
            4.0,
            _SITE_ONE_STRIDE,
        ),
    ),
    (18, 18, 18),
    (28, 27, 27),
    routes.EngineCostModel(
        slots=12,
        kv_capacity_tokens=267_750,
        stride=_SITE_ONE_STRIDE,
        step_ms=0.85,
        sequence_ms=0.00425,
        context_ms=0.00285,
        prefill_tokens_per_ms=177.0,
        pair_ms=0.184,
        chunk_tokens=2048,
        hop_ms=0.05,
    ),
    0.0005,
    link_bps=HIGH_LOAD_LINK_BPS,
)
SITE_TWO = Plan(
    "platform-site-two",
    (
        Kind(
            "fitment-query",
            HIGH_LOAD_SHARE * 67.6,
            Lengths(4_960, 0.9, 23_800),
            Lengths(33.0, 0.7, 80.0),
            0.3,
            0.2,
            1.4,
            0.34,
            _SITE_TWO_STRIDE,
        ),
        Kind(
            "pricelist-xref",
            HIGH_LOAD_SHARE * 6.18,
            Lengths(45_000, 0.5, 110_000),
            Lengths(20.0, 0.6, 48.0),
            1.5,
            0.5,
            2.6,
            0.66,
            _SITE_TWO_STRIDE,
        ),
        Kind(
            "manual-ingest",
            HIGH_LOAD_SHARE * 1.83,
            Lengths(300_000, 0.55, 900_000),
            Lengths(16.0, 0.5, 40.0),
            4.0,
            0.8,
            30.0,
            7.5,
            _SITE_TWO_STRIDE,
        ),
    ),
    (15, 15, 15),
    (11, 11, 11),
    routes.EngineCostModel(
        slots=12,
        kv_capacity_tokens=382_500,
        stride=_SITE_TWO_STRIDE,
        step_ms=0.925,
        sequence_ms=0.005,
        context_ms=0.0033,
        prefill_tokens_per_ms=256.0,
        pair_ms=0.184,
        chunk_tokens=2048,
        hop_ms=0.05,
    ),
    0.0014,
    link_bps=HIGH_LOAD_LINK_BPS,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request.

    Attributes:
      number: its index in the order of arrival.
      at_s: arrival in seconds from the start of the run.
      kind: its kind.
      prompt_tokens: length of its prompt.
      events: length of its answer in events.
      instance: index of the instance that receives it.
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
      seed: seed of all draws.
      load: factor on the specified rates.
      length_s: seconds over which requests arrive.
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


def draw_speeds(
    plan: Plan, seed: int, speeds: tuple[float, float]
) -> list[float]:
    """Draws the speed of each engine relative to the model, log-uniform.

    Args:
      plan: the deployment.
      seed: seed of the draws, which are independent of those of arrivals.
      speeds: lowest and highest speed.
    """
    rng = random.Random(f"speeds {seed}")
    lowest, highest = (math.log(speed) for speed in speeds)
    return [
        math.exp(rng.uniform(lowest, highest)) for _ in range(sum(plan.engines))
    ]
