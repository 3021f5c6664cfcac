"""Which instances use which engines of a large pool.

An instance that knows all engines has to hear of everything that all the
others place. So each one uses a part of a large pool, drawn by rendezvous
hashing, and hears only of what is placed there: what an instance knows, hears
and compares depends on the size of that part and not on the fleet. Whoever
knows the names of an instance and of an engine knows whether they belong
together; views of the pool's size that differ for a moment cost a prediction.
"""

from collections.abc import Callable
from collections.abc import Iterable

from rhubarblock.core import listed as lists
from rhubarblock.exchange import directory as directories
from rhubarblock.fleet import rendezvous

# Engines of a pool that an instance uses. Forty of a pool of 78 cost 0.03 of
# the worth of a calm day, as long prompts found fewer idle engines to read
# them; comparing 78 takes an instance of two requests a second 0.03 of a core.
ENGINES_EACH = 96


class Subsets:
    """The engines that each instance uses."""

    __slots__ = ("_directory", "_engines_each")

    def __init__(
        self,
        directory: directories.Directory,
        engines_each: int = ENGINES_EACH,
    ):
        """Creates subsets over what is listed.

        Args:
          directory: tells the size of each pool.
          engines_each: engines of a pool that an instance uses on average.
        """
        self._directory = directory
        self._engines_each = engines_each

    def uses(self, instance_id: str, endpoint_id: str) -> bool:
        """Says whether an instance uses an endpoint.

        Args:
          instance_id: name of the instance.
          endpoint_id: an endpoint; every instance uses one that isn't listed.
        """
        return self.make_filter((endpoint_id,))(instance_id)

    def make_filter(self, endpoint_ids: Iterable[str]) -> Callable[[str], bool]:
        """Returns what says whether an instance uses one of some endpoints."""
        parts = []
        for endpoint_id in endpoint_ids:
            endpoint = self._directory.find(endpoint_id)
            part = self._find_part(endpoint.service) if endpoint else 1.0
            if part >= 1.0:
                return _is_any
            parts.append((endpoint_id, part))
        return lambda instance_id: any(
            _is_drawn(instance_id, endpoint_id, part)
            for endpoint_id, part in parts
        )

    def select(
        self, instance_id: str, endpoints: list[lists.ListedEndpoint]
    ) -> list[lists.ListedEndpoint]:
        """Returns those endpoints of one service that an instance uses.

        All are returned if it uses none.
        """
        if not endpoints:
            return endpoints
        part = self._find_part(endpoints[0].service)
        if part >= 1.0:
            return endpoints
        chosen = [
            e for e in endpoints if _is_drawn(instance_id, e.endpoint_id, part)
        ]
        return chosen or endpoints

    def _find_part(self, service: str) -> float:
        """Returns which part of a service an instance uses, 1 for all."""
        size = self._directory.count(service)
        return self._engines_each / size if size else 1.0


def _is_drawn(instance_id: str, endpoint_id: str, part: float) -> bool:
    return rendezvous.compute_share(endpoint_id, instance_id) < part


def _is_any(instance_id: str) -> bool:
    del instance_id
    return True
