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
          pacer: keeps the writes of the shard within their share.
          shard: name of the shard.
        """
        self._store = store
        self._pacer = pacer
        self._name = claimtable.HEAD_PREFIX + shard
        self.shard = shard

    async def read(self) -> claimtable.ClaimTable:
        """Returns the head, which may be an older state of it.

        Raises:
          store.StoreError: it could not be read.
        """
        try:
            stored = await self._store.read(self._name)
        except stores.StoreError as error:
            if error.kind is stores.StoreErrorKind.NOT_FOUND:
                return claimtable.ClaimTable()
            raise
        return claimtable.decode_table(stored.value, stored.version)

    async def write(self, table: claimtable.ClaimTable, value: bytes) -> None:
        """Writes the head if nobody has written it since it was read.

        Args:
          table: the head as read and changed; gets its new version.
          value: its encoding.

        Raises:
          store.StoreError: it was not written, or it is not known whether.
        """
        await self._pacer.wait_turn()
        stored = await self._store.write(self._name, value, table.version)
        table.version = stored.version
        table.changed = False
