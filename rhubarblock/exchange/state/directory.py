"""The endpoints known to this instance, from the store's list.

The list contains the endpoints and marks those that drain. It lags and may be
unreachable, so what an endpoint states about itself counts too. An endpoint
that announced that it leaves is not used again until it restarts, even if a
list still names it. One whose address turned out to belong to another endpoint
is not used until the list names it again. Endpoints of an evacuated data centre
get no new work, whatever their state.
"""

import collections
from collections.abc import Callable
import dataclasses
import logging
import math

from rhubarblock.core import listed as lists
from rhubarblock.kernel import logs
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.coldstart import coldtable

# Seconds for which an endpoint that a new list lacks is still kept: entries
# that expired while the store was down are written again within two seconds of
# its recovery.
REREGISTER_S = 2.0

# Number of removed endpoints that are remembered, as later lists may still name
# them.
MAX_ENDED = 4096
# Fraction of the time in which a leaving endpoint accepts new work for which it
# is used if its service has no other. The remainder is a margin, as the list
# may have shown to other instances earlier that it leaves.
LAST_RESORT_FRACTION = 0.5
# Seconds for which a peer's report doesn't remove an endpoint that a list has
# just named again: the peer may have sent it before that, and a list that does
# not change names no endpoint. A datagram takes much less time.
REPORT_DELAY_S = 2.0

