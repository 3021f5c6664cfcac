"""Which instances use which engines of a large pool.

An instance that knows all engines has to hear of everything that all the
others place. So each one uses a part of a large pool, drawn by rendezvous
hashing, and hears only of what is placed there: what an instance knows, hears
and compares depends on the size of that part and not on the fleet. Whoever
knows the names of an instance and of an engine knows whether they belong
together; views of the pool's size that differ for a moment cost a prediction.
"""

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
        endpoint = self._directory.find(endpoint_id)
        if endpoint is None:
            return True
        size = self._directory.count(endpoint.service)
        if size <= self._engines_each:
            return True
        share = rendezvous.compute_share(endpoint_id, instance_id)
        return share * size < self._engines_each

    def select(
        self, instance_id: str, endpoints: list[lists.ListedEndpoint]
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints that an instance uses, all if it has none."""
        if len(endpoints) <= self._engines_each:
            return endpoints
        chosen = [e for e in endpoints if self.uses(instance_id, e.endpoint_id)]
        return chosen or endpoints
