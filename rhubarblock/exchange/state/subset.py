"""Which instances use which engines of a large pool.

An instance that knows all engines has to hear of everything that all the
others place. So each one uses a part of a large pool: the engines of its own
data centre first, and of the others as many as are missing, drawn by rendezvous
hashing. It hears only of what is placed there: what an instance knows, hears
and compares depends on the size of that part and not on the fleet, and most of
it comes from its own data centre. Whoever knows the names and the data centres
of an instance and of an engine knows whether they belong together; views of the
pool that differ for a moment cost a prediction.
"""

from collections.abc import Callable
from collections.abc import Iterable

from rhubarblock.core import listed as lists
from rhubarblock.exchange.state import directory as directories
from rhubarblock.fleet import rendezvous

# Engines of a pool that an instance uses: those of a data centre with 39, and a
# few of others for when these are full or lost. More would be told of more.
SUBSET_SIZE = 48

# Says whether an instance, by its name and its data centre, is meant.
InstanceFilter = Callable[[str, str], bool]


class Subsets:
    """The engines that each instance uses."""

    __slots__ = ("_directory", "_engines_each")

    def __init__(
        self,
        directory: directories.Directory,
        subset_size: int = SUBSET_SIZE,
    ):
        """Creates subsets over what is listed.

        Args:
          directory: tells the size of each pool in each data centre.
          subset_size: engines of a pool that an instance uses on average.
        """
        self._directory = directory
        self._engines_each = subset_size

    def uses(
        self, instance_id: str, data_centre: str, endpoint_id: str
    ) -> bool:
        """Says whether an instance uses an endpoint.

        Args:
          instance_id: name of the instance.
          data_centre: where it runs.
          endpoint_id: an endpoint; every instance uses one that isn't listed.
        """
        return self.make_filter((endpoint_id,))(instance_id, data_centre)

    def list_used(
        self, instance_id: str, data_centre: str, endpoint_ids: Iterable[str]
    ) -> set[str]:
        """Returns those of some endpoints that an instance uses.

        It says what ``uses`` says of each, in a fraction of the time: a reader
        looks through the whole list for each peer that starts, and after a loss
        of all its answers would come too late.

        Args:
          instance_id: name of the instance.
          data_centre: where it runs.
          endpoint_ids: endpoints; one that isn't listed is used.
        """
        parts: dict[tuple[str, bool], float] = {}
        used = set()
        for endpoint_id in endpoint_ids:
            endpoint = self._directory.find(endpoint_id)
            if endpoint is None:
                used.add(endpoint_id)
                continue
            place = endpoint.service, endpoint.data_centre == data_centre
            part = parts.get(place)
            if part is None:
                part = self._find_part(place[0], data_centre, place[1])
                parts[place] = part
            if _is_drawn(instance_id, endpoint_id, part):
                used.add(endpoint_id)
        return used

    def make_filter(self, endpoint_ids: Iterable[str]) -> InstanceFilter:
        """Returns what says whether an instance uses one of some endpoints."""
        endpoints = []
        for endpoint_id in endpoint_ids:
            endpoint = self._directory.find(endpoint_id)
            if endpoint is None or self._is_small(endpoint.service):
                return _is_any
            endpoints.append(endpoint)
        parts: dict[tuple[str, bool], float] = {}

        def uses(instance_id: str, data_centre: str) -> bool:
            for endpoint in endpoints:
                is_near = endpoint.data_centre == data_centre
                part = parts.get((data_centre, is_near))
                if part is None:
                    part = self._find_part(
                        endpoint.service, data_centre, is_near
                    )
                    parts[data_centre, is_near] = part
                if _is_drawn(instance_id, endpoint.endpoint_id, part):
                    return True
            return False

        return uses

    def select(
        self,
        instance_id: str,
        data_centre: str,
        endpoints: list[lists.ListedEndpoint],
    ) -> list[lists.ListedEndpoint]:
        """Returns those endpoints of one service that an instance uses.

        All are returned if it uses none.
        """
        if not endpoints or self._is_small(endpoints[0].service):
            return endpoints
        service = endpoints[0].service
        near = self._find_part(service, data_centre, True)
        far = self._find_part(service, data_centre, False)
        chosen = [
            e
            for e in endpoints
            if _is_drawn(
                instance_id,
                e.endpoint_id,
                near if e.data_centre == data_centre else far,
            )
        ]
        return chosen or endpoints

    def _is_small(self, service: str) -> bool:
        """Whether every instance uses all of a service."""
        return self._directory.count(service) <= self._engines_each

    def _find_part(
        self, service: str, data_centre: str, is_near: bool
    ) -> float:
        """Returns which part of a service an instance uses, 1 for all.

        Args:
          service: a service of one kind of prompts, so all endpoints asked for
            at once are of the same one.
          data_centre: where the instance runs.
          is_near: whether its own data centre is meant, or all the others.
        """
        if self._is_small(service):
            return 1.0
        near = self._directory.count(service, data_centre)
        if is_near:
            return min(1.0, self._engines_each / near) if near else 1.0
        far = self._directory.count(service) - near
        missing = max(0, self._engines_each - near)
        return min(1.0, missing / far) if far else 1.0


def _is_drawn(instance_id: str, endpoint_id: str, part: float) -> bool:
    if part >= 1.0:
        return True
    return (
        part > 0.0 and rendezvous.compute_share(endpoint_id, instance_id) < part
    )


def _is_any(instance_id: str, data_centre: str) -> bool:
    del instance_id, data_centre
    return True
