"""JSON encoding of the engine protocol.

Covers attempts, answers, orders and reports. The client and the stand-in server
share this module. The protocol is described in docs/standins.md.
"""

from collections.abc import Callable
from collections.abc import Mapping
import json
from typing import Any
from typing import TypeVar

from rhubarblock.core import attempt as attempts
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import jsontext
from rhubarblock.core import verdict as verdicts

T = TypeVar("T")

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
ERROR_EVENT_START = b'data: {"error":'
_DATA = b"data: "


def encode_json(value: Any) -> bytes:
    """Returns compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


def parse_json(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in a body.

    Raises:
      failure.FailureError: BAD_REQUEST if the body is not a JSON object.
    """
    try:
        value = jsontext.load(body)
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise _make_error("the body is not a JSON object")
    return value


def encode_attempt(attempt: attempts.Attempt) -> bytes:
    """Returns the body of ``POST /v1/generate``."""
    return encode_json(
        {
            "attempt_id": attempt.attempt_id,
            "owner": attempt.owner,
            "model": attempt.model,
            "prompt": attempt.prompt,
            "prompt_tokens": attempt.prompt_tokens,
            "prefix_blocks": attempt.prefix_blocks,
            "digest": attempt.digest,
            "max_tokens": attempt.max_tokens,
            "resume_from": attempt.resume_from,
            "priority": attempt.priority,
            "export": attempt.export,
            "sources": [_encode_source(each) for each in attempt.sources],
            "segment_end": attempt.segment_end,
            "windowed": attempt.windowed,
        }
    )


def parse_attempt(body: bytes) -> attempts.Attempt:
    """Returns the attempt in the body of ``POST /v1/generate``.

    Raises:
      failure.FailureError: BAD_REQUEST, naming the invalid field.
    """
    data = parse_json(body)
    return attempts.Attempt(
        attempt_id=_read(data, "attempt_id", str),
        owner=_read(data, "owner", str, ""),
        model=_read(data, "model", str),
        prompt=_read(data, "prompt", str, ""),
        prompt_tokens=_read(data, "prompt_tokens", int),
        prefix_blocks=_read_strings(data, "prefix_blocks"),
        digest=_read(data, "digest", str),
        max_tokens=_read(data, "max_tokens", int),
        resume_from=_read(data, "resume_from", int, 0),
        priority=_read(data, "priority", int, 0),
        export=_read(data, "export", bool, False),
        sources=tuple(
            _parse_source(each) for each in _read(data, "sources", list, [])
        ),
        segment_end=_read(data, "segment_end", int, 0),
        windowed=_read(data, "windowed", bool, False),
    )


def parse_event(event: bytes) -> attempts.Chunk | None:
    """Returns the chunk in one server-sent event, or None at ``[DONE]``.

    Args:
      event: ``data: ...`` without the empty line that ends it.

    Raises:
      failure.FailureError: the event carries an error of the engine.
      ValueError: the event violates the protocol.
    """
    payload = event.removeprefix(_DATA)
    if payload == b"[DONE]":
        return None
    data = jsontext.load(payload)
    try:
        if "error" in data:
            raise failures.FailureError(parse_failure(payload))
        return _parse_chunk(data)
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"event without {error}") from error


def encode_failure(failure: failures.Failure) -> bytes:
    """Returns the body of an error response."""
    return encode_json(
        {
            "error": {
                "code": failure.code.value,
                "message": failure.message,
                "verdict": failure.verdict.value,
            }
        }
    )


def parse_failure(body: bytes) -> failures.Failure:
    """Returns the failure in the body of an error response.

    For a body that cannot be parsed the verdict is MAY_HAVE_RUN.
    """
    try:
        error = jsontext.load(body)["error"]
        return failures.Failure(
            failures.FailureCode(error["code"]),
            str(error["message"]),
            verdicts.Verdict(error["verdict"]),
        )
    except (ValueError, KeyError, TypeError):
        return failures.Failure(
            failures.FailureCode.ENDPOINT_FAILED,
            "the engine answered with an error without explanation",
            verdicts.Verdict.MAY_HAVE_RUN,
        )


def encode_order(order: attempts.Order) -> bytes:
    """Returns the body of ``POST /v1/orders``."""
    return encode_json(
        {
            "fence": order.fence,
            "revision": order.revision,
            "role": order.role,
            "models": order.models,
            "adapters": order.adapters,
            "drain": order.drain,
        }
    )


def parse_order(body: bytes) -> attempts.Order:
    """Returns the order in the body of ``POST /v1/orders``.

    Raises:
      failure.FailureError: BAD_REQUEST, naming the invalid field.
    """
    data = parse_json(body)
    return attempts.Order(
        fence=_read(data, "fence", int),
        revision=_read(data, "revision", int),
        role=_read(data, "role", str),
        models=_read_strings(data, "models"),
        adapters=_read_strings(data, "adapters"),
        drain=_read(data, "drain", bool, False),
    )


