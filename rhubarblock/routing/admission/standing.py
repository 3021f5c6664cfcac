"""Which requests of a saturated service go first.

A request that returns as it was told goes before others, up to a part of the
capacity: its answer is late already, and beyond that part new requests would be
late in turn. A request is put last if its workspace has used more than its fair
share, or if its kind is served more often than a more urgent kind of the same
service. What is put last still gets the room that the others leave.
"""

import enum

from rhubarblock.routing.admission import demand as demands

# Share of its requests by which a less urgent rank may be served more often
# than a more urgent one before it is put last; the counts of a few seconds are
# no more precise than that.
RANK_MARGIN = 0.15
# Part of the admitted requests of a rank that may have returned.
RETURNED_PART = 0.1


class Standing(enum.Enum):
    """Position of a request among those that compete for a service."""

    RETURNING = "returning"
    WITHIN_SHARE = "within share"
    OVER_SHARE = "over share"
    OVERTAKING = "overtaking"


def find_standing(
    demand: demands.ServiceDemand,
    rank: int,
    workspace: str,
    is_returning: bool,
    now_s: float,
) -> Standing:
    """Returns the standing of a request.

    Args:
      demand: the demand for its service.
      rank: its rank, 0 is the highest.
      workspace: its owner.
      is_returning: whether its caller returns after a refusal.
      now_s: current time in monotonic seconds.
    """
    if demand.is_over_share(rank, workspace, now_s):
        return Standing.OVER_SHARE
    own_share = demand.find_served_share(rank, now_s)
    for other in demand.list_ranks(now_s):
        if other >= rank:
            break
        if own_share > demand.find_served_share(other, now_s) + RANK_MARGIN:
            return Standing.OVERTAKING
    if not is_returning:
        return Standing.WITHIN_SHARE
    if demand.find_returned_share(rank, now_s) > RETURNED_PART:
        return Standing.OVER_SHARE
    return Standing.RETURNING
