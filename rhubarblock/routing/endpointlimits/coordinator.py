"""Grants permits for endpoints that named a limit.

Each instance that uses an endpoint owns an equal share of its limit, and asking
pledges that share to the one that is asked. A coordinator grants what is
pledged to it: all of the limit if everybody asks it, and on each side of a
partition no more than that side's part, so that no agreement is needed.
"""

import random

from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing.endpointlimits import limittable as limittables
from rhubarblock.routing.endpointlimits import messages
from rhubarblock.routing.endpointlimits import peers as limitpeers
from rhubarblock.routing.endpointlimits import schedule as schedules

# Seconds for which a pledge holds: several requests of its owner.
PLEDGE_S = 8.0
# Requests a second that go to an endpoint whatever it names. One that is never
# asked could never say that its limit has ended.
TRIAL_PER_S = 0.1
# Requests for permits of one endpoint that are welcome in a second; those that
# get none are spread so that not many more come.
WELCOME_PER_S = 20.0
# Seconds for which the number of an endpoint's users is kept.
COUNT_S = 1.0


class _Shared:
    """What is known of one endpoint.

    Attributes:
      schedule: spaces its permits.
      pledges: moments between which a peer's share is pledged here, in
        monotonic seconds.
      wanting: when a peer last asked for a permit, by peer.
      users: instances that use it.
      counted_s: when they were counted.
    """

    __slots__ = ("counted_s", "pledges", "schedule", "users", "wanting")

    def __init__(self, now_s: float):
        self.schedule = schedules.PermitSchedule(now_s)
        self.pledges: dict[str, tuple[float, float]] = {}
        self.wanting: dict[str, float] = {}
        self.users = 1
        self.counted_s = -COUNT_S

    def pledge(self, peer: str, free_in_s: float, now_s: float) -> None:
        """Takes in a pledge; one that holds already goes on."""
        begun_s, until_s = self.pledges.get(peer, (now_s, now_s))
        if until_s <= now_s:
            begun_s = now_s + free_in_s
        self.pledges[peer] = begun_s, now_s + PLEDGE_S

    def count_wanting(self, peer: str, now_s: float) -> int:
        """Takes in that a peer wants permits; returns how many do."""
        self.wanting[peer] = now_s
        for name, asked_s in list(self.wanting.items()):
            if asked_s <= now_s - PLEDGE_S:
                del self.wanting[name]
        return len(self.wanting)

    def count_pledged(self, now_s: float) -> int:
        """Returns how many shares are pledged at a moment."""
        for peer, (_, until_s) in list(self.pledges.items()):
            if until_s <= now_s:
                del self.pledges[peer]
        return sum(begun_s <= now_s for begun_s, _ in self.pledges.values())


class PermitCoordinator:
    """Grants the permits of those endpoints that this instance is asked for."""

    __slots__ = ("_book", "_metrics", "_peers", "_rng", "_shared")

    def __init__(
        self,
        book: limittables.LimitTable,
        peers: limitpeers.LimitPeers,
        rng: random.Random,
        metrics: metric_store.Metrics,
    ):
        """Starts without pledges.

        Args:
          book: the limits.
          peers: tells how many share a limit.
          rng: spreads those that ask again.
          metrics: counts grants.
        """
        self._book = book
        self._peers = peers
        self._rng = rng
        self._metrics = metrics
        self._shared: dict[str, _Shared] = {}

    def grant(
        self, peer: str, request: messages.PermitRequest, now_s: float
    ) -> messages.PermitGrant | None:
        """Answers a request, None if the endpoint names no limit any more.

        Args:
          peer: who asks.
          request: what it asks for.
          now_s: the present moment, in monotonic seconds.
        """
        endpoint_id = request.report.endpoint_id
        limit = self._book.find(endpoint_id)
        if limit is None:
            return None
        shared = self._shared.get(endpoint_id)
        if shared is None:
            shared = self._shared[endpoint_id] = _Shared(now_s)
        shared.pledge(peer, request.free_in_s, now_s)
        rate = self._find_rate(endpoint_id, shared, limit.per_s, now_s)
        if rate <= 0.0:
            return messages.PermitGrant(
                endpoint_id, 0, 0.0, 0.0, request.free_in_s
            )
        slots = shared.schedule.book(
            request.wanted, rate, now_s, request.within_s
        )
        self._metrics.count("limits.granted", slots.count)
        retry_after_s = slots.retry_after_s
        if request.wanted:
            wanting = shared.count_wanting(peer, now_s)
            if not slots.count:
                turns_s = 2.0 * wanting / WELCOME_PER_S
                retry_after_s += turns_s * self._rng.random()
        return messages.PermitGrant(
            endpoint_id,
            slots.count,
            slots.delay_s,
            slots.spacing_s,
            retry_after_s,
        )

    def forget(self, endpoint_id: str) -> None:
        """Forgets what was pledged of an endpoint's limit."""
        self._shared.pop(endpoint_id, None)

    def _find_rate(
        self, endpoint_id: str, shared: _Shared, per_s: float, now_s: float
    ) -> float:
        """Returns the permits a second that may be granted here."""
        if now_s - shared.counted_s >= COUNT_S:
            shared.users = self._peers.count_users(endpoint_id)
            shared.counted_s = now_s
        pledged = shared.count_pledged(now_s)
        part = min(1.0, pledged / max(1, shared.users))
        return max(per_s, TRIAL_PER_S) * part
