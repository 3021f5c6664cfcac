"""Which requests of a saturated service go first.

A request is put last if its workspace has used more than its fair share, or if
its kind is served more often than a more urgent kind of the same service. What
is put last still gets the room that the others leave.
"""

import enum

from rhubarblock.routing.admission import demand as demands

# Share of its requests by which a less urgent rank may be served more often
# than a more urgent one before it is put last; the counts of a few seconds are
# no more precise than that.
RANK_MARGIN = 0.15


class Standing(enum.Enum):
    """Position of a request among those that compete for a service."""

    WITHIN_SHARE = "within share"
    OVER_SHARE = "over share"
    OVERTAKING = "overtaking"


def find_standing(
    demand: demands.ServiceDemand,
    rank: int,
    workspace: str,
    now_s: float,
) -> Standing:
    """Returns the standing of a request.

    Args:
      demand: the demand for its service.
      rank: its rank, 0 is the highest.
      workspace: its owner.
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
    return Standing.WITHIN_SHARE
