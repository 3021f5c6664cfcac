"""Stores older revisions and their audit records in the platform.

Both are kept in ring buffers of objects: revision ``n`` takes slot ``n`` modulo
the number of slots. This bounds the space without deletions, and one listing
returns the whole audit trail. Contents and audit records have separate rings,
because a listing that includes whole catalogues would be large. A third ring
holds the records of actions that create no revision, such as drains.
"""

import asyncio
import dataclasses

from rhubarblock.catalogue import audit
from rhubarblock.catalogue import codec
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import position as positions
from rhubarblock.store import store as stores

CURRENT_OBJECT = "catalogue/current"
AUDIT_PREFIX = "audit/"
HISTORY_PREFIX = "catalogue-history/"
ACTION_PREFIX = "audit-acts/"

# Number of slots per ring. The history ring has the fewest because each slot
# holds a whole catalogue.
AUDIT_SLOTS = 1024
HISTORY_SLOTS = 64
ACTION_SLOTS = 256

_MAX_WRITE_ATTEMPTS = 4
_Kind = stores.StoreErrorKind


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """An accepted catalogue as stored in the platform.

    Attributes:
      catalogue: the decoded catalogue.
      record: audit record of the change that created it; None for the empty
        catalogue.
      version: version of the stored object; NOWHERE if there is none.
      content: the stored bytes.
    """

    catalogue: catalogues.Catalogue
    record: audit.AuditRecord | None
    version: positions.Position
    content: bytes


EMPTY = Accepted(catalogues.Catalogue(), None, positions.NOWHERE, b"")


def name_audit_slot(revision: int) -> str:
    """Returns the name of the object for a revision's audit record."""
    return f"{AUDIT_PREFIX}{revision % AUDIT_SLOTS:04d}"


def name_history_slot(revision: int) -> str:
    """Returns the name of the object for a revision's content."""
    return f"{HISTORY_PREFIX}{revision % HISTORY_SLOTS:04d}"


class Archive:
    """Reads and writes accepted catalogues and audit records.

    Methods raise ``store.StoreError`` if a call to the store fails, and
    ``codec.CodecError`` if a stored object cannot be decoded.
    """

    __slots__ = ("_store",)

    def __init__(self, store: stores.ObjectStore):
        self._store = store

    async def read_current(self) -> Accepted:
        """Returns the latest accepted catalogue, or ``EMPTY`` if none."""
        try:
            stored = await self._store.read(CURRENT_OBJECT)
        except stores.StoreError as error:
            if error.kind is _Kind.NOT_FOUND:
                return EMPTY
            raise
        return _parse_accepted(stored)

    async def read_catalogue(
        self, revision: int
    ) -> catalogues.Catalogue | None:
        """Returns the catalogue of a revision, or None if no longer stored."""
        if revision == 0:
            return catalogues.Catalogue()
        stored = await self._read_slot(name_history_slot(revision))
        if stored is None:
            return None
        catalogue = codec.decode(stored.value)
        return catalogue if catalogue.revision == revision else None

    async def read_record(self, revision: int) -> audit.AuditRecord | None:
        """Returns the record of a revision, or None if no longer stored."""
        stored = await self._read_slot(name_audit_slot(revision))
        if stored is None:
            return None
        record = codec.decode_record(stored.value)
        return record if record.revision == revision else None

    async def list_records(self) -> list[audit.AuditRecord]:
        """Returns all stored audit records, latest first."""
        current, changes, actions = await asyncio.gather(
            self.read_current(),
            self._store.list_objects(AUDIT_PREFIX),
            self._store.list_objects(ACTION_PREFIX),
        )
        stored = (*changes.objects, *actions.objects)
        records = {
            record.change_id: record
            for record in (codec.decode_record(s.value) for s in stored)
        }
        if current.record is not None:
            records[current.record.change_id] = current.record
        ordered = sorted(records.values(), key=lambda r: (r.revision, r.when_s))
        return ordered[::-1]

    async def store_revision(self, accepted: Accepted) -> None:
        """Writes a revision and its audit record to the rings.

        Must be called before the next revision replaces this one. The call is
        idempotent, because the content of a revision never changes.

        Args:
          accepted: the revision to store.
        """
        if accepted.record is None:
            return
        revision = accepted.catalogue.revision
        record = codec.encode_record(accepted.record)
        await self._write_slot(name_audit_slot(revision), record, revision)
        await self._write_slot(
            name_history_slot(revision), accepted.content, revision
        )

    async def add_action_record(self, record: audit.AuditRecord) -> None:
        """Stores the record of an action that creates no revision.

        Args:
          record: the record to store; storing it again is idempotent.
        """
        for _ in range(_MAX_WRITE_ATTEMPTS):
            page = await self._store.list_objects(ACTION_PREFIX)
            slot = _find_action_slot(page, record)
            if slot is None:
                return
            try:
                await self._store.write(
                    slot.name, codec.encode_record(record), slot.version
                )
                return
            except stores.StoreError as error:
                if error.kind not in (_Kind.CONFLICT, _Kind.UNSURE):
                    raise
        raise stores.StoreError(_Kind.UNSURE, "the audit record is unsure")

    async def _read_slot(self, name: str) -> stores.StoredObject | None:
        try:
            return await self._store.read(name)
        except stores.StoreError as error:
            if error.kind is _Kind.NOT_FOUND:
                return None
            raise

    async def _write_slot(
        self, name: str, content: bytes, revision: int
    ) -> None:
        """Writes a slot unless it holds the same or a later revision."""
        for _ in range(_MAX_WRITE_ATTEMPTS):
            stored = await self._read_slot(name)
            if stored and codec.decode_revision(stored.value) >= revision:
                return
            version = stored.version if stored else positions.NOWHERE
            try:
                await self._store.write(name, content, version)
                return
            except stores.StoreError as error:
                if error.kind not in (_Kind.CONFLICT, _Kind.UNSURE):
                    raise
        raise stores.StoreError(_Kind.UNSURE, f"{name} is unsure")


def _parse_accepted(stored: stores.StoredObject) -> Accepted:
    return Accepted(
        codec.decode(stored.value),
        codec.decode_attached_record(stored.value),
        stored.version,
        stored.value,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class _Slot:
    """A slot that can be overwritten: its name and stored version."""

    name: str
    version: positions.Position


def _find_action_slot(
    page: stores.Page, record: audit.AuditRecord
) -> _Slot | None:
    """Returns a free slot, else the oldest; None if the record is stored."""
    occupied = {}
    for stored in page.objects:
        stored_record = codec.decode_record(stored.value)
        if stored_record.change_id == record.change_id:
            return None
        occupied[stored.name] = (stored_record.when_s, stored)
    for number in range(ACTION_SLOTS):
        name = f"{ACTION_PREFIX}{number:04d}"
        if name not in occupied:
            return _Slot(name, positions.NOWHERE)
    _, oldest = min(occupied.values(), key=lambda item: item[0])
    return _Slot(oldest.name, oldest.version)
