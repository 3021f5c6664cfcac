"""Ways of one instance to take in that an endpoint wants rest."""

import random

from rhubarblock.core import listed as lists
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing import cooldowns

# The ways: no notice of rests, those asked of the instance itself, those asked
# of any instance, and those of others as a hint only.
NONE = "none"
ALONE = "alone"
TOLD = "told"
HINTED = "hinted"
WAYS = (NONE, ALONE, TOLD, HINTED)
# Longest time in seconds by which a hint lasts longer than the rest.
HINT_SPREAD_S = 1.0


class NoNotice:
    """Takes no notice of rests, and is the frame of the other ways."""

    def hear_endpoint(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> bool:
        """Takes in that an endpoint asked this instance for rest.

        Args:
          endpoint_id: the endpoint.
          length_s: seconds from now on.
          now_s: the present moment, in monotonic seconds.

        Returns:
          Whether peers should hear of it.
        """
        del endpoint_id, length_s, now_s
        return False

    def hear_peer(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> None:
        """Takes in that an endpoint asked a peer for rest."""

    def note_chosen(self, endpoint_id: str, now_s: float) -> None:
        """Takes in that a request goes to an endpoint."""

    def note_accepted(self, endpoint_id: str) -> None:
        """Takes in that an endpoint took a request."""

    def find_remaining(self, endpoint_id: str, now_s: float) -> float:
        """Returns the seconds for which an endpoint must get nothing."""
        del endpoint_id, now_s
        return 0.0

    def select(
        self, endpoints: list[lists.ListedEndpoint], now_s: float
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints to choose from; none where all rest."""
        del now_s
        return endpoints


class OwnNotice(NoNotice):
    """The product's way: rests that were asked of this instance."""

    def __init__(self) -> None:
        """Starts without rests."""
        self._rests = cooldowns.Cooldowns(metric_store.Metrics())

    def hear_endpoint(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> bool:
        self._rests.note(endpoint_id, length_s, now_s)
        return False

    def note_chosen(self, endpoint_id: str, now_s: float) -> None:
        self._rests.note_chosen(endpoint_id, now_s)

    def note_accepted(self, endpoint_id: str) -> None:
        self._rests.note_accepted(endpoint_id)

    def find_remaining(self, endpoint_id: str, now_s: float) -> float:
        return self._rests.find_remaining(endpoint_id, now_s)

    def select(
        self, endpoints: list[lists.ListedEndpoint], now_s: float
    ) -> list[lists.ListedEndpoint]:
        if not self._rests:
            return endpoints
        awake = [
            endpoint
            for endpoint in endpoints
            if not self._rests.is_cooling_down(endpoint.endpoint_id, now_s)
        ]
        sound = [
            endpoint
            for endpoint in awake
            if not self._rests.is_probed(endpoint.endpoint_id, now_s)
        ]
        return sound or awake


class ToldNotice(OwnNotice):
    """Rests of all instances, kept in full by each of them."""

    def hear_endpoint(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> bool:
        is_news = not self._rests.is_cooling_down(endpoint_id, now_s)
        super().hear_endpoint(endpoint_id, length_s, now_s)
        return is_news

    def hear_peer(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> None:
        self._rests.note(endpoint_id, length_s, now_s)


class HintedNotice(OwnNotice):
    """Own rests in full; those of others put an endpoint behind the rest."""

    def __init__(self, rng: random.Random):
        """Starts without rests.

        Args:
          rng: spreads the ends of hints.
        """
        super().__init__()
        self._hints = cooldowns.Cooldowns(metric_store.Metrics())
        self._rng = rng

    def hear_endpoint(
        self, endpoint_id: str, length_s: float, now_s: float
    ) -> bool:
        is_news = not (
            self._rests.is_cooling_down(endpoint_id, now_s)
            or self._hints.is_cooling_down(endpoint_id, now_s)
        )
        super().hear_endpoint(endpoint_id, length_s, now_s)
        return is_news

    def hear_peer(
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


def make_notice(way: str, rng: random.Random) -> NoNotice:
    """Creates what one instance keeps.

    Args:
      way: one of ``WAYS``.
      rng: spreads what has to be spread.
    """
    if way == HINTED:
        return HintedNotice(rng)
    if way == TOLD:
        return ToldNotice()
    return OwnNotice() if way == ALONE else NoNotice()
