"""Policies by which an instance honours cool-downs that endpoints ask for."""

import random

from rhubarblock.core import listed as lists
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing import cooldowns

# The policies: ignore cool-downs; honour those that the instance received from
# the endpoint itself; honour those that any instance received; and honour the
# own ones, but use those of peers only to prefer other endpoints.
NONE = "none"
ALONE = "alone"
TOLD = "told"
HINTED = "hinted"
WAYS = (NONE, ALONE, TOLD, HINTED)
# Most seconds by which a hint outlasts the cool-down. The random extension
# keeps instances from returning to the endpoint at the same time.
HINT_SPREAD_S = 1.0


class CooldownPolicy:
    """Ignores cool-downs; base class of the other policies."""

    def note_own_cooldown(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> bool:
        """Processes a cool-down that an endpoint asked of this instance.

        Args:
          endpoint_id: id of the endpoint.
          length_s: length of the cool-down in seconds from now.
          now_s: present time in monotonic seconds.

        Returns:
          Whether to announce it to the peers.
        """
        del endpoint_id, length_s, now_s
        return False

    def note_peer_cooldown(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> None:
        """Processes a peer's update about a cool-down of an endpoint."""

    def note_chosen(self, endpoint_id: str, now_s: float) -> None:
        """Records that a request is sent to an endpoint."""

    def note_accepted(self, endpoint_id: str) -> None:
        """Records that an endpoint accepted a request."""

    def find_remaining(self, endpoint_id: str, now_s: float) -> float:
        """Returns the remaining seconds of an endpoint's cool-down, or 0."""
        del endpoint_id, now_s
        return 0.0

    def select(
        self, endpoints: list[lists.ListedEndpoint], now_s: float
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints to choose from; empty if all cool down."""
        del now_s
        return endpoints


class OwnCooldowns(CooldownPolicy):
    """The product's policy: cool-downs that this instance received itself."""

    def __init__(self) -> None:
        """Starts without cool-downs."""
        self._cooldowns = cooldowns.Cooldowns(metric_store.Metrics())

    def note_own_cooldown(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> bool:
        self._cooldowns.note(endpoint_id, length_s, now_s)
        return False

    def note_chosen(self, endpoint_id: str, now_s: float) -> None:
        self._cooldowns.note_chosen(endpoint_id, now_s)

    def note_accepted(self, endpoint_id: str) -> None:
        self._cooldowns.note_accepted(endpoint_id)

    def find_remaining(self, endpoint_id: str, now_s: float) -> float:
        return self._cooldowns.find_remaining(endpoint_id, now_s)

    def select(
        self, endpoints: list[lists.ListedEndpoint], now_s: float
    ) -> list[lists.ListedEndpoint]:
        if not self._cooldowns:
            return endpoints
        available = [
            endpoint
            for endpoint in endpoints
            if not self._cooldowns.is_cooling_down(endpoint.endpoint_id, now_s)
        ]
        unprobed = [
            endpoint
            for endpoint in available
            if not self._cooldowns.is_probed(endpoint.endpoint_id, now_s)
        ]
        return unprobed or available


class SharedCooldowns(OwnCooldowns):
    """Cool-downs that any instance received, honoured by all instances."""

    def note_own_cooldown(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> bool:
        is_new = not self._cooldowns.is_cooling_down(endpoint_id, now_s)
        super().note_own_cooldown(endpoint_id, length_s, now_s)
        return is_new

    def note_peer_cooldown(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> None:
        self._cooldowns.note(endpoint_id, length_s, now_s)


class HintedCooldowns(OwnCooldowns):
    """Own cool-downs, and those of peers as hints.

    An endpoint with a hint is chosen only if all endpoints have one.
    """

    def __init__(self, rng: random.Random):
        """Starts without cool-downs.

        Args:
          rng: draws the extensions of hints.
        """
        super().__init__()
        self._hints = cooldowns.Cooldowns(metric_store.Metrics())
        self._rng = rng

    def note_own_cooldown(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> bool:
        is_new = not (
            self._cooldowns.is_cooling_down(endpoint_id, now_s)
            or self._hints.is_cooling_down(endpoint_id, now_s)
        )
        super().note_own_cooldown(endpoint_id, length_s, now_s)
        return is_new

    def note_peer_cooldown(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> None:
        spread_s = HINT_SPREAD_S * self._rng.random()
        self._hints.note(endpoint_id, length_s + spread_s, now_s)

    def note_chosen(self, endpoint_id: str, now_s: float) -> None:
        super().note_chosen(endpoint_id, now_s)
        self._hints.note_chosen(endpoint_id, now_s)

    def note_accepted(self, endpoint_id: str) -> None:
        super().note_accepted(endpoint_id)
        self._hints.note_accepted(endpoint_id)

    def select(
        self, endpoints: list[lists.ListedEndpoint], now_s: float
    ) -> list[lists.ListedEndpoint]:
        open_ = super().select(endpoints, now_s)
        if not self._hints:
            return open_
        unhinted = [
            endpoint
            for endpoint in open_
            if not self._hints.is_cooling_down(endpoint.endpoint_id, now_s)
            and not self._hints.is_probed(endpoint.endpoint_id, now_s)
        ]
        return unhinted or open_


def make_policy(way: str, rng: random.Random) -> CooldownPolicy:
    """Creates the policy of one instance.

    Args:
      way: one of ``WAYS``.
      rng: draws the extensions of hints.
    """
    if way == HINTED:
        return HintedCooldowns(rng)
    if way == TOLD:
        return SharedCooldowns()
    return OwnCooldowns() if way == ALONE else CooldownPolicy()
