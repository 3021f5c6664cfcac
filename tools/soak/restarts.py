"""Endpoints that restart at their address and repeat their answers late."""

import asyncio
from collections.abc import Sequence
import random

from tools.soak import callers
from tools.soak import engines
from tools.soak import evidence as evidences
from tools.soak import fleet
from tools.soak import latecopies

CALLERS = 40
# Restarts, and the shortest and longest time between two of them in seconds.
RESTARTS = 6
GAPS_S = (0.4, 0.8)
# Share of the answers that come again meanwhile.
COPY_SHARE = 0.8


async def run(
    instances: list[fleet.SoakInstance],
    endpoints: Sequence[engines.SoakEndpoint],
    keys: Sequence[str],
    evidence: evidences.Evidence,
    rng: random.Random,
) -> None:
    """Restarts endpoints while callers send calls that may run only once.

    Args:
      instances: all instances.
      endpoints: those of the service that gets the calls.
      keys: API keys that are valid at present.
      evidence: records the calls and their runs.
      rng: chooses the endpoints, their pauses and the instances.
    """
    for endpoint in endpoints:
        endpoint.copies.share = COPY_SHARE
    stop = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for number in range(CALLERS):
            caller = callers.SoakCaller(
                f"r{number}",
                instances,
                list(keys),
                evidence,
                random.Random(rng.random()),
                kinds=("once",),
            )
            group.create_task(caller.run(stop))
        for _ in range(RESTARTS):
            rng.choice(endpoints).restart()
            await asyncio.sleep(rng.uniform(*GAPS_S))
        stop.set()
    for endpoint in endpoints:
        endpoint.copies.share = latecopies.SHARE
