"""Local replica of the store's configuration and endpoint list.

The state is kept as the store returned it, so that an instance which reads the
store can forward it to its peers unchanged, and as a log of changes, so that it
usually forwards only deltas.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import logging

from rhubarblock.core import document as documents
from rhubarblock.core import listed as lists
from rhubarblock.core import position as positions
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange.state import changelog
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import evacuationreplica
from rhubarblock.exchange.state import history
from rhubarblock.exchange.state import tombstones
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import store as stores

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class ListChanges:
    """Changes of the endpoint list.

    Attributes:
      number: number of the latest change.
      whole: whether ``objects`` is the whole list and not a delta.
      objects: entries; a delta includes deleted ones.
    """

    number: int
    whole: bool
    objects: tuple[stores.StoredObject, ...]


class StateReplica:
    """The latest state, which it also applies to the components that use it.

    Attributes:
      complete: whether the list is whole, and not only the subset that this
        instance uses.
      era: era of the store in which the list was read.
      evacuations: the evacuated data centres; None if the deployment has no
        evacuations.
      listed: set once endpoints may be used: a list was received, and the
        evacuations are known or known to be unavailable.
    """

    __slots__ = (
        "_config_lease",
        "_changed",
        "_dialect",
        "_directory",
        "_document",
        "_entries",
        "_era_in_force",
        "_has_list",
        "_history",
        "_log",
        "_refused",
        "_tombstones",
        "_timers",
        "_unreadable",
        "_value",
        "complete",
        "era",
        "evacuations",
        "listed",
    )

    def __init__(
        self,
        dialect: dialects.Dialect,
        config_lease: config_leases.ConfigurationLease,
        directory: directories.Directory,
        timers: timer_service.Timers,
        evacuations: evacuationreplica.EvacuationReplica | None = None,
    ):
        """Creates an empty replica.

        Args:
          dialect: decodes objects of the store.
          config_lease: receives configurations.
          directory: receives endpoints.
          timers: callbacks.
          evacuations: the evacuated data centres, None without evacuations.
        """
        self._dialect = dialect
        self._config_lease = config_lease
        self._directory = directory
        self._timers = timers
        # The configuration as last read from the store, to detect an unchanged
        # one quickly.
        self._value = b""
        self._document = documents.EMPTY
        self._history = history.History()
        self._entries: dict[str, stores.StoredObject] = {}
        self._log = changelog.ChangeLog()
        self._tombstones = tombstones.Tombstones(self.apply_change, timers)
        # Versions of entries that can't be decoded.
        self._unreadable = tombstones.VersionCache()
        # Era in which the configuration in force was read, and the last refused
        # configuration with its era.
        self._era_in_force = 0
        self._refused = documents.NOTHING, 0
        self._changed = asyncio.Event()
        self.complete = False
        self.era = 0
        self._has_list = False
        self.listed = asyncio.Event()
        self.evacuations = evacuations
        if evacuations is not None:
            evacuations.on_change = self._note_evacuations

    def begin_era(self) -> None:
        """Handles that the store was restored from an older copy.

        The state in force stays. Earlier reads no longer confirm it, and the
        next list replaces the one held here.
        """
        self._value = b""
        self._unreadable.clear()
        self._directory.note_store_restore()
        self._notify_waiters()

    @property
    def identity(self) -> documents.Identity:
        """Identity of the configuration held here."""
        return self._document.identity

    @property
    def number(self) -> int:
        """Number of the latest change of the list."""
        return self._log.number

    def apply_configuration(
        self, value: bytes, sent_s: float, era: int = 0
    ) -> None:
        """Applies a configuration read from the store.

        Args:
          value: the object's value.
          sent_s: the lease's clock before the read was sent.
          era: era of the store in which it was read.

        Raises:
          ValueError: it can't be decoded.
        """
        if value == self._value:
            self._config_lease.confirm(self._config_lease.version, sent_s)
            return
        text = self._dialect.split_configuration(value)
        difference = documents.compare(
            self._document, text.version, text.pieces
        )
        if self._install(difference, sent_s, era):
            self._value = value

    def apply_difference(
        self,
        difference: documents.Difference,
        confirmed_s: float,
        era: int = 0,
    ) -> None:
        """Applies a configuration delta from a peer.

        Args:
          difference: a delta from the configuration held here, or a whole
            configuration.
          confirmed_s: when the read that found its result was sent, on the
            lease's clock.
          era: era of the store in which the peer read it.

        Raises:
          ValueError: it does not apply here or can't be decoded; nothing was
            changed.
        """
        if difference.before == documents.NOTHING:
            whole = documents.apply(documents.EMPTY, difference)
            difference = documents.compare(
                self._document, whole.identity.version, whole.pieces
            )
        self._install(difference, confirmed_s, era)

    def find_difference(
        self, known: documents.Identity
    ) -> documents.Difference:
        """Returns the delta from a known configuration to the one held here.

        Returns the whole configuration if the other one is no longer known.
        """
        return self._history.find(known) or documents.compare(
            documents.EMPTY, self.identity.version, self._document.pieces
        )

    def _install(
        self, difference: documents.Difference, sent_s: float, era: int
    ) -> bool:
        """Puts a configuration delta into force.

        Returns:
          Whether it is in force now. False for an older version, and for other
          content of the same version unless it is of a later era.

        Raises:
          ValueError: it does not apply here or can't be decoded; nothing was
            changed.
        """
        found = difference.after
        version = found.version
        before = self._config_lease.version
        has_other_content = version == before and found != self.identity
        if version < before or (
            has_other_content and era <= self._era_in_force
        ):
            self._note_refused(found, era)
            return False
        document = documents.apply(self._document, difference)
        table = self._dialect.change_table(
            self._config_lease.table, document, difference
        )
        self._era_in_force = era
        if not self._config_lease.install(
            table, sent_s, replaces=has_other_content
        ):
            return True
        self._document = document
        # The value read before confirms only an older version.
        self._value = b""
        self._history.note(difference)
        _logger.info(
            "configuration in force",
            extra={
                "version": version,
                "before": before,
                "changed": len(difference.changed),
                "removed": len(difference.removed),
            },
        )
        self._notify_waiters()
        return True

    def _note_refused(self, found: documents.Identity, era: int) -> None:
        """Logs a refused configuration once."""
        if self._refused == (found, era):
            return
        self._refused = found, era
        _logger.warning(
            "an older configuration was read",
            extra={
                "version": found.version,
                "in_force": self._config_lease.version,
                "era": era,
            },
        )

    def apply_listing(
        self,
        objects: Iterable[stores.StoredObject],
        sizes: directories.Sizes | None = None,
        at: positions.Position = positions.NOWHERE,
    ) -> None:
        """Applies an endpoint list that replaces the previous one.

        Args:
          objects: its entries.
          sizes: numbers of endpoints if the list may be partial; None if it is
            whole.
          at: position of the store when it was read; only the era is known for
            a peer's list.
        """
        if at.era != self.era:
            self._log.forget()
        self.era = at.era
        listed = {stored.name: stored for stored in objects}
        listing = self._tombstones.hold_back(listed)
        if sizes is None:
            # A list of the store itself is authoritative for entries that exist
            # again.
            for name in listing:
                self._tombstones.forget(name)
        else:
            listing = {
                name: stored
                for name, stored in listing.items()
                if not self._is_outdated(stored)
            }
        for name in [n for n in self._entries if n not in listed]:
            self._note_missing(self._entries.pop(name), at)
        # A newer version that is known here outranks the peer's.
        kept = [self._entries[name] for name in listed if name in self._entries]
        listing = {stored.name: stored for stored in kept} | listing
        for stored in listing.values():
            if self._entries.get(stored.name) != stored:
                self._entries[stored.name] = stored
                self._log.note(stored)
        self._directory.replace(self._decode(listing.values()))
        self._directory.set_sizes(sizes or {})
        self.complete = sizes is None or _sum_sizes(sizes) <= len(listing)
        self._timers.call_later(
            directories.REREGISTER_S + 0.1, self._directory.expire
        )
        self.note_listed()
        self._notify_waiters()

    def note_listed(self) -> None:
        """Records that an endpoint list was received."""
        self._has_list = True
        if self.evacuations is None or self.evacuations.is_settled:
            self.listed.set()
        else:
            self.evacuations.limit_wait()

    def _note_evacuations(self) -> None:
        if self._has_list:
            self.note_listed()
        self._notify_waiters()

    def _note_missing(
        self, known: stores.StoredObject, at: positions.Position
    ) -> None:
        """Records that a list lacks an entry.

        The store's own list shows that the entry was removed by then. A peer's
        list was read at an unknown position, so the entry may reappear
        unchanged.
        """
        version = at if at.revision else positions.NOWHERE
        removed = dataclasses.replace(
            known, version=version, value=b"", deleted=True
        )
        self._log.note(removed)
        if version:
            self._tombstones.note(removed)

    def apply_change(self, stored: stores.StoredObject) -> None:
        """Applies one change of the list unless a later one is known."""
        if self._is_outdated(stored):
            return
        self._tombstones.note_change(stored.name)
        self._log.note(stored)
        if stored.deleted:
            self._entries.pop(stored.name, None)
            self._directory.remove(stored.name.partition("/")[2])
            self._tombstones.note(stored)
        else:
            self._entries[stored.name] = stored
            self._update_endpoint(stored)
        self._notify_waiters()

    def _update_endpoint(self, stored: stores.StoredObject) -> None:
        """Applies a changed entry to the directory.

        An entry that can't be decoded removes the endpoint that it described
        before.
        """
        entries = self._decode([stored])
        for entry in entries:
            self._directory.update(entry)
        if not entries:
            self._directory.remove(stored.name.partition("/")[2])

    def _is_outdated(self, stored: stores.StoredObject) -> bool:
        """Returns whether a later version of an entry is known."""
        if stored.deleted and not stored.version:
            # A peer found it missing from a list, at an unknown position.
            return False
        known = self._entries.get(stored.name)
        if known is not None and stored.version < known.version:
            return True
        return not stored.deleted and self._tombstones.is_outdated(stored)

    def list_changes(self, after: int) -> ListChanges:
        """Returns the changes of the list after a known one.

        Args:
          after: number of the latest known change, 0 for none.
        """
        changes = self._log.list_since(after)
        if changes is not None:
            return ListChanges(self.number, False, tuple(changes))
        return ListChanges(self.number, True, tuple(self._entries.values()))

    async def wait_for_change(
        self, has_changed: Callable[[], bool], timeout_s: float
    ) -> None:
        """Waits until a condition holds after a change, or for a timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not has_changed():
                    self._changed.clear()
                    await self._changed.wait()

    def _decode(
        self, objects: Iterable[stores.StoredObject]
    ) -> list[lists.ListedEndpoint]:
        entries = []
        for stored in objects:
            try:
                entries.append(self._dialect.decode_endpoint(stored))
            except ValueError as error:
                self._note_unreadable(stored, error)
        return entries

    def _note_unreadable(
        self, stored: stores.StoredObject, error: ValueError
    ) -> None:
        """Logs an undecodable entry once per version."""
        if self._unreadable.find(stored.name) == stored.version:
            return
        self._unreadable.note(stored)
        _logger.warning(
            "an entry names no endpoint",
            extra={"version": stored.version, "reason": str(error)},
        )

    def _notify_waiters(self) -> None:
        # Present waiters check again; later ones wait for the next change.
        self._changed.set()
        self._changed = asyncio.Event()


def _sum_sizes(sizes: directories.Sizes) -> int:
    """Returns the total number of endpoints."""
    return sum(sum(centres.values()) for centres in sizes.values())
