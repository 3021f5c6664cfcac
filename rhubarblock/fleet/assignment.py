"""Assigns keys to instances by rendezvous hashing.

Every instance computes the same coordinator from the same list of members. A
member that joins or leaves moves only the keys assigned to itself. Views may
differ for a while, so work assigned this way must tolerate two coordinators.
"""

from collections.abc import Iterable
import heapq

from rhubarblock.fleet import rendezvous
from rhubarblock.fleet.membership import member as members


def choose_coordinator(
    key: str, candidates: Iterable[members.Member]
) -> members.Member | None:
    """Chooses the coordinator of a key.

    Args:
      key: what is coordinated, e.g. ``endpoint/rhubarb-pool-3``.
      candidates: the live members.

    Returns:
      The coordinator, or None if there are no candidates.
    """
    return max(
        candidates,
        key=lambda member: _rank(key, member),
        default=None,
    )


def choose_subset(
    key: str, candidates: Iterable[members.Member], n: int
) -> list[members.Member]:
    """Chooses the members that share a key, the coordinator first.

    Args:
      key: what is shared.
      candidates: the live members.
      n: size of the subset.

    Returns:
      At most ``n`` members.
    """
    return heapq.nlargest(n, candidates, key=lambda member: _rank(key, member))


def _rank(key: str, member: members.Member) -> tuple[int, str]:
    return rendezvous.compute_score(key, member.instance_id), member.instance_id
