"""Counts demand by rank and workspace, at this instance and at its peers.

The counts decay exponentially, so they describe the last few seconds. Peers
send summaries of theirs; a summary counts until it expires. Only ratios are
derived from them, so it does not matter how many of the peers report.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

# Time constant of the decay in seconds: a few placements of each kind at an
# instance with one request a second, and short against a surge of load.
DECAY_S = 2.0
# Seconds for which a peer's summary counts: several sending intervals, as
# summaries are sent to a few peers at a time.
SUMMARY_TTL_S = 4.0
# Refused share of the offered requests from which a service is saturated, and
# the number of refusals that it takes at least: a single prompt that no engine
# can hold is no sign of saturation.
SATURATED_SHARE = 0.05
MIN_REFUSED = 1.5
# Counts below this are dropped.
MIN_COUNT = 0.01
# Largest number of workspaces in a summary; those with the highest cost.
MAX_WORKSPACES = 6
# Seconds for which a fair share is cached.
SHARE_TTL_S = 0.1


@dataclasses.dataclass(slots=True)
class Count:
    """Offered and admitted work.

    Attributes:
      offered: what arrived.
      admitted: what was let in.
    """

    offered: float = 0.0
    admitted: float = 0.0

    def scale(self, factor: float) -> None:
        """Multiplies both counts."""
        self.offered *= factor
        self.admitted *= factor

    def add(self, other: "Count") -> None:
        """Adds another count to this one."""
        self.offered += other.offered
        self.admitted += other.admitted


@dataclasses.dataclass(slots=True)
class RankDemand:
    """Demand of one rank.

    Attributes:
      requests: number of requests.
      workspaces: engine seconds by workspace.
    """

    requests: Count = dataclasses.field(default_factory=Count)
    workspaces: dict[str, Count] = dataclasses.field(default_factory=dict)

    def scale(self, factor: float) -> None:
        """Multiplies all counts and drops those that became negligible."""
        self.requests.scale(factor)
        for name, count in list(self.workspaces.items()):
            count.scale(factor)
            if count.offered < MIN_COUNT * MIN_COUNT:
                del self.workspaces[name]

    def add(self, other: "RankDemand") -> None:
        """Adds the demand of another instance."""
        self.requests.add(other.requests)
        for name, count in other.workspaces.items():
            self.workspaces.setdefault(name, Count()).add(count)


# Demand by rank.
Summary = dict[int, RankDemand]


@dataclasses.dataclass(slots=True)
class _Totals:
    """Sums over this instance and its peers, cached for a short time.

    Attributes:
      computed_s: when they were computed, in monotonic seconds.
      ranks: the sums by rank.
      fair_shares: fair share in engine seconds by rank, as far as computed.
    """

    computed_s: float = -math.inf
    ranks: Summary = dataclasses.field(default_factory=dict)
    fair_shares: dict[int, float] = dataclasses.field(default_factory=dict)


class ServiceDemand:
    """Demand for one service.

    Attributes:
      refused_s: when a refusal here or at a peer was last known, in monotonic
        seconds.
    """

    __slots__ = (
        "_decayed_s",
        "_new",
        "_own",
        "_peers",
        "_returned",
        "_totals",
        "refused_s",
    )

    def __init__(self) -> None:
        """Starts without demand."""
        self.refused_s = -math.inf
        self._decayed_s = 0.0
        self._own: Summary = collections.defaultdict(RankDemand)
        # New requests by rank, without those whose callers returned.
        self._new: dict[int, float] = {}
        # Requests by rank that were let in and whose callers had returned.
        self._returned: dict[int, float] = {}
        # Summaries of peers and when they were received.
        self._peers: dict[str, tuple[float, Summary]] = {}
        self._totals = _Totals()

    def note(
        self,
        rank: int,
        workspace: str,
        cost_s: float,
        admitted: bool,
        is_returning: bool,
        now_s: float,
    ) -> None:
        """Counts a request that was let in or refused.

        Args:
          rank: rank of the request, 0 is the highest.
          workspace: its owner.
          cost_s: its cost in engine seconds.
          admitted: whether it was let in.
          is_returning: whether its caller returned after a refusal.
          now_s: current time in monotonic seconds.
        """
        self._decay(now_s)
        demand = self._own[rank]
        count = demand.workspaces.setdefault(workspace, Count())
        demand.requests.offered += 1.0
        if not is_returning:
            self._new[rank] = self._new.get(rank, 0.0) + 1.0
        count.offered += cost_s
        if admitted:
            demand.requests.admitted += 1.0
            if is_returning:
                self._returned[rank] = self._returned.get(rank, 0.0) + 1.0
            count.admitted += cost_s
        else:
            self.refused_s = now_s

    def receive(self, peer: str, summary: Summary, now_s: float) -> None:
        """Replaces the summary of a peer."""
        self._peers[peer] = now_s, summary
        if any(_has_refused(demand) for demand in summary.values()):
            self.refused_s = now_s
        self._totals.computed_s = -math.inf

    def summarise(self, now_s: float) -> Summary:
        """Returns this instance's demand, with its largest workspaces only."""
        self._decay(now_s)
        return {
            rank: RankDemand(
                dataclasses.replace(demand.requests),
                {
                    name: dataclasses.replace(count)
                    for name, count in _list_largest(demand.workspaces)
                },
            )
            for rank, demand in self._own.items()
            if demand.requests.offered >= MIN_COUNT
        }

    def is_saturated(self, now_s: float) -> bool:
        """Says whether a relevant part of the requests is refused."""
        counts = [d.requests for d in self._sum(now_s).ranks.values()]
        offered = sum(count.offered for count in counts)
        refused = offered - sum(count.admitted for count in counts)
        return refused >= max(MIN_REFUSED, SATURATED_SHARE * offered)

    def has_refused(self, now_s: float) -> bool:
        """Says whether this instance refused requests in the last seconds."""
        self._decay(now_s)
        return any(_has_refused(demand) for demand in self._own.values())

    def find_served_share(self, rank: int, now_s: float) -> float:
        """Returns the admitted share of a rank's requests, 1 without any."""
        demand = self._sum(now_s).ranks.get(rank)
        if demand is None or demand.requests.offered < MIN_COUNT:
            return 1.0
        return demand.requests.admitted / demand.requests.offered

    def find_spare_rate(self, rank: int, now_s: float) -> float:
        """Returns the rate at which callers of a rank may return here.

        It is what is let in beyond the new requests, in requests a second: as
        long as more new requests arrive than are let in, there is none.
        """
        self._decay(now_s)
        demand = self._own.get(rank)
        if demand is None:
            return 0.0
        spare = demand.requests.admitted - self._new.get(rank, 0.0)
        return max(0.0, spare) / DECAY_S

    def find_returning_rate(self, rank: int, now_s: float) -> float:
        """Returns how many returning requests are let in here a second."""
        self._decay(now_s)
        return self._returned.get(rank, 0.0) / DECAY_S

    def list_ranks(self, now_s: float) -> list[int]:
        """Returns the ranks with demand, the most urgent first."""
        return sorted(self._sum(now_s).ranks)

    def is_over_share(self, rank: int, workspace: str, now_s: float) -> bool:
        """Says whether a workspace uses more than its fair share of a rank.

        The share is max-min fair: what workspaces with little demand leave is
        divided among the others.
        """
        totals = self._sum(now_s)
        demand = totals.ranks.get(rank)
        if demand is None or workspace not in demand.workspaces:
            return False
        share_s = totals.fair_shares.get(rank)
        if share_s is None:
            share_s = _find_fair_share(demand.workspaces.values())
            totals.fair_shares[rank] = share_s
        return demand.workspaces[workspace].admitted > share_s

    def _sum(self, now_s: float) -> _Totals:
        if now_s - self._totals.computed_s < SHARE_TTL_S:
            return self._totals
        self._decay(now_s)
        ranks: Summary = collections.defaultdict(RankDemand)
        for rank, demand in self._own.items():
            ranks[rank].add(demand)
        for peer, (received_s, summary) in list(self._peers.items()):
            if now_s - received_s > SUMMARY_TTL_S:
                del self._peers[peer]
                continue
            for rank, demand in summary.items():
                ranks[rank].add(demand)
        self._totals = _Totals(now_s, dict(ranks))
        return self._totals

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._decayed_s
        if elapsed_s <= 0.0:
            return
        self._decayed_s = now_s
        factor = math.exp(-elapsed_s / DECAY_S)
        for demand in self._own.values():
            demand.scale(factor)
        for counts in (self._new, self._returned):
            for rank in counts:
                counts[rank] *= factor


def _has_refused(demand: RankDemand) -> bool:
    requests = demand.requests
    return requests.offered - requests.admitted >= MIN_COUNT


def _list_largest(
    workspaces: dict[str, Count],
) -> list[tuple[str, Count]]:
    ordered = sorted(workspaces.items(), key=lambda item: -item[1].offered)
    return ordered[:MAX_WORKSPACES]


def _find_fair_share(counts: Iterable[Count]) -> float:
    """Returns the max-min fair share of the admitted work.

    It is the level up to which each workspace's demand is served so that the
    sum equals what was admitted; infinite if all demand was admitted.
    """
    ordered = sorted(counts, key=lambda count: count.offered)
    left_s = sum(count.admitted for count in ordered)
    for index, count in enumerate(ordered):
        level_s = left_s / (len(ordered) - index)
        if count.offered > level_s:
            return level_s
        left_s -= count.offered
    return math.inf
