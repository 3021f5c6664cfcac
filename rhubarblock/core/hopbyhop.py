"""Header fields that concern one connection and are not forwarded."""

from collections.abc import Iterable

from rhubarblock.core import exchange as exchanges

NAMES = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


def remove(
    fields: Iterable[tuple[str, str]],
    connection: str,
    others: frozenset[str] = frozenset(),
) -> tuple[exchanges.Header, ...]:
    """Returns the fields of a message that may be forwarded.

    Args:
      fields: names and values as received.
      connection: value of the Connection field, which names further fields
        that concern one connection.
      others: further fields to leave out, in lower case.
    """
    named = {name.strip().lower() for name in connection.split(",")}
    dropped = NAMES | others | named
    return tuple(
        exchanges.Header(name, value)
        for name, value in fields
        if name.lower() not in dropped
    )
