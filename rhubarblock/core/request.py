"""A caller's request after validation and before routing."""

import dataclasses
import enum


class RequestClass(enum.Enum):
    """Urgency of a request; the catalogue sets the limits of each class."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"


@dataclasses.dataclass(slots=True)
class PromptRequest:
    """A prompt to be completed by a model engine.

    Attributes:
      request_id: unique id, also the ``id`` of the completion.
      institution: owner of the credential that sent it.
      workspace: workspace within the institution.
      model: name of the model in the catalogue.
      request_class: urgency class.
      prompt_tokens: length of the prompt in tokens.
      max_tokens: maximum number of tokens to generate.
      deadline_s: deadline, in seconds of the monotonic clock.
      digest: hex digest of everything that the answer depends on.
      prefix_blocks: chained digests of the first blocks of the prompt.
      prompt: the text to forward; empty where a stand-in engine needs only
        lengths.
      stream: whether the caller wants the answer as a stream.
      arrived_s: arrival time, in seconds of the monotonic clock.
    """

    request_id: str
    institution: str
    workspace: str
    model: str
    request_class: RequestClass
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    digest: str
    prefix_blocks: tuple[str, ...] = ()
    prompt: str = ""
    stream: bool = True
    arrived_s: float = 0.0


@dataclasses.dataclass(slots=True)
class ServiceCall:
    """An HTTP call to a plain service, which is not a model engine.

    Attributes:
      request_id: unique id.
      institution: owner of the credential that sent it.
      workspace: workspace within the institution.
      service: name of the service in the catalogue.
      method: HTTP method.
      path: path and query relative to the service, with a leading slash.
      body: request body.
      digest: hex digest of service, method, path and body.
      idempotent: whether the call may run more than once.
      idempotency_key: the caller's key, or None.
      deadline_s: deadline, in seconds of the monotonic clock.
      content_type: media type of the body.
    """

    request_id: str
    institution: str
    workspace: str
    service: str
    method: str
    path: str
    body: bytes
    digest: str
    idempotent: bool
    idempotency_key: str | None
    deadline_s: float
    content_type: str = "application/json"


@dataclasses.dataclass(slots=True)
class ServiceAnswer:
    """The complete response of a plain service.

    Attributes:
      status: HTTP status.
      body: response body.
      content_type: media type of the body.
      replayed: whether it is the stored answer to an earlier call with the same
        idempotency key.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    replayed: bool = False
