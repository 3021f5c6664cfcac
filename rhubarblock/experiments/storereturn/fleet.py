"""Instances whose lines in the store may be gone, and two ways back."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import functools
import random
from typing import Any

from rhubarblock.daemon import listing
from rhubarblock.daemon import peersearch
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.experiments.storereturn import backstore
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.settings import exchange as settings_lib
from rhubarblock.store import era as era_lib
from rhubarblock.store import instances
from rhubarblock.store import store as stores

EACH = "each"
READER = "reader"
WAYS = (EACH, READER)
# Seconds after the store's return within which instances hear of the new era,
# and within which a reader's word reaches the others.
HEARD_WITHIN_S = 0.7
TOLD_WITHIN_S = 0.7
DATA_CENTRES = ("dc0", "dc1", "dc2")
# Bits of an instance's name, and instances in a network of addresses.
NAME_BITS = 48
NETWORK = 250
PORT = 7_000


class _SilentNews(peer_updates.PeerUpdates):
    """Greets nobody: datagrams are no calls of the store."""

    def __init__(self) -> None:
        """Creates news that need nothing."""

    async def send_heartbeat(self) -> None:
        """Sends nothing."""


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """An instance.

    Attributes:
      settings: who it is.
      heard_s: when it hears of the new era, in seconds after the return.
    """

    settings: settings_lib.ExchangeSettings
    heard_s: float

    @property
    def data_centre(self) -> str:
        return self.settings.data_centre

    @property
    def name(self) -> str:
        """Name of its line in the store."""
        return instances.name_object(self.settings.instance_id)

    def describe(self) -> instances.ListedInstance:
        """Returns its line."""
        return listing.describe_entry(
            self.settings.instance_id,
            str(self.settings.peers),
            self.data_centre,
        )


class ReturnFleet:
    """A fleet from the store's return on.

    Attributes:
      members: the instances.
      lost: names of the lines that the copy lacks.
      store: the store that came back.
    """

    def __init__(
        self,
        size: int,
        lost_part: float,
        rates: backstore.Rates,
        ready_s: float,
        seed: int,
    ):
        """Creates a fleet.

        Args:
          size: how many instances there are.
          lost_part: which part of the lines is lost; one line at least is.
          rates: what the store takes.
          ready_s: until when the store refuses calls after its return.
          seed: decides names, which lines are lost, and delays.
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
        self.store = backstore.BackStore(rates, copy, ready_s)
        self._timers = timer_service.LoopTimers(0.0)

    async def play(self, way: str, length_s: float) -> None:
        """Lets the instances write again what is lost.

        Args:
          way: one of ``WAYS``.
          length_s: seconds after the return for which they are watched.
        """
        plays = self._start_each() if way == EACH else self._start_readers()
        tasks = [asyncio.create_task(play) for play in plays]
        await asyncio.sleep(length_s)
        for task in tasks:
            task.cancel()
        ends = await asyncio.gather(*tasks, return_exceptions=True)
        for end in ends:
            if isinstance(end, Exception):
                raise end

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
        return Member(settings, self._rng.uniform(0.0, HEARD_WITHIN_S))

    def _start_each(self) -> list[Coroutine[Any, Any, None]]:
        return [self._keep_listed(member) for member in self.members]

    def _start_readers(self) -> list[Coroutine[Any, Any, None]]:
        return [self._read_for(name) for name in DATA_CENTRES]

    async def _keep_listed(self, member: Member) -> None:
        """Runs what an instance of the product runs."""
        metrics = metric_store.Metrics()
        eras = era_lib.EraTracker(metrics)
        eras.take(backstore.COPY_ERA)
        settings = member.settings
        search = peersearch.PeerSearch(
            settings,
            self.store,
            peer_table.PeerTable(
                settings.instance_id, member.data_centre, self._timers
            ),
            _SilentNews(),
            self._timers,
            eras,
            metrics,
        )
        self._timers.call_later(member.heard_s, functools.partial(_hear, eras))
        await search.keep_listed()

    async def _read_for(self, data_centre: str) -> None:
        """Lists once for a data centre and tells whose line is missing."""
        group = [m for m in self.members if m.data_centre == data_centre]
        if not group:
            return
        await self._timers.sleep(group[0].heard_s)
        listed = await self._list_lines()
        await asyncio.gather(
            *(
                self._write_told(member, member is group[0])
                for member in group
                if member.name not in listed
            )
        )

    async def _list_lines(self) -> set[str]:
        while True:
            try:
                page = await self.store.list_objects(instances.OBJECT_PREFIX)
            except stores.StoreError:
                await self._timers.sleep(peersearch.AGAIN_S)
                continue
            return {stored.name for stored in page.objects}

    async def _write_told(self, member: Member, is_reader: bool) -> None:
        """Writes a line and lists the others, as they are greeted then.

        Args:
          member: whose line is missing.
          is_reader: whether it saw that itself and need not be told.
        """
        if not is_reader:
            await self._timers.sleep(self._rng.uniform(0.0, TOLD_WITHIN_S))
        line = listing.Listing(self.store, member.describe())
        while True:
            try:
                await line.enter(True)
            except stores.StoreError:
                await self._timers.sleep(peersearch.AGAIN_S)
                continue
            return


def _hear(eras: era_lib.EraTracker) -> None:
    eras.take(backstore.ERA)
