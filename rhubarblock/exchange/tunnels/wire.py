"""The request for a tunnel and its answer: HTTP CONNECT.

A request may name an end mark. The server sends it after the last byte of an
endpoint that closed its connection regularly, since a server that is killed
closes the tunnel in the same way. Servers that don't know the mark send none.
"""

import enum
import random

from rhubarblock.httpclient import answerhead

METHOD = b"CONNECT "
HEAD_END = b"\r\n\r\n"
# Longest head in bytes of a request or an answer.
MAX_HEAD_BYTES = 512
END_MARK_FIELD = b"end-mark:"
# An end mark begins with bytes that UTF-8 text does not contain, so that text
# is never held back for being the start of one.
END_MARK_START = b"\xff\x00"
END_MARK_BYTES = 18


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


def make_end_mark(rng: random.Random) -> bytes:
    """Returns an end mark that no answer contains by chance."""
    return END_MARK_START + rng.randbytes(END_MARK_BYTES - len(END_MARK_START))


def encode_request(address: str, end_mark: bytes = b"") -> bytes:
    """Returns the request for a tunnel to ``host:port``."""
    mark = f"End-Mark: {end_mark.hex()}\r\n" if end_mark else ""
    return (
        f"CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n{mark}\r\n"
    ).encode()


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


def read_end_mark(head: bytes) -> bytes:
    """Returns the end mark that a request names, or nothing.

    Raises:
      ValueError: the mark is invalid.
    """
    for line in head.split(b"\r\n")[1:]:
        if line.lower().startswith(END_MARK_FIELD):
            text = line[len(END_MARK_FIELD) :].strip().decode("ascii")
            mark = bytes.fromhex(text)
            if len(mark) != END_MARK_BYTES:
                raise ValueError("an end mark has another length")
            return mark
    return b""


def encode_reply(reply: Reply) -> bytes:
    """Returns the answer to the request for a tunnel."""
    return f"HTTP/1.1 {reply.value} {reply.name}\r\n\r\n".encode()


def decode_reply(head: bytes) -> Reply:
    """Returns the answer that a head states.

    An answer of a release without tunnels counts as UNAVAILABLE.

    Raises:
      ValueError: the head is no valid HTTP answer.
    """
    status = answerhead.decode(head).status
    try:
        return Reply(status)
    except ValueError:
        return Reply.UNAVAILABLE
