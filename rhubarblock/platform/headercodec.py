"""Decodes and encodes the header fields of the platform's protocol."""

from collections.abc import Iterable
from collections.abc import Mapping
import re

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import hopbyhop
from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.core import statement as statements
from rhubarblock.exchange import dialect as dialects
from rhubarblock.platform import names

# Status with which an endpoint rejects a request addressed to another endpoint.
MISDIRECTED = 421

_MS_PER_S = 1000.0
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")

# Statuses with which an endpoint rejects a request.
_REJECTION_STATUSES = frozenset({429, 503})
# Known fields that an endpoint sets about itself.
_KNOWN = frozenset(
    name.lower()
    for name in (
        names.ATTEMPT_ID,
        names.SEAL,
        names.NOT_EXECUTED,
        names.LIMIT,
        names.LEAVING,
        names.COLD_REMAINING,
        *names.FORWARDED,
    )
)
# Fields that are never forwarded from a caller; this system sets its own.
_RESERVED = frozenset(
    name.lower()
    for name in (
        names.REMAINING,
        names.CREDENTIAL,
        names.TENANT,
        names.TARGET,
        names.URGENCY,
        names.HELPERS,
        names.LAST_EVENT,
    )
)


def read_caller(fields: Mapping[str, str]) -> dialects.CallerFields:
    """Decodes the header fields of a caller's request."""
    prompt_tokens, answer_tokens = _read_tokens(fields.get(names.TOKEN_COUNT))
    return dialects.CallerFields(
        request_id=fields.get(names.ATTEMPT_ID, ""),
        key=fields.get(names.CREDENTIAL, ""),
        remaining_s=_read_number(fields.get(names.REMAINING)) / _MS_PER_S,
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        last_event=int(_read_number(fields.get(names.LAST_EVENT), -1.0)),
        prompt_parts=_read_shared_parts(fields),
    )


def filter_request_headers(
    fields: Iterable[tuple[str, str]], connection: str
) -> tuple[exchanges.Header, ...]:
    """Returns a caller's fields that are forwarded to the endpoint.

    Args:
      fields: names and values as received.
      connection: value of the Connection field, which names further fields
        that apply to one connection.
    """
    return hopbyhop.remove(fields, connection, _RESERVED)


def filter_response_headers(
    fields: Iterable[tuple[str, str]], connection: str
) -> tuple[exchanges.Header, ...]:
    """Returns an endpoint's fields that are forwarded to the caller."""
    return hopbyhop.remove(fields, connection)


def address(
    exchange: exchanges.Exchange, options: dialects.SendOptions
) -> list[tuple[str, str]]:
    """Returns the header fields of an exchange's request to an endpoint."""
    fields = [(header.name, header.value) for header in exchange.headers]
    remaining_ms = max(1, int(options.remaining_s * _MS_PER_S))
    fields.append((names.REMAINING, str(remaining_ms)))
    fields.append((names.TARGET, options.endpoint_id))
    if exchange.workspace:
        fields.append((names.TENANT, exchange.workspace))
    if options.urgency is not None:
        fields.append((names.URGENCY, str(options.urgency)))
    if options.last_event >= 0:
        fields.append((names.LAST_EVENT, str(options.last_event)))
    if options.helpers:
        listed = ",".join(_format_helper(helper) for helper in options.helpers)
        fields.append((names.HELPERS, listed))
    return fields


def read_answer(
    status: int, fields: Mapping[str, str]
) -> dialects.AnswerFields:
    """Decodes the header fields of an endpoint's response."""
    return dialects.AnswerFields(
        request_id=fields.get(names.ATTEMPT_ID, ""),
        sealed=len(_read_texts(fields, names.SEAL)) == 1,
        refused=names.NOT_EXECUTED in fields or status == MISDIRECTED,
        misdirected=status == MISDIRECTED,
        at_fault=fields.get(names.AT_SERVER, ""),
        statement=read_statement(status, fields),
    )


def read_statement(
    status: int, fields: Mapping[str, str]
) -> statements.Statement:
    """Decodes what a response states about its endpoint.

    Args:
      status: status of the response.
      fields: its header fields.
    """
    if status == MISDIRECTED:
        # Another endpoint has the address now, and the response describes that
        # one.
        return statements.NOTHING
    statement = statements.Statement(
        limit=read_limit(fields),
        cooldown=_read_cooldown(status, fields),
        is_leaving="1" in _read_texts(fields, names.LEAVING),
        unknown=tuple(name for name in fields if _is_unknown(name.lower())),
        cold_remaining_s=_read_cold_remaining(fields),
    )
    return statements.NOTHING if statement == statements.NOTHING else statement


def _is_unknown(name: str) -> bool:
    return name.startswith(names.ENDPOINT_PREFIXES) and name not in _KNOWN


def _read_cooldown(
    status: int, fields: Mapping[str, str]
) -> statements.StatedCooldown:
    """Decodes a cool-down, the longest one if there are several."""
    if status not in _REJECTION_STATUSES or names.RETRY_AFTER not in fields:
        return statements.NO_COOLDOWN
    texts = _read_texts(fields, names.RETRY_AFTER)
    lengths = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
    unreadable = [text for text in texts if not _DECIMAL.fullmatch(text)]
    return statements.StatedCooldown(
        max(lengths, default=None),
        (unreadable[0] or "(empty)") if unreadable else "",
    )


def _read_cold_remaining(fields: Mapping[str, str]) -> float | None:
    """Decodes the cold time in seconds; None if a value is invalid."""
    texts = _read_texts(fields, names.COLD_REMAINING)
    if not texts or not all(_DECIMAL.fullmatch(text) for text in texts):
        return None
    return max(map(float, texts)) / _MS_PER_S


def _read_texts(fields: Mapping[str, str], name: str) -> list[str]:
    """Returns the distinct values of a field, which may be repeated."""
    if name not in fields:
        return []
    wanted = name.lower()
    return sorted({v.strip() for n, v in fields.items() if n.lower() == wanted})


def read_limit(fields: Mapping[str, str]) -> ratelimits.StatedLimit:
    """Decodes the stated rate limit, a plain decimal number.

    Args:
      fields: header fields; a repeated field is valid if its values are equal.
    """
    if names.LIMIT not in fields:
        return ratelimits.NO_STATED_LIMIT
    text = ", ".join(_read_texts(fields, names.LIMIT))
    if not _DECIMAL.fullmatch(text):
        return ratelimits.StatedLimit(unreadable=text or "(empty)")
    return ratelimits.StatedLimit(float(text))


def _format_helper(helper: dialects.Helper) -> str:
    if helper.lease_id:
        return f"{helper.address}/{helper.lease_id}"
    return helper.address


def _read_number(text: str | None, default: float = 0.0) -> float:
    try:
        return float(text) if text else default
    except ValueError:
        return default


def _read_tokens(text: str | None) -> tuple[int, int]:
    prompt, _, answer = (text or "").partition(",")
    return int(_read_number(prompt)), int(_read_number(answer))


def _read_shared_parts(fields: Mapping[str, str]) -> tuple[str, ...]:
    """Decodes the ids of a prompt's parts, except the last one."""
    if names.PROMPT_PREFIX not in fields:
        return ()
    wanted = names.PROMPT_PREFIX.lower()
    text = ",".join(v for n, v in fields.items() if n.lower() == wanted)
    return dialects.choose_prompt_parts(
        entry.partition(":")[0].strip().lower()
        for entry in text.split(",")[:-1]
    )
