"""A model of an engine that works in passes.

In a pass each decoding request takes some steps, and prompts are prefilled
between the steps, so that prefill delays the decoding requests. Prompts may be
prefilled in parts. The part that arrived last is prefilled first, whether it is
for another engine or for a prompt of this one; an engine that decodes nothing
chooses the part again after each chunk. The model runs on the clock of the
event loop, so a simulation on the virtual loop takes little real time.

Last in, first out is the order that predicts the users' platform best: in a
replay of its placements it predicts the first events of prompts over 110,000
tokens more closely than first in, first out, than shortest first, and than
parts for other engines first.

Not modelled: the cost that parts held by other engines add to each step of the
engine that decodes, the memory that these parts reserve, the eviction of a
request when memory runs out (a prompt waits for memory instead), crashes and
the lag of load reports.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

from rhubarblock.core import route as routes

# Share of the memory or of the slots above which an engine is nearly full.
NEARLY_FULL = 0.9


@dataclasses.dataclass(slots=True)
class PrefillPart:
    """A part of a prompt that one engine prefills.

    Attributes:
      tokens: prompt tokens left to prefill.
      prefill_s: seconds that prefilling these takes.
      on_finished: called when the part is prefilled.
    """

    tokens: float
    prefill_s: float
    on_finished: Callable[[], None]


@dataclasses.dataclass(slots=True)
class DecodeRequest:
    """A request that an engine decodes.

    Attributes:
      context_tokens: KV memory that it holds until its end, in tokens.
      events: events left to emit.
      on_event: called for each event with whether it is the last one.
    """

    context_tokens: int
    events: int
    on_event: Callable[[bool], None]


class PassEngine:
    """One engine; ``run`` executes passes until it is cancelled.

    Attributes:
      decoding: requests that it decodes.
      slowdown: factor by which passes take longer than usual.
    """

    __slots__ = (
        "_admitted",
        "_full_slowdown",
        "_model",
        "_prefilling",
        "_queue",
        "_speed",
        "_used_tokens",
        "_wake",
        "decoding",
        "slowdown",
    )

    def __init__(
        self,
        model: routes.EngineCostModel,
        speed: float = 1.0,
        full_slowdown: float = 1.0,
    ):
        """Creates an idle engine.

        Args:
          model: cost of its steps and of its prefill.
          speed: its speed relative to the model; at 0.5 all passes take twice
            as long.
          full_slowdown: factor by which passes take longer while it is nearly
            full.
        """
        self._model = model
        self._speed = speed
        self._full_slowdown = full_slowdown
        # Admitted parts in order of arrival; the last one is prefilled first.
        self._prefilling: list[PrefillPart] = []
        self._queue: list[tuple[DecodeRequest, PrefillPart]] = []
        self._admitted = 0
        self._used_tokens = 0
        self._wake = asyncio.Event()
        self.decoding: list[DecodeRequest] = []
        self.slowdown = 1.0

    @property
    def prefill_left_s(self) -> float:
        """Seconds of prefill left, including requests that wait."""
        waiting = [part for _, part in self._queue]
        parts = [*self._prefilling, *waiting]
        return sum(part.prefill_s for part in parts)

    @property
    def requests(self) -> int:
        """Number of admitted requests and of those that wait for a slot."""
        return self._admitted + len(self._queue)

    def prefill_for_peer(self, part: PrefillPart) -> None:
        """Adds a part of a prompt whose answer another engine decodes."""
        self._prefilling.append(part)
        self._wake.set()

    def submit(self, request: DecodeRequest, part: PrefillPart) -> None:
        """Adds a request with the part of its prompt that is prefilled here.

        Once admitted, it holds its slot and memory until its last event. The
        caller must call ``start_decode`` once all parts of the prompt are
        prefilled.
        """
        self._queue.append((request, part))
        self._admit()
        self._wake.set()

    def start_decode(self, request: DecodeRequest) -> None:
        """Starts to decode an admitted request whose prompt is prefilled.

        It emits its first event at once, that is, at the end of the pass that
        completed the prefill.
        """
        self.decoding.append(request)
        self._emit_event(request)
        self._wake.set()

    async def run(self) -> None:
        """Executes passes until cancelled."""
        while True:
            self._admit()
            if not (self.decoding or self._prefilling):
                self._wake.clear()
                await self._wake.wait()
                continue
            await self._pass()

    def _admit(self) -> None:
        """Admits waiting requests in order, while slots and memory last."""
        while self._queue and self._admitted < self._model.slots:
            request, part = self._queue[0]
            used = self._used_tokens + request.context_tokens
            if used > self._model.kv_capacity_tokens and self._admitted:
                return
            del self._queue[0]
            self._admitted += 1
            self._used_tokens = used
            self._prefilling.append(part)

    async def _pass(self) -> None:
        """Executes one pass: a stride of steps, or just a chunk of prefill."""
        decoding_now = list(self.decoding)
        steps = self._model.stride if decoding_now else 1
        decode_s = 0.0
        if decoding_now:
            decode_s = self._model.predict_stride(
                len(decoding_now), self._used_tokens
            )
        finished, prefill_s = self._plan_prefill(
            steps * self._model.chunk_tokens
        )
        await asyncio.sleep(self._find_factor() * (decode_s + prefill_s))
        for part in finished:
            part.on_finished()
        for request in decoding_now:
            self._emit_event(request)

    def _find_factor(self) -> float:
        """Returns how much longer the next pass takes than in the model."""
        factor = self.slowdown / self._speed
        used = max(
            self._admitted / self._model.slots,
            self._used_tokens / self._model.kv_capacity_tokens,
        )
        return factor * (self._full_slowdown if used > NEARLY_FULL else 1.0)

    def _plan_prefill(self, budget: float) -> tuple[list[PrefillPart], float]:
        """Takes up to ``budget`` tokens of prefill, last part first.

        Returns:
          The parts that this completes, and the seconds that it takes.
        """
        finished = []
        seconds = 0.0
        while self._prefilling and budget > 0:
            part = self._prefilling[-1]
            tokens = min(part.tokens, budget)
            share = tokens / part.tokens if part.tokens else 1.0
            seconds += share * part.prefill_s
            budget -= max(tokens, 1.0)
            part.tokens -= tokens
            part.prefill_s -= share * part.prefill_s
            if part.tokens <= 0:
                finished.append(self._prefilling.pop())
        return finished, seconds

    def _emit_event(self, request: DecodeRequest) -> None:
        request.events -= 1
        is_last = request.events <= 0
        if is_last:
            with contextlib.suppress(ValueError):
                self.decoding.remove(request)
            self._admitted -= 1
            self._used_tokens -= request.context_tokens
        request.on_event(is_last)
