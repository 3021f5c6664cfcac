"""Requests that share a prompt part which crashes each endpoint.

No two are alike, and they come at all instances. Few endpoints may end under
them; after that, no endpoint may get more of them.
"""

import asyncio
import itertools
import random

import aiohttp

from rhubarblock.platform import names
from tools.soak import evidence as evidences
from tools.soak import fleet

PART = "bad0"
SHARED_PART = "5c1e"
# Seconds for which they come, and seconds between two of them.
LENGTH_S = 7.0
INTERVAL_S = 0.2
# Crashes after which instances must know the part, the seconds that they have
# for it, and the requests that may still reach endpoints later.
KNOWN_CRASHES = 5
NOTICE_S = 3.0
MAX_LATE_ARRIVALS = 3
# Seconds from the begin of an answer until its endpoint crashes.
CRASH_S = 0.05

_TIMEOUT = aiohttp.ClientTimeout(total=6.0)


def is_poisoned(parts: str) -> bool:
    """Returns whether a prompt with these parts crashes endpoints."""
    return f"{PART}:" in parts


async def run(
    instances: list[fleet.SoakInstance],
    key: str,
    evidence: evidences.Evidence,
    rng: random.Random,
) -> None:
    """Sends such requests for a while and checks where they arrive."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + LENGTH_S
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        for number in itertools.count():
            if loop.time() >= end_s:
                break
            url = _make_url(rng.choice(instances))
            group.create_task(_send(session, url, key, number))
            await asyncio.sleep(INTERVAL_S)
    _check(evidence)


def _make_url(instance: fleet.SoakInstance) -> str:
    return f"http://{instance.ip}:{instance.front}/s/x"


async def _send(
    session: aiohttp.ClientSession, url: str, key: str, number: int
) -> None:
    headers = {
        "Host": "soak.example",
        names.ATTEMPT_ID: f"poisoned-{number}",
        names.CREDENTIAL: key,
        names.TOKEN_COUNT: "2000,100",
        names.PROMPT_PREFIX: f"{SHARED_PART}:40,{PART}:60,{number:x}:1900",
    }
    body = f"poisoned {number}".encode()
    try:
        async with session.post(
            url, headers=headers, data=body, timeout=_TIMEOUT
        ) as answer:
            await answer.read()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return


def _check(evidence: evidences.Evidence) -> None:
    crashes_s = evidence.poison_crashes_s
    if len(crashes_s) < KNOWN_CRASHES:
        return
    known_s = crashes_s[KNOWN_CRASHES - 1] + NOTICE_S
    late = sum(at_s > known_s for at_s in evidence.poison_arrivals_s)
    if late > MAX_LATE_ARRIVALS:
        evidence.violations.append(
            f"{late} requests with a part under which {len(crashes_s)}"
            " endpoints crashed were sent on"
        )
