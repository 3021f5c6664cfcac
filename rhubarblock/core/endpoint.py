"""Identity, role, state and load of an endpoint."""

import dataclasses
import enum


class Role(enum.Enum):
    """Which phases of a request an engine serves."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"


class EndpointKind(enum.Enum):
    """Whether an endpoint is a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointState(enum.Enum):
    """State of an endpoint as an entry instance sees it."""

    KNOWN = "known"
    LOADING = "loading"
    READY = "ready"
    SUSPECT = "suspect"
    DRAINING = "draining"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """Identity of an endpoint; its mutable state is kept elsewhere.

    Attributes:
      endpoint_id: unique name.
      address: ``host:port`` with an IP address.
      data_centre: data centre in which it runs.
      service: service of the catalogue that it belongs to.
      kind: engine or plain service.
    """

    endpoint_id: str
    address: str
    data_centre: str
    service: str
    kind: EndpointKind


@dataclasses.dataclass(slots=True)
class LoadReport:
    """Load that an engine reports; it is out of date when it arrives.

    Attributes:
      endpoint_id: engine that reports.
      measured_s: time of the measurement by the engine's clock, in seconds.
      sequence: increases with each report since the engine's start.
      start_id: changes whenever the engine restarts.
      role: current role.
      models: loaded models, ``name@version``.
      running: requests that hold KV memory.
      decoding: requests that generate tokens.
      waiting: queued requests, which hold no KV memory yet.
      prefill_tokens: prompt tokens still to be computed, of running and waiting
        requests.
      kv_capacity: KV memory in tokens.
      kv_used: KV memory held by requests, exports and imports, in tokens.
      attempts: ids of the attempts that hold KV memory or wait for it.
      draining: whether the engine rejects new requests.
      fence: highest fencing number that the engine accepted.
    """

    endpoint_id: str
    measured_s: float
    sequence: int
    start_id: str
    role: Role
    models: tuple[str, ...]
    running: int
    decoding: int
    waiting: int
    prefill_tokens: int
    kv_capacity: int
    kv_used: int
    attempts: tuple[str, ...] = ()
    draining: bool = False
    fence: int = 0
