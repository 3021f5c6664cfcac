"""Instances that rewrite their lost entries after the store was restored."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import functools
import random
from typing import Any

from rhubarblock.daemon import listing
from rhubarblock.daemon import peerdiscovery
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.experiments.storereturn import restoredstore
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.settings import exchange as settings_lib
from rhubarblock.store import era as era_lib
from rhubarblock.store import instances
from rhubarblock.store import store as stores

# The compared ways. `EACH` is the product: each instance reads its own entry
# and writes it if it is missing. With `READER`, one instance of each data
# centre lists all entries and notifies those whose entry is missing.
EACH = "each"
READER = "reader"
WAYS = (EACH, READER)
# Seconds after the restoration within which instances detect the new era,
# and within which a reader's notification reaches the others.
ERA_KNOWN_WITHIN_S = 0.7
NOTIFIED_WITHIN_S = 0.7
DATA_CENTRES = ("dc0", "dc1", "dc2")
# Bits of an instance's name, and instances in a /24 network.
NAME_BITS = 48
NETWORK = 250
PORT = 7_000


class _SilentUpdates(peer_updates.PeerUpdates):
    """Sends nothing: datagrams don't count as calls of the store."""

    def __init__(self) -> None:
        """Skips the base class, which needs a transport."""

    async def send_heartbeat(self) -> None:
        """Sends nothing."""


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """An instance.

    Attributes:
      settings: its settings.
      era_known_s: when it detects the new era, in seconds after the
        restoration.
    """

    settings: settings_lib.ExchangeSettings
    era_known_s: float

    @property
    def data_centre(self) -> str:
        return self.settings.data_centre

    @property
    def name(self) -> str:
        """Name of its entry in the store."""
        return instances.name_object(self.settings.instance_id)

    def describe(self) -> instances.ListedInstance:
        """Returns its entry."""
        return listing.describe_entry(
            self.settings.instance_id,
            str(self.settings.peers),
            self.data_centre,
        )


class ReturnFleet:
    """A fleet from the restoration of the store on.

    Attributes:
      members: the instances.
      lost: names of the entries that the copy lacks.
      store: the restored store.
    """

    def __init__(
        self,
        size: int,
        lost_part: float,
        rates: restoredstore.Rates,
        ready_s: float,
        seed: int,
    ):
        """Creates a fleet.

        Args:
          size: number of instances.
          lost_part: share of the entries that are lost; at least one is.
          rates: rate limits of the store.
          ready_s: seconds after the restoration for which the store refuses
            calls.
          seed: seed of names, lost entries and delays.
        """
        self._rng = random.Random(seed)
        self.members = [self._make_member(n) for n in range(size)]
        names = [member.name for member in self.members]
        count = max(1, round(lost_part * size))
        self.lost = set(self._rng.sample(names, count))
        copy = {
            member.name: instances.encode_instance(member.describe())
            for member in self.members
            if member.name not in self.lost
        }
        self.store = restoredstore.RestoredStore(rates, copy, ready_s)
        self._timers = timer_service.LoopTimers(0.0)

    async def run(self, way: str, length_s: float) -> None:
        """Runs the instances, which rewrite the lost entries.

        Args:
          way: one of ``WAYS``.
          length_s: length of the run in seconds.
        """
        runs = self._run_each() if way == EACH else self._run_readers()
        tasks = [asyncio.create_task(run) for run in runs]
        await asyncio.sleep(length_s)
        for task in tasks:
            task.cancel()
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        for outcome in outcomes:
            if isinstance(outcome, Exception):
                raise outcome

    def _make_member(self, number: int) -> Member:
        network, host = divmod(number, NETWORK)
        address = settings_lib.SocketAddress(f"10.0.{network}.{host + 1}", PORT)
        settings = settings_lib.ExchangeSettings(
            instance_id=f"{self._rng.getrandbits(NAME_BITS):012x}",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            callers=address,
            readiness=address,
            peers=address,
            metrics=address,
            store=address,
            bounds=settings_lib.ExchangeBounds(),
        )
        return Member(settings, self._rng.uniform(0.0, ERA_KNOWN_WITHIN_S))

    def _run_each(self) -> list[Coroutine[Any, Any, None]]:
        return [self._keep_listed(member) for member in self.members]

    def _run_readers(self) -> list[Coroutine[Any, Any, None]]:
        return [self._read_for_data_centre(name) for name in DATA_CENTRES]

    async def _keep_listed(self, member: Member) -> None:
        """Runs the product's code that keeps an instance listed."""
        metrics = metric_store.Metrics()
        eras = era_lib.EraTracker(metrics)
        eras.validate(restoredstore.COPY_ERA)
        settings = member.settings
        search = peerdiscovery.PeerDiscovery(
            settings,
            self.store,
            peer_table.PeerTable(
                settings.instance_id, member.data_centre, self._timers
            ),
            _SilentUpdates(),
            self._timers,
            eras,
            metrics,
        )
        self._timers.call_later(
            member.era_known_s, functools.partial(_start_era, eras)
        )
        await search.keep_listed()

    async def _read_for_data_centre(self, data_centre: str) -> None:
        """Lists all entries and notifies members whose entry is missing."""
        group = [m for m in self.members if m.data_centre == data_centre]
        if not group:
            return
        await self._timers.sleep(group[0].era_known_s)
        listed = await self._list_names()
        await asyncio.gather(
            *(
                self._write_missing(member, member is group[0])
                for member in group
                if member.name not in listed
            )
        )

    async def _list_names(self) -> set[str]:
        while True:
            try:
                page = await self.store.list_objects(instances.OBJECT_PREFIX)
            except stores.StoreError:
                await self._timers.sleep(peerdiscovery.RESTORE_RETRY_S)
                continue
            return {stored.name for stored in page.objects}

    async def _write_missing(self, member: Member, is_reader: bool) -> None:
        """Writes a missing entry and lists all entries, as a first start does.

        Args:
          member: the member whose entry is missing.
          is_reader: whether it is the reader, which needs no notification.
        """
        if not is_reader:
            await self._timers.sleep(self._rng.uniform(0.0, NOTIFIED_WITHIN_S))
        own_entry = listing.InstanceRecord(self.store, member.describe())
        while True:
            try:
                await own_entry.register(True)
            except stores.StoreError:
                await self._timers.sleep(peerdiscovery.RESTORE_RETRY_S)
                continue
            return


def _start_era(eras: era_lib.EraTracker) -> None:
    eras.validate(restoredstore.ERA)
