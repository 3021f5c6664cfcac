"""The rate limit that an endpoint names for itself in its answers."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class StatedLimit:
    """What the head of one answer says of the endpoint's limit.

    Attributes:
      per_s: requests a second that the endpoint takes from all instances
        together; None where the head names no limit that can be read.
      unreadable: the text that is no limit; empty where there is none.
    """

    per_s: float | None = None
    unreadable: str = ""


NO_STATED_LIMIT = StatedLimit()
