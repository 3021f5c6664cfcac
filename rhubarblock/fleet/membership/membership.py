"""Which entry instances live, by the platform's list and by heartbeats.

Each instance probes a few others of its data centre in every period, and
tells a death that it finds to all of them at once. Across data centres only a
few representatives talk. Other news travel with the heartbeats, and tables
that differ are repaired. All of it is soft state: a wrong view costs time and
never a promise.
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
NEWS_KIND = "membership.news"

# Listed but unknown instances to contact in one refresh of the list.
_CONTACTS = 3
# News of a death is sent to each peer this many times if it is not confirmed.
_NEWS_TRIES = 2
# Spreads the probes of one period, so that the interval stays bounded.
_SPREAD = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Times in seconds, and numbers.

    Attributes:
      detector: those of the failure detector.
      call_timeout_s: time to wait for an answer to other calls.
      remote_period_s: time between two calls to another data centre.
      remote_failures: failed calls in a row after which a data centre counts
        as unreachable.
      sync_interval_s: least time between two comparisons of tables.
      list_interval_s: time between two reads of the platform's list.
      join_interval_s: the same while no listed peer has answered yet.
      forget_s: time after which an instance that is gone is forgotten.
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
    """The view that one instance has of all, kept up by calls to peers."""

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
            earlier start under the same id, such as the wall clock in
            milliseconds.
          transport: calls to peers.
          source: the platform's list of instances.
          timers: the timer service.
          rng: spreads what instances would else do at the same moment.
          settings: times and numbers.
          plan: choice of the instances to probe.
          seeds: addresses to ask beside the listed ones while no peer is known,
            which help when the platform is down.
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
            self._take_answer,
        )
        transport.register(detection.HEARTBEAT_KIND, self._answer_heartbeat)
        transport.register(SYNC_KIND, self._answer_sync)
        transport.register(NEWS_KIND, self._answer_news)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["Membership"]:
        """Joins the others and follows them while the context is open.

        Yields:
          This membership, once it asked listed instances for their view.
        """
        await self._join()
        await self._spread_news()
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
        """Tells the others that this instance stops, before it does."""
        self.change_own(state=members.MemberState.LEFT)
        await self._spread_news()
        for data_centre in self.list_remote_data_centres():
            await self._send_news(self.choose_representatives(data_centre))

    # The own data centre.

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
            await self._timers.sleep(self._rng.random() * _SPREAD * period_s)
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
        await self._spread_news()
        # The ring closed over the dead one: what lay behind it is due now.
        await self._probe_subjects()

    async def _spread_news(self) -> None:
        """Tells the latest news to the whole data centre at once."""
        await self._send_news(self.list_peers())

    async def _send_news(self, receivers: Iterable[members.Member]) -> None:
        payload = self.build_heartbeat().SerializeToString()
        await asyncio.gather(
            *(self._send_news_to(receiver, payload) for receiver in receivers)
        )

    async def _send_news_to(
        self, receiver: members.Member, payload: bytes
    ) -> None:
        for _ in range(_NEWS_TRIES):
            try:
                await self._transport.call(
                    receiver.address,
                    NEWS_KIND,
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
            await self._spread_news()

    def _choose_contacts(self, data_centre: str) -> list[members.Member]:
        """Returns a representative and, in case it is gone, any instance."""
        representatives = self.choose_representatives(data_centre)
        contacts = self._rng.sample(representatives, len(representatives))
        return contacts[:1] + [self._rng.choice(self.list_alive(data_centre))]

    # The platform's list.

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
        """Asks again while no peer is known."""
        if self.list_peers():
            return
        await self._refresh_list()
        if not self.list_peers():
            seeds = (self._contact(address) for address in self._seeds)
            await asyncio.gather(*seeds)

    async def _contact_listed(self) -> None:
        """Makes the acquaintance of listed instances that are unknown.

        Those that count as dead here are told so, and then prove that they
        live: after a partition nobody else would.
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
        chosen = self._rng.sample(unknown, min(_CONTACTS, len(unknown))) + dead
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
        """Exchanges tables with whatever instance answers at an address."""
        if address == self.own.address:
            return
        timeout_s = self._settings.call_timeout_s
        receiver = members.Member(instance_id, self.own.data_centre, address)
        await self._detector.send_heartbeat(receiver, timeout_s)
        await self._sync(address)

    async def _forget(self) -> None:
        before_s = self._timers.read_monotonic() - self._settings.forget_s
        self.forget_gone(set(self._listed), before_s)

    # Repair of tables that differ.

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

    async def _answer_sync(self, sender: str, payload: bytes) -> bytes:
        request = membership_pb2.SyncRequest.FromString(payload)
        differing = self.table.list_differing(request.parts)
        records = map(members.encode_member, differing)
        return membership_pb2.SyncAnswer(members=records).SerializeToString()

    # Messages of peers.

    def _take_answer(self, heartbeat: membership_pb2.Heartbeat) -> None:
        self._take(heartbeat)
        now_s = self._timers.read_monotonic()
        due = now_s - self._synced_s >= self._settings.sync_interval_s
        if due and heartbeat.digest != self.table.read_digest():
            self._start(self._sync(heartbeat.sender.address))

    def _take(self, heartbeat: membership_pb2.Heartbeat) -> None:
        incarnation = self.own.incarnation
        news = self.take_heartbeat(heartbeat)
        own = self.own.data_centre
        is_remote = heartbeat.sender.data_centre != own
        # What comes from outside, and that this instance lives after all,
        # nobody else tells the data centre.
        if (news and is_remote) or self.own.incarnation != incarnation:
            self._start(self._spread_news())

    async def _answer_heartbeat(self, sender: str, payload: bytes) -> bytes:
        self._take(membership_pb2.Heartbeat.FromString(payload))
        return self.build_heartbeat(sender).SerializeToString()

    async def _answer_news(self, sender: str, payload: bytes) -> bytes:
        self._take(membership_pb2.Heartbeat.FromString(payload))
        return b""

    # Tasks.

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _cancel_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