def encode_load(report: endpoints.LoadReport) -> bytes:
    """Returns the body of the response to ``GET /v1/load``."""
    return encode_json(
        {
            "endpoint_id": report.endpoint_id,
            "measured_s": report.measured_s,
            "sequence": report.sequence,
            "start_id": report.start_id,
            "role": report.role.value,
            "models": report.models,
            "running": report.running,
            "decoding": report.decoding,
            "waiting": report.waiting,
            "prefill_tokens": report.prefill_tokens,
            "kv_capacity": report.kv_capacity,
            "kv_used": report.kv_used,
            "attempts": report.attempts,
            "draining": report.draining,
            "fence": report.fence,
        }
    )


def parse_load(body: bytes) -> endpoints.LoadReport:
    """Returns the report in the response to ``GET /v1/load``.

    Raises:
      ValueError: the response violates the protocol.
    """
    return _parse_answer(body, _parse_load)


def encode_cache_events(events: list[attempts.CacheEvent]) -> bytes:
    """Returns the body of the response to ``GET /v1/cache_events``."""
    return encode_json(
        {
            "events": [
                {
                    "sequence": event.sequence,
                    "block": event.block,
                    "stored": event.stored,
                }
                for event in events
            ]
        }
    )


def parse_cache_events(body: bytes) -> list[attempts.CacheEvent]:
    """Returns the events in the response to ``GET /v1/cache_events``.

    Raises:
      ValueError: the response violates the protocol.
    """
    return _parse_answer(body, _parse_cache_events)


def _parse_answer(body: bytes, parse: Callable[[Any], T]) -> T:
    try:
        return parse(jsontext.load(body))
    except (KeyError, TypeError) as error:
        raise ValueError(f"answer without {error}") from error


def _parse_load(data: Any) -> endpoints.LoadReport:
    return endpoints.LoadReport(
        endpoint_id=data["endpoint_id"],
        measured_s=data["measured_s"],
        sequence=data["sequence"],
        start_id=data["start_id"],
        role=endpoints.Role(data["role"]),
        models=tuple(data["models"]),
        running=data["running"],
        decoding=data["decoding"],
        waiting=data["waiting"],
        prefill_tokens=data["prefill_tokens"],
        kv_capacity=data["kv_capacity"],
        kv_used=data["kv_used"],
        attempts=tuple(data["attempts"]),
        draining=data["draining"],
        fence=data["fence"],
    )


def _parse_cache_events(data: Any) -> list[attempts.CacheEvent]:
    return [
        attempts.CacheEvent(each["sequence"], each["block"], each["stored"])
        for each in data["events"]
    ]


def _parse_chunk(data: Any) -> attempts.Chunk:
    choice = data["choices"][0]
    chunk = attempts.Chunk(
        data["attempt"],
        data["offset"],
        1 if choice["text"] else 0,  # One token per event, or none.
        choice["text"],
    )
    if choice["finish_reason"] is not None:
        chunk.end = True
        chunk.finish_reason = choice["finish_reason"]
        details = data["usage"]["prompt_tokens_details"]
        chunk.cached_tokens = details["cached_tokens"]
    return chunk


def _encode_source(source: attempts.KvSource) -> dict[str, Any]:
    return {
        "address": source.address,
        "handle": source.handle,
        "tokens": source.tokens,
    }


def _parse_source(data: Any) -> attempts.KvSource:
    if not isinstance(data, dict):
        raise _make_error("sources must hold objects")
    return attempts.KvSource(
        address=_read(data, "address", str),
        handle=_read(data, "handle", str),
        tokens=_read(data, "tokens", int),
    )


def _read(
    data: Mapping[str, Any], name: str, kind: type[T], default: T | None = None
) -> T:
    """Returns a field after checking its type."""
    value = data.get(name, default)
    # bool is a subclass of int in Python, but not a number in the protocol.
    is_bool = isinstance(value, bool)
    if not isinstance(value, kind) or (is_bool and kind is not bool):
        raise _make_error(f"{name} must be of type {kind.__name__}")
    return value


def _read_strings(data: Mapping[str, Any], name: str) -> tuple[str, ...]:
    values = _read(data, name, list, [])
    if not all(isinstance(value, str) for value in values):
        raise _make_error(f"{name} must hold strings")
    return tuple(values)


def _make_error(message: str) -> failures.FailureError:
    return failures.FailureError(
        failures.Failure(failures.FailureCode.BAD_REQUEST, message)
    )
