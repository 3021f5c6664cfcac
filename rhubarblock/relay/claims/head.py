"""Reads and writes the head object of one shard."""

from rhubarblock.relay.claims import pacer as claimpacer
from rhubarblock.relay.claims import table as claimtable
from rhubarblock.store import store as stores


class HeadObject:
    """The head object of one shard.

    Attributes:
      shard: name of the shard.
    """

    __slots__ = ("_name", "_pacer", "_store", "shard")

    def __init__(
        self,
        store: stores.ObjectStore,
        pacer: claimpacer.WritePacer,
        shard: str,
    ):
        """Creates a handle; nothing is read yet.

        Args:
          store: object API.
          pacer: limits the write rate of the shard.
          shard: name of the shard.
        """
        self._store = store
        self._pacer = pacer
        self._name = claimtable.HEAD_PREFIX + shard
        self.shard = shard

    async def read(self) -> claimtable.ClaimTable:
        """Returns the head, possibly at an older version.

        Raises:
          store.StoreError: the head could not be read.
        """
        try:
            stored = await self._store.read(self._name)
        except stores.StoreError as error:
            if error.kind is stores.StoreErrorKind.NOT_FOUND:
                return claimtable.ClaimTable()
            raise
        return claimtable.decode_table(stored.value, stored.version)

    async def write(self, table: claimtable.ClaimTable, value: bytes) -> None:
        """Writes the head if its stored version is still the one that was read.

        Args:
          table: the changed head; its version is updated.
          value: the encoded head.

        Raises:
          store.StoreError: the write failed, or its outcome is unknown.
        """
        await self._pacer.wait_turn()
        stored = await self._store.write(self._name, value, table.version)
        table.version = stored.version
        table.changed = False
