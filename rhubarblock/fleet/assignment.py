"""Duties spread over the instances by rendezvous hashing.

Every instance computes the same holder from the same list of members, and a
member that comes or goes moves only the duties that it takes or held. Views
may disagree for a while, so a duty must be harmless when two hold it.
"""

from collections.abc import Iterable
import heapq

from rhubarblock.fleet import rendezvous
from rhubarblock.fleet.membership import member as members


def choose_coordinator(
    key: str, candidates: Iterable[members.Member]
) -> members.Member | None:
    """Chooses the member that holds a duty.

    Args:
      key: name of the duty, e.g. ``endpoint/rhubarb-pool-3``.
      candidates: the live members.

    Returns:
      The holder, or None when there are no candidates.
    """
    return max(
        candidates,
        key=lambda member: _rank(key, member),
        default=None,
    )


def choose_subset(
    key: str, candidates: Iterable[members.Member], n: int
) -> list[members.Member]:
    """Chooses the members that share a duty, the first holder first.

    Args:
      key: name of the duty.
      candidates: the live members.
      n: size of the subset.

    Returns:
      At most ``n`` members.
    """
    return heapq.nlargest(n, candidates, key=lambda member: _rank(key, member))


def _rank(key: str, member: members.Member) -> tuple[int, str]:
    return rendezvous.compute_score(key, member.instance_id), member.instance_id
