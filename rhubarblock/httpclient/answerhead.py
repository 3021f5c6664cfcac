"""Decodes the head of an HTTP/1.1 answer.

The HTTP library accepts heads that are invalid, as an application may still be
able to use them. A proxy may not: what is invalid is read differently by the
next recipient. So only heads that RFC 9110 and RFC 9112 allow are decoded here.
"""

import dataclasses
import re

END = b"\r\n\r\n"

_LINE_END = b"\r\n"
_VERSION_START = b"HTTP/1."

# Visible ASCII, blanks, tabs, and bytes outside of ASCII (``obs-text``).
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?\r\n"
)
_FIELDS = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + _TEXT + rb"\r\n)*")
_FRAMING = re.compile(
    rb"\n(content-length|transfer-encoding):([^\r]*)", re.IGNORECASE
)
# 18 digits fit into 64 bits.
_LENGTH = re.compile(rb"[0-9]{1,18}")

_CONTENT_LENGTH = b"content-length"
_SWITCHING_PROTOCOLS = 101
_NO_CONTENT = 204


class InvalidHeadError(ValueError):
    """A head is invalid; its text says which part, and repeats no byte."""


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """What a head says about the bytes that follow it.

    Attributes:
      status: status code, from 100 to 599.
      length: length of the body in bytes; None without Content-Length.
      chunked: whether the body is sent in chunks.
    """

    status: int
    length: int | None
    chunked: bool

    @property
    def interim(self) -> bool:
        """Whether another head follows, which answers the same request."""
        return self.status < 200


def check_start(data: bytes) -> None:
    """Checks bytes that may be the start of a head.

    Args:
      data: bytes without the empty line that ends a head.

    Raises:
      InvalidHeadError: no valid head starts with them.
    """
    lines, line_end, rest = data.rpartition(_LINE_END)
    if line_end:
        _check_lines(lines + line_end)
    elif not _VERSION_START.startswith(data[: len(_VERSION_START)]):
        raise InvalidHeadError("the status line is invalid")
    if b"\n" in rest:
        raise InvalidHeadError("a line ends without a carriage return")


def decode(head: bytes) -> AnswerHead:
    """Decodes a head.

    Args:
      head: the bytes up to the empty line that ends the head, included.

    Raises:
      InvalidHeadError: the head is invalid.
    """
    start = _check_lines(head.removesuffix(_LINE_END))
    status = int(start[2])
    if status == _SWITCHING_PROTOCOLS:
        # Requests never ask for another protocol.
        raise InvalidHeadError("it switches the protocol")
    framing = _FRAMING.findall(head, start.end() - 1)
    if not framing:
        return AnswerHead(status, None, False)
    if len(framing) > 1:
        raise InvalidHeadError("the length is stated twice")
    name, value = framing[0]
    value = value.strip(b" \t")
    if name.lower() == _CONTENT_LENGTH:
        return AnswerHead(status, _decode_length(status, value), False)
    if value.lower() != b"chunked" or start[1] == b"0" or _is_bodiless(status):
        raise InvalidHeadError("the transfer coding is invalid")
    return AnswerHead(status, None, True)


def _check_lines(lines: bytes) -> re.Match[bytes]:
    """Checks whole lines and returns the match of the status line."""
    start = _STATUS_LINE.match(lines)
    if start is None:
        raise InvalidHeadError("the status line is invalid")
    if _FIELDS.fullmatch(lines, start.end()) is None:
        raise InvalidHeadError("a header field is invalid")
    return start


def _decode_length(status: int, value: bytes) -> int:
    if _LENGTH.fullmatch(value) is None:
        raise InvalidHeadError("the length is invalid")
    length = int(value)
    if length and _is_bodiless(status):
        raise InvalidHeadError("the status allows no body")
    return length


def _is_bodiless(status: int) -> bool:
    """Returns whether answers with a status never have a body or a length."""
    return status < 200 or status == _NO_CONTENT
