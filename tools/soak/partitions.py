"""Partitions instances from all endpoints, and compares how they serve."""

import asyncio
import random

from tools.soak import evidence as evidences
from tools.soak import fleet
from tools.soak import partitionedstart

# Seconds from the begin of a cut until its instances must serve like others.
STABILITY_S = 3.0
# Seconds for which requests are counted.
COUNTED_S = 4.0
# Seconds for requests under way to end before they are judged.
FINISH_S = 2.0
# Smallest ratio of the shares of served requests, and the failed requests that
# are allowed nevertheless: some, and a part of all requests.
MIN_RATIO = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_SHARE = 1 / 50


async def run(
    instances: list[fleet.SoakInstance],
    evidence: evidences.Evidence,
    rng: random.Random,
) -> None:
    """Cuts some instances, but not all, and checks what callers get."""
    cut = rng.sample(instances, rng.randint(1, len(instances) - 1))
    kind = rng.choice(partitionedstart.KINDS)
    for instance in cut:
        instance.partition(kind)
    await asyncio.sleep(STABILITY_S)
    since_s = evidences.read_clock()
    await asyncio.sleep(COUNTED_S)
    until_s = evidences.read_clock()
    await asyncio.sleep(FINISH_S)
    for instance in cut:
        instance.partition("")
    counted = [
        sent
        for sent in evidence.sent.values()
        if since_s <= sent.at_s < until_s
    ]
    cut_ids = {instance.process_id for instance in cut}
    violation = find_violation(
        [sent for sent in counted if sent.process_id in cut_ids],
        [sent for sent in counted if sent.process_id not in cut_ids],
    )
    if violation is not None:
        evidence.violations.append(f"{violation} ({kind}, {len(cut)} cut)")


def find_violation(
    at_cut: list[evidences.SentRequest], at_others: list[evidences.SentRequest]
) -> str | None:
    """Returns what the callers of partitioned instances lost too much."""
    if not at_cut or not at_others:
        return None
    served = sum(sent.is_complete for sent in at_cut)
    others = sum(sent.is_complete for sent in at_others)
    failed = len(at_cut) - served
    allowed = ALLOWED_FAILURES + ALLOWED_SHARE * (len(at_cut) + len(at_others))
    ratio = MIN_RATIO * others / len(at_others)
    if served / len(at_cut) >= ratio or failed <= allowed:
        return None
    return (
        f"partitioned instances served {served} of {len(at_cut)} requests, "
        f"the others {others} of {len(at_others)}"
    )
