"""One instance's view of the membership, without network calls.

The view merges incoming records, notifies subscribers of changes, and builds
and parses heartbeats. ``fleet.membership`` sends them.
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

# Instances of a data centre that exchange heartbeats with other data centres.
REPRESENTATIVES = 2
_REPRESENTATIVES_KEY = "membership/representatives"
# Maximum number of updates piggybacked on one heartbeat.
_UPDATES_PER_HEARTBEAT = 8

ChangeCallback = Callable[[members.Member], None]

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class MembershipCounters:
    """Counters of the membership protocol since start."""

    probes: int = 0
    suspicions: int = 0
    deaths_found: int = 0
    stalls: int = 0
    refutations: int = 0
    syncs: int = 0
    list_failures: int = 0
    bad_messages: int = 0


class MemberView:
    """One instance's view of all instances.

    Attributes:
      soft: soft state piggybacked on heartbeats.
      counters: protocol counters.
    """

    def __init__(self, own: members.Member, timers: timers_lib.Timers):
        """Creates the view with only this instance in it.

        Args:
          own: this instance; its incarnation must be higher than that of any
            earlier start under the same id, e.g. the wall clock in
            milliseconds.
          timers: the timer service.
        """
        self._own = own
        self._timers = timers
        self._table = membertable.MemberTable()
        self._table.merge(own)
        self._last_heard_s: dict[str, float] = {}
        self._last_changed_s: dict[str, float] = {}
        self._callbacks: list[ChangeCallback] = []
        self._reachability = reachability.Reachability(own.instance_id)
        # Cached results of frequent queries, cleared when a record or a
        # reachability report changes.
        self._live_cache: dict[str | None, list[members.Member]] = {}
        self._representatives_cache: dict[str, list[members.Member]] = {}
        self._unreachable_cache: frozenset[str] | None = None
        self.soft = softstate.SoftState()
        self.counters = MembershipCounters()

    @property
    def own(self) -> members.Member:
        """The record that this instance announces of itself."""
        return self._own

    @property
    def table(self) -> membertable.MemberTable:
        """The table of member records."""
        return self._table

    def list_live_instances(
        self, data_centre: str | None = None
    ) -> list[members.Member]:
        """Returns the instances that are alive and reachable.

        Args:
          data_centre: limits the result to one data centre; None means all.

        Returns:
          The instances including this one, in no particular order.
        """
        live = self._live_cache.get(data_centre)
        if live is None:
            unreachable = self._list_unreachable()
            live = self._live_cache[data_centre] = [
                member
                for member in self._table.list_members()
                if member.state is members.MemberState.ALIVE
                and data_centre in (None, member.data_centre)
                and member.data_centre not in unreachable
            ]
        return list(live)

    def list_known_instances(self) -> list[members.Member]:
        """Returns the records of all known instances, reachable or not."""
        return self._table.list_members()

    def find(self, instance_id: str) -> members.Member | None:
        """Returns the record of an instance, or None if it is unknown."""
        return self._table.find(instance_id)

    def list_alive(self, data_centre: str) -> list[members.Member]:
        """Returns the live instances of a data centre, reachable or not."""
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
        """Returns the other data centres with live instances, sorted."""
        names = {
            member.data_centre
            for member in self._table.list_members()
            if member.state is members.MemberState.ALIVE
        }
        return sorted(names - {self._own.data_centre})

    def choose_representatives(self, data_centre: str) -> list[members.Member]:
        """Returns the representatives of a data centre."""
        chosen = self._representatives_cache.get(data_centre)
        if chosen is None:
            chosen = self._representatives_cache[data_centre] = (
                assignment.choose_subset(
                    _REPRESENTATIVES_KEY,
                    self.list_alive(data_centre),
                    REPRESENTATIVES,
                )
            )
        return list(chosen)

    def is_representative(self) -> bool:
        """Returns whether this instance is a representative."""
        return self._own in self.choose_representatives(self._own.data_centre)

    def is_reachable(self, data_centre: str) -> bool:
        """Returns whether a data centre is not known to be unreachable."""
        return data_centre not in self._list_unreachable()

    def get_last_heard(self, instance_id: str) -> float:
        """Returns when an instance last sent a heartbeat or a response to one.

        The time is in seconds of the monotonic clock; -inf means never.
        """
        return self._last_heard_s.get(instance_id, float("-inf"))

    def set_revision(self, revision: int) -> None:
        """Announces the catalogue revision in force at this instance."""
        self.update_own(revision=revision)

    def set_reachable(self, data_centre: str, reachable: bool) -> bool:
        """Records whether this instance can reach another data centre.

        Args:
          data_centre: the other data centre.
          reachable: whether a call succeeded.

        Returns:
          Whether this changes what was recorded before.
        """
        is_changed = self._reachability.set_own(data_centre, reachable)
        if is_changed:
            self._clear_cache()
        return is_changed

    @contextlib.contextmanager
    def subscribe(self, callback: ChangeCallback) -> Iterator[None]:
        """Calls back with each changed record while the context is open.

        Args:
          callback: called with the new record.

        Yields:
          Nothing.
        """
        self._callbacks.append(callback)
        try:
            yield
        finally:
            self._callbacks.remove(callback)

    def update_own(
        self,
        state: members.MemberState | None = None,
        incarnation: int | None = None,
        revision: int | None = None,
    ) -> None:
        """Changes the record that this instance announces of itself."""
        own = self._own
        self._own = dataclasses.replace(
            own,
            state=own.state if state is None else state,
            incarnation=own.incarnation if incarnation is None else incarnation,
            revision=own.revision if revision is None else revision,
        )
        self._merge_one(self._own)

    def merge(self, records: Iterable[members.Member]) -> list[members.Member]:
        """Merges records from a peer.

        Args:
          records: the records.

        Returns:
          Those that changed the known state or incarnation.
        """
        changed = []
        for record in records:
            if record.instance_id == self._own.instance_id:
                self._refute(record)
            elif self._is_acceptable(record) and self._merge_one(record):
                changed.append(record)
        return changed

    def build_heartbeat(
        self, receiver: str | None = None
    ) -> membership_pb2.Heartbeat:
        """Builds a heartbeat.

        Args:
          receiver: id of the receiving instance; if it counts as gone, the
            message carries that record, so that the receiver can refute it.

        Returns:
          The message, with pending updates.
        """
        updates = self._table.take_updates(_UPDATES_PER_HEARTBEAT)
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

    def merge_heartbeat(
        self, heartbeat: membership_pb2.Heartbeat
    ) -> list[members.Member]:
        """Merges the contents of a heartbeat.

        Args:
          heartbeat: message from a peer.

        Returns:
          The members whose known state or incarnation changed.
        """
        sender = members.decode_member(heartbeat.sender)
        self._last_heard_s[sender.instance_id] = self._timers.read_monotonic()
        changed = self.merge(
            [sender, *map(members.decode_member, heartbeat.updates)]
        )
        if sender.data_centre == self._own.data_centre:
            self._update_reachability(sender.instance_id, heartbeat)
        self.soft.deliver(sender, heartbeat.soft)
        return changed

    def declare_dead(self, member: members.Member) -> members.Member:
        """Marks an instance as dead; returns the new record."""
        dead = dataclasses.replace(member, state=members.MemberState.DEAD)
        self._merge_one(dead)
        return dead

    def forget_gone(self, listed_ids: set[str], before_s: float) -> None:
        """Removes unlisted instances that are gone or unreachable.

        Args:
          listed_ids: ids that the platform still lists; these are kept.
          before_s: removes only records that last changed before this time.
        """
        unreachable = self._list_unreachable()
        for member in self._table.list_members():
            gone = (
                member.state is not members.MemberState.ALIVE
                or member.data_centre in unreachable
            )
            old = self._last_changed_s.get(member.instance_id, 0.0) < before_s
            if gone and old and member.instance_id not in listed_ids:
                self._drop(member.instance_id)

    def _clear_cache(self) -> None:
        self._live_cache.clear()
        self._representatives_cache.clear()
        self._unreachable_cache = None

    def _drop(self, instance_id: str) -> None:
        self._clear_cache()
        self._table.forget(instance_id)
        self._last_heard_s.pop(instance_id, None)
        self._last_changed_s.pop(instance_id, None)
        self._reachability.forget(instance_id)

    def _is_acceptable(self, record: members.Member) -> bool:
        """Returns False for records removed here but still gossiped."""
        if self._table.find(record.instance_id) is not None:
            return True
        return (
            record.state is members.MemberState.ALIVE
            and record.data_centre not in self._list_unreachable()
        )

    def _refute(self, record: members.Member) -> None:
        """Refutes a record of this instance's death by a higher incarnation.

        A record of an earlier start of this instance needs no refutation.
        """
        if record.incarnation < self._own.incarnation:
            return
        if record.state.value <= self._own.state.value:
            return
        self.counters.refutations += 1
        self.update_own(incarnation=record.incarnation + 1)

    def _merge_one(self, record: members.Member) -> bool:
        """Merges a record; returns whether state or incarnation changed."""
        before = self._table.merge(record)
        if before is None:
            return False
        self._clear_cache()
        is_new = before is record or record.differs_in_liveness(before)
        if is_new:
            self._last_changed_s[record.instance_id] = (
                self._timers.read_monotonic()
            )
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

    def _update_reachability(
        self, instance_id: str, heartbeat: membership_pb2.Heartbeat
    ) -> None:
        unreachable = heartbeat.unreachable
        report = unreachable if heartbeat.representative else None
        if self._reachability.update_report(instance_id, report):
            self._clear_cache()

    def _list_unreachable(self) -> frozenset[str]:
        if self._unreachable_cache is None:
            own = self._own.data_centre
            representatives = self.choose_representatives(own)
            self._unreachable_cache = self._reachability.list_unreachable(
                member.instance_id for member in representatives
            )
        return self._unreachable_cache
