"""Older revisions and their audit records in the platform.

Both lie in rings of slots: revision ``n`` in slot ``n`` modulo the size of the
ring. The space is bounded without any deletion, and one listing shows the
whole audit trail. Contents are kept apart from records, because a listing of
whole catalogues would be large.
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
ACT_PREFIX = "audit-acts/"

# Slots of each ring: records are small, contents are whole catalogues.
AUDIT_SLOTS = 1024
HISTORY_SLOTS = 64
ACT_SLOTS = 256

_WRITE_ATTEMPTS = 4
_Kind = stores.StoreErrorKind


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """An accepted catalogue as the platform holds it.

    Attributes:
      catalogue: the catalogue.
      record: the change that made it; None for the empty one.
      version: version of the platform's object; NOWHERE when there is none.
      content: the object's bytes.
    """

    catalogue: catalogues.Catalogue
    record: audit.AuditRecord | None
    version: positions.Position
    content: bytes


EMPTY = Accepted(catalogues.Catalogue(), None, positions.NOWHERE, b"")


def name_audit_slot(revision: int) -> str:
    """Returns the object that holds the record of a revision."""
    return f"{AUDIT_PREFIX}{revision % AUDIT_SLOTS:04d}"


def name_history_slot(revision: int) -> str:
    """Returns the object that holds the content of a revision."""
    return f"{HISTORY_PREFIX}{revision % HISTORY_SLOTS:04d}"


class Archive:
    """Reads and keeps accepted catalogues and audit records.

    Methods raise ``store.StoreError``, and ``codec.CodecError`` where an
    object cannot be understood.
    """

    __slots__ = ("_store",)

    def __init__(self, store: stores.ObjectStore):
        self._store = store

    async def read_current(self) -> Accepted:
        """Returns the catalogue accepted last; the empty one if none."""
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
        """Returns an older catalogue, or None when it is not kept."""
        if revision == 0:
            return catalogues.Catalogue()
        stored = await self._read_slot(name_history_slot(revision))
        if stored is None:
            return None
        catalogue = codec.decode(stored.value)
        return catalogue if catalogue.revision == revision else None

    async def read_record(self, revision: int) -> audit.AuditRecord | None:
        """Returns the record of an older revision, or None if not kept."""
        stored = await self._read_slot(name_audit_slot(revision))
        if stored is None:
            return None
        record = codec.decode_record(stored.value)
        return record if record.revision == revision else None

    async def list_records(self) -> list[audit.AuditRecord]:
        """Returns all records that are kept, the latest first."""
        current, changes, acts = await asyncio.gather(
            self.read_current(),
            self._store.list_objects(AUDIT_PREFIX),
            self._store.list_objects(ACT_PREFIX),
        )
        stored = (*changes.objects, *acts.objects)
        records = {
            record.change_id: record
            for record in (codec.decode_record(s.value) for s in stored)
        }
        if current.record is not None:
            records[current.record.change_id] = current.record
        ordered = sorted(records.values(), key=lambda r: (r.revision, r.when_s))
        return ordered[::-1]

    async def keep(self, accepted: Accepted) -> None:
        """Makes sure that a revision and its record are in the rings.

        It is called before the next revision takes the place of this one, and
        repeating it is harmless: the content of a revision never changes.

        Args:
          accepted: the revision to keep.
        """
        if accepted.record is None:
            return
        revision = accepted.catalogue.revision
        record = codec.encode_record(accepted.record)
        await self._fill_slot(name_audit_slot(revision), record, revision)
        await self._fill_slot(
            name_history_slot(revision), accepted.content, revision
        )

    async def add_act(self, record: audit.AuditRecord) -> None:
        """Keeps the record of an act that makes no revision.

        Args:
          record: what to keep; sending the same one again is harmless.
        """
        for _ in range(_WRITE_ATTEMPTS):
            page = await self._store.list_objects(ACT_PREFIX)
            slot = _choose_act_slot(page, record)
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

    async def _fill_slot(
        self, name: str, content: bytes, revision: int
    ) -> None:
        """Writes a slot unless it holds this revision or a later one."""
        for _ in range(_WRITE_ATTEMPTS):
            present = await self._read_slot(name)
            if present and codec.decode_revision(present.value) >= revision:
                return
            version = present.version if present else positions.NOWHERE
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
    """A place for an act: its name and present version."""

    name: str
    version: positions.Position


def _choose_act_slot(
    page: stores.Page, record: audit.AuditRecord
) -> _Slot | None:
    """Returns a free slot or the oldest; None if the record is there."""
    taken = {}
    for stored in page.objects:
        present = codec.decode_record(stored.value)
        if present.change_id == record.change_id:
            return None
        taken[stored.name] = (present.when_s, stored)
    for number in range(ACT_SLOTS):
        name = f"{ACT_PREFIX}{number:04d}"
        if name not in taken:
            return _Slot(name, positions.NOWHERE)
    _, oldest = min(taken.values(), key=lambda item: item[0])
    return _Slot(oldest.name, oldest.version)
