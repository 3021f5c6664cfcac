"""A store outage that ends with the restore of an older snapshot."""

import asyncio
from collections.abc import Callable
import random

from tools.soak import engines
from tools.soak import evidence as evidences
from tools.soak import store as stores

# Seconds within which every owner writes its objects again.
REWRITE_S = 2.0
# Seconds after which an entry that its owner has not renewed is removed.
EXPIRY_S = 3.6
# Shortest and longest outage, and age of the restored snapshot, in seconds.
OUTAGE_S = (0.2, 2.0)
SNAPSHOT_AGE_S = (0.5, 5.0)


async def run(
    store: stores.SoakStore,
    endpoints: list[engines.SoakEndpoint],
    evidence: evidences.Evidence,
    write_again: Callable[[], None],
    rng: random.Random,
) -> None:
    """Restores an older snapshot and waits until lost writes are repeated.

    Args:
      store: the store.
      endpoints: write their entries again if they had one.
      evidence: revocations that the snapshot lacks count only from when
        the configuration is written again.
      write_again: writes the newest objects of the operator.
      rng: chooses the times.
    """
    store.is_down = True
    await asyncio.sleep(rng.uniform(*OUTAGE_S))
    snapshot_s = store.restore_snapshot(rng.uniform(*SNAPSHOT_AGE_S))
    store.is_down = False
    lost_keys = [
        k for k, at_s in evidence.key_revoked_s.items() if at_s > snapshot_s
    ]
    for key in lost_keys:
        del evidence.key_revoked_s[key]
    async with asyncio.TaskGroup() as group:
        for endpoint in endpoints:
            group.create_task(_rewrite_entry(endpoint, rng))
        await asyncio.sleep(rng.uniform(0.0, REWRITE_S))
        write_again()
        for key in lost_keys:
            evidence.key_revoked_s[key] = evidences.read_clock()
    await asyncio.sleep(EXPIRY_S - REWRITE_S)
    listed = {f"servers/{endpoint.id}" for endpoint in endpoints}
    for name in store.list_names("servers/"):
        if name not in listed:
            store.remove(name)


async def _rewrite_entry(
    endpoint: engines.SoakEndpoint, rng: random.Random
) -> None:
    initial_id = endpoint.id
    await asyncio.sleep(rng.uniform(0.0, REWRITE_S))
    if endpoint.id == initial_id:
        endpoint.rewrite_entry()
