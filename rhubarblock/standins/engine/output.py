"""What the stand-in engine sends: tokens, ends, and faults on their way."""

from collections.abc import Callable

from rhubarblock.core import attempt as attempts
from rhubarblock.standins.engine import context as enginecontext
from rhubarblock.standins.engine import faults as enginefaults
from rhubarblock.standins.engine import request as enginerequest
from rhubarblock.standins.engine import tokens as enginetokens

_FINISH_REASON = "length"

_Callback = Callable[[enginerequest.EngineRequest], None]


class Output:
    """Puts the chunks of one iteration on the streams."""

    __slots__ = (
        "_context",
        "_deliveries",
        "_disturbed",
        "_drop",
        "_finish",
        "_outlet",
    )

    def __init__(
        self,
        context: enginecontext.RunContext,
        finish: _Callback,
        drop: _Callback,
    ):
        """Creates the output of one start of an engine.

        Args:
          context: counters, settings and faults.
          finish: called with an attempt whose answer is whole.
          drop: called with an attempt whose stream was cut.
        """
        self._context = context
        self._finish = finish
        self._drop = drop
        self._outlet = enginefaults.FaultyOutlet(context.faults, context.timers)
        self._deliveries: list[enginefaults.Delivery] = []
        self._disturbed = False

    def begin(self) -> None:
        """Begins the sending of one iteration."""
        self._disturbed = (
            self._context.faults.touch_streams or self._outlet.busy
        )

    def send_decoded(self, decoders: list[enginerequest.EngineRequest]) -> None:
        """Generates and sends one token of each attempt."""
        # This runs for every token of every engine, so it avoids calls.
        decoding = enginerequest.Phase.DECODING
        group_tokens = enginetokens.GROUP_TOKENS
        make_chunk = attempts.Chunk
        interval = self._context.settings.stream_interval
        self._context.counters.tokens += len(decoders)
        for request in decoders:
            if request.phase is not decoding:
                continue
            index = request.next_index
            request.next_index = index + 1
            attempt = request.attempt
            if self._disturbed or index + 1 >= attempt.max_tokens:
                request.last_tokens = 1
                self._send_tokens(request)
            elif interval == 1:
                request.sent_index = index + 1
                group = index // group_tokens
                if group != request.text_group:
                    request.text_group = group
                    request.texts = enginetokens.make_group(
                        attempt.digest, group
                    )
                text = request.texts[index % group_tokens]
                request.stream.put(
                    make_chunk(request.attempt_id, index, 1, text)
                )
            elif request.next_index - request.sent_index >= interval:
                self._send_tokens(request)

    def send_first(self, request: enginerequest.EngineRequest) -> None:
        """Sends the first token, which the prefill gives."""
        self._context.counters.tokens += 1
        request.next_index += 1
        self._send_tokens(request)

    def send_end(self, request: enginerequest.EngineRequest) -> None:
        """Sends an end without a token, and finishes the attempt."""
        self._deliver(request, _make_end(request))
        self._deliver(request, None)
        self._finish(request)

    def send_nothing(self, request: enginerequest.EngineRequest) -> None:
        """Ends the answer of an attempt that was never begun."""
        request.stream.put(_make_end(request))
        request.stream.close()

    def flush(self) -> None:
        """Ends the sending of one iteration."""
        if not self._deliveries:
            return
        deliveries = self._deliveries
        self._deliveries = []
        for request in self._outlet.send(deliveries):
            self._drop(request)

    def _send_tokens(self, request: enginerequest.EngineRequest) -> None:
        """Sends the tokens that no chunk holds yet."""
        attempt = request.attempt
        first = request.sent_index
        last = request.next_index
        request.sent_index = last
        text = enginetokens.expected_text(attempt.digest, first, last)
        chunk = attempts.Chunk(request.attempt_id, first, last - first, text)
        if last < attempt.max_tokens:
            self._deliver(request, chunk)
            return
        chunk.end = True
        chunk.finish_reason = _FINISH_REASON
        chunk.cached_tokens = request.cached_tokens
        self._deliver(request, chunk)
        self._deliver(request, None)
        self._finish(request)

    def _deliver(
        self,
        request: enginerequest.EngineRequest,
        chunk: attempts.Chunk | None,
    ) -> None:
        if self._disturbed:
            self._deliveries.append(enginefaults.Delivery(request, chunk))
        elif chunk is None:
            request.stream.close()
        else:
            request.stream.put(chunk)


def _make_end(request: enginerequest.EngineRequest) -> attempts.Chunk:
    return attempts.Chunk(
        request.attempt_id,
        request.next_index,
        0,
        "",
        end=True,
        finish_reason=_FINISH_REASON,
        cached_tokens=request.cached_tokens,
    )
