"""Subsetting: which instances use which engines of a large pool.

An instance that uses all engines must receive the placements of all other
instances. So each instance uses a subset of a large pool: the engines of its
own data centre first, and then as many of the others as are missing, selected
by rendezvous hashing. It receives only placements at these engines. Its memory,
traffic and work depend on the size of the subset and not on the fleet, and most
of the traffic stays within its data centre. Membership in a subset follows from
the names and data centres of the instance and the engine alone, so every
instance can compute it. If views of the pool differ for a moment, only
predictions get worse.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import types

from rhubarblock.core import listed as lists
from rhubarblock.exchange.state import directory as directories
from rhubarblock.fleet import rendezvous

# Number of engines of a pool that an instance uses: all of a data centre with
# 39, and a few elsewhere for when these are full or lost. A larger subset means
# more traffic.
SUBSET_SIZE = 48

# Average number of engines of a pool in each region that a list for an instance
# contains, as requests with home regions need some of each: with 8, one
# instance in 3,000 gets none.
REGION_SIZE = 8

# The regions of a deployment that states none.
_NO_REGIONS: Mapping[str, str] = types.MappingProxyType({})

# Returns whether an instance, given by name and data centre, is selected.
InstanceFilter = Callable[[str, str], bool]


class Subsets:
    """Selects the engines that each instance uses."""

    __slots__ = ("_directory", "_regions", "_subset_size")

    def __init__(
        self,
        directory: directories.Directory,
        subset_size: int = SUBSET_SIZE,
        regions: Mapping[str, str] = _NO_REGIONS,
    ):
        """Creates subsets of the listed endpoints.

        Args:
          directory: sizes of each pool in each data centre.
          subset_size: average number of engines of a pool that an instance
            uses.
          regions: region of each data centre; empty if they are unknown.
        """
        self._regions = regions
        self._directory = directory
        self._subset_size = subset_size

    def uses(
        self, instance_id: str, data_centre: str, endpoint_id: str
    ) -> bool:
        """Returns whether an instance uses an endpoint.

        Args:
          instance_id: name of the instance.
          data_centre: its data centre.
          endpoint_id: id of an endpoint; unlisted ones are used by every
            instance.
        """
        return self.make_filter((endpoint_id,))(instance_id, data_centre)

    def list_used(
        self, instance_id: str, data_centre: str, endpoint_ids: Iterable[str]
    ) -> set[str]:
        """Returns some endpoints that an instance uses or needs to know.

        Equivalent to calling ``uses`` for each, but much faster: the reader of
        the store filters the whole list for each peer that starts, and when all
        instances restart at once its answers would otherwise be too late. If
        regions are known, some endpoints of each region are added, for requests
        that must stay there.

        Args:
          instance_id: name of the instance.
          data_centre: its data centre.
          endpoint_ids: ids of endpoints; unlisted ones are included.
        """
        fractions: dict[tuple[str, str], float] = {}
        used = set()
        for endpoint_id in endpoint_ids:
            endpoint = self._directory.find(endpoint_id)
            if endpoint is None:
                used.add(endpoint_id)
                continue
            key = endpoint.service, endpoint.data_centre
            fraction = fractions.get(key)
            if fraction is None:
                is_near = endpoint.data_centre == data_centre
                fraction = fractions[key] = max(
                    self._find_fraction(key[0], data_centre, is_near),
                    self._find_region_fraction(*key),
                )
            if _is_selected(instance_id, endpoint_id, fraction):
                used.add(endpoint_id)
        return used

    def make_filter(self, endpoint_ids: Iterable[str]) -> InstanceFilter:
        """Returns a filter of the instances that use one of some endpoints."""
        endpoints = []
        for endpoint_id in endpoint_ids:
            endpoint = self._directory.find(endpoint_id)
            if endpoint is None or self._is_small(endpoint.service):
                return _accepts_all
            endpoints.append(endpoint)
        # By data centre and nearness only: all endpoints of one prompt are of
        # the same service.
        fractions: dict[tuple[str, bool], float] = {}

        def uses(instance_id: str, data_centre: str) -> bool:
            for endpoint in endpoints:
                is_near = endpoint.data_centre == data_centre
                fraction = fractions.get((data_centre, is_near))
                if fraction is None:
                    fraction = self._find_fraction(
                        endpoint.service, data_centre, is_near
                    )
                    fractions[data_centre, is_near] = fraction
                if _is_selected(instance_id, endpoint.endpoint_id, fraction):
                    return True
            return False

        return uses

    def select(
        self,
        instance_id: str,
        data_centre: str,
        endpoints: list[lists.ListedEndpoint],
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints of one service that an instance uses.

        Returns all of them if it uses none.
        """
        if not endpoints or self._is_small(endpoints[0].service):
            return endpoints
        service = endpoints[0].service
        near = self._find_fraction(service, data_centre, True)
        far = self._find_fraction(service, data_centre, False)
        chosen = [
            e
            for e in endpoints
            if _is_selected(
                instance_id,
                e.endpoint_id,
                near if e.data_centre == data_centre else far,
            )
        ]
        return chosen or endpoints

    def _is_small(self, service: str) -> bool:
        """Returns whether every instance uses all endpoints of a service."""
        return self._directory.count(service) <= self._subset_size

    def _find_fraction(
        self, service: str, data_centre: str, is_near: bool
    ) -> float:
        """Returns the fraction of a service's endpoints that an instance uses.

        Args:
          service: name of the service.
          data_centre: data centre of the instance.
          is_near: whether to count its own data centre or all the others.
        """
        if self._is_small(service):
            return 1.0
        near = self._directory.count(service, data_centre)
        if is_near:
            return min(1.0, self._subset_size / near) if near else 1.0
        far = self._directory.count(service) - near
        missing = max(0, self._subset_size - near)
        return min(1.0, missing / far) if far else 1.0

    def _find_region_fraction(self, service: str, data_centre: str) -> float:
        """Returns the fraction of a region's endpoints that each list contains.

        Args:
          service: name of the service.
          data_centre: a data centre of the region.
        """
        region = self._regions.get(data_centre)
        if region is None:
            return 0.0
        count = sum(
            self._directory.count(service, other)
            for other, others_region in self._regions.items()
            if others_region == region
        )
        return min(1.0, REGION_SIZE / count) if count else 0.0


def _is_selected(instance_id: str, endpoint_id: str, fraction: float) -> bool:
    if fraction >= 1.0:
        return True
    return (
        fraction > 0.0
        and rendezvous.compute_share(endpoint_id, instance_id) < fraction
    )


def _accepts_all(instance_id: str, data_centre: str) -> bool:
    del instance_id, data_centre
    return True
