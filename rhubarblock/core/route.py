"""Routes, services and API keys of an accepted configuration.

A routing table is one complete, validated version of the configuration. It does
not depend on the format in which an operator wrote it.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum


class RouteKind(enum.Enum):
    """Which requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceShare:
    """A service of a route and its share of the route's requests.

    Attributes:
      service: name of the service.
      weight: its share, relative to the sum over the route's shares.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Services, objectives and retries for one host and path prefix.

    Attributes:
      name: unique name.
      host: value of the Host header, without a port.
      path_prefix: prefix of the path, with a slash at both ends.
      kind: which requests may be retried.
      shares: services that serve it.
      max_attempts: maximum number of endpoints that one request may run on.
      timeout_s: maximum time that a caller waits, in seconds.
      objective_s: latency objective, in seconds: an answer, or the first event
        of a stream, has its full value for the caller up to this time.
      pause_s: objective for the time between two events of a stream, in
        seconds; 0 if the route has none.
      priority: rank, 0 is the highest.
      anonymous: whether requests need no API key.
      resumable: whether a broken stream may be resumed at another endpoint.
      home_regions: regions in which its requests may run; empty: all.
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
    home_regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be retried."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(slots=True, frozen=True)
class EngineCostModel:
    """Cost model of the steps of a model engine.

    Attributes:
      slots: maximum number of requests that run concurrently.
      kv_capacity_tokens: KV cache capacity, in tokens of prompts and answers.
      stride: decode steps of a pass in which any request decodes.
      step_ms: base time of a decode step, in milliseconds.
      sequence_ms: additional milliseconds of a step per decoding request.
      context_ms: additional milliseconds of a step per 1,000 context tokens of
        decoding requests.
      prefill_tokens_per_ms: prompt tokens prefilled per millisecond, without
        the cost of attention.
      pair_ms: cost of attention, in milliseconds per million pairs of a prompt
        token and an earlier one.
      chunk_tokens: maximum number of prompt tokens prefilled within one step.
      hop_ms: additional milliseconds of a step while other engines hold parts
        of the prompt.
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
        """Returns the seconds that the prefill of one part of a prompt takes.

        Args:
          tokens: length of the whole prompt.
          parts: number of engines that prefill an equal part each.
        """
        pairs_m = tokens * tokens / 2e6
        whole_ms = tokens / self.prefill_tokens_per_ms + pairs_m * self.pair_ms
        return whole_ms / parts / 1e3

    def predict_work(self, prompt_tokens: int, answer_tokens: int) -> float:
        """Returns the engine seconds that a prompt and its answer take.

        The answer takes its share of the passes of an engine that is full of
        requests of the same length.

        Args:
          prompt_tokens: length of the prompt.
          answer_tokens: length of the answer.
        """
        passes = answer_tokens / self.stride
        pass_s = self.predict_stride(self.slots, self.slots * prompt_tokens)
        return self.predict_prefill(prompt_tokens) + (
            passes * pass_s / self.slots
        )

    def predict_stride(self, sequences: int, context_tokens: int) -> float:
        """Returns the seconds of a pass that only decodes.

        Args:
          sequences: number of decoding requests.
          context_tokens: context tokens of all of them.
        """
        step_ms = (
            self.step_ms
            + self.sequence_ms * sequences
            + self.context_ms * context_tokens / 1e3
        )
        return self.stride * step_ms / 1e3


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceSpec:
    """A service: a set of interchangeable endpoints.

    Attributes:
      name: unique name.
      health_path: path of its health check.
      max_connections: maximum number of connections that one endpoint accepts
        from all callers.
      engine: cost model of its engines; None for a plain service.
      cold_start_s: seconds for which an endpoint is cold after it starts; 0 if
        unknown.
      cold_per_s: requests a second that a cold endpoint handles; 0 if the
        service has no such limit.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineCostModel | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """The owner of API keys.

    Attributes:
      name: unique name.
      priority: rank that overrides the route's, or None.
      home_regions: regions in which its requests may run; empty: all.
    """

    name: str
    priority: int | None
    home_regions: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class CallerBounds:
    """Limits on the requests and connections of a caller.

    Attributes:
      header_bytes: maximum size of a request's header section.
      body_bytes: maximum size of a request's body.
      header_timeout_s: seconds within which the header section must arrive.
      idle_timeout_s: seconds after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteIndex:
    """Routes by name, and by the host and path prefix that they serve.

    The time of a lookup depends on the number of path segments, not on the
    number of routes. If two routes have the same host and prefix, the first one
    by name wins.
    """

    __slots__ = ("_by_name", "_by_prefix", "_max_segments")

    def __init__(self, routes: Iterable[Route] = ()):
        """Indexes routes.

        Args:
          routes: all routes, with unique names.
        """
        self._by_name = {route.name: route for route in routes}
        self._by_prefix: dict[tuple[str, str], Route] = {}
        # Highest number of slashes in a prefix; bounds the lookups of a path.
        self._max_segments = 0
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
          host: host name in lower case, without a port.
          path: path of the request, without its query.
        """
        ends: list[int] = []
        end = path.find("/")
        while end >= 0 and len(ends) < self._max_segments:
            ends.append(end + 1)
            end = path.find("/", end + 1)
        for end in reversed(ends):
            route = self._by_prefix.get((host, path[:end]))
            if route is not None:
                return route
        return None

    def change(
        self, changed: Iterable[Route], removed: Iterable[str]
    ) -> "RouteIndex":
        """Returns an index with changes; this one is not modified.

        Args:
          changed: new routes, and replacements for routes of the same name.
          removed: names of routes to remove.
        """
        index = RouteIndex()
        index._by_name = dict(self._by_name)
        index._by_prefix = dict(self._by_prefix)
        index._max_segments = self._max_segments
        for name in removed:
            index._remove(name)
        for route in changed:
            index._remove(route.name)
            index._by_name[route.name] = route
            index._insert(route)
        # With duplicates, a removed route may have overridden one that must now
        # serve their common host and prefix.
        has_duplicates = len(index._by_prefix) != len(index._by_name)
        if has_duplicates or len(self._by_prefix) != len(self._by_name):
            index._rebuild()
        return index

    def _remove(self, name: str) -> None:
        removed_route = self._by_name.pop(name, None)
        if removed_route is not None:
            self._by_prefix.pop(
                (removed_route.host, removed_route.path_prefix), None
            )

    def _insert(self, route: Route) -> None:
        self._by_prefix[route.host, route.path_prefix] = route
        segments = route.path_prefix.count("/")
        self._max_segments = max(self._max_segments, segments)

    def _rebuild(self) -> None:
        self._by_prefix = {}
        self._max_segments = 0
        for name in sorted(self._by_name, reverse=True):
            self._insert(self._by_name[name])


@dataclasses.dataclass(slots=True, frozen=True)
class RoutingTable:
    """One version of the configuration.

    Attributes:
      version: increases with each accepted change.
      routes: all routes.
      services: by name.
      keys: workspace by API key; None if no request needs a key.
      bounds: limits on callers.
    """

    version: int
    routes: RouteIndex
    services: Mapping[str, ServiceSpec]
    keys: Mapping[str, Workspace] | None
    bounds: CallerBounds

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
          host: value of the Host header, with or without a port.
          path: path of the request, without its query.
        """
        return self.routes.find(host.partition(":")[0].lower(), path)
