"""Permits that were granted to this instance and are not used yet."""

import collections

from rhubarblock.routing.endpointlimits import messages

# Seconds for which a permit stays valid once it may be used. Permits that stay
# unused for longer would add to those that are granted meanwhile and exceed the
# limit.
PERMIT_TTL_S = 0.5


class HeldPermits:
    """The times from which permits are valid, by endpoint."""

    __slots__ = ("_valid_from_s",)

    def __init__(self) -> None:
        """Starts without permits."""
        self._valid_from_s: dict[str, collections.deque[float]] = {}

    def add(self, grant: messages.PermitGrant, now_s: float) -> None:
        """Adds a grant that arrived at a time in monotonic seconds."""
        held = self._valid_from_s.setdefault(
            grant.endpoint_id, collections.deque()
        )
        held.extend(
            now_s + grant.delay_s + number * grant.spacing_s
            for number in range(grant.count)
        )

    def has(self, endpoint_id: str, now_s: float) -> bool:
        """Says whether a request may go to an endpoint now."""
        held = self._find_valid(endpoint_id, now_s)
        return bool(held) and held[0] <= now_s

    def take(self, endpoint_id: str, now_s: float) -> None:
        """Consumes the oldest permit if there is one."""
        if self.has(endpoint_id, now_s):
            self._valid_from_s[endpoint_id].popleft()

    def count(self, endpoint_id: str, now_s: float) -> int:
        """Returns the number of permits that are valid now or later."""
        return len(self._find_valid(endpoint_id, now_s))

    def predict_next(self, endpoint_id: str, now_s: float) -> float | None:
        """Returns the seconds until the next permit, None without any."""
        held = self._find_valid(endpoint_id, now_s)
        return max(0.0, held[0] - now_s) if held else None

    def forget(self, endpoint_id: str) -> None:
        """Drops the permits of an endpoint."""
        self._valid_from_s.pop(endpoint_id, None)

    def _find_valid(
        self, endpoint_id: str, now_s: float
    ) -> collections.deque[float]:
        held = self._valid_from_s.get(endpoint_id)
        if held is None:
            return collections.deque()
        while held and held[0] + PERMIT_TTL_S < now_s:
            held.popleft()
        return held
