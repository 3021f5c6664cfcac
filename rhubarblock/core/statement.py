"""What an endpoint states about itself in its response headers."""

import dataclasses

from rhubarblock.core import ratelimit as ratelimits


@dataclasses.dataclass(slots=True, frozen=True)
class StatedCooldown:
    """Cool-down that an endpoint asks for when it rejects a request.

    Attributes:
      length_s: seconds from the response on; None if the headers state no valid
        length.
      unreadable: text of an invalid length, else empty.
    """

    length_s: float | None = None
    unreadable: str = ""


NO_COOLDOWN = StatedCooldown()


@dataclasses.dataclass(slots=True, frozen=True)
class Statement:
    """What the headers of one response state about the endpoint.

    Attributes:
      limit: rate limit for the requests of all instances together.
      cooldown: cool-down during which this instance must not send requests.
      is_leaving: whether it is about to stop and accepts no new requests.
      unknown: names of endpoint header fields unknown to the adapter.
      cold_remaining_s: seconds for which it stays cold; 0 if it is warm, None
        if the headers state no valid time.
    """

    limit: ratelimits.StatedLimit = ratelimits.NO_STATED_LIMIT
    cooldown: StatedCooldown = NO_COOLDOWN
    is_leaving: bool = False
    unknown: tuple[str, ...] = ()
    cold_remaining_s: float | None = None


NOTHING = Statement()
