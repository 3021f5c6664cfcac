"""Checks the order of an answer's chunks and tracks what was delivered.

The cursor outlives single attempts: it holds the index of the first token that
the caller does not have yet, so that a later attempt resumes there without a
gap or a repetition.
"""

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.relay import sink as sinks


class AnswerCursor:
    """The position up to which an answer was delivered.

    Attributes:
      attempt_id: attempt whose chunks are accepted at present.
      next_index: index of the first token that was not delivered yet.
      cached_tokens: prompt tokens that an engine had in its prefix cache.
      finish_reason: why the answer ended; None before its end.
    """

    __slots__ = (
        "_metrics",
        "_sink",
        "attempt_id",
        "cached_tokens",
        "finish_reason",
        "next_index",
    )

    def __init__(self, sink: sinks.Sink, metrics: metric_store.Metrics):
        self._sink = sink
        self._metrics = metrics
        self.attempt_id = ""
        self.next_index = 0
        self.cached_tokens = 0
        self.finish_reason: str | None = None

    async def accept(self, chunk: attempts.Chunk) -> bool:
        """Forwards a chunk to the sink if it is the next of this attempt.

        Args:
          chunk: a chunk as it arrived.

        Returns:
          Whether the chunk belongs to this attempt and ends it.

        Raises:
          failures.FailureError: STREAM_CUT if tokens before this chunk are
            missing, or if it overlaps delivered ones.
        """
        if chunk.attempt_id != self.attempt_id:
            self._metrics.count("relay.crossed_chunks")
            return False
        if chunk.count:
            await self._forward(chunk)
        if chunk.end:
            self.cached_tokens = max(self.cached_tokens, chunk.cached_tokens)
            self.finish_reason = chunk.finish_reason
        return chunk.end

    async def _forward(self, chunk: attempts.Chunk) -> None:
        if chunk.index < self.next_index:
            self._metrics.count("relay.repeated_chunks")
            if chunk.index + chunk.count > self.next_index:
                raise make_stream_cut_error(f"token {self.next_index} overlaps")
            return
        if chunk.index > self.next_index:
            raise make_stream_cut_error(f"token {self.next_index} is missing")
        self.next_index += chunk.count
        await self._sink.write(chunk)


def make_stream_cut_error(reason: str) -> failures.FailureError:
    """Returns the error of an engine's stream that is incomplete."""
    return failures.FailureError(
        failures.Failure(
            failures.FailureCode.STREAM_CUT,
            f"the engine's stream is not whole: {reason}",
            verdicts.Verdict.MAY_HAVE_RUN,
        )
    )
