"""Divides one limit among instances by their demand."""

import dataclasses

# Part of its static share that an idle instance keeps for its next requests.
RESERVE_PART = 0.1


@dataclasses.dataclass(slots=True)
class Participant:
    """The share and the demand of one instance for a limit.

    Attributes:
      instance_id: the instance; breaks ties.
      own: its static share.
      pledged: the part of it that is lent at present.
      demand: what it could use.
    """

    instance_id: str
    own: int
    pledged: int
    demand: int


def compute_targets(participants: list[Participant]) -> dict[str, int]:
    """Computes the amount that each instance should have.

    Each instance gets its static share as far as it needs it. The unused part
    is lent to the instances whose demand exceeds their static share, as far as
    they need it and evenly among them.

    Args:
      participants: all instances that take part.

    Returns:
      Amounts by instance; their sum equals the sum of the static shares.
    """
    if all(p.demand <= p.own for p in participants):
        return {p.instance_id: p.own for p in participants}
    needs = {p.instance_id: max(0, p.demand - p.own) for p in participants}
    spares = {
        p.instance_id: max(0, p.own - max(p.demand, int(p.own * RESERVE_PART)))
        for p in participants
    }
    lent = min(sum(needs.values()), sum(spares.values()))
    given = fill_evenly(needs, lent)
    # Current lenders go first, so that lenders seldom change.
    order = sorted(participants, key=lambda p: (-p.pledged, p.instance_id))
    taken = split_proportionally(
        {p.instance_id: spares[p.instance_id] for p in order}, lent
    )
    return {
        p.instance_id: p.own + given[p.instance_id] - taken[p.instance_id]
        for p in participants
    }


def fill_evenly(needs: dict[str, int], amount: int) -> dict[str, int]:
    """Divides an amount so that the smallest part is as large as possible.

    Args:
      needs: upper bound of each part.
      amount: amount to divide, at most the sum of the needs.

    Returns:
      Whole parts whose sum is the amount.
    """
    parts = {}
    left = amount
    order = sorted(needs, key=lambda name: (needs[name], name))
    for position, name in enumerate(order):
        part = min(needs[name], left // (len(order) - position))
        parts[name] = part
        left -= part
    return parts


def split_proportionally(
    weights: dict[str, int], amount: int
) -> dict[str, int]:
    """Divides an amount in proportion to weights.

    Args:
      weights: upper bound of each part; the first ones round up.
      amount: amount to divide, at most the sum of the weights.

    Returns:
      Whole parts whose sum is the amount.
    """
    total = sum(weights.values())
    if not total:
        return dict.fromkeys(weights, 0)
    parts = {name: amount * w // total for name, w in weights.items()}
    remainder = amount - sum(parts.values())
    for name, weight in weights.items():
        if remainder and parts[name] < weight:
            parts[name] += 1
            remainder -= 1
    return parts
