"""Client of the administration API, shared by the operators' commands."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
from typing import Any
from typing import TypeVar

import aiohttp
import click

from rhubarblock.core import jsontext
from rhubarblock.httpclient import connector as connectors
from rhubarblock.httpclient import reading
from rhubarblock.httpclient import sessions

URL_VARIABLE = "RHUBARBLOCK_ADMIN"
TOKEN_VARIABLE = "RHUBARBLOCK_TOKEN"
# The API responds to a change only after the platform has confirmed or refused
# it, so the timeout is long.
DEFAULT_TIMEOUT_S = 60.0
# Longest answer of the API in bytes.
MAX_ANSWER_BYTES = 64_000_000

EXIT_REFUSED = 1
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4

_CONFLICT_CODE = "revision_conflict"
_UNKNOWN_VERDICT = "MAY_HAVE_RUN"
_READ_METHOD = "GET"
_NO_ANSWER = "no answer in time"

Command = TypeVar("Command", bound=Callable[..., Any])


@dataclasses.dataclass(slots=True, frozen=True)
class Connection:
    """Address of and credential for the administration API.

    Attributes:
      url: base URL, such as ``http://127.0.0.1:8111``.
      token: secret of the operator, sent as bearer token.
      timeout_s: timeout of a call in seconds.
    """

    url: str
    token: str
    timeout_s: float = DEFAULT_TIMEOUT_S


class ApiRefusal(click.ClickException):
    """The API returned an error.

    Attributes:
      error: the error object in the response.
    """

    exit_code = EXIT_REFUSED

    def __init__(self, error: dict[str, Any]):
        super().__init__(str(error.get("message", "no message")))
        self.error = error


class ConflictRefusal(ApiRefusal):
    """The change is based on an outdated revision."""

    exit_code = EXIT_CONFLICT


class UnknownOutcome(ApiRefusal):
    """The API does not know whether the request took effect."""

    exit_code = EXIT_UNKNOWN


class ConnectionFailure(click.ClickException):
    """The API could not be reached or returned an invalid response."""

    exit_code = EXIT_REFUSED


class ResponseLost(ConnectionFailure):
    """A write got no valid response; it may have taken effect."""

    exit_code = EXIT_UNKNOWN


def _make_refusal(error: dict[str, Any]) -> ApiRefusal:
    if error.get("verdict") == _UNKNOWN_VERDICT:
        return UnknownOutcome(error)
    if error.get("code") == _CONFLICT_CODE:
        return ConflictRefusal(error)
    return ApiRefusal(error)


def connection_options(command: Command) -> Command:
    """Adds the options ``--url`` and ``--token`` to a command."""
    command = click.option(
        "--url",
        envvar=URL_VARIABLE,
        required=True,
        help=f"Administration API of any instance; or {URL_VARIABLE}.",
    )(command)
    return click.option(
        "--token",
        envvar=TOKEN_VARIABLE,
        required=True,
        help=f"Secret of an operator; better given in {TOKEN_VARIABLE}.",
    )(command)


json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print the answer as JSON."
)


def fetch(
    connection: Connection, path: str, query: dict[str, str] | None = None
) -> dict[str, Any]:
    """Sends a read request to the API.

    Args:
      connection: address and credential.
      path: path below ``/admin/v1``.
      query: query parameters.

    Returns:
      The JSON object in the response.

    Raises:
      ApiRefusal: the API returned an error.
      ConnectionFailure: there was no valid response.
    """
    return _run(connection, _READ_METHOD, path, query or {}, None)


def send(
    connection: Connection, path: str, body: dict[str, Any]
) -> dict[str, Any]:
    """Sends a write request to the API.

    Args:
      connection: address and credential.
      path: path below ``/admin/v1``.
      body: JSON body of the request.

    Returns:
      The JSON object in the response.

    Raises:
      ApiRefusal: the API returned an error.
      ConnectionFailure: the connection could not be opened.
      ResponseLost: there was no valid response to a request that may have been
        sent.
    """
    return _run(connection, "POST", path, {}, body)


def print_json(document: dict[str, Any]) -> None:
    """Prints a JSON object."""
    click.echo(json.dumps(document, indent=2, ensure_ascii=False))


def _run(
    connection: Connection,
    method: str,
    path: str,
    query: dict[str, str],
    body: dict[str, Any] | None,
) -> dict[str, Any]:
    try:
        return asyncio.run(_call(connection, method, path, query, body))
    except aiohttp.ClientConnectorError as error:
        reason = reading.describe_error(error)
        raise ConnectionFailure(f"{connection.url}: {reason}") from error
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        reason = reading.describe_error(error) if str(error) else _NO_ANSWER
        message = f"{connection.url}: {reason}"
        if method == _READ_METHOD:
            raise ConnectionFailure(message) from error
        message += "; it may have taken effect, see the audit trail"
        raise ResponseLost(message) from error


async def _call(
    connection: Connection,
    method: str,
    path: str,
    query: dict[str, str],
    body: dict[str, Any] | None,
) -> dict[str, Any]:
    url = f"{connection.url.rstrip('/')}/admin/v1/{path}"
    headers = {"Authorization": f"Bearer {connection.token}"}
    timeout = aiohttp.ClientTimeout(total=connection.timeout_s)
    async with (
        sessions.open_session(
            connectors.AnswerConnector(max_body_bytes=MAX_ANSWER_BYTES),
            timeout=timeout,
            headers=headers,
        ) as session,
        session.request(method, url, params=query, json=body) as response,
    ):
        document = jsontext.load(await response.read())
    if not isinstance(document, dict):
        raise ValueError("the answer is no JSON object")
    if "error" in document:
        raise _make_refusal(document["error"])
    return document
