"""The catalogue: configuration that operators declare for all instances.

A catalogue is an immutable value with a revision. Its entries are plain data;
``rhubarblock.catalogue`` parses, validates, compares and distributes them.
"""

import dataclasses
import enum

from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import request as requests


class CredentialRole(enum.Enum):
    """What the holder of a credential may do."""

    CALLER = "caller"  # Send requests of one workspace.
    OPERATOR = "operator"  # Change the entries of one institution.
    ADMINISTRATOR = "administrator"  # Change every entry.


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Upper bounds over all entry instances together; 0 means unlimited.

    Attributes:
      requests_per_s: requests admitted per second.
      tokens_per_s: prompt and output tokens admitted per second.
      concurrent_long: concurrent prompts above the threshold for long prompts.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrent_long: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Institution:
    """A customer with its own long-term contract.

    Attributes:
      name: unique name.
      owner: person or team responsible for the entry.
      limits: agreed upper bounds.
      weight: share of the engines under contention, relative to other
        institutions.
      contract_tokens_per_s: lowest token limit that the contract allows.
      contract_until: ISO date until which the contract runs, or empty.
    """

    name: str
    owner: str
    limits: Limits
    weight: float = 1.0
    contract_tokens_per_s: float = 0.0
    contract_until: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """A part of an institution with its own limits and permissions.

    Attributes:
      name: ``institution/name``.
      owner: person or team responsible for the entry.
      institution: name of its institution.
      request_class: class of its requests.
      limits: agreed upper bounds.
      weight: share of the institution's engines under contention, relative to
        its other workspaces.
      models: models that it may use; empty means all.
      services: plain services that it may call; empty means all.
    """

    name: str
    owner: str
    institution: str
    request_class: requests.RequestClass
    limits: Limits
    weight: float = 1.0
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Model:
    """A model that engines can load.

    Attributes:
      name: unique name, as callers give it.
      owner: person or team responsible for the entry.
      version: version to serve.
      service: engine service that serves it.
      context_tokens: maximum number of prompt and output tokens together.
      adapters: adapters to load with it.
    """

    name: str
    owner: str
    version: str
    service: str
    context_tokens: int
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A pool of endpoints of one kind.

    Attributes:
      name: unique name, as in the platform's instance list.
      owner: person or team responsible for the entry.
      kind: whether the endpoints are engines or plain services.
      checks_fencing: whether its endpoints reject outdated fencing numbers.
      idempotent_paths: path prefixes of calls that may run more than once.
      kv_tokens: KV memory of one engine in tokens; 0 for plain services.
      decode_share: share of engines with the decode role; 0 gives every engine
        both roles, a negative number derives the share from the load.
    """

    name: str
    owner: str
    kind: endpoints.EndpointKind
    checks_fencing: bool = False
    idempotent_paths: tuple[str, ...] = ()
    kv_tokens: int = 0
    decode_share: float = -1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """A data centre.

    Attributes:
      name: unique name.
      owner: person or team responsible for the entry.
      region: region in which it lies.
    """

    name: str
    owner: str
    region: str


@dataclasses.dataclass(slots=True, frozen=True)
class Credential:
    """Digest of a secret and its permissions; the secret is never stored.

    Attributes:
      name: unique name.
      owner: person or team responsible for the entry.
      sha256: hex digest of the secret.
      role: what its holder may do.
      institution: institution of the holder; empty for an administrator.
      workspace: workspace of a caller, ``institution/name``, else empty.
    """

    name: str
    owner: str
    sha256: str
    role: CredentialRole
    institution: str = ""
    workspace: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Catalogue:
    """All entries at one revision.

    Attributes:
      revision: increases by one with each accepted change; 0 is the empty
        catalogue.
    """

    revision: int = 0
    institutions: dict[str, Institution] = dataclasses.field(
        default_factory=dict
    )
    workspaces: dict[str, Workspace] = dataclasses.field(default_factory=dict)
    models: dict[str, Model] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    places: dict[str, Place] = dataclasses.field(default_factory=dict)
    credentials: dict[str, Credential] = dataclasses.field(default_factory=dict)
