"""Interface to the header fields and formats of a deployment.

The relay handles deadlines, keys and refusals; a dialect encodes and decodes
them as a deployment does. Each deployment has an adapter that implements the
interface, so the product contains no names of a deployment.
"""

import abc
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from rhubarblock.core import document as documents
from rhubarblock.core import exchange as exchanges
from rhubarblock.core import listed
from rhubarblock.core import route as routes
from rhubarblock.core import statement as statements
from rhubarblock.store import store as stores

# Maximum length of the name of a data centre, in characters; a host name has at
# most 253.
MAX_NAME_LENGTH = 255
# Maximum number of shared parts of a prompt that are identified, and maximum
# length of their ids in characters.
MAX_PROMPT_PARTS = 64
MAX_PART_ID_LENGTH = 32
# Characters of an invalid name that an error message shows.
SHOWN_CHARACTERS = 40


@dataclasses.dataclass(slots=True, frozen=True)
class CallerFields:
    """Decoded header fields of a caller's request.

    Attributes:
      request_id: id of this attempt of the caller.
      key: the caller's API key, or empty.
      remaining_s: seconds that the caller waits; 0 if not stated.
      prompt_tokens: length of the prompt in tokens, or 0.
      answer_tokens: maximum length of the answer in tokens, or 0.
      last_event: number of the last event that the caller has, or -1.
      prompt_parts: ids of the parts of the prompt that other requests may
        share, in order.
    """

    request_id: str
    key: str
    remaining_s: float
    prompt_tokens: int
    answer_tokens: int
    last_event: int
    prompt_parts: tuple[str, ...] = ()


def choose_prompt_parts(ids: Iterable[str]) -> tuple[str, ...]:
    """Returns the ids of shared parts within the limits, without duplicates.

    Args:
      ids: ids of the parts as the caller names them.
    """
    valid = (part for part in ids if 0 < len(part) <= MAX_PART_ID_LENGTH)
    return tuple(dict.fromkeys(valid))[:MAX_PROMPT_PARTS]


@dataclasses.dataclass(slots=True, frozen=True)
class Helper:
    """An engine that prefills a part of a prompt.

    Attributes:
      address: ``host:port`` of the engine.
      lease_id: id of its memory lease, or empty.
    """

    address: str
    lease_id: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class SendOptions:
    """Options with which one attempt is sent.

    Attributes:
      endpoint_id: id of the endpoint that it is meant for.
      remaining_s: seconds that the endpoint may work on it.
      urgency: rank at an engine, 0 is first; None keeps the default.
      last_event: number of the last event that the caller has, or -1.
      helpers: engines that prefill parts of the prompt.
    """

    endpoint_id: str
    remaining_s: float
    urgency: int | None = None
    last_event: int = -1
    helpers: tuple[Helper, ...] = ()

    @property
    def holds_memory(self) -> bool:
        """Whether it has memory leases at other engines."""
        return any(helper.lease_id for helper in self.helpers)


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerFields:
    """Decoded header fields of an endpoint's answer.

    Attributes:
      request_id: id of the attempt that is answered.
      sealed: whether the answer has the endpoint's signature.
      refused: whether the endpoint states that it did not run the request.
      misdirected: whether the address belongs to another endpoint now.
      at_fault: address of the endpoint that caused a refusal, or empty.
      statement: what the endpoint states about itself.
    """

    request_id: str
    sealed: bool
    refused: bool
    misdirected: bool
    at_fault: str
    statement: statements.Statement = statements.NOTHING


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationText:
    """An accepted version of the configuration.

    Attributes:
      version: increases with each accepted change.
      pieces: texts by name, in the deployment's format.
    """

    version: int
    pieces: Mapping[str, str]


