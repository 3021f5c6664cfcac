"""Divides one limit among instances by their demand."""

import dataclasses

# Part of its own share that an idle instance keeps for its next requests.
KEPT_PART = 0.1


@dataclasses.dataclass(slots=True)
class Standing:
    """What one instance owns and needs of a limit.

    Attributes:
      instance_id: the instance; decides between equals.
      own: its static share.
      pledged: the part of it that it lends at present.
      demand: what it could use.
    """

    instance_id: str
    own: int
    pledged: int
    demand: int


def compute_targets(standings: list[Standing]) -> dict[str, int]:
    """Computes how much each instance should have.

    Everyone has its own share as far as it needs it. What it does not need is
    lent to those whose demand is larger than their own share, and only as far
    as they need it, evenly among them.

    Args:
      standings: every instance that takes part.

    Returns:
      Amounts by instance; their sum is that of the own shares.
    """
    if all(s.demand <= s.own for s in standings):
        return {s.instance_id: s.own for s in standings}
    needs = {s.instance_id: max(0, s.demand - s.own) for s in standings}
    spares = {
        s.instance_id: max(0, s.own - max(s.demand, int(s.own * KEPT_PART)))
        for s in standings
    }
    lent = min(sum(needs.values()), sum(spares.values()))
    given = fill_evenly(needs, lent)
    # Who lends already goes on first, so that lenders change seldom.
    order = sorted(standings, key=lambda s: (-s.pledged, s.instance_id))
    taken = split_proportionally(
        {s.instance_id: spares[s.instance_id] for s in order}, lent
    )
    return {
        s.instance_id: s.own + given[s.instance_id] - taken[s.instance_id]
        for s in standings
    }


def fill_evenly(needs: dict[str, int], amount: int) -> dict[str, int]:
    """Divides an amount so that the smallest part is as large as it can be.

    Args:
      needs: most that each may have.
      amount: what there is, at most the sum of the needs.

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
      weights: most that each may have; the first ones round up.
      amount: what there is, at most the sum of the weights.

    Returns:
      Whole parts whose sum is the amount.
    """
    total = sum(weights.values())
    if not total:
        return dict.fromkeys(weights, 0)
    parts = {name: amount * w // total for name, w in weights.items()}
    rest = amount - sum(parts.values())
    for name, weight in weights.items():
        if rest and parts[name] < weight:
            parts[name] += 1
            rest -= 1
    return parts
