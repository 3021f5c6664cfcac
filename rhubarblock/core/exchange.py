"""An opaque exchange: a request that is passed on without being understood."""

import dataclasses

from rhubarblock.core import route as routes


@dataclasses.dataclass(slots=True, frozen=True)
class Header:
    """One field of a head, spelled as it came."""

    name: str
    value: str


@dataclasses.dataclass(slots=True)
class Exchange:
    """A caller's request after its key and route were checked.

    Attributes:
      request_id: id of this attempt of the caller, passed on unchanged.
      method: HTTP method.
      target: path and query exactly as they came.
      headers: fields to pass on.
      body: the whole body.
      route: route that it takes.
      service: service that was chosen of the route's shares.
      workspace: name of the key's owner; empty on an anonymous route.
      priority: rank, 0 is the highest.
      arrived_s: arrival, in seconds of the monotonic clock.
      deadline_s: latest end, in seconds of the monotonic clock.
      prompt_tokens: tokens of the prompt; 0 where there is none.
      answer_tokens: most tokens of the answer; 0 where there is none.
      last_event: number of the last event that the caller has, or -1.
      digest: the same for the same path, caller and body.
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
