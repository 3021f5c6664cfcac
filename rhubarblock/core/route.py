"""Routes, services and keys: what an accepted configuration allows.

A routing table is one whole, checked version of it. Nothing here knows in
which format an operator wrote it.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceShare:
    """A service of a route and its part of the route's requests.

    Attributes:
      service: name of the service.
      weight: its part, against the sum over the route's shares.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Where the requests of one host and path prefix go, and within which time.

    Attributes:
      name: unique name.
      host: host that the caller names, without a port.
      path_prefix: begin of the path; it begins and ends with a slash.
      kind: what may be repeated.
      shares: services that serve it.
      max_attempts: endpoints that one request may run on.
      timeout_s: longest time for which a caller is kept waiting, in seconds.
      objective_s: time to the answer, or the first event of a stream, that
        earns the full credit, in seconds.
      pause_s: longest pause between the events of a stream that is still on
        time, in seconds; 0 where the route has none.
      priority: rank, 0 is the highest.
      anonymous: whether a request needs no key.
      resumable: whether a broken stream may go on at another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    timeout_s: float
    objective_s: float
    pause_s: float
    priority: int
    anonymous: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent once more."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(slots=True, frozen=True)
class EngineCostModel:
    """What the steps of a model engine cost.

    Attributes:
      slots: requests that run at once.
      kv_capacity_tokens: tokens of prompt and answer that fit into its memory.
      stride: token steps of a pass in which anything is being written.
      step_ms: milliseconds of a token step.
      sequence_ms: further milliseconds of a step for each request that writes.
      context_ms: further milliseconds of a step for each 1,000 tokens of
        context of a request that writes.
      prefill_tokens_per_ms: prompt tokens read in a millisecond.
      pair_ms: milliseconds for each million pairs of a prompt token and an
        earlier one.
      chunk_tokens: prompt tokens read within one step at most.
      hop_ms: further milliseconds of a step while other engines hold parts.
    """

    slots: int
    kv_capacity_tokens: int
    stride: int
    step_ms: float
    sequence_ms: float
    context_ms: float
    prefill_tokens_per_ms: float
    pair_ms: float
    chunk_tokens: int
    hop_ms: float

    def predict_prefill(self, tokens: int, parts: int = 1) -> float:
        """Returns the seconds that one part of a prompt takes to read.

        Args:
          tokens: length of the whole prompt.
          parts: engines that read an even part each.
        """
        pairs_m = tokens * tokens / 2e6
        whole_ms = tokens / self.prefill_tokens_per_ms + pairs_m * self.pair_ms
        return whole_ms / parts / 1e3

    def predict_stride(self, writers: int, context_tokens: int) -> float:
        """Returns the seconds of a pass that writes and reads nothing."""
        step_ms = (
            self.step_ms
            + self.sequence_ms * writers
            + self.context_ms * context_tokens / 1e3
        )
        return self.stride * step_ms / 1e3


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceSpec:
    """A service: a set of endpoints that do the same work.

    Attributes:
      name: unique name.
      health_path: path of its health check.
      max_connections: connections that one endpoint takes from all callers.
      engine: costs of its engines; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineCostModel | None


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """An owner of keys.

    Attributes:
      name: unique name.
      priority: rank that goes before the route's, or None.
    """

    name: str
    priority: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerBounds:
    """What a caller may send.

    Attributes:
      header_bytes: longest head of a request.
      body_bytes: longest body.
      header_timeout_s: seconds that a head may take.
      idle_timeout_s: seconds for which an idle connection stays open.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteIndex:
    """Routes by name, and by the host and path prefix that they serve.

    A look takes as many steps as a path has parts, however many routes there
    are. Of two routes with the same host and prefix the first by name counts.
    """

    __slots__ = ("_by_name", "_by_place", "_most_parts")

    def __init__(self, routes: Iterable[Route] = ()):
        """Takes in routes.

        Args:
          routes: all of them; their names differ.
        """
        self._by_name = {route.name: route for route in routes}
        self._by_place: dict[tuple[str, str], Route] = {}
        # Most slashes of a prefix, so that a path of many is not tried whole.
        self._most_parts = 0
        self._rebuild()

    def __iter__(self) -> Iterator[Route]:
        return iter(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def find_named(self, name: str) -> Route | None:
        """Returns the route of a name, or None."""
        return self._by_name.get(name)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
          host: name in lower case, without a port.
          path: path of the request, without its query.
        """
        ends: list[int] = []
        end = path.find("/")
        while end >= 0 and len(ends) < self._most_parts:
            ends.append(end + 1)
            end = path.find("/", end + 1)
        for end in reversed(ends):
            route = self._by_place.get((host, path[:end]))
            if route is not None:
                return route
        return None

    def change(
        self, changed: Iterable[Route], removed: Iterable[str]
    ) -> "RouteIndex":
        """Returns the index after a change; this one stays as it is.

        Args:
          changed: new routes, and those that replace one of the same name.
          removed: names of routes that are gone.
        """
        index = RouteIndex()
        index._by_name = dict(self._by_name)
        index._by_place = dict(self._by_place)
        index._most_parts = self._most_parts
        for name in removed:
            index._remove(name)
        for route in changed:
            index._remove(route.name)
            index._by_name[route.name] = route
            index._place(route)
        doubled = len(index._by_place) != len(index._by_name)
        if doubled or len(self._by_place) != len(self._by_name):
            index._rebuild()
        return index

    def _remove(self, name: str) -> None:
        gone = self._by_name.pop(name, None)
        if gone is not None:
            self._by_place.pop((gone.host, gone.path_prefix), None)

    def _place(self, route: Route) -> None:
        self._by_place[route.host, route.path_prefix] = route
        parts = route.path_prefix.count("/")
        self._most_parts = max(self._most_parts, parts)

    def _rebuild(self) -> None:
        self._by_place = {}
        self._most_parts = 0
        for name in sorted(self._by_name, reverse=True):
            self._place(self._by_name[name])


@dataclasses.dataclass(slots=True, frozen=True)
class RoutingTable:
    """One version of the configuration.

    Attributes:
      version: rises with each accepted change.
      routes: all routes.
      services: by name.
      keys: workspace by key; None where no request needs a key.
      bounds: what callers may send.
    """

    version: int
    routes: RouteIndex
    services: Mapping[str, ServiceSpec]
    keys: Mapping[str, Workspace] | None
    bounds: CallerBounds

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
          host: value of the host header, with or without a port.
          path: path of the request, without its query.
        """
        return self.routes.find(host.partition(":")[0].lower(), path)
