"""Storms of callers: for a short time many times the usual load."""

import asyncio
from collections.abc import Sequence
import random

import aiohttp

from tools.soak import callers
from tools.soak import evidence as evidences
from tools.soak import fleet

# Callers of a storm, and its shortest and longest length in seconds.
CALLERS = 80
LENGTHS_S = (1.0, 2.0)
# Share of the callers that return at once whatever Retry-After says, and the
# seconds until they do.
HASTY_SHARE = 0.4
HASTY_INTERVAL_S = 0.02
# Seconds after a storm in which refused callers still return at the time that
# they were given.
RETURN_S = 2.0


async def run(
    name: str,
    instances: list[fleet.SoakInstance],
    keys: Sequence[str],
    evidence: evidences.Evidence,
    rng: random.Random,
) -> None:
    """Runs one storm.

    Args:
      name: prefix of the ids of its requests.
      instances: all instances.
      keys: API keys that are valid at present.
      evidence: records the requests.
      rng: chooses the length, the callers and their requests.
    """
    until_s = evidences.read_clock() + rng.uniform(*LENGTHS_S)
    async with (
        callers.open_session() as session,
        asyncio.TaskGroup() as group,
    ):
        for number in range(CALLERS):
            caller = callers.SoakCaller(
                f"{name}-{number}",
                instances,
                list(keys),
                evidence,
                random.Random(rng.random()),
            )
            is_hasty = rng.random() < HASTY_SHARE
            group.create_task(send_until(caller, session, until_s, is_hasty))


async def send_until(
    caller: callers.SoakCaller,
    session: aiohttp.ClientSession,
    until_s: float,
    is_hasty: bool,
) -> None:
    """Sends one request after another until the storm ends.

    Args:
      caller: sends the requests.
      session: its connections.
      until_s: end of the storm on the clock of the soak.
      is_hasty: whether it returns before the time that it was given.
    """
    while evidences.read_clock() < until_s:
        sent = await caller.send_request(session)
        while not is_hasty and sent.retry_after_s is not None:
            return_s = evidences.read_clock() + sent.retry_after_s
            if return_s > until_s + RETURN_S:
                return
            await asyncio.sleep(sent.retry_after_s)
            sent = await caller.send_request(session)
        await asyncio.sleep(HASTY_INTERVAL_S)
