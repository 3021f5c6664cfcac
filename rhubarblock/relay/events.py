"""JSON of completions, as server-sent events and as one object."""

import json
from typing import Any

from rhubarblock.core import attempt as attempts
from rhubarblock.relay import completion as completions

DONE = b"data: [DONE]\n\n"
# What follows the text in the event of a chunk that is not the last one.
CHUNK_EVENT_END = b'","logprobs":null,"finish_reason":null}]}\n\n'


def format_event(fields: dict[str, Any]) -> bytes:
    """Returns one server-sent event."""
    return (
        b"data: "
        + json.dumps(fields, separators=(",", ":")).encode()
        + (b"\n\n")
    )


def describe_chunk(
    request_id: str, created: int, model: str, chunk: attempts.Chunk
) -> dict[str, Any]:
    """Returns the JSON object of one chunk of an answer."""
    return {
        "id": request_id,
        "object": "text_completion",
        "created": created,
        "model": model,
        "choices": [
            {
                "index": 0,
                "text": chunk.text,
                "logprobs": None,
                "finish_reason": chunk.finish_reason,
            }
        ],
    }


def make_chunk_event_start(request_id: str, created: int, model: str) -> bytes:
    """Returns the bytes before the text in every chunk event of an answer.

    Args:
      request_id: id of the request.
      created: start of the answer in seconds since 1970.
      model: model name.
    """
    chunk = attempts.Chunk("", 0, 0, "")
    event = format_event(describe_chunk(request_id, created, model, chunk))
    return event.removesuffix(CHUNK_EVENT_END)


def describe_usage(completion: completions.Completion) -> dict[str, Any]:
    """Returns the usage object of a whole answer."""
    return {
        "prompt_tokens": completion.prompt_tokens,
        "completion_tokens": completion.completion_tokens,
        "total_tokens": completion.prompt_tokens + completion.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": completion.cached_tokens},
    }


def describe_completion(
    request_id: str,
    created: int,
    model: str,
    text: str,
    completion: completions.Completion,
) -> dict[str, Any]:
    """Returns the JSON object of a whole answer."""
    chunk = attempts.Chunk("", 0, 0, text, True, completion.finish_reason)
    fields = describe_chunk(request_id, created, model, chunk)
    fields["usage"] = describe_usage(completion)
    return fields
