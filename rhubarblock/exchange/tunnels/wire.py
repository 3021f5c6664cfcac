"""The request for a tunnel and its answer: HTTP CONNECT without fields."""

import enum

METHOD = b"CONNECT "
HEAD_END = b"\r\n\r\n"
# Longest head in bytes of a request or an answer.
MAX_HEAD_BYTES = 512


class Reply(enum.IntEnum):
    """Answer to the request for a tunnel, as an HTTP status.

    OPENED: bytes are forwarded from now on.
    FORBIDDEN: the sender is no peer, or the address is no endpoint's.
    UNREACHABLE: the endpoint takes no connection, and others do.
    UNAVAILABLE: the peer can open no tunnel, which says nothing about the
      endpoint.
    """

    OPENED = 200
    FORBIDDEN = 403
    UNREACHABLE = 502
    UNAVAILABLE = 503


def encode_request(address: str) -> bytes:
    """Returns the request for a tunnel to ``host:port``."""
    return f"CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()


def decode_request(head: bytes) -> tuple[str, int]:
    """Returns host and port of a request.

    Raises:
      ValueError: the head is no request for a tunnel.
    """
    method, address, _ = head.split(b"\r\n", 1)[0].decode("ascii").split(" ")
    host, _, port = address.rpartition(":")
    if method != "CONNECT" or not host:
        raise ValueError("a request for a tunnel is expected")
    return host, int(port)


def encode_reply(reply: Reply) -> bytes:
    """Returns the answer to the request for a tunnel."""
    return f"HTTP/1.1 {reply.value} {reply.name}\r\n\r\n".encode()


def decode_reply(head: bytes) -> Reply:
    """Returns the answer that a head states.

    An answer of a release without tunnels counts as UNAVAILABLE.

    Raises:
      ValueError: the head is no HTTP answer.
    """
    version, status, _ = head.split(b" ", 2)
    if not version.startswith(b"HTTP/"):
        raise ValueError("an HTTP answer is expected")
    try:
        return Reply(int(status))
    except ValueError:
        return Reply.UNAVAILABLE
