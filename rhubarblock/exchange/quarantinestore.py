"""Keeps the quarantines in the platform's store, in one bounded object.

An instance reads them when it starts, so that what crashes endpoints is not
learned again after all instances were lost. One instance writes them, and again
when the store was restored from an older copy.
"""

import asyncio
import json
import logging
import random
from typing import Any

from rhubarblock.core import position as positions
from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.quarantine import partregistry
from rhubarblock.routing.quarantine import registry as quarantineregistry
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import era as era_lib
from rhubarblock.store import store as stores

OBJECT_NAME = "quarantine/records"
# Delays between two attempts to read or write while the store fails.
RETRY = backoffs.BackoffSettings(first_s=1.0, max_s=16.0)
# Mean seconds after which an instance checks whether it is the one to write.
CHECK_S = 5.0

_MS_PER_S = 1000

_logger = logging.getLogger(__name__)


class QuarantineStore:
    """Synchronises the quarantine of one instance with the store."""

    __slots__ = (
        "_changed",
        "_eras",
        "_peers",
        "_quarantine",
        "_rng",
        "_store",
        "_stored",
        "_timers",
        "read",
    )

    def __init__(
        self,
        store: stores.ObjectStore,
        quarantine: quarantines.ExchangeQuarantine,
        peers: quarantines.QuarantinePeers,
        eras: era_lib.EraTracker,
        timers: timer_service.Timers,
        rng: random.Random,
    ):
        """Creates the synchronisation; ``run`` starts it.

        Args:
          store: the object API.
          quarantine: the quarantine of this instance.
          peers: tell which instance writes.
          eras: notifies of a new era of the store.
          timers: the clock.
          rng: spreads the checks.
        """
        self._store = store
        self._quarantine = quarantine
        self._peers = peers
        self._eras = eras
        self._timers = timers
        self._rng = rng
        self._changed = asyncio.Event()
        # Names of the quarantines that the store is known to have.
        self._stored: frozenset[str] = frozenset()
        self.read = asyncio.Event()

    async def run(self) -> None:
        """Reads the quarantines, then keeps the store up to date."""
        self._quarantine.on_changed = self._changed.set
        self._eras.add_listener(self._forget_stored)
        await self._sync_until_done(is_writer=False)
        self.read.set()
        while True:
            await self._wait_for_change()
            names = _name_all(self._quarantine.list_records())
            if names != self._stored and self._peers.is_first(OBJECT_NAME):
                await self._sync_until_done(is_writer=True)

    async def _sync_until_done(self, is_writer: bool) -> None:
        backoff = backoffs.Backoff(self._rng, RETRY)
        while not await self._try_sync(is_writer):
            await self._timers.sleep(backoff.take_delay())

    def _forget_stored(self) -> None:
        self._stored = frozenset()
        self._changed.set()

    async def _wait_for_change(self) -> None:
        timeout_s = CHECK_S * self._rng.uniform(0.5, 1.5)
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return
        self._changed.clear()

    async def _try_sync(self, is_writer: bool) -> bool:
        """Reads the object, and writes it if it lacks something.

        Returns:
          Whether the store answered.
        """
        try:
            await self._sync(is_writer)
        except (stores.StoreError, ValueError, TypeError, KeyError) as error:
            _logger.info(
                "cannot synchronise the quarantines",
                extra={"reason": str(error)},
            )
            return False
        return True

    async def _sync(self, is_writer: bool) -> None:
        stored, version = quarantines.Records(), positions.NOWHERE
        try:
            found = await self._store.read(OBJECT_NAME)
        except stores.StoreError as error:
            if error.kind is not stores.StoreErrorKind.NOT_FOUND:
                raise
        else:
            stored, version = self._decode(found.value), found.version
        self._quarantine.receive_records(stored)
        records = self._quarantine.list_records()
        if is_writer and _name_all(records) != _name_all(stored):
            await self._store.write(OBJECT_NAME, self._encode(records), version)
            stored = records
        self._stored = _name_all(stored)

    def _encode(self, records: quarantines.Records) -> bytes:
        document = {
            "parts": [
                {
                    "parts": sorted(quarantine.parts),
                    "foundMs": self._to_wall_ms(quarantine.at_s),
                    "crashes": quarantine.crashes,
                    "trials": quarantine.trials,
                }
                for quarantine in records.parts
            ],
            "requests": [
                {
                    "digest": record.digest,
                    "foundMs": self._to_wall_ms(record.at_s),
                    "crashes": record.crashes,
                }
                for record in records.requests
            ],
        }
        return json.dumps(document).encode()

    def _decode(self, value: bytes) -> quarantines.Records:
        document = json.loads(value)
        return quarantines.Records(
            tuple(self._decode_parts(entry) for entry in document["parts"]),
            tuple(
                quarantineregistry.QuarantineRecord(
                    str(entry["digest"]),
                    self._from_wall_ms(entry["foundMs"]),
                    int(entry["crashes"]),
                )
                for entry in document["requests"]
            ),
        )

    def _decode_parts(self, entry: dict[str, Any]) -> partregistry.Quarantine:
        return partregistry.Quarantine(
            frozenset(map(str, entry["parts"])),
            self._from_wall_ms(entry["foundMs"]),
            int(entry["crashes"]),
            int(entry["trials"]),
        )

    def _to_wall_ms(self, at_s: float) -> int:
        age_s = self._timers.read_monotonic() - at_s
        return int((self._timers.read_wall() - age_s) * _MS_PER_S)

    def _from_wall_ms(self, wall_ms: int) -> float:
        # A clock that was set back must not give a time in the future.
        age_s = max(0.0, self._timers.read_wall() - int(wall_ms) / _MS_PER_S)
        return self._timers.read_monotonic() - age_s


def _name_all(records: quarantines.Records) -> frozenset[str]:
    """Returns names that change when the store has to be written again."""
    return frozenset(
        f"{quarantine.trials}:{','.join(sorted(quarantine.parts))}"
        for quarantine in records.parts
    ) | {record.digest for record in records.requests}
