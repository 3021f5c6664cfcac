"""The platform's implementation of the dialect interface."""

from collections.abc import Iterable
from collections.abc import Mapping

from rhubarblock.core import document as documents
from rhubarblock.core import exchange as exchanges
from rhubarblock.core import listed
from rhubarblock.core import route as routes
from rhubarblock.exchange import dialect as dialects
from rhubarblock.platform import configuration
from rhubarblock.platform import headercodec
from rhubarblock.platform import names
from rhubarblock.store import store as stores


class PlatformDialect(dialects.Dialect):
    """Implements the dialect with the modules of this package."""

    __slots__ = ()

    @property
    def configuration_name(self) -> str:
        return names.CONFIGURATION

    @property
    def endpoint_prefix(self) -> str:
        return names.ENDPOINT_KIND

    @property
    def evacuation_prefix(self) -> str:
        return names.EVACUATION_KIND

    def read_caller(self, fields: Mapping[str, str]) -> dialects.CallerFields:
        return headercodec.read_caller(fields)

    def filter_request_headers(
        self, fields: Iterable[tuple[str, str]], connection: str
    ) -> tuple[exchanges.Header, ...]:
        return headercodec.filter_request_headers(fields, connection)

    def filter_response_headers(
        self, fields: Iterable[tuple[str, str]], connection: str
    ) -> tuple[exchanges.Header, ...]:
        return headercodec.filter_response_headers(fields, connection)

    def address(
        self, exchange: exchanges.Exchange, options: dialects.SendOptions
    ) -> list[tuple[str, str]]:
        return headercodec.address(exchange, options)

    def read_answer(
        self, status: int, fields: Mapping[str, str]
    ) -> dialects.AnswerFields:
        return headercodec.read_answer(status, fields)

    def split_configuration(self, value: bytes) -> dialects.ConfigurationText:
        return configuration.split(value)

    def change_table(
        self,
        before: routes.RoutingTable | None,
        document: documents.Document,
        difference: documents.Difference,
    ) -> routes.RoutingTable:
        return configuration.change_table(before, document, difference)

    def decode_endpoint(
        self, stored: stores.StoredObject
    ) -> listed.ListedEndpoint:
        return configuration.decode_endpoint(stored)
