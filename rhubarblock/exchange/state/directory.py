"""The endpoints that this instance knows, followed through the store's list.

The list says who is there and who leaves. What it says lags, and it may be
out of reach, so the word of an endpoint itself counts too: one that said that
it leaves is not used again, whatever list names it, until a new start of it
comes; one that said that it is another one until the list names it anew.
"""

import collections
from collections.abc import Callable
import dataclasses
import logging
import math

from rhubarblock.core import listed as lists
from rhubarblock.kernel import logs
from rhubarblock.kernel import timers as timer_service

# Seconds for which an endpoint that vanished from a new listing is still
# counted as there: entries that lapsed while the store was down come back
# within two seconds of its return.
RETURN_S = 2.0

# Ended endpoints of which it is remembered whether they had left.
KEPT_ENDED = 4096
# Part of the time in which a leaving endpoint may get new work for which it is
# used if its service has no other. The list may have told it to others before.
LAST_RESORT_PART = 0.5

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
      last_resort_s: until when it is used although it leaves if its service has
        no other endpoint, in monotonic seconds.
    """

    listed: lists.ListedEndpoint
    draining: bool = False
    missing_since_s: float | None = None
    last_resort_s: float = -math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class _Ended:
    """What is kept of an endpoint that is not listed any more.

    Attributes:
      born_ms: when it started, as far as it is known.
      has_left: whether it wanted no new work.
    """

    born_ms: int
    has_left: bool


class Directory:
    """Endpoints by id.

    Attributes:
      number: rises with each change, so that what was derived can be kept.
      on_restart: called with the id of an endpoint that started again under
        it, so that nothing known of the earlier start is held against it.
    """

    __slots__ = (
        "_counts",
        "_drain_s",
        "_ended",
        "_endpoints",
        "_returned_s",
        "_returns",
        "_services",
        "_sizes",
        "_timers",
        "number",
        "on_restart",
    )

    def __init__(self, timers: timer_service.Timers, drain_s: float = 0.0):
        """Starts empty.

        Args:
          timers: the clock.
          drain_s: seconds for which an endpoint that said that it leaves may
            get new work.
        """
        self._timers = timers
        self._drain_s = drain_s
        self._ended: dict[str, _Ended] = {}
        # Returns of the store after which missing entries may be written again.
        self._returns = 0
        self._returned_s = -math.inf
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

    def note_return(self) -> None:
        """Takes in that the store came back older.

        It lacks entries that were written since; those who live write them
        again, and are used until they had the time for that. Entries that had
        been missing before are not among these.
        """
        now_s = self._timers.read_monotonic()
        for endpoint in self._endpoints.values():
            if self._returns and self._may_return(endpoint):
                endpoint.missing_since_s = now_s
        self._returned_s = now_s
        self._returns += 1
        self._note_change()
        self._timers.call_later(RETURN_S, self._end_return)

    def _may_return(self, endpoint: Endpoint) -> bool:
        """Says whether an entry is missing since the store's last return."""
        since_s = endpoint.missing_since_s
        return since_s is not None and since_s >= self._returned_s

    def _end_return(self) -> None:
        self._returns -= 1
        self._note_change()

    def update(self, entry: lists.ListedEndpoint) -> None:
        """Takes in one entry of the list, unless it tells of an older start."""
        self._note_change()
        known = self._endpoints.get(entry.endpoint_id)
        if known is not None and entry.born_ms < known.listed.born_ms:
            return
        if known is not None and 0 < known.listed.born_ms < entry.born_ms:
            self.remove(entry.endpoint_id)
            known = None
        if known is not None and known.listed.service != entry.service:
            self.remove(entry.endpoint_id)
            known = None
        if known is None:
            self._add(entry)
            return
        known.listed = entry
        known.missing_since_s = None
        if entry.draining:
            known.last_resort_s = -math.inf
        if entry.draining and not known.draining:
            known.draining = True
            self._log(entry, "ready", True)

    def _add(self, entry: lists.ListedEndpoint) -> None:
        """Takes in an endpoint that is not known, unless a later start was."""
        ended = self._ended.get(entry.endpoint_id)
        if ended is not None and entry.born_ms < ended.born_ms:
            return
        if ended is not None and 0 < ended.born_ms < entry.born_ms:
            self.on_restart(entry.endpoint_id)
            ended = None
        self._ended.pop(entry.endpoint_id, None)
        has_left = ended is not None and ended.has_left
        endpoint = Endpoint(entry, entry.draining or has_left)
        self._endpoints[entry.endpoint_id] = endpoint
        pool = self._services.setdefault(entry.service, {})
        pool[entry.endpoint_id] = endpoint
        self._log(entry, "unknown", endpoint.draining)

    def note_leaving(self, entry: lists.ListedEndpoint) -> bool:
        """Takes in that an endpoint itself said that it leaves.

        Args:
          entry: the endpoint as it was listed when it was asked.

        Returns:
          Whether that is news.
        """
        name = entry.endpoint_id
        known = self._endpoints.get(name)
        if known is None:
            ended = self._ended.get(name)
            if ended is not None and (
                ended.has_left or ended.born_ms > entry.born_ms
            ):
                return False
            self._keep_ended(name, _Ended(entry.born_ms, True))
            return True
        if known.draining or entry.born_ms < known.listed.born_ms:
            return False
        last_s = LAST_RESORT_PART * self._drain_s
        known.draining = True
        known.last_resort_s = self._timers.read_monotonic() + last_s
        self._note_change()
        self._timers.call_later(last_s, self._note_change)
        self._log(known.listed, "ready", True)
        return True

    def is_closed(self, endpoint_id: str) -> bool:
        """Says whether an endpoint wants no new work at this moment."""
        known = self._endpoints.get(endpoint_id)
        if known is None or not known.draining:
            return False
        return self._timers.read_monotonic() >= known.last_resort_s

    def remove(self, endpoint_id: str) -> None:
        """Forgets an endpoint whose entry was removed."""
        self._note_change()
        gone = self._endpoints.pop(endpoint_id, None)
        if gone is not None:
            del self._services[gone.listed.service][endpoint_id]
            ended = _Ended(gone.listed.born_ms, gone.draining)
            self._keep_ended(endpoint_id, ended)
            logs.log_state_change(
                _logger, f"endpoint {endpoint_id}", "listed", "gone"
            )

    def _keep_ended(self, endpoint_id: str, ended: _Ended) -> None:
        """Remembers an endpoint, and forgets the one that ended first."""
        self._ended.pop(endpoint_id, None)
        self._ended[endpoint_id] = ended
        if len(self._ended) > KEPT_ENDED:
            del self._ended[next(iter(self._ended))]

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
        the time to come back; so it is when the store came back older. Where
        all leave, those that said so themselves
        are used for some of the time that they still serve.
        """
        pool = self._services.get(service, {}).values()
        usable = [endpoint for endpoint in pool if not endpoint.draining]
        if not usable:
            now_s = self._timers.read_monotonic()
            usable = [e for e in pool if now_s < e.last_resort_s]
        present = [e for e in usable if e.missing_since_s is None]
        if self._returns:
            present += [e for e in usable if self._may_return(e)]
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
