"""Planned stops of instances in a series that overlaps."""

import asyncio
import random

from tools.soak import evidence as evidences
from tools.soak import fleet

# Seconds between two signals of a series, and the fewest stops of one.
GAP_S = 0.3
FEWEST = 2


async def stop_some(
    instances: list[fleet.SoakInstance],
    evidence: evidences.Evidence,
    rng: random.Random,
) -> None:
    """Tells instances to stop, one soon after another; at least one stays.

    Args:
      instances: all instances.
      evidence: takes in which process was told when.
      rng: chooses how many stop, and which.
    """
    count = rng.randint(FEWEST, len(instances) - 1)
    for instance in rng.sample(instances, count):
        evidence.stopped_s[instance.process_id] = evidences.read_clock()
        instance.stop_as_planned()
        await asyncio.sleep(GAP_S)
