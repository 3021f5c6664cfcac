"""Rollout state of a pool, stored for later holders of its lease.

The state is one small object in the platform, written only when a version
becomes the stable one or fails.
"""

import dataclasses
import json

from rhubarblock.core import position as positions
from rhubarblock.store import store as stores

RECORD_PREFIX = "orders/"


@dataclasses.dataclass(slots=True, frozen=True)
class PoolRecord:
    """Rollout state of one pool.

    Attributes:
      stable: by model, the version that the whole pool last ran.
      halted: by model, a version that failed and is not tried again until the
        catalogue requests another one.
      reasons: by model, why the halted version failed.
    """

    stable: dict[str, str] = dataclasses.field(default_factory=dict)
    halted: dict[str, str] = dataclasses.field(default_factory=dict)
    reasons: dict[str, str] = dataclasses.field(default_factory=dict)

    def promote(self, model: str, version: str) -> "PoolRecord":
        """Returns the record after a version became the stable one."""
        return dataclasses.replace(self, stable={**self.stable, model: version})

    def halt(self, model: str, version: str, reason: str) -> "PoolRecord":
        """Returns the record after a version failed."""
        return dataclasses.replace(
            self,
            halted={**self.halted, model: version},
            reasons={**self.reasons, model: reason},
        )

    def clean(self, wanted: dict[str, str]) -> "PoolRecord":
        """Returns the record without entries made obsolete by the catalogue.

        Args:
          wanted: version by model, from the catalogue.
        """
        halted = {
            model: version
            for model, version in self.halted.items()
            if wanted.get(model) == version
        }
        return PoolRecord(
            {m: v for m, v in self.stable.items() if m in wanted},
            halted,
            {m: r for m, r in self.reasons.items() if m in halted},
        )


def name_record(data_centre: str, service: str) -> str:
    """Returns the name of the object that holds the record of a pool."""
    return f"{RECORD_PREFIX}{data_centre}/{service}"


def encode(record: PoolRecord) -> bytes:
    """Returns a record as JSON."""
    return json.dumps(dataclasses.asdict(record), sort_keys=True).encode()


def decode(value: bytes) -> PoolRecord:
    """Returns the record in the output of ``encode``."""
    return PoolRecord(**json.loads(value))


class PoolRecordClient:
    """Reads and writes the record of one pool for the holder of its lease."""

    __slots__ = ("_store", "_name", "_version", "record")

    def __init__(
        self, store: stores.ObjectStore, data_centre: str, service: str
    ):
        """Creates a client with an empty record.

        Args:
          store: the platform's object API.
          data_centre: data centre of the pool.
          service: name of a service in the catalogue.
        """
        self._store = store
        self._name = name_record(data_centre, service)
        self._version = positions.NOWHERE
        self.record = PoolRecord()

    async def load(self) -> None:
        """Reads the record.

        Raises:
          store.StoreError: the platform did not respond.
        """
        try:
            stored = await self._store.read(self._name)
        except stores.StoreError as error:
            if error.kind is not stores.StoreErrorKind.NOT_FOUND:
                raise
            return
        self._version = stored.version
        self.record = decode(stored.value)

    async def save(self, record: PoolRecord) -> None:
        """Writes a changed record.

        After a conflict the record of the other holder is loaded instead.

        Raises:
          store.StoreError: the write is not known to have succeeded.
            ``record`` is then unchanged or reloaded, and the next call may
            find the write in effect.
        """
        if record == self.record:
            return
        try:
            written = await self._store.write(
                self._name, encode(record), self._version
            )
        except stores.StoreError as error:
            if error.kind is stores.StoreErrorKind.CONFLICT:
                await self.load()
            raise
        self._version = written.version
        self.record = record
