"""Reads answer chunks from blocks of server-sent events.

Nearly all events hold one token and differ only in its offset and text. The
joining reader extracts these two with a regular expression, which also
validates the event, and joins consecutive tokens into one chunk. All other
events are parsed as JSON.
"""

import abc
import json
import re

from rhubarblock.core import attempt as attempts
from rhubarblock.fleet import enginewire

# The event of one token, exactly as specified in docs/standins.md. Possessive
# quantifiers keep the matching time linear for any input.
_TOKEN_EVENT = re.compile(
    rb'data: \{"id":"[^"\\]*+","attempt":"([^"]*+)","offset":(\d++),'
    rb'"object":"text_completion","created":\d++,"model":"[^"\\]*+",'
    rb'"choices":\[\{"index":0,"text":"'
    rb'((?:[^"\\\x00-\x1f]++|\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4}))++)'
    rb'","logprobs":null,"finish_reason":null\}\]\}\n\n'
)


class EventReader(abc.ABC):
    """Reads the events of one answer, block by block."""

    @abc.abstractmethod
    def read(self, block: bytes) -> list[attempts.Chunk]:
        """Returns the chunks in a block of whole events.

        Raises:
          ValueError: an event violates the protocol.
        """


class ParsingReader(EventReader):
    """Parses every event as JSON and returns a chunk for each."""

    __slots__ = ()

    def read(self, block: bytes) -> list[attempts.Chunk]:
        events = block.split(enginewire.EVENT_END)
        chunks = [enginewire.parse_event(event) for event in events if event]
        return [chunk for chunk in chunks if chunk is not None]


class JoiningReader(EventReader):
    """Extracts tokens as bytes and joins consecutive ones into one chunk.

    Only tokens with consecutive offsets are joined. A repeated token or one
    after a gap is a separate chunk, so that a caller can check the order.
    """

    __slots__ = ("_attempt_id", "_escaped_id", "_next")

    def __init__(self, attempt: attempts.Attempt):
        """Creates a reader.

        Args:
          attempt: the attempt whose answer is read.
        """
        self._attempt_id = attempt.attempt_id
        self._escaped_id = json.dumps(attempt.attempt_id)[1:-1].encode()
        self._next = attempt.resume_from

    def read(self, block: bytes) -> list[attempts.Chunk]:
        chunks: list[attempts.Chunk] = []
        position = 0
        while position < len(block):
            texts = []
            match = _TOKEN_EVENT.match(block, position)
            while match is not None and self._continues(match):
                texts.append(match[3])
                self._next += 1
                position = match.end()
                match = _TOKEN_EVENT.match(block, position)
            if texts:
                chunks.append(self._join(texts))
            else:
                end = block.index(enginewire.EVENT_END, position)
                chunk = enginewire.parse_event(block[position:end])
                if chunk is not None:
                    self._advance(chunk)
                    chunks.append(chunk)
                position = end + len(enginewire.EVENT_END)
        return chunks

    def _continues(self, match: re.Match[bytes]) -> bool:
        """Returns whether an event holds the next token of this answer."""
        return match[1] == self._escaped_id and int(match[2]) == self._next

    def _advance(self, chunk: attempts.Chunk) -> None:
        if chunk.attempt_id == self._attempt_id and chunk.index == self._next:
            self._next += chunk.count

    def _join(self, texts: list[bytes]) -> attempts.Chunk:
        raw = b"".join(texts)
        text = json.loads(b'"%b"' % raw) if b"\\" in raw else raw.decode()
        return attempts.Chunk(
            self._attempt_id,
            self._next - len(texts),
            len(texts),
            text,
            raw=raw,
        )