# Numbers of endpoints by service and data centre.
Sizes = dict[str, dict[str, int]]

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An endpoint and its observed state.

    Attributes:
      listed: its entry in the list.
      draining: whether it takes no new work; never reset.
      missing_since_s: when a new list first lacked it, in monotonic seconds.
      named_s: when a list last named it again, in monotonic seconds.
      last_resort_s: until when it is used while leaving if its service has no
        other endpoint, in monotonic seconds.
    """

    listed: lists.ListedEndpoint
    draining: bool = False
    missing_since_s: float | None = None
    named_s: float = -math.inf
    last_resort_s: float = -math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class _Ended:
    """What is kept of an endpoint that is no longer listed.

    Attributes:
      born_ms: its start time in Unix milliseconds; 0 if unknown.
      has_left: whether it had stopped taking new work.
    """

    born_ms: int
    has_left: bool


class Directory:
    """Endpoints by id.

    Attributes:
      number: change number, for caches of derived data.
      on_restart: called with the id of an endpoint that restarted under the
        same id, so that state of the earlier start is dropped.
      on_return: called with the name of a data centre whose evacuation ended.
        An instance that knows only a part of the list may receive entries of
        its endpoints later.
      on_listed: called with each entry that differs from the one before, and
        how it relates to what was known.
    """

    __slots__ = (
        "_by_address",
        "_counts",
        "_drain_s",
        "_ended",
        "_endpoints",
        "_evacuated",
        "_is_withheld",
        "_restored_s",
        "_restores",
        "_services",
        "_sizes",
        "_timers",
        "_has_list",
        "number",
        "on_listed",
        "on_restart",
        "on_return",
    )

    def __init__(self, timers: timer_service.Timers, drain_s: float = 0.0):
        """Creates an empty directory.

        Args:
          timers: the clock.
          drain_s: seconds for which an endpoint that announced that it leaves
            may get new work.
        """
        self._timers = timers
        self._drain_s = drain_s
        self._ended: dict[str, _Ended] = {}
        # Number of recent restores of the store, after which missing entries
        # may still be written again.
        self._restores = 0
        self._restored_s = -math.inf
        # Whether a list was received; later unknown entries are new.
        self._has_list = False
        self.on_restart: Callable[[str], None] = lambda endpoint_id: None
        self.on_return: Callable[[str], None] = lambda data_centre: None
        # Evacuated data centres, and whether they are not known yet.
        self._evacuated: frozenset[str] = frozenset()
        self._is_withheld = False
        self.on_listed: Callable[
            [lists.ListedEndpoint, coldtable.Arrival], None
        ] = lambda entry, arrival: None
        self._endpoints: dict[str, Endpoint] = {}
        # The same endpoints by service, as each request needs one service.
        self._services: dict[str, dict[str, Endpoint]] = {}
        # Sizes of the services if only a subset of the list is known.
        self._sizes: Sizes = {}
        # Cache derived from both; cleared by each change.
        self._counts: Sizes = {}
        self._by_address: dict[str, lists.ListedEndpoint] = {}
        self.number = 0

    def replace(self, listing: list[lists.ListedEndpoint]) -> None:
        """Applies a whole list."""
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
        self._has_list = True
        self.expire()

    def note_store_restore(self) -> None:
        """Handles that the store was restored from an older copy.

        The store lacks entries that were written after the copy. Live endpoints
        write theirs again, and endpoints are used until they had time to do so.
        This does not apply to entries that were missing before the restore.
        """
        now_s = self._timers.read_monotonic()
        for endpoint in self._endpoints.values():
            if self._restores and self._may_reregister(endpoint):
                endpoint.missing_since_s = now_s
        self._restored_s = now_s
        self._restores += 1
        self._note_change()
        self._timers.call_later(REREGISTER_S, self._end_restore)

    def _may_reregister(self, endpoint: Endpoint) -> bool:
        """Returns whether an entry is missing since the last restore."""
        since_s = endpoint.missing_since_s
        return since_s is not None and since_s >= self._restored_s

    def _end_restore(self) -> None:
        self._restores -= 1
        self._note_change()

    def update(self, entry: lists.ListedEndpoint) -> None:
        """Applies one entry of the list unless it is of an older start."""
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
        differs = known.listed != entry
        known.listed = entry
        known.missing_since_s = None
        known.named_s = self._timers.read_monotonic()
        if entry.draining:
            known.last_resort_s = -math.inf
        if entry.draining and not known.draining:
            known.draining = True
            self._log(entry, "ready", True)
        if differs:
            self.on_listed(entry, coldtable.Arrival.KNOWN)

    def _add(self, entry: lists.ListedEndpoint) -> None:
        """Adds an unknown endpoint unless a later start was known."""
        ended = self._ended.get(entry.endpoint_id)
        if ended is not None and entry.born_ms < ended.born_ms:
            return
        arrival = coldtable.Arrival.KNOWN
        if ended is not None and 0 < ended.born_ms < entry.born_ms:
            self.on_restart(entry.endpoint_id)
            ended = None
            arrival = coldtable.Arrival.RESTARTED
        elif ended is None:
            arrival = (
                coldtable.Arrival.NEW
                if self._has_list
                else coldtable.Arrival.FIRST
            )
        self._ended.pop(entry.endpoint_id, None)
        has_left = ended is not None and ended.has_left
        endpoint = Endpoint(entry, entry.draining or has_left)
        if ended is not None:
            endpoint.named_s = self._timers.read_monotonic()
        self._endpoints[entry.endpoint_id] = endpoint
        pool = self._services.setdefault(entry.service, {})
        pool[entry.endpoint_id] = endpoint
        self._log(entry, "unknown", endpoint.draining)
        self.on_listed(entry, arrival)

    def note_leaving(self, entry: lists.ListedEndpoint) -> bool:
        """Handles an endpoint's own announcement that it leaves.

        Args:
          entry: the endpoint as it was listed when the request was sent.

        Returns:
          Whether this was not known before.
        """
        name = entry.endpoint_id
        known = self._endpoints.get(name)
        if known is None:
            ended = self._ended.get(name)
            if ended is not None and (
                ended.has_left or ended.born_ms > entry.born_ms
            ):
                return False
            self._remember_ended(name, _Ended(entry.born_ms, True))
            return True
        if known.draining or entry.born_ms < known.listed.born_ms:
            return False
        last_s = LAST_RESORT_FRACTION * self._drain_s
        known.draining = True
        known.last_resort_s = self._timers.read_monotonic() + last_s
        self._note_change()
        self._timers.call_later(last_s, self._note_change)
        self._log(known.listed, "ready", True)
        return True

    def withhold(self) -> None:
        """Uses no endpoint until ``set_evacuated`` is called."""
        self._is_withheld = True
        self._note_change()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Sets the data centres to whose endpoints nothing more is sent."""
        if not self._is_withheld and data_centres == self._evacuated:
            return
        returned = self._evacuated - data_centres
        self._is_withheld = False
        self._evacuated = data_centres
        self._note_change()
        for data_centre in sorted(returned):
            self.on_return(data_centre)

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether nothing may be sent to a data centre.

        True for all of them until the evacuations are known.
        """
        return self._is_withheld or data_centre in self._evacuated

    def has_evacuated(self, service: str) -> bool:
        """Returns whether a service has endpoints that are evacuated."""
        return not self._evacuated.isdisjoint(self._count_centres(service))

    def is_closed(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint takes no new work now."""
        known = self._endpoints.get(endpoint_id)
        if known is None:
            return False
        if self.is_evacuated(known.listed.data_centre):
            return True
        if not known.draining:
            return False
        return self._timers.read_monotonic() >= known.last_resort_s

    def remove(self, endpoint_id: str) -> None:
        """Removes an endpoint and remembers whether it had left."""
        self._note_change()
        removed = self._endpoints.pop(endpoint_id, None)
        if removed is not None:
            del self._services[removed.listed.service][endpoint_id]
            ended = _Ended(removed.listed.born_ms, removed.draining)
            self._remember_ended(endpoint_id, ended)
            logs.log_state_change(
                _logger, f"endpoint {endpoint_id}", "listed", "gone"
            )

    def remove_reused(
        self, endpoint_id: str, address: str, born_ms: int
    ) -> bool:
        """Removes an endpoint whose address belongs to another one now.

        Args:
          endpoint_id: id of the endpoint that a peer could not reach.
          address: where the peer expected it.
          born_ms: the start that the peer knew, in Unix milliseconds.

        Returns:
          False if the endpoint stays: it is unknown, has another address or a
          later start, or a list has just named it again.
        """
        known = self._endpoints.get(endpoint_id)
        if known is None or known.listed.address != address:
            return False
        if known.listed.born_ms > born_ms:
            return False
        if self._timers.read_monotonic() - known.named_s < REPORT_DELAY_S:
            return False
        self.remove(endpoint_id)
        return True

    def _remember_ended(self, endpoint_id: str, ended: _Ended) -> None:
        """Keeps a record of a removed endpoint and evicts the oldest."""
        self._ended.pop(endpoint_id, None)
        self._ended[endpoint_id] = ended
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def expire(self) -> None:
        """Removes endpoints that did not reappear in the list."""
        now_s = self._timers.read_monotonic()
        for endpoint_id, endpoint in list(self._endpoints.items()):
            since_s = endpoint.missing_since_s
            if since_s is not None and now_s - since_s >= REREGISTER_S:
                self.remove(endpoint_id)

    def find(self, endpoint_id: str) -> lists.ListedEndpoint | None:
        """Returns an endpoint, or None if it is unknown."""
        endpoint = self._endpoints.get(endpoint_id)
        return endpoint.listed if endpoint else None

    def find_at(self, address: str) -> lists.ListedEndpoint | None:
        """Returns the endpoint at an address, or None if there is none."""
        if not self._by_address:
            self._by_address = {
                endpoint.listed.address: endpoint.listed
                for endpoint in self._endpoints.values()
            }
        return self._by_address.get(address)

    def list_ids(self) -> set[str]:
        """Returns the ids of all known endpoints."""
        return set(self._endpoints)

    def count(self, service: str, data_centre: str | None = None) -> int:
        """Returns the number of endpoints of a service, known here or not.

        Those of evacuated data centres do not count, so that more endpoints of
        the others are used in their place.

        Args:
          service: name of the service.
          data_centre: counts only endpoints there; None counts all.
        """
        by_centre = self._count_centres(service)
        if data_centre is not None:
            if data_centre in self._evacuated:
                return 0
            return by_centre.get(data_centre, 0)
        return sum(
            count
            for centre, count in by_centre.items()
            if centre not in self._evacuated
        )

    def count_services(self) -> Sizes:
        """Returns the number of endpoints of each service."""
        names = {*self._services, *self._sizes}
        return {name: self._count_centres(name) for name in names}

    def set_sizes(self, sizes: Sizes) -> None:
        """Sets the number of endpoints of each service.

        Args:
          sizes: the numbers; empty if the whole list is known.
        """
        if sizes != self._sizes:
            self._sizes = dict(sizes)
            self._note_change()

    def _count_centres(self, service: str) -> dict[str, int]:
        """Returns the number of endpoints of a service by data centre."""
        counts = self._counts.get(service)
        if counts is None:
            counts = self._counts[service] = self._sum_centres(service)
        return counts

    def _sum_centres(self, service: str) -> dict[str, int]:
        known = collections.Counter(
            endpoint.listed.data_centre
            for endpoint in self._services.get(service, {}).values()
        )
        stated = self._sizes.get(service, {})
        return {
            centre: max(known[centre], stated.get(centre, 0))
            for centre in {*known, *stated}
        }

    def _note_change(self) -> None:
        self.number += 1
        self._counts.clear()
        self._by_address.clear()

    def list_usable(self, service: str) -> list[lists.ListedEndpoint]:
        """Returns the endpoints of a service that take new work.

        Endpoints whose entries a new list lacks are left out if most entries
        are present: they have presumably ended. If most entries are missing,
        they expired because the store was unavailable, and the endpoints are
        used until they had time to register again. The same holds after the
        store was restored from an older copy. If all endpoints leave, those
        that announced it themselves are used for part of the time in which they
        still serve. None of this applies to endpoints of evacuated data
        centres.
        """
        pool = self._list_not_evacuated(service)
        usable = [endpoint for endpoint in pool if not endpoint.draining]
        if not usable:
            now_s = self._timers.read_monotonic()
            usable = [e for e in pool if now_s < e.last_resort_s]
        present = [e for e in usable if e.missing_since_s is None]
        if self._restores:
            present += [e for e in usable if self._may_reregister(e)]
        chosen = present if 2 * len(present) >= len(usable) else usable
        return [endpoint.listed for endpoint in chosen]

    def _list_not_evacuated(self, service: str) -> list[Endpoint]:
        pool = list(self._services.get(service, {}).values())
        if not self._evacuated and not self._is_withheld:
            return pool
        return [e for e in pool if not self.is_evacuated(e.listed.data_centre)]

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
