"""Membership protocol: platform list, heartbeats and failure detection.

In each period, every instance probes a few others of its data centre and
broadcasts a death that it detects to all of them at once. Between data centres
only a few representatives exchange heartbeats. Other updates are piggybacked on
heartbeats (gossip), and an anti-entropy sync repairs tables that differ. All of
it is soft state: a wrong view causes delay but never breaks a guarantee.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import dataclasses
import random
from typing import Any

from google.protobuf import message as protobuf_message

from rhubarblock.fleet import peertransport
from rhubarblock.fleet.membership import detection
from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import membership_pb2
from rhubarblock.fleet.membership import probing
from rhubarblock.fleet.membership import view as memberview
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import instances
from rhubarblock.store import store

SYNC_KIND = "membership.sync"
UPDATE_KIND = "membership.news"

# Maximum number of unknown instances contacted per refresh of the list.
_CONTACTS_PER_REFRESH = 3
# Attempts to send a broadcast update to a peer that does not confirm it.
_UPDATE_ATTEMPTS = 2
# Each probe starts within this fraction of the period, so that probes are
# spread but the interval between two of them stays bounded.
_PROBE_JITTER = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Settings of the membership protocol; times are in seconds.

    Attributes:
      detector: settings of the failure detector.
      call_timeout_s: timeout of all other calls.
      remote_period_s: time between two heartbeats to another data centre.
      remote_failures: consecutive failed calls after which a data centre counts
        as unreachable.
      sync_interval_s: minimum time between two syncs of tables.
      list_interval_s: time between two reads of the platform's list.
      join_interval_s: the same while no peer is known.
      forget_s: time after which the record of an instance that is gone is
        removed.
    """

    detector: detection.DetectionSettings = dataclasses.field(
        default_factory=detection.DetectionSettings
    )
    call_timeout_s: float = 0.5
    remote_period_s: float = 2.0
    remote_failures: int = 3
    sync_interval_s: float = 3.0
    list_interval_s: float = 10.0
    join_interval_s: float = 2.0
    forget_s: float = 300.0


