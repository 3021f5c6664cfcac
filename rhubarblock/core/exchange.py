"""An opaque exchange: a request that is forwarded without interpretation."""

import dataclasses

from rhubarblock.core import route as routes


@dataclasses.dataclass(slots=True, frozen=True)
class Header:
    """One HTTP header field, spelled as received."""

    name: str
    value: str


@dataclasses.dataclass(slots=True)
class Exchange:
    """A caller's request after authentication and route lookup.

    Attributes:
      request_id: id that the caller gave this attempt, forwarded unchanged.
      method: HTTP method.
      target: path and query exactly as received.
      headers: header fields to forward.
      body: the whole body.
      route: matching route.
      service: service chosen from the route's shares.
      workspace: owner of the API key; empty on an anonymous route.
      priority: rank, 0 is the highest.
      arrived_s: arrival time, in seconds of the monotonic clock.
      deadline_s: deadline, in seconds of the monotonic clock.
      prompt_tokens: tokens of the prompt; 0 if there is none.
      answer_tokens: maximum tokens of the answer; 0 if there is none.
      last_event: number of the last event that the caller received, or -1.
      digest: equal for equal path, caller and body.
      prompt_parts: ids of the parts of its prompt that other requests may
        share, in order; the last part is its own and not among them.
      home_regions: regions in which it may run; None without a bound.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    route: routes.Route
    service: routes.ServiceSpec
    workspace: str
    priority: int
    arrived_s: float
    deadline_s: float
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event: int = -1
    digest: str = ""
    prompt_parts: tuple[str, ...] = ()
    home_regions: frozenset[str] | None = None
