"""Finds workspaces that repeat their own requests more than others.

A repeat is a request whose digest (equal for equal path, caller and body)
arrived at this instance before, in this window or the one before. Callers that
were refused repeat too, so a workspace only counts as flooding if its repeats
exceed its equal share of all repeats of the service by a factor.
"""

import collections

# Factor by which the repeats of a workspace may exceed an equal share. If all
# callers are refused alike, chance alone makes some repeat more.
SHARE_FACTOR = 1.5
# Repeats in a window below which no workspace counts as flooding.
MIN_REPEATS = 10
# Most digests that are remembered in a window; further ones are not counted.
MAX_DIGESTS = 8192


class _Window:
    __slots__ = ("digests", "repeats", "start_s", "workspaces")

    def __init__(self, start_s: float):
        self.start_s = start_s
        self.digests: set[str] = set()
        # Repeats by service and workspace; workspaces that sent anything are
        # listed by service.
        self.repeats: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.workspaces: dict[str, set[str]] = {}


class RepeatCounter:
    """Counts the repeats of each workspace at one instance."""

    __slots__ = ("_before", "_present", "_window_s")

    def __init__(self, window_s: float):
        """Starts without requests.

        Args:
          window_s: length of a window in seconds.
        """
        self._window_s = window_s
        self._before = _Window(0.0)
        self._present = _Window(0.0)

    def note_arrival(
        self, service: str, workspace: str, digest: str, now_s: float
    ) -> None:
        """Records a request; one without a digest is no repeat."""
        self._expire(now_s)
        present = self._present
        present.workspaces.setdefault(service, set()).add(workspace)
        if not digest:
            return
        if digest in present.digests or digest in self._before.digests:
            present.repeats[service, workspace] += 1
        if len(present.digests) < MAX_DIGESTS:
            present.digests.add(digest)

    def is_flooding(self, service: str, workspace: str, now_s: float) -> bool:
        """Returns whether a workspace repeats more than its fair share."""
        self._expire(now_s)
        windows = (self._before, self._present)
        own = sum(w.repeats[service, workspace] for w in windows)
        if own < MIN_REPEATS:
            return False
        total = sum(
            count
            for w in windows
            for (name, _), count in w.repeats.items()
            if name == service
        )
        active = set().union(
            *(w.workspaces.get(service, set()) for w in windows)
        )
        return own > SHARE_FACTOR * total / len(active)

    def _expire(self, now_s: float) -> None:
        age_s = now_s - self._present.start_s
        if age_s < self._window_s:
            return
        is_adjacent = age_s < 2.0 * self._window_s
        self._before = self._present if is_adjacent else _Window(now_s)
        self._present = _Window(now_s)
