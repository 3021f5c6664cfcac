"""What an endpoint says of itself beside an answer."""

import dataclasses

from rhubarblock.core import ratelimit as ratelimits


@dataclasses.dataclass(slots=True, frozen=True)
class StatedCooldown:
    """For how long an endpoint that turned a request away wants no other.

    Attributes:
      length_s: seconds from its answer on; None where it names none that can be
        read.
      unreadable: the text that is no length; empty where there is none.
    """

    length_s: float | None = None
    unreadable: str = ""


NO_COOLDOWN = StatedCooldown()


@dataclasses.dataclass(slots=True, frozen=True)
class Statement:
    """What the head of one answer says of its endpoint.

    Attributes:
      limit: requests a second that it takes from all instances together.
      cooldown: for how long it wants nothing from this instance.
      is_leaving: whether it is about to end and wants no new work.
      unknown: names of fields about the endpoint that the adapter doesn't know.
    """

    limit: ratelimits.StatedLimit = ratelimits.NO_STATED_LIMIT
    cooldown: StatedCooldown = NO_COOLDOWN
    is_leaving: bool = False
    unknown: tuple[str, ...] = ()


NOTHING = Statement()
