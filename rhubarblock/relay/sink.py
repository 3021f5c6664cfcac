"""Destinations of the chunks of an answer."""

import abc

from rhubarblock.core import attempt as attempts


class Sink(abc.ABC):
    """Receives the chunks of one answer in order."""

    @abc.abstractmethod
    async def write(self, chunk: attempts.Chunk) -> None:
        """Writes one chunk; blocks while the caller reads slowly."""


class MemorySink(Sink):
    """Buffers the whole answer, for callers that do not stream."""

    __slots__ = ("chunks",)

    def __init__(self) -> None:
        self.chunks: list[attempts.Chunk] = []

    async def write(self, chunk: attempts.Chunk) -> None:
        self.chunks.append(chunk)

    def join_text(self) -> str:
        """Returns the text of all chunks."""
        return "".join(chunk.text for chunk in self.chunks)
