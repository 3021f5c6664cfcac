"""Membership record of one entry instance."""

import dataclasses
import enum

from rhubarblock.fleet.membership import membership_pb2


class MemberState(enum.Enum):
    """Liveness of an instance; at equal incarnation the higher value wins."""

    ALIVE = membership_pb2.ALIVE
    LEFT = membership_pb2.LEFT  # Announced by the instance before it stops.
    DEAD = membership_pb2.DEAD  # Declared by a peer after unanswered probes.


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """Membership record of one entry instance.

    Attributes:
      instance_id: unique name; a replacement instance gets a new one.
      data_centre: data centre in which it runs.
      address: ``host:port`` for calls from peers.
      incarnation: increases with each start and whenever the instance refutes a
        report of its own death.
      state: its liveness.
      revision: catalogue revision in force there when it last contacted this
        instance; it may be older than the current one.
    """

    instance_id: str
    data_centre: str
    address: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    revision: int = 0

    def supersedes(self, other: "Member") -> bool:
        """Returns whether this record is newer than another of the instance."""
        return self._precedence() > other._precedence()

    def differs_in_liveness(self, other: "Member") -> bool:
        """Returns whether state or incarnation differ."""
        return (self.state, self.incarnation) != (
            other.state,
            other.incarnation,
        )

    def _precedence(self) -> tuple[int, int, int]:
        return self.incarnation, self.state.value, self.revision


def encode_member(member: Member) -> membership_pb2.MemberRecord:
    """Returns the protobuf message of a member."""
    return membership_pb2.MemberRecord(
        instance_id=member.instance_id,
        data_centre=member.data_centre,
        address=member.address,
        incarnation=member.incarnation,
        state=member.state.value,
        revision=member.revision,
    )


def decode_member(record: membership_pb2.MemberRecord) -> Member:
    """Returns the member in a protobuf message."""
    return Member(
        instance_id=record.instance_id,
        data_centre=record.data_centre,
        address=record.address,
        incarnation=record.incarnation,
        state=MemberState(record.state),
        revision=record.revision,
    )
