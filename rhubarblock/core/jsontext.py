"""Decodes and encodes JSON that other processes wrote."""

import json
import math
import re
from typing import Any

# Deepest nesting of values that ``load_lenient`` keeps.
MAX_DEPTH = 100
# Maximum length of a decoded integer, in characters: that of 64 bits.
MAX_INTEGER_LENGTH = 20

# What reading the fields of a decoded text raises that lacks them, or in which
# they have other types or sizes.
MISMATCH = (AttributeError, LookupError, OverflowError, TypeError, ValueError)

_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


def load(text: bytes | str) -> Any:
    """Decodes a text.

    Raises:
      ValueError: it is no JSON, or nested too deeply.
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("the text is nested too deeply") from error


def load_lenient(content: bytes) -> Any:
    """Decodes a text whose parts come from several writers.

    A part that can't be decoded must not make the others unreadable: invalid
    UTF-8 is replaced, integers that are too long become infinity, and values
    that are nested too deeply become null.

    Raises:
      ValueError: the text as a whole is invalid.
    """
    text = content.decode("utf-8", "replace")
    try:
        return json.loads(text, parse_int=_read_integer)
    except RecursionError:
        return json.loads(_cut_nesting(text), parse_int=_read_integer)


def dump_lenient(value: Any) -> bytes:
    """Encodes a value, as null if it is nested too deeply."""
    try:
        return json.dumps(value).encode()
    except RecursionError:
        return b"null"


def _read_integer(digits: str) -> int | float:
    """Returns an integer, or infinity if it is too long for any field."""
    if len(digits) > MAX_INTEGER_LENGTH:
        return math.inf
    return int(digits)


def _cut_nesting(text: str) -> str:
    """Replaces the values that are nested too deeply by null."""
    pieces = []
    depth = 0
    kept = 0
    for token in _TOKEN.finditer(text):
        if token[0] in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                pieces += [text[kept : token.start()], "null"]
        elif token[0] in "]}":
            depth -= 1
            if depth == MAX_DEPTH:
                kept = token.end()
    if depth > MAX_DEPTH:
        raise ValueError("a value does not end")
    return "".join([*pieces, text[kept:]])
