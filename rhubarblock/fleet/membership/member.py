"""One entry instance as the others know it."""

import dataclasses
import enum

from rhubarblock.fleet.membership import membership_pb2


class MemberState(enum.Enum):
    """What is known of an instance; later ones go before earlier ones."""

    ALIVE = membership_pb2.ALIVE
    LEFT = membership_pb2.LEFT  # It said so itself before a planned stop.
    DEAD = membership_pb2.DEAD  # Others found that it does not answer.


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """One entry instance.

    Attributes:
      instance_id: unique name; a replacement has another one.
      data_centre: data centre in which it runs.
      address: ``host:port`` for calls from peers.
      incarnation: rises with each start, and whenever it refutes its death.
      state: what is known of it.
      revision: catalogue revision that it had in force when it last spoke to
        this instance; it may be older than the one in force by now.
    """

    instance_id: str
    data_centre: str
    address: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    revision: int = 0

    def supersedes(self, other: "Member") -> bool:
        """Says whether this is later knowledge of the same instance."""
        return self._order() > other._order()

    def differs_in_life(self, other: "Member") -> bool:
        """Says whether state or incarnation are not the same."""
        return (self.state, self.incarnation) != (
            other.state,
            other.incarnation,
        )

    def _order(self) -> tuple[int, int, int]:
        return self.incarnation, self.state.value, self.revision


def encode_member(member: Member) -> membership_pb2.MemberRecord:
    """Returns the message that stands for a member."""
    return membership_pb2.MemberRecord(
        instance_id=member.instance_id,
        data_centre=member.data_centre,
        address=member.address,
        incarnation=member.incarnation,
        state=member.state.value,
        revision=member.revision,
    )


def decode_member(record: membership_pb2.MemberRecord) -> Member:
    """Returns the member that a message stands for."""
    return Member(
        instance_id=record.instance_id,
        data_centre=record.data_centre,
        address=record.address,
        incarnation=record.incarnation,
        state=MemberState(record.state),
        revision=record.revision,
    )
