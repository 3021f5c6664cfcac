"""The endpoints that this instance knows, followed through the store's list.

The list says who is there and who leaves. What it says lags, and it may be
out of reach; an endpoint that said itself that it is another one is not used
again until the list names it anew.
"""

import collections
from collections.abc import Callable
import dataclasses
import logging

from rhubarblock.core import listed as lists
from rhubarblock.kernel import logs
from rhubarblock.kernel import timers as timer_service

# Seconds for which an endpoint that vanished from a new listing is still
# counted as there: entries that lapsed while the store was down come back
# within two seconds of its return.
RETURN_S = 2.0

# Endpoints by service and data centre.
Sizes = dict[str, dict[str, int]]

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An endpoint and what was seen of it.

    Attributes:
      listed: what the list says.
      draining: whether it wants no new work; this never goes back.
      missing_since_s: when a new listing lacked it, in monotonic seconds.
    """

    listed: lists.ListedEndpoint
    draining: bool = False
    missing_since_s: float | None = None


class Directory:
    """Endpoints by id.

    Attributes:
      number: rises with each change, so that what was derived can be kept.
      on_restart: called with the id of an endpoint that started again under
        it, so that nothing known of the earlier start is held against it.
    """

    __slots__ = (
        "_counts",
        "_endpoints",
        "_services",
        "_sizes",
        "_timers",
        "number",
        "on_restart",
    )

    def __init__(self, timers: timer_service.Timers):
        """Starts empty."""
        self._timers = timers
        self.on_restart: Callable[[str], None] = lambda endpoint_id: None
        self._endpoints: dict[str, Endpoint] = {}
        # The same endpoints by service, as each request asks for one service.
        self._services: dict[str, dict[str, Endpoint]] = {}
        # Sizes of the services where only a part of the list is known.
        self._sizes: Sizes = {}
        # Derived from both; emptied by each change.
        self._counts: Sizes = {}
        self.number = 0

    def replace(self, listing: list[lists.ListedEndpoint]) -> None:
        """Takes in a whole listing."""
        self._note_change()
        now_s = self._timers.read_monotonic()
        present = {entry.endpoint_id for entry in listing}
        for endpoint_id, endpoint in list(self._endpoints.items()):
            if endpoint_id in present:
                continue
            if endpoint.missing_since_s is None:
                endpoint.missing_since_s = now_s
        for entry in listing:
            self.update(entry)
        self.expire()

    def update(self, entry: lists.ListedEndpoint) -> None:
        """Takes in one entry of the list, unless it tells of an older start."""
        self._note_change()
        known = self._endpoints.get(entry.endpoint_id)
        if known is not None and entry.born_ms < known.listed.born_ms:
            return
        if known is not None and 0 < known.listed.born_ms < entry.born_ms:
            self.remove(entry.endpoint_id)
            self.on_restart(entry.endpoint_id)
            known = None
        if known is not None and known.listed.service != entry.service:
            self.remove(entry.endpoint_id)
            known = None
        if known is None:
            endpoint = Endpoint(entry, entry.draining)
            self._endpoints[entry.endpoint_id] = endpoint
            pool = self._services.setdefault(entry.service, {})
            pool[entry.endpoint_id] = endpoint
            self._log(entry, "unknown", entry.draining)
            return
        known.listed = entry
        known.missing_since_s = None
        if entry.draining and not known.draining:
            known.draining = True
            self._log(entry, "ready", True)

    def remove(self, endpoint_id: str) -> None:
        """Forgets an endpoint whose entry was removed."""
        self._note_change()
        gone = self._endpoints.pop(endpoint_id, None)
        if gone is not None:
            del self._services[gone.listed.service][endpoint_id]
            logs.log_state_change(
                _logger, f"endpoint {endpoint_id}", "listed", "gone"
            )

    def expire(self) -> None:
        """Forgets endpoints that did not come back into the list."""
        now_s = self._timers.read_monotonic()
        for endpoint_id, endpoint in list(self._endpoints.items()):
            since_s = endpoint.missing_since_s
            if since_s is not None and now_s - since_s >= RETURN_S:
                self.remove(endpoint_id)

    def find(self, endpoint_id: str) -> lists.ListedEndpoint | None:
        """Returns an endpoint that is known."""
        endpoint = self._endpoints.get(endpoint_id)
        return endpoint.listed if endpoint else None

    def list_ids(self) -> set[str]:
        """Returns the ids of all endpoints that are known."""
        return set(self._endpoints)

    def count(self, service: str, data_centre: str | None = None) -> int:
        """Returns how many endpoints a service has, known here or not.

        Args:
          service: the service.
          data_centre: counts only those there, or all.
        """
        by_centre = self._count_centres(service)
        if data_centre is not None:
            return by_centre.get(data_centre, 0)
        return sum(by_centre.values())

    def count_services(self) -> Sizes:
        """Returns how many endpoints each service has."""
        names = {*self._services, *self._sizes}
        return {name: self._count_centres(name) for name in names}

    def tell_sizes(self, sizes: Sizes) -> None:
        """Takes in how many endpoints each service has.

        Args:
          sizes: none where the whole list is known.
        """
        if sizes != self._sizes:
            self._sizes = dict(sizes)
            self._note_change()

    def _count_centres(self, service: str) -> dict[str, int]:
        """Returns how many endpoints of a service each data centre has."""
        counts = self._counts.get(service)
        if counts is None:
            counts = self._counts[service] = self._sum_centres(service)
        return counts

    def _sum_centres(self, service: str) -> dict[str, int]:
        known = collections.Counter(
            endpoint.listed.data_centre
            for endpoint in self._services.get(service, {}).values()
        )
        told = self._sizes.get(service, {})
        return {
            centre: max(known[centre], told.get(centre, 0))
            for centre in {*known, *told}
        }

    def _note_change(self) -> None:
        self.number += 1
        self._counts.clear()

    def list_usable(self, service: str) -> list[lists.ListedEndpoint]:
        """Returns the endpoints of a service that take new work.

        Entries that a new listing lacks are left out while most are there:
        they ended, as far as anyone knows. Where most lack, the entries lapsed
        because the store was away, and the endpoints are used until they had
        the time to come back.
        """
        usable = [
            endpoint
            for endpoint in self._services.get(service, {}).values()
            if not endpoint.draining
        ]
        present = [e for e in usable if e.missing_since_s is None]
        chosen = present if 2 * len(present) >= len(usable) else usable
        return [endpoint.listed for endpoint in chosen]

    def _log(
        self, entry: lists.ListedEndpoint, before: str, draining: bool
    ) -> None:
        logs.log_state_change(
            _logger,
            f"endpoint {entry.endpoint_id}",
            before,
            "draining" if draining else "ready",
            service=entry.service,
            address=entry.address,
        )
