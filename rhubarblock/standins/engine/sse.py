"""Answers of the stand-in engine encoded as server-sent events."""

import json
from typing import Any

from rhubarblock.core import attempt as attempts
from rhubarblock.fleet import enginewire
from rhubarblock.standins.engine import tokens as enginetokens


class EventWriter:
    """Encodes the chunks of one stream as bytes.

    Attributes:
      finished: whether the end chunk of the stream's attempt was written.
    """

    __slots__ = ("_attempt", "_created", "_middle", "_prefix", "finished")

    def __init__(self, attempt: attempts.Attempt, created: int):
        """Creates a writer.

        Args:
          attempt: the attempt that the stream belongs to.
          created: Unix time of its start in seconds.
        """
        self._attempt = attempt
        self._created = created
        self.finished = False
        model = json.dumps(attempt.model)
        self._prefix = _make_prefix(attempt.attempt_id)
        self._middle = (
            f',"object":"text_completion","created":{created},"model":{model},'
            '"choices":[{"index":0,"text":"'
        )

    def write(self, chunk: attempts.Chunk) -> bytes:
        """Returns a chunk as events, one event for each token."""
        is_own = chunk.attempt_id == self._attempt.attempt_id
        prefix = self._prefix if is_own else _make_prefix(chunk.attempt_id)
        if chunk.count == 1 and not chunk.end:
            return self._write_token(prefix, chunk.index, chunk.text).encode()
        texts = _split_tokens(chunk)
        last = texts.pop() if chunk.end else ""
        events = [
            self._write_token(prefix, chunk.index + position, text)
            for position, text in enumerate(texts)
        ]
        if chunk.end:
            offset = chunk.index + len(texts)
            events.append(self._write_end(prefix, offset, last, chunk))
            self.finished = self.finished or is_own
        return "".join(events).encode()

    def write_done(self) -> bytes:
        """Returns the end marker if the answer is complete, else no bytes."""
        return enginewire.DONE_EVENT if self.finished else b""

    def _write_token(self, prefix: str, offset: int, text: str) -> str:
        return (
            f'{prefix}{offset}{self._middle}{text}","logprobs":null,'
            '"finish_reason":null}]}\n\n'
        )

    def _write_end(
        self, prefix: str, offset: int, text: str, chunk: attempts.Chunk
    ) -> str:
        usage = json.dumps(self._make_usage(chunk), separators=(",", ":"))
        return (
            f'{prefix}{offset}{self._middle}{text}","logprobs":null,'
            f'"finish_reason":"{chunk.finish_reason}"}}],"usage":{usage}}}\n\n'
        )

    def _make_usage(self, chunk: attempts.Chunk) -> dict[str, Any]:
        prompt_tokens = self._attempt.prompt_tokens
        completion_tokens = chunk.index + chunk.count
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
            "prompt_tokens_details": {"cached_tokens": chunk.cached_tokens},
        }


def _make_prefix(attempt_id: str) -> str:
    request_id = json.dumps(attempt_id.rpartition("/")[0] or attempt_id)
    attempt = json.dumps(attempt_id)
    return f'data: {{"id":{request_id},"attempt":{attempt},"offset":'


def _split_tokens(chunk: attempts.Chunk) -> list[str]:
    """Returns the text of each token, or one empty text without tokens."""
    size = enginetokens.TOKEN_CHARS
    return [
        chunk.text[start : start + size]
        for start in range(0, len(chunk.text), size)
    ] or [""]
