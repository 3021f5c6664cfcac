"""State of the stand-in engine that is kept across its restarts."""

import collections
from collections.abc import Callable
import dataclasses
import random

from rhubarblock.kernel import timers
from rhubarblock.standins.engine import exports as engineexport
from rhubarblock.standins.engine import faults as enginefaults
from rhubarblock.standins.engine import settings as enginesettings


@dataclasses.dataclass(slots=True)
class EngineCounters:
    """Counters of an engine since its first start.

    Attributes:
      accepted: attempts accepted.
      refused: attempts refused on submission.
      finished: attempts whose answer is complete.
      cancelled: attempts cancelled by their caller.
      failed: attempts ended by a failure.
      iterations: iterations run.
      tokens: tokens generated.
      prefill_tokens: prompt tokens computed.
      cached_tokens: prompt tokens found in the prefix cache.
      imports: attempts that imported the KV cache of their sources.
      expired: exports that expired, with or without having been copied.
      starts: starts of the engine.
    """

    accepted: int = 0
    refused: int = 0
    finished: int = 0
    cancelled: int = 0
    failed: int = 0
    iterations: int = 0
    tokens: int = 0
    prefill_tokens: int = 0
    cached_tokens: int = 0
    imports: int = 0
    expired: int = 0
    starts: int = 0


@dataclasses.dataclass(slots=True)
class RunContext:
    """What the runs of an engine share: settings, services and counters.

    Attributes:
      settings: size and speed.
      timers: timer service.
      rng: random numbers.
      faults: faults switched on.
      counters: counters since the first start.
      runs: number of attempts started, by the digest of their body.
      transport: reads the exports of other engines.
      on_change: called when the load changes.
      on_crash: called when an attempt crashes the engine.
    """

    settings: enginesettings.EngineSettings
    timers: timers.Timers
    rng: random.Random
    faults: enginefaults.EngineFaults
    counters: EngineCounters
    runs: collections.Counter[str]
    transport: engineexport.KvTransport
    on_change: Callable[[], None]
    on_crash: Callable[[], None]
