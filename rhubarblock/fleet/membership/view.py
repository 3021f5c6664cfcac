"""What one instance knows of the others, without any call to them.

It merges the records that arrive, tells subscribers what changed, and builds
and reads the heartbeats. ``fleet.membership`` sends them.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import logging

from rhubarblock.fleet import assignment
from rhubarblock.fleet import reachability
from rhubarblock.fleet import softstate
from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import membership_pb2
from rhubarblock.fleet.membership import table as membertable
from rhubarblock.kernel import logs
from rhubarblock.kernel import timers as timers_lib

# Instances of a data centre that talk to other data centres.
REPRESENTATIVES = 2
_REPRESENTATIVES_KEY = "membership/representatives"
# Records sent along with one heartbeat.
_NEWS_LIMIT = 8

ChangeCallback = Callable[[members.Member], None]

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class MembershipCounters:
    """What membership counted since its start."""

    probes: int = 0
    suspicions: int = 0
    deaths_found: int = 0
    stalls: int = 0
    refutations: int = 0
    syncs: int = 0
    list_failures: int = 0
    bad_messages: int = 0


class MemberView:
    """The view that one instance has of all instances.

    Attributes:
      soft: soft state that travels with the heartbeats.
      counters: what it counted.
    """

    def __init__(self, own: members.Member, timers: timers_lib.Timers):
        """Creates the view with only this instance in it.

        Args:
          own: this instance; its incarnation must be higher than that of any
            earlier start under the same id, such as the wall clock in
            milliseconds.
          timers: the timer service.
        """
        self._own = own
        self._timers = timers
        self._table = membertable.MemberTable()
        self._table.merge(own)
        self._heard_s: dict[str, float] = {}
        self._changed_s: dict[str, float] = {}
        self._callbacks: list[ChangeCallback] = []
        self._reachability = reachability.Reachability(own.instance_id)
        # Answers to frequent questions, until a record or report changes.
        self._live: dict[str | None, list[members.Member]] = {}
        self._representatives: dict[str, list[members.Member]] = {}
        self._cut_off: frozenset[str] | None = None
        self.soft = softstate.SoftState()
        self.counters = MembershipCounters()

    @property
    def own(self) -> members.Member:
        """This instance as it tells the others."""
        return self._own

    @property
    def table(self) -> membertable.MemberTable:
        """The records."""
        return self._table

    def live_instances(
        self, data_centre: str | None = None
    ) -> list[members.Member]:
        """Returns the instances that live and can be reached.

        Args:
          data_centre: only those of one data centre; None means all.

        Returns:
          The instances, this one included, in no order.
        """
        live = self._live.get(data_centre)
        if live is None:
            unreachable = self._list_unreachable()
            live = self._live[data_centre] = [
                member
                for member in self._table.list_members()
                if member.state is members.MemberState.ALIVE
                and data_centre in (None, member.data_centre)
                and member.data_centre not in unreachable
            ]
        return list(live)

    def known_instances(self) -> list[members.Member]:
        """Returns every instance known, with its state, reachable or not."""
        return self._table.list_members()

    def find(self, instance_id: str) -> members.Member | None:
        """Returns what is known of an instance, or None."""
        return self._table.find(instance_id)

    def list_alive(self, data_centre: str) -> list[members.Member]:
        """Returns the instances not known to be gone, reachable or not."""
        return [
            member
            for member in self._table.list_members()
            if member.state is members.MemberState.ALIVE
            and member.data_centre == data_centre
        ]

    def list_peers(self) -> list[members.Member]:
        """Returns the other live instances of this data centre."""
        return [
            member
            for member in self.list_alive(self._own.data_centre)
            if member.instance_id != self._own.instance_id
        ]

    def list_remote_data_centres(self) -> list[str]:
        """Returns the other data centres that have instances, in order."""
        names = {
            member.data_centre
            for member in self._table.list_members()
            if member.state is members.MemberState.ALIVE
        }
        return sorted(names - {self._own.data_centre})

    def choose_representatives(self, data_centre: str) -> list[members.Member]:
        """Returns the instances that talk for a data centre."""
        chosen = self._representatives.get(data_centre)
        if chosen is None:
            chosen = self._representatives[data_centre] = (
                assignment.choose_subset(
                    _REPRESENTATIVES_KEY,
                    self.list_alive(data_centre),
                    REPRESENTATIVES,
                )
            )
        return list(chosen)

    def is_representative(self) -> bool:
        """Says whether this instance talks to other data centres."""
        return self._own in self.choose_representatives(self._own.data_centre)

    def is_reachable(self, data_centre: str) -> bool:
        """Says whether a data centre is not known to be cut off from here."""
        return data_centre not in self._list_unreachable()

    def read_heard(self, instance_id: str) -> float:
        """Returns when an instance last spoke to this one, in seconds."""
        return self._heard_s.get(instance_id, float("-inf"))

    def set_revision(self, revision: int) -> None:
        """Tells the others which catalogue revision is in force here."""
        self.change_own(revision=revision)

    def set_reachable(self, data_centre: str, reachable: bool) -> bool:
        """Notes whether this instance can reach another data centre.

        Args:
          data_centre: the other data centre.
          reachable: whether a call got through.

        Returns:
          Whether this changes what was noted before.
        """
        is_news = self._reachability.set_own(data_centre, reachable)
        if is_news:
            self._clear_cache()
        return is_news

    @contextlib.contextmanager
    def subscribe(self, callback: ChangeCallback) -> Iterator[None]:
        """Calls back with each changed member while the context is open.

        Args:
          callback: gets the member as it is now.

        Yields:
          Nothing.
        """
        self._callbacks.append(callback)
        try:
            yield
        finally:
            self._callbacks.remove(callback)

    def change_own(
        self,
        state: members.MemberState | None = None,
        incarnation: int | None = None,
        revision: int | None = None,
    ) -> None:
        """Changes what this instance tells of itself."""
        own = self._own
        self._own = dataclasses.replace(
            own,
            state=own.state if state is None else state,
            incarnation=own.incarnation if incarnation is None else incarnation,
            revision=own.revision if revision is None else revision,
        )
        self._merge_one(self._own)

    def merge(self, records: Iterable[members.Member]) -> list[members.Member]:
        """Takes in records from a peer.

        Args:
          records: what the peer knows.

        Returns:
          Those whose state or incarnation was news here.
        """
        news = []
        for record in records:
            if record.instance_id == self._own.instance_id:
                self._refute(record)
            elif self._is_welcome(record) and self._merge_one(record):
                news.append(record)
        return news

    def build_heartbeat(
        self, receiver: str | None = None
    ) -> membership_pb2.Heartbeat:
        """Builds a heartbeat.

        Args:
          receiver: instance that gets it, to tell it if it counts as gone.

        Returns:
          The message, with the news that are due to be passed on.
        """
        updates = self._table.take_news(_NEWS_LIMIT)
        known = self._table.find(receiver) if receiver else None
        if known and known.state is not members.MemberState.ALIVE:
            updates.append(known)
        return membership_pb2.Heartbeat(
            sender=members.encode_member(self._own),
            digest=self._table.read_digest(),
            updates=[members.encode_member(member) for member in updates],
            representative=self.is_representative(),
            unreachable=sorted(self._reachability.own_report),
            soft=self.soft.contents,
        )

    def take_heartbeat(
        self, heartbeat: membership_pb2.Heartbeat
    ) -> list[members.Member]:
        """Takes in a heartbeat.

        Args:
          heartbeat: message of a peer.

        Returns:
          The members whose state or incarnation was news here.
        """
        sender = members.decode_member(heartbeat.sender)
        self._heard_s[sender.instance_id] = self._timers.read_monotonic()
        news = self.merge(
            [sender, *map(members.decode_member, heartbeat.updates)]
        )
        if sender.data_centre == self._own.data_centre:
            self._take_report(sender.instance_id, heartbeat)
        self.soft.deliver(sender, heartbeat.soft)
        return news

    def declare_dead(self, member: members.Member) -> members.Member:
        """Notes that an instance does not answer; returns the new record."""
        dead = dataclasses.replace(member, state=members.MemberState.DEAD)
        self._merge_one(dead)
        return dead

    def forget_gone(self, kept: set[str], before_s: float) -> None:
        """Drops instances that are gone, or unreachable and unlisted.

        Args:
          kept: ids that the platform still lists.
          before_s: only those that last changed before this time.
        """
        unreachable = self._list_unreachable()
        for member in self._table.list_members():
            gone = (
                member.state is not members.MemberState.ALIVE
                or member.data_centre in unreachable
            )
            old = self._changed_s.get(member.instance_id, 0.0) < before_s
            if gone and old and member.instance_id not in kept:
                self._drop(member.instance_id)

    def _clear_cache(self) -> None:
        self._live.clear()
        self._representatives.clear()
        self._cut_off = None

    def _drop(self, instance_id: str) -> None:
        self._clear_cache()
        self._table.forget(instance_id)
        self._heard_s.pop(instance_id, None)
        self._changed_s.pop(instance_id, None)
        self._reachability.forget(instance_id)

    def _is_welcome(self, record: members.Member) -> bool:
        """Keeps out what was forgotten here and not yet everywhere."""
        if self._table.find(record.instance_id) is not None:
            return True
        return (
            record.state is members.MemberState.ALIVE
            and record.data_centre not in self._list_unreachable()
        )

    def _refute(self, record: members.Member) -> None:
        """Answers the news of this instance's own death with a higher number.

        A record of an earlier start of this instance is no such news.
        """
        if record.incarnation < self._own.incarnation:
            return
        if record.state.value <= self._own.state.value:
            return
        self.counters.refutations += 1
        self.change_own(incarnation=record.incarnation + 1)

    def _merge_one(self, record: members.Member) -> bool:
        """Merges one record; returns whether its state or start is news."""
        before = self._table.merge(record)
        if before is None:
            return False
        self._clear_cache()
        is_new = before is record or record.differs_in_life(before)
        if is_new:
            self._changed_s[record.instance_id] = self._timers.read_monotonic()
            self._log_change(before, record)
        for callback in list(self._callbacks):
            callback(record)
        return is_new

    def _log_change(
        self, before: members.Member, after: members.Member
    ) -> None:
        logs.log_state_change(
            _logger,
            f"instance {after.instance_id}",
            "unknown" if before is after else before.state.name.lower(),
            after.state.name.lower(),
            incarnation=after.incarnation,
        )

    def _take_report(
        self, instance_id: str, heartbeat: membership_pb2.Heartbeat
    ) -> None:
        unreachable = heartbeat.unreachable
        report = unreachable if heartbeat.representative else None
        if self._reachability.take_report(instance_id, report):
            self._clear_cache()

    def _list_unreachable(self) -> frozenset[str]:
        if self._cut_off is None:
            own = self._own.data_centre
            representatives = self.choose_representatives(own)
            self._cut_off = self._reachability.list_unreachable(
                member.instance_id for member in representatives
            )
        return self._cut_off
