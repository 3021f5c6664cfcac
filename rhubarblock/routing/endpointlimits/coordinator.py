"""Grants permits for endpoints that announced a rate limit.

Each instance that uses an endpoint owns an equal share of its limit. A permit
request pledges that share to the coordinator that receives it, and a
coordinator grants only what is pledged to it. That is the whole limit if all
instances ask the same coordinator, and no more than the share of its own side
in a network partition, so no agreement is needed.
"""

import random

from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing.endpointlimits import limittable as limittables
from rhubarblock.routing.endpointlimits import messages
from rhubarblock.routing.endpointlimits import peers as limitpeers
from rhubarblock.routing.endpointlimits import schedule as schedules

# Seconds for which a pledge holds: several requests of its owner.
PLEDGE_S = 8.0
# Requests a second that go to an endpoint whatever limit it announces: without
# any request it could never announce that the limit has ended.
PROBE_PER_S = 0.1
# Target for the permit requests of one endpoint in a second; instances that get
# no permit retry at random times so that few more arrive.
MAX_REQUESTS_PER_S = 20.0
# Seconds for which the number of an endpoint's users is cached.
COUNT_TTL_S = 1.0


class _LimitState:
    """Pledges and permits of one endpoint.

    Attributes:
      schedule: spaces its permits.
      pledges: interval in which a peer's share is pledged to this instance, in
        monotonic seconds, by peer.
      waiting: when a peer last asked for a permit, by peer.
      users: number of instances that use it.
      counted_s: when they were counted.
    """

    __slots__ = ("counted_s", "pledges", "schedule", "users", "waiting")

    def __init__(self, now_s: float):
        self.schedule = schedules.PermitSchedule(now_s)
        self.pledges: dict[str, tuple[float, float]] = {}
        self.waiting: dict[str, float] = {}
        self.users = 1
        self.counted_s = -COUNT_TTL_S

    def pledge(self, peer: str, free_in_s: float, now_s: float) -> None:
        """Records a pledge; extends one that is still in force."""
        begun_s, until_s = self.pledges.get(peer, (now_s, now_s))
        if until_s <= now_s:
            begun_s = now_s + free_in_s
        self.pledges[peer] = begun_s, now_s + PLEDGE_S

    def count_waiting(self, peer: str, now_s: float) -> int:
        """Records that a peer wants permits; returns how many peers do."""
        self.waiting[peer] = now_s
        for name, asked_s in list(self.waiting.items()):
            if asked_s <= now_s - PLEDGE_S:
                del self.waiting[name]
        return len(self.waiting)

    def count_pledged(self, now_s: float) -> int:
        """Returns how many shares are pledged at a given time."""
        for peer, (_, until_s) in list(self.pledges.items()):
            if until_s <= now_s:
                del self.pledges[peer]
        return sum(begun_s <= now_s for begun_s, _ in self.pledges.values())


class PermitCoordinator:
    """Grants permits for the endpoints for which this instance is asked."""

    __slots__ = ("_metrics", "_peers", "_rng", "_states", "_table")

    def __init__(
        self,
        table: limittables.LimitTable,
        peers: limitpeers.LimitPeers,
        rng: random.Random,
        metrics: metric_store.Metrics,
    ):
        """Starts without pledges.

        Args:
          table: the limits.
          peers: gives the number of instances that share a limit.
          rng: spreads the retries.
          metrics: counts grants.
        """
        self._table = table
        self._peers = peers
        self._rng = rng
        self._metrics = metrics
        self._states: dict[str, _LimitState] = {}

    def grant(
        self,
        peer: str,
        request: messages.PermitRequest,
        now_s: float,
        cold_per_s: float | None = None,
    ) -> messages.PermitGrant | None:
        """Answers a request; returns None if the endpoint has no limit now.

        Args:
          peer: the peer that asks.
          request: its request.
          now_s: current time in monotonic seconds.
          cold_per_s: limit if none is known here, as the list may tell peers
            earlier that the endpoint is cold; None if there is none.
        """
        endpoint_id = request.report.endpoint_id
        per_s = self._table.find_rate(endpoint_id)
        if per_s is None:
            per_s = cold_per_s
        if per_s is None:
            return None
        state = self._states.get(endpoint_id)
        if state is None:
            state = self._states[endpoint_id] = _LimitState(now_s)
        state.pledge(peer, request.free_in_s, now_s)
        rate = self._find_rate(endpoint_id, state, per_s, now_s)
        if rate <= 0.0:
            return messages.PermitGrant(
                endpoint_id, 0, 0.0, 0.0, request.free_in_s
            )
        slots = state.schedule.reserve(
            request.wanted, rate, now_s, request.within_s
        )
        self._metrics.count("limits.granted", slots.count)
        retry_after_s = slots.retry_after_s
        if request.wanted:
            waiting = state.count_waiting(peer, now_s)
            if not slots.count:
                spread_s = 2.0 * waiting / MAX_REQUESTS_PER_S
                retry_after_s += spread_s * self._rng.random()
        return messages.PermitGrant(
            endpoint_id,
            slots.count,
            slots.delay_s,
            slots.spacing_s,
            retry_after_s,
        )

    def forget(self, endpoint_id: str) -> None:
        """Forgets the pledges for an endpoint's limit."""
        self._states.pop(endpoint_id, None)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets the pledges for endpoints that are no longer listed."""
        for endpoint_id in set(self._states) - endpoint_ids:
            del self._states[endpoint_id]

    def _find_rate(
        self, endpoint_id: str, state: _LimitState, per_s: float, now_s: float
    ) -> float:
        """Returns the permits a second that may be granted here."""
        if now_s - state.counted_s >= COUNT_TTL_S:
            state.users = self._peers.count_users(endpoint_id)
            state.counted_s = now_s
        pledged = state.count_pledged(now_s)
        part = min(1.0, pledged / max(1, state.users))
        return max(per_s, PROBE_PER_S) * part
