"""Overlapping planned stops of several instances."""

import asyncio
import random

from tools.soak import evidence as evidences
from tools.soak import fleet

# Seconds between two stop signals, and the least number of stops.
SIGNAL_GAP_S = 0.3
MIN_STOPS = 2


async def stop_some(
    instances: list[fleet.SoakInstance],
    evidence: evidences.Evidence,
    rng: random.Random,
) -> None:
    """Stops instances in quick succession; at least one keeps running.

    Args:
      instances: all instances.
      evidence: records when each process got its signal.
      rng: chooses how many instances stop, and which.
    """
    count = rng.randint(MIN_STOPS, len(instances) - 1)
    for instance in rng.sample(instances, count):
        evidence.stop_signalled_s[instance.process_id] = evidences.read_clock()
        instance.stop_gracefully()
        await asyncio.sleep(SIGNAL_GAP_S)
