"""How a deployment spells what the relay of exchanges understands.

The relay knows the meaning of a deadline, a key or a refusal; a dialect knows
its spelling. An adapter implements it, so that no name of a certain
deployment stands in the product.
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


@dataclasses.dataclass(slots=True, frozen=True)
class CallerFields:
    """What a caller's head says besides the exchange itself.

    Attributes:
      request_id: id of this attempt of the caller.
      key: the caller's key, or empty.
      remaining_s: seconds that the caller waits; 0 where it did not say.
      prompt_tokens: tokens of the prompt, or 0.
      answer_tokens: most tokens of the answer, or 0.
      last_event: number of the last event that the caller has, or -1.
    """

    request_id: str
    key: str
    remaining_s: float
    prompt_tokens: int
    answer_tokens: int
    last_event: int


@dataclasses.dataclass(slots=True, frozen=True)
class Helper:
    """An engine that reads a part of a prompt.

    Attributes:
      address: where it is.
      lease_id: its memory lease, or empty.
    """

    address: str
    lease_id: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class SendOptions:
    """How one attempt is addressed.

    Attributes:
      endpoint_id: start of an endpoint that it is meant for.
      remaining_s: seconds that the endpoint may work on it.
      urgency: rank at an engine, 0 is first; None leaves the usual one.
      last_event: number of the last event that the caller has, or -1.
      helpers: engines that read parts of the prompt.
    """

    endpoint_id: str
    remaining_s: float
    urgency: int | None = None
    last_event: int = -1
    helpers: tuple[Helper, ...] = ()

    @property
    def holds_memory(self) -> bool:
        """Whether memory is held for it at other engines while it runs."""
        return any(helper.lease_id for helper in self.helpers)


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerFields:
    """What the head of an endpoint's answer says.

    Attributes:
      request_id: id of the attempt that it answers.
      sealed: whether it bears the endpoint's signature.
      refused: whether the endpoint says that it did not run the request.
      misdirected: whether another endpoint has the address now.
      at_fault: address of the endpoint that made it fail, or empty.
      statement: what it says of the endpoint itself.
    """

    request_id: str
    sealed: bool
    refused: bool
    misdirected: bool
    at_fault: str
    statement: statements.Statement = statements.NOTHING


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationText:
    """A configuration as its writer accepted it.

    Attributes:
      version: rises with each accepted change.
      pieces: texts by name, in the deployment's spelling.
    """

    version: int
    pieces: Mapping[str, str]


class LeaseAnswer(enum.Enum):
    """What an engine said to an order about memory."""

    DONE = "done"
    REFUSED = "refused"
    # No answer: it may have been carried out, or may be seconds later.
    UNSURE = "unsure"


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseReply:
    """An engine's answer to an order about memory.

    Attributes:
      answer: what it said to the order.
      statement: what it says of itself beside.
    """

    answer: LeaseAnswer
    statement: statements.Statement = statements.NOTHING


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseRequest:
    """Memory to set aside at an engine.

    Attributes:
      lease_id: names it; the same id again renews it.
      tokens: how much.
      hold_s: seconds until it lapses by itself.
    """

    lease_id: str
    tokens: int
    hold_s: float


class LeaseClient(abc.ABC):
    """Orders about memory to engines."""

    @abc.abstractmethod
    async def reserve(
        self, endpoint: listed.ListedEndpoint, order: LeaseRequest
    ) -> LeaseReply:
        """Sets memory aside, or renews what is set aside under the same id."""

    @abc.abstractmethod
    async def release(
        self, endpoint: listed.ListedEndpoint, lease_id: str
    ) -> LeaseReply:
        """Gives memory back."""


class Dialect(abc.ABC):
    """Spelling of one deployment."""

    @property
    @abc.abstractmethod
    def configuration_name(self) -> str:
        """Name of the object with the newest configuration."""

    @property
    @abc.abstractmethod
    def endpoint_prefix(self) -> str:
        """Prefix of the objects that list endpoints."""

    @abc.abstractmethod
    def read_caller(self, fields: Mapping[str, str]) -> CallerFields:
        """Decodes a caller's head."""

    @abc.abstractmethod
    def filter_request_headers(
        self, fields: Iterable[tuple[str, str]], connection: str
    ) -> tuple[exchanges.Header, ...]:
        """Returns a caller's fields that go to the endpoint unchanged."""

    @abc.abstractmethod
    def filter_response_headers(
        self, fields: Iterable[tuple[str, str]], connection: str
    ) -> tuple[exchanges.Header, ...]:
        """Returns an endpoint's fields that go to the caller unchanged."""

    @abc.abstractmethod
    def address(
        self, exchange: exchanges.Exchange, order: SendOptions
    ) -> list[tuple[str, str]]:
        """Returns the head with which an exchange goes to an endpoint."""

    @abc.abstractmethod
    def read_answer(
        self, status: int, fields: Mapping[str, str]
    ) -> AnswerFields:
        """Decodes the head of an endpoint's answer."""

    @abc.abstractmethod
    def split_configuration(self, value: bytes) -> ConfigurationText:
        """Splits a configuration into pieces that change by themselves.

        Raises:
          ValueError: it can't be read.
        """

    @abc.abstractmethod
    def change_table(
        self,
        before: routes.RoutingTable | None,
        document: documents.Document,
        difference: documents.Difference,
    ) -> routes.RoutingTable:
        """Decodes what changed in a configuration.

        Args:
          before: the table before the change; None decodes all.
          document: the document after it.
          difference: what led from the one to the other.

        Raises:
          ValueError: it can't be read.
        """

    @abc.abstractmethod
    def decode_endpoint(
        self, stored: stores.StoredObject
    ) -> listed.ListedEndpoint:
        """Decodes an entry of the list of endpoints.

        Raises:
          ValueError: it can't be read.
        """
