"""Answers that the stand-in engine streams, with the faults switched on."""

from collections.abc import Callable

from rhubarblock.core import attempt as attempts
from rhubarblock.standins.engine import context as enginecontext
from rhubarblock.standins.engine import faults as enginefaults
from rhubarblock.standins.engine import request as enginerequest
from rhubarblock.standins.engine import tokens as enginetokens

_FINISH_REASON = "length"

_Callback = Callable[[enginerequest.EngineRequest], None]


class Output:
    """Puts the chunks of each iteration on the streams of the attempts."""

    __slots__ = (
        "_context",
        "_deliveries",
        "_injector",
        "_injects_faults",
        "_on_cut",
        "_on_finish",
    )

    def __init__(
        self,
        context: enginecontext.RunContext,
        on_finish: _Callback,
        on_cut: _Callback,
    ):
        """Creates the output of one run of an engine.

        Args:
          context: counters, settings and faults.
          on_finish: called with an attempt whose answer is complete.
          on_cut: called with an attempt whose stream was cut.
        """
        self._context = context
        self._on_finish = on_finish
        self._on_cut = on_cut
        self._injector = enginefaults.FaultInjector(
            context.faults, context.timers
        )
        self._deliveries: list[enginefaults.Delivery] = []
        self._injects_faults = False

    def begin(self) -> None:
        """Starts the output of one iteration."""
        self._injects_faults = (
            self._context.faults.affects_streams or self._injector.busy
        )

    def send_decoded(self, decoders: list[enginerequest.EngineRequest]) -> None:
        """Generates and sends one token of each attempt."""
        # This runs for every token of every engine, so it avoids function
        # calls.
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
            if self._injects_faults or index + 1 >= attempt.max_tokens:
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
        """Sends the first token, which the prefill yields."""
        self._context.counters.tokens += 1
        request.next_index += 1
        self._send_tokens(request)

    def send_end(self, request: enginerequest.EngineRequest) -> None:
        """Sends an end chunk without a token and finishes the attempt."""
        self._deliver(request, _make_end_chunk(request))
        self._deliver(request, None)
        self._on_finish(request)

    def send_empty_answer(self, request: enginerequest.EngineRequest) -> None:
        """Ends the answer of an attempt that has no tokens left to generate."""
        request.stream.put(_make_end_chunk(request))
        request.stream.close()

    def flush(self) -> None:
        """Completes the output of one iteration."""
        if not self._deliveries:
            return
        deliveries = self._deliveries
        self._deliveries = []
        for request in self._injector.send(deliveries):
            self._on_cut(request)

    def _send_tokens(self, request: enginerequest.EngineRequest) -> None:
        """Sends the generated tokens that have not been sent yet."""
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
        self._on_finish(request)

    def _deliver(
        self,
        request: enginerequest.EngineRequest,
        chunk: attempts.Chunk | None,
    ) -> None:
        if self._injects_faults:
            self._deliveries.append(enginefaults.Delivery(request, chunk))
        elif chunk is None:
            request.stream.close()
        else:
            request.stream.put(chunk)


def _make_end_chunk(request: enginerequest.EngineRequest) -> attempts.Chunk:
    return attempts.Chunk(
        request.attempt_id,
        request.next_index,
        0,
        "",
        end=True,
        finish_reason=_FINISH_REASON,
        cached_tokens=request.cached_tokens,
    )