class Membership(memberview.MemberView):
    """A member view that is kept up to date by calls to peers."""

    def __init__(
        self,
        own: members.Member,
        transport: peertransport.PeerTransport,
        source: instances.InstanceSource,
        timers: timers_lib.Timers,
        rng: random.Random,
        settings: MembershipSettings | None = None,
        plan: probing.ProbePlan | None = None,
        seeds: Sequence[str] = (),
    ):
        """Creates the view with only this instance in it.

        Args:
          own: this instance; its incarnation must be higher than that of any
            earlier start under the same id, e.g. the wall clock in
            milliseconds.
          transport: carries calls to peers.
          source: the platform's list of instances.
          timers: the timer service.
          rng: adds jitter and chooses peers.
          settings: times and counts.
          plan: chooses the instances to probe.
          seeds: addresses to contact in addition to the listed ones while no
            peer is known, so that joining works while the platform is down.
        """
        super().__init__(own, timers)
        self._transport = transport
        self._source = source
        self._rng = rng
        self._settings = settings or MembershipSettings()
        self._plan = plan or probing.RingPlan(2, 1, rng)
        self._seeds = tuple(seeds)
        self._listed: dict[str, instances.ListedInstance] = {}
        self._probing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._remote_failures: dict[str, int] = {}
        self._synced_s = float("-inf")
        self._detector = detection.FailureDetector(
            self,
            transport,
            timers,
            rng,
            self._settings.detector,
            self._handle_heartbeat_response,
        )
        transport.register(detection.HEARTBEAT_KIND, self._handle_heartbeat)
        transport.register(SYNC_KIND, self._handle_sync)
        transport.register(UPDATE_KIND, self._handle_update)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["Membership"]:
        """Joins the fleet and maintains the view while the context is open.

        Yields:
          This membership, after it contacted listed instances.
        """
        await self._join()
        await self._broadcast_update()
        settings = self._settings
        ticks = (
            (settings.detector.period_s, self._probe_subjects),
            (settings.remote_period_s, self._contact_remotes),
            (settings.join_interval_s, self._join),
            (settings.list_interval_s, self._refresh_list),
            (settings.list_interval_s, self._forget),
        )
        with contextlib.ExitStack() as stack:
            stack.callback(self._cancel_tasks)
            for interval_s, tick in ticks:
                stack.enter_context(self._timers.subscribe(interval_s, tick))
            yield self

    async def leave(self) -> None:
        """Announces a planned stop of this instance to its peers."""
        self.update_own(state=members.MemberState.LEFT)
        await self._broadcast_update()
        for data_centre in self.list_remote_data_centres():
            await self._send_update(self.choose_representatives(data_centre))

    # Own data centre.

    async def _probe_subjects(self) -> None:
        if self.own.state is not members.MemberState.ALIVE:
            return
        alive = self.list_alive(self.own.data_centre)
        subjects = self._plan.choose_subjects(self.own.instance_id, alive)
        for subject in subjects:
            if subject.instance_id not in self._probing:
                self._start(self._probe(subject))

    async def _probe(self, subject: members.Member) -> None:
        self._probing.add(subject.instance_id)
        try:
            period_s = self._settings.detector.period_s
            await self._timers.sleep(
                self._rng.random() * _PROBE_JITTER * period_s
            )
            alive = await self._detector.is_alive(subject)
        finally:
            self._probing.discard(subject.instance_id)
        if alive or self.own.state is not members.MemberState.ALIVE:
            return
        known = self.find(subject.instance_id)
        if known is None or known.incarnation != subject.incarnation:
            return
        if known.state is not members.MemberState.ALIVE:
            return
        self.declare_dead(known)
        self.counters.deaths_found += 1
        await self._broadcast_update()
        # Without the dead member the ring assigns new probe targets; probe them
        # now instead of waiting for the next period.
        await self._probe_subjects()

    async def _broadcast_update(self) -> None:
        """Sends the latest updates to the whole data centre at once."""
        await self._send_update(self.list_peers())

    async def _send_update(self, receivers: Iterable[members.Member]) -> None:
        payload = self.build_heartbeat().SerializeToString()
        await asyncio.gather(
            *(self._send_update_to(receiver, payload) for receiver in receivers)
        )

    async def _send_update_to(
        self, receiver: members.Member, payload: bytes
    ) -> None:
        for _ in range(_UPDATE_ATTEMPTS):
            try:
                await self._transport.call(
                    receiver.address,
                    UPDATE_KIND,
                    payload,
                    self._settings.call_timeout_s,
                )
            except peertransport.PeerError:
                continue
            return

    # Other data centres.

    async def _contact_remotes(self) -> None:
        if self.own.state is not members.MemberState.ALIVE:
            return
        if not self.is_representative():
            self._remote_failures.clear()
            for data_centre in self.list_remote_data_centres():
                self.set_reachable(data_centre, True)
            return
        for data_centre in self.list_remote_data_centres():
            self._start(self._contact_remote(data_centre))

    async def _contact_remote(self, data_centre: str) -> None:
        timeout_s = self._settings.call_timeout_s
        answered = False
        for receiver in self._choose_contacts(data_centre):
            answered = await self._detector.send_heartbeat(receiver, timeout_s)
            if answered:
                break
        failures = self._remote_failures.get(data_centre, 0) + 1
        self._remote_failures[data_centre] = 0 if answered else failures
        reachable = answered or failures < self._settings.remote_failures
        if self.set_reachable(data_centre, reachable):
            await self._broadcast_update()

    def _choose_contacts(self, data_centre: str) -> list[members.Member]:
        """Returns a representative and, as a fallback, a random instance."""
        representatives = self.choose_representatives(data_centre)
        contacts = self._rng.sample(representatives, len(representatives))
        return contacts[:1] + [self._rng.choice(self.list_alive(data_centre))]

    # Platform list.

    async def _refresh_list(self) -> None:
        try:
            listed = await self._source.fetch_instances()
        except store.StoreError:
            self.counters.list_failures += 1
            return
        self._listed = {
            entry.instance_id: entry
            for entry in listed
            if entry.kind is instances.InstanceKind.ENTRY
        }
        await self._contact_listed()

    async def _join(self) -> None:
        """Contacts listed instances and seeds while no peer is known."""
        if self.list_peers():
            return
        await self._refresh_list()
        if not self.list_peers():
            seeds = (self._contact(address) for address in self._seeds)
            await asyncio.gather(*seeds)

    async def _contact_listed(self) -> None:
        """Contacts listed instances that are unknown or counted as dead.

        The heartbeat to an instance that counts as dead carries that record,
        which the instance then refutes. After a partition there is no other
        way back, since dead instances are not probed.
        """
        own = self.own.data_centre
        listed = [
            entry
            for entry in self._listed.values()
            if not entry.leaving
            and (entry.data_centre == own or self.is_representative())
        ]
        unknown = [
            entry for entry in listed if self.find(entry.instance_id) is None
        ]
        dead = [entry for entry in listed if self._is_dead(entry.instance_id)]
        chosen = (
            self._rng.sample(unknown, min(_CONTACTS_PER_REFRESH, len(unknown)))
            + dead
        )
        await asyncio.gather(
            *(
                self._contact(entry.address, entry.instance_id)
                for entry in chosen
            )
        )

    def _is_dead(self, instance_id: str) -> bool:
        known = self.find(instance_id)
        return known is not None and known.state is members.MemberState.DEAD

    async def _contact(self, address: str, instance_id: str = "") -> None:
        """Exchanges tables with the instance at an address, whatever its id."""
        if address == self.own.address:
            return
        timeout_s = self._settings.call_timeout_s
        receiver = members.Member(instance_id, self.own.data_centre, address)
        await self._detector.send_heartbeat(receiver, timeout_s)
        await self._sync(address)

    async def _forget(self) -> None:
        before_s = self._timers.read_monotonic() - self._settings.forget_s
        self.forget_gone(set(self._listed), before_s)

    # Anti-entropy sync.

    async def _sync(self, address: str) -> None:
        self._synced_s = self._timers.read_monotonic()
        self.counters.syncs += 1
        parts = self.table.read_part_digests()
        request = membership_pb2.SyncRequest(parts=parts)
        try:
            payload = await self._transport.call(
                address,
                SYNC_KIND,
                request.SerializeToString(),
                self._settings.call_timeout_s,
            )
            answer = membership_pb2.SyncAnswer.FromString(payload)
        except (peertransport.PeerError, protobuf_message.DecodeError):
            return
        self.merge(map(members.decode_member, answer.members))

    async def _handle_sync(self, sender: str, payload: bytes) -> bytes:
        request = membership_pb2.SyncRequest.FromString(payload)
        differing = self.table.list_differing(request.parts)
        records = map(members.encode_member, differing)
        return membership_pb2.SyncAnswer(members=records).SerializeToString()

    # Incoming messages.

    def _handle_heartbeat_response(
        self, heartbeat: membership_pb2.Heartbeat
    ) -> None:
        self._merge_received(heartbeat)
        now_s = self._timers.read_monotonic()
        due = now_s - self._synced_s >= self._settings.sync_interval_s
        if due and heartbeat.digest != self.table.read_digest():
            self._start(self._sync(heartbeat.sender.address))

    def _merge_received(self, heartbeat: membership_pb2.Heartbeat) -> None:
        incarnation = self.own.incarnation
        changed = self.merge_heartbeat(heartbeat)
        own = self.own.data_centre
        is_remote = heartbeat.sender.data_centre != own
        # Updates from another data centre and this instance's own refutation
        # are known to no other instance of this data centre yet.
        if (changed and is_remote) or self.own.incarnation != incarnation:
            self._start(self._broadcast_update())

    async def _handle_heartbeat(self, sender: str, payload: bytes) -> bytes:
        self._merge_received(membership_pb2.Heartbeat.FromString(payload))
        return self.build_heartbeat(sender).SerializeToString()

    async def _handle_update(self, sender: str, payload: bytes) -> bytes:
        self._merge_received(membership_pb2.Heartbeat.FromString(payload))
        return b""

    # Tasks.

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _cancel_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