class LeaseAnswer(enum.Enum):
    """An engine's answer to a lease request."""

    DONE = "done"
    REFUSED = "refused"
    # No answer: the request may have been carried out, or may be later.
    UNSURE = "unsure"


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseReply:
    """A reply to a lease request.

    Attributes:
      answer: whether the engine carried it out.
      statement: what the engine states about itself.
    """

    answer: LeaseAnswer
    statement: statements.Statement = statements.NOTHING


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseRequest:
    """A request for a memory lease at an engine.

    Attributes:
      lease_id: id of the lease; the same id again renews it.
      tokens: amount of memory in tokens.
      hold_s: seconds until it expires.
    """

    lease_id: str
    tokens: int
    hold_s: float


class LeaseClient(abc.ABC):
    """Client for memory leases at engines."""

    @abc.abstractmethod
    async def reserve(
        self, endpoint: listed.ListedEndpoint, request: LeaseRequest
    ) -> LeaseReply:
        """Acquires a lease, or renews the one with the same id."""

    @abc.abstractmethod
    async def release(
        self, endpoint: listed.ListedEndpoint, lease_id: str
    ) -> LeaseReply:
        """Releases a lease."""


class Dialect(abc.ABC):
    """Header fields and formats of one deployment."""

    @property
    @abc.abstractmethod
    def configuration_name(self) -> str:
        """Name of the object that holds the latest configuration."""

    @property
    @abc.abstractmethod
    def endpoint_prefix(self) -> str:
        """Prefix of the objects that list endpoints."""

    @property
    @abc.abstractmethod
    def evacuation_prefix(self) -> str:
        """Prefix of the objects that ask for an evacuation."""

    @abc.abstractmethod
    def read_caller(self, fields: Mapping[str, str]) -> CallerFields:
        """Decodes the header fields of a caller's request."""

    @abc.abstractmethod
    def filter_request_headers(
        self, fields: Iterable[tuple[str, str]], connection: str
    ) -> tuple[exchanges.Header, ...]:
        """Returns the header fields that are forwarded to the endpoint."""

    @abc.abstractmethod
    def filter_response_headers(
        self, fields: Iterable[tuple[str, str]], connection: str
    ) -> tuple[exchanges.Header, ...]:
        """Returns the header fields that are forwarded to the caller."""

    @abc.abstractmethod
    def address(
        self, exchange: exchanges.Exchange, options: SendOptions
    ) -> list[tuple[str, str]]:
        """Returns the header fields with which an exchange is sent."""

    @abc.abstractmethod
    def read_answer(
        self, status: int, fields: Mapping[str, str]
    ) -> AnswerFields:
        """Decodes the header fields of an endpoint's answer."""

    @abc.abstractmethod
    def split_configuration(self, value: bytes) -> ConfigurationText:
        """Splits a configuration into pieces that change independently.

        Raises:
          ValueError: it can't be decoded.
        """

    @abc.abstractmethod
    def change_table(
        self,
        before: routes.RoutingTable | None,
        document: documents.Document,
        difference: documents.Difference,
    ) -> routes.RoutingTable:
        """Decodes the changes of a configuration.

        Args:
          before: the table before the change; None decodes everything.
          document: the document after the change.
          difference: the change itself.

        Raises:
          ValueError: it can't be decoded.
        """

    @abc.abstractmethod
    def decode_endpoint(
        self, stored: stores.StoredObject
    ) -> listed.ListedEndpoint:
        """Decodes an entry of the list of endpoints.

        Raises:
          ValueError: it can't be decoded.
        """

    def decode_evacuation(self, name: str) -> str:
        """Returns the data centre that an object asks to evacuate.

        Only the name matters, as the object may come from any writer.

        Args:
          name: full name of the object.

        Raises:
          ValueError: it can't be the name of a data centre.
        """
        data_centre = name.removeprefix(self.evacuation_prefix)
        if not 0 < len(data_centre) <= MAX_NAME_LENGTH:
            raise ValueError(f"{data_centre[:SHOWN_CHARACTERS]!r} is no name")
        return data_centre
