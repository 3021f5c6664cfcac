"""The rate limit that an endpoint states in its response headers."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class StatedLimit:
    """Rate limit that the headers of one response state.

    Attributes:
      per_s: requests per second that the endpoint accepts from all instances
        together; None if the headers state no valid limit.
      unreadable: text of an invalid limit, else empty.
    """

    per_s: float | None = None
    unreadable: str = ""


NO_STATED_LIMIT = StatedLimit()
