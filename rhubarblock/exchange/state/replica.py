"""What the store last said: the configuration and the list of endpoints.

It is kept as the store gave it, so that an instance which reads the store can
pass it on to its peers unchanged, and as a log of changes, so that most of the
time it passes on only what is new.
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
from rhubarblock.exchange.state import history
from rhubarblock.exchange.state import removals
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import store as stores

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class ListNews:
    """What is new in the list of endpoints.

    Attributes:
      number: number of the latest change.
      whole: whether ``objects`` is the whole list.
      objects: entries, deleted ones too unless it is the whole list.
    """

    number: int
    whole: bool
    objects: tuple[stores.StoredObject, ...]


class StateReplica:
    """The latest state, and the parts that it is put into force in.

    Attributes:
      complete: whether the list is whole, and not only what this instance uses
        of it.
      era: era of the store in which the list was read.
      listed: set once there was a list of endpoints.
    """

    __slots__ = (
        "_config_lease",
        "_changed",
        "_dialect",
        "_directory",
        "_document",
        "_entries",
        "_era_in_force",
        "_history",
        "_log",
        "_refused",
        "_removals",
        "_timers",
        "_unread",
        "_value",
        "complete",
        "era",
        "listed",
    )

    def __init__(
        self,
        dialect: dialects.Dialect,
        config_lease: config_leases.ConfigurationLease,
        directory: directories.Directory,
        timers: timer_service.Timers,
    ):
        """Starts without any state.

        Args:
          dialect: decodes what the store holds.
          config_lease: takes configurations.
          directory: takes endpoints.
          timers: callbacks.
        """
        self._dialect = dialect
        self._config_lease = config_lease
        self._directory = directory
        self._timers = timers
        # What the store gave last, to see at one look that it gives the same.
        self._value = b""
        self._document = documents.EMPTY
        self._history = history.History()
        self._entries: dict[str, stores.StoredObject] = {}
        self._log = changelog.ChangeLog()
        self._removals = removals.Removals(self.take_change, timers)
        # Versions of entries that can't be read.
        self._unread = removals.VersionMemory()
        # Era in which the configuration in force was read, and the last one
        # that was refused with its era.
        self._era_in_force = 0
        self._refused = documents.NOTHING, 0
        self._changed = asyncio.Event()
        self.complete = False
        self.era = 0
        self.listed = asyncio.Event()

    def begin_era(self) -> None:
        """Takes in that the store came back from an older copy.

        What is in force stays so. What was read last confirms nothing any more,
        and the next list replaces the one that is held here.
        """
        self._value = b""
        self._unread.clear()
        self._directory.note_return()
        self._wake()

    @property
    def identity(self) -> documents.Identity:
        """Names the configuration that is held here."""
        return self._document.identity

    @property
    def number(self) -> int:
        """Number of the latest change of the list."""
        return self._log.number

    def take_configuration(
        self, value: bytes, asked_s: float, era: int = 0
    ) -> None:
        """Takes in a configuration.

        Args:
          value: as the store gave it.
          asked_s: the lease's clock before the read was sent.
          era: era of the store in which it was read.

        Raises:
          ValueError: it can't be read.
        """
        if value == self._value:
            self._config_lease.confirm(self._config_lease.version, asked_s)
            return
        text = self._dialect.split_configuration(value)
        difference = documents.compare(
            self._document, text.version, text.pieces
        )
        if self._put_in_force(difference, asked_s, era):
            self._value = value

    def take_difference(
        self,
        difference: documents.Difference,
        confirmed_s: float,
        era: int = 0,
    ) -> None:
        """Takes in what a peer says has changed in the configuration.

        Args:
          difference: follows the configuration held here, or is whole.
          confirmed_s: when the read was sent that found its result, on the
            lease's clock.
          era: era of the store in which the peer read it.

        Raises:
          ValueError: it does not fit, or can't be read; nothing was changed.
        """
        if difference.before == documents.NOTHING:
            whole = documents.apply(documents.EMPTY, difference)
            difference = documents.compare(
                self._document, whole.identity.version, whole.pieces
            )
        self._put_in_force(difference, confirmed_s, era)

    def find_difference(
        self, known: documents.Identity
    ) -> documents.Difference:
        """Returns what leads from a known configuration to the one held here.

        It is the whole one where the other is not known here any more.
        """
        return self._history.find(known) or documents.compare(
            documents.EMPTY, self.identity.version, self._document.pieces
        )

    def _put_in_force(
        self, difference: documents.Difference, asked_s: float, era: int
    ) -> bool:
        """Puts a change of the configuration into force.

        Returns:
          Whether it is in force now; False for an older one, and for another
          one of the same version that no later era gave.

        Raises:
          ValueError: it does not fit, or can't be read; nothing was changed.
        """
        found = difference.after
        version = found.version
        before = self._config_lease.version
        is_other = version == before and found != self.identity
        if version < before or (is_other and era <= self._era_in_force):
            self._note_refused(found, era)
            return False
        document = documents.apply(self._document, difference)
        table = self._dialect.change_table(
            self._config_lease.table, document, difference
        )
        self._era_in_force = era
        if not self._config_lease.install(table, asked_s, replaces=is_other):
            return True
        self._document = document
        # What the store gave before confirms an older version only.
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
        self._wake()
        return True

    def _note_refused(self, found: documents.Identity, era: int) -> None:
        """Tells once of a configuration that is not put into force."""
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

    def take_listing(
        self,
        objects: Iterable[stores.StoredObject],
        sizes: directories.Sizes | None = None,
        at: positions.Position = positions.NOWHERE,
    ) -> None:
        """Takes in a list of endpoints that replaces the one before.

        Args:
          objects: its entries.
          sizes: how many endpoints there are where the list may lack some;
            None says that it is whole.
          at: where the store stood when it was read; of a peer's list only the
            era is known.
        """
        if at.era != self.era:
            self._log.forget()
        self.era = at.era
        listed = {stored.name: stored for stored in objects}
        listing = self._removals.hold_back(listed)
        if sizes is None:
            # The store itself knows best what has come back.
            for name in listing:
                self._removals.forget(name)
        else:
            listing = {
                name: stored
                for name, stored in listing.items()
                if not self._is_outdated(stored)
            }
        for name in [n for n in self._entries if n not in listed]:
            self._note_missing(self._entries.pop(name), at)
        # Where more is known of an entry than the peer knows, that stays.
        kept = [self._entries[name] for name in listed if name in self._entries]
        listing = {stored.name: stored for stored in kept} | listing
        for stored in listing.values():
            if self._entries.get(stored.name) != stored:
                self._entries[stored.name] = stored
                self._log.note(stored)
        self._directory.replace(self._decode(listing.values()))
        self._directory.tell_sizes(sizes or {})
        self.complete = sizes is None or _sum_sizes(sizes) <= len(listing)
        self._timers.call_later(
            directories.RETURN_S + 0.1, self._directory.expire
        )
        self.listed.set()
        self._wake()

    def _note_missing(
        self, known: stores.StoredObject, at: positions.Position
    ) -> None:
        """Takes in that a list lacks an entry.

        The store's own list says that it was removed by then. Of a peer's list
        nobody knows when it was read, so the entry may come back as it was.
        """
        version = at if at.revision else positions.NOWHERE
        gone = dataclasses.replace(
            known, version=version, value=b"", deleted=True
        )
        self._log.note(gone)
        if version:
            self._removals.note(gone)

    def take_change(self, stored: stores.StoredObject) -> None:
        """Takes in one change of the list, unless a later one is known."""
        if self._is_outdated(stored):
            return
        self._removals.note_change(stored.name)
        self._log.note(stored)
        if stored.deleted:
            self._entries.pop(stored.name, None)
            self._directory.remove(stored.name.partition("/")[2])
            self._removals.note(stored)
        else:
            self._entries[stored.name] = stored
            self._update_endpoint(stored)
        self._wake()

    def _update_endpoint(self, stored: stores.StoredObject) -> None:
        """Puts a changed entry into force.

        One that can't be read names no endpoint, whatever it named before.
        """
        entries = self._decode([stored])
        for entry in entries:
            self._directory.update(entry)
        if not entries:
            self._directory.remove(stored.name.partition("/")[2])

    def _is_outdated(self, stored: stores.StoredObject) -> bool:
        """Whether more is known of an entry already."""
        if stored.deleted:
            return False
        if self._removals.is_outdated(stored):
            return True
        known = self._entries.get(stored.name)
        return known is not None and stored.version < known.version

    def list_news(self, after: int) -> ListNews:
        """Returns what is new in the list after a change.

        Args:
          after: number of the latest change that is known, 0 for none.
        """
        changes = self._log.list_since(after)
        if changes is not None:
            return ListNews(self.number, False, tuple(changes))
        return ListNews(self.number, True, tuple(self._entries.values()))

    async def wait_news(
        self, is_news: Callable[[], bool], timeout_s: float
    ) -> None:
        """Waits until something is news, for a time at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not is_news():
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
                self._note_unread(stored, error)
        return entries

    def _note_unread(
        self, stored: stores.StoredObject, error: ValueError
    ) -> None:
        """Leaves one line for each change of an entry that can't be read."""
        if self._unread.find(stored.name) == stored.version:
            return
        self._unread.note(stored)
        _logger.warning(
            "an entry names no endpoint",
            extra={"version": stored.version, "reason": str(error)},
        )

    def _wake(self) -> None:
        # Waiters look again; those that come later wait for the next change.
        self._changed.set()
        self._changed = asyncio.Event()


def _sum_sizes(sizes: directories.Sizes) -> int:
    """Returns how many endpoints there are."""
    return sum(sum(centres.values()) for centres in sizes.values())
