"""Kinds of values in INI files.

Each kind parses a text and describes in one phrase what it allows. Settings and
catalogue files share them, so that error messages are the same in both.
"""

import abc
import dataclasses
import datetime
import enum
import ipaddress
import math
import re
from typing import Any
import urllib.parse

from returns import result

MAX_PORT = 65535
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """An IP address and a port; port 0 lets the operating system choose.

    Attributes:
      host: IP address.
      port: TCP or UDP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class ValueKind(abc.ABC):
    """Parses and formats one kind of value."""

    @abc.abstractmethod
    def parse(self, text: str) -> Any:
        """Returns the value of a text.

        Raises:
          ValueError: the text is not of this kind.
        """

    @abc.abstractmethod
    def describe(self) -> str:
        """Returns a phrase for error messages that says what is allowed."""

    def format(self, value: Any) -> str:
        """Returns the text of a value."""
        return str(value)

    def read(self, text: str) -> result.Result[Any, str]:
        """Parses a text without raising.

        Args:
          text: text of the value without surrounding space.

        Returns:
          The value, or an error message.
        """
        try:
            return result.Success(self.parse(text))
        except ValueError as error:
            return result.Failure(str(error))


@dataclasses.dataclass(slots=True, frozen=True)
class Text(ValueKind):
    """Any printable text on one line."""

    empty: bool = False

    def parse(self, text: str) -> str:
        if not text and not self.empty:
            raise ValueError("is empty")
        if "\n" in text:
            raise ValueError("has more than one line")
        if not text.isprintable():
            raise ValueError("has characters that cannot be printed")
        return text

    def describe(self) -> str:
        return "text or empty" if self.empty else "text"


@dataclasses.dataclass(slots=True, frozen=True)
class Name(ValueKind):
    """A name of letters, digits, dots, hyphens and underscores."""

    parts: int = 1
    empty: bool = False

    def parse(self, text: str) -> str:
        if not text and self.empty:
            return text
        parts = text.split("/")
        if len(parts) != self.parts or not all(map(is_name, parts)):
            raise ValueError(f"{text!r} is not a name")
        return text

    def describe(self) -> str:
        pattern = "/".join(["name"] * self.parts)
        allowed = f"{pattern} of letters, digits, '.', '-' and '_'"
        return f"{allowed}, or empty" if self.empty else allowed


def is_name(text: str) -> bool:
    """Returns whether a text is a valid name of an entry."""
    return _NAME_PATTERN.fullmatch(text) is not None


@dataclasses.dataclass(slots=True, frozen=True)
class Number(ValueKind):
    """A finite number within bounds."""

    least: float = 0.0
    most: float = math.inf

    def parse(self, text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise ValueError(f"{text!r} is not a number") from None
        if not math.isfinite(value):
            raise ValueError(f"{text!r} is not a finite number")
        if not self.least <= value <= self.most:
            raise ValueError(f"{text} is out of range")
        return value

    def describe(self) -> str:
        return _describe_range("number", self.least, self.most)

    def format(self, value: float) -> str:
        if math.isfinite(value) and value == int(value):
            return str(int(value))
        return repr(value)


@dataclasses.dataclass(slots=True, frozen=True)
class Integer(ValueKind):
    """A whole number within bounds."""

    least: int = 0
    most: float = math.inf

    def parse(self, text: str) -> int:
        if not text.lstrip("-").isascii() or not text.lstrip("-").isdigit():
            raise ValueError(f"{text!r} is not a whole number")
        value = int(text)
        if not self.least <= value <= self.most:
            raise ValueError(f"{text} is out of range")
        return value

    def describe(self) -> str:
        return _describe_range("whole number", self.least, self.most)


def _describe_range(noun: str, least: float, most: float) -> str:
    if most == math.inf:
        return f"{noun} from {least:g}"
    return f"{noun} from {least:g} to {most:g}"


@dataclasses.dataclass(slots=True, frozen=True)
class Flag(ValueKind):
    """Yes or no."""

    def parse(self, text: str) -> bool:
        if text not in ("yes", "no"):
            raise ValueError(f"{text!r} is neither yes nor no")
        return text == "yes"

    def describe(self) -> str:
        return "yes or no"

    def format(self, value: bool) -> str:
        return "yes" if value else "no"


@dataclasses.dataclass(slots=True, frozen=True)
class Choice(ValueKind):
    """One of a few words."""

    words: tuple[str, ...]

    def parse(self, text: str) -> str:
        if text not in self.words:
            raise ValueError(f"{text!r} is not allowed")
        return text

    def describe(self) -> str:
        return "one of " + ", ".join(self.words)


@dataclasses.dataclass(slots=True, frozen=True)
class Member(ValueKind):
    """A member of an enumeration, written as its value."""

    members: type[enum.Enum]

    def parse(self, text: str) -> enum.Enum:
        try:
            return self.members(text)
        except ValueError:
            raise ValueError(f"{text!r} is not allowed") from None

    def describe(self) -> str:
        return "one of " + ", ".join(m.value for m in self.members)

    def format(self, value: enum.Enum) -> str:
        return str(value.value)


@dataclasses.dataclass(slots=True, frozen=True)
class HostPort(ValueKind):
    """An IP address and a port."""

    empty: bool = False
    least_port: int = 0

    def parse(self, text: str) -> Address | None:
        if not text and self.empty:
            return None
        host, colon, port = text.rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        try:
            ipaddress.ip_address(host)
        except ValueError:
            raise ValueError(f"{text!r} is not IP:port") from None
        if not colon or not port.isascii() or not port.isdigit():
            raise ValueError(f"{text!r} is not IP:port")
        if not self.least_port <= int(port) <= MAX_PORT:
            raise ValueError(f"port {port} is out of range")
        return Address(host, int(port))

    def describe(self) -> str:
        allowed = f"IP:port, port {self.least_port} to {MAX_PORT}"
        return f"{allowed}, or empty" if self.empty else allowed

    def format(self, value: Address | None) -> str:
        return "" if value is None else str(value)


@dataclasses.dataclass(slots=True, frozen=True)
class Items(ValueKind):
    """Values of one kind, separated by commas or line breaks."""

    kind: ValueKind

    def parse(self, text: str) -> tuple[Any, ...]:
        pieces = (piece.strip() for piece in text.replace("\n", ",").split(","))
        return tuple(self.kind.parse(piece) for piece in pieces if piece)

    def describe(self) -> str:
        return f"comma list, each {self.kind.describe()}; may be empty"

    def format(self, value: tuple[Any, ...]) -> str:
        return ", ".join(self.kind.format(item) for item in value)


@dataclasses.dataclass(slots=True, frozen=True)
class Url(ValueKind):
    """The base address of an HTTP server."""

    def parse(self, text: str) -> str:
        parts = urllib.parse.urlsplit(text)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise ValueError(f"{text!r} is not an HTTP address")
        if parts.query or parts.fragment:
            raise ValueError(f"{text!r} has a query or fragment")
        return text.rstrip("/")

    def describe(self) -> str:
        return "http://host:port or https://host:port"


@dataclasses.dataclass(slots=True, frozen=True)
class Digest(ValueKind):
    """A SHA-256 digest in hex."""

    empty: bool = False

    def parse(self, text: str) -> str:
        if not text and self.empty:
            return text
        if len(text) != 64 or set(text) - set("0123456789abcdef"):
            raise ValueError("is not a SHA-256 digest")
        return text

    def describe(self) -> str:
        allowed = "64 lower-case hex digits"
        return f"{allowed}, or empty" if self.empty else allowed


@dataclasses.dataclass(slots=True, frozen=True)
class Date(ValueKind):
    """A date as YYYY-MM-DD, kept as text, or empty."""

    def parse(self, text: str) -> str:
        if not text:
            return text
        try:
            day = datetime.date.fromisoformat(text)
        except ValueError:
            raise ValueError(f"{text!r} is not a day") from None
        return day.isoformat()

    def describe(self) -> str:
        return "day as YYYY-MM-DD, or empty"
