"""A drill: the store is away for a moment and comes back older."""

import asyncio
from collections.abc import Callable
import random

from tools.soak import engines
from tools.soak import evidence as evidences
from tools.soak import store as stores

# Seconds within which everybody has written again what is his, and after which
# an entry that nobody renews is removed.
REWRITE_S = 2.0
RENEW_S = 3.6
# Seconds for which the store is away, and by which its copy is old.
AWAY_S = (0.2, 2.0)
AGE_S = (0.5, 5.0)


async def play(
    store: stores.SoakStore,
    endpoints: list[engines.SoakEndpoint],
    evidence: evidences.Evidence,
    write_configuration: Callable[[], None],
    rng: random.Random,
) -> None:
    """Plays one drill, until all is written again.

    Args:
      store: the store.
      endpoints: write their entries again if they are listed.
      evidence: forgets what was acknowledged and is gone.
      write_configuration: writes the operator's newest configuration.
      rng: chooses times.
    """
    store.refuses = True
    await asyncio.sleep(rng.uniform(*AWAY_S))
    copied_s = store.come_back(rng.uniform(*AGE_S))
    store.refuses = False
    lost = [k for k, at_s in evidence.revoked_s.items() if at_s > copied_s]
    for key in lost:
        del evidence.revoked_s[key]
    async with asyncio.TaskGroup() as group:
        for endpoint in endpoints:
            group.create_task(_list_again(endpoint, rng))
        await asyncio.sleep(rng.uniform(0.0, REWRITE_S))
        write_configuration()
        for key in lost:
            evidence.revoked_s[key] = evidences.read_clock()
    await asyncio.sleep(RENEW_S - REWRITE_S)
    listed = {f"servers/{endpoint.id}" for endpoint in endpoints}
    for name in store.list_names("servers/"):
        if name not in listed:
            store.remove(name)


async def _list_again(
    endpoint: engines.SoakEndpoint, rng: random.Random
) -> None:
    started_id = endpoint.id
    await asyncio.sleep(rng.uniform(0.0, REWRITE_S))
    if endpoint.id == started_id:
        endpoint.list_again()
