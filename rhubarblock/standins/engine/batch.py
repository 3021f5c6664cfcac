"""Selects the attempts of the next iteration of the stand-in engine.

Waiting attempts and prefills are ordered by priority, then arrival. An attempt
without memory waits for all attempts before it, so that small attempts behind
a large one never starve it.
"""

import bisect
import heapq

from rhubarblock.standins.engine import request as enginerequest

_WAITING = enginerequest.Phase.WAITING


class PrefillChunk:
    """Prompt tokens that one attempt computes in an iteration."""

    __slots__ = ("request", "tokens")

    def __init__(self, request: enginerequest.EngineRequest, tokens: int):
        self.request = request
        self.tokens = tokens


class IterationPlan:
    """Work of one iteration.

    Attributes:
      decoders: attempts that generate one token each.
      prefill_chunks: prompt tokens to compute for each attempt.
    """

    __slots__ = ("decoders", "prefill_chunks")

    def __init__(
        self,
        decoders: list[enginerequest.EngineRequest],
        prefill_chunks: list[PrefillChunk],
    ):
        self.decoders = decoders
        self.prefill_chunks = prefill_chunks


class Batch:
    """The attempts of an engine by phase.

    Attributes:
      waiting: number of attempts that wait for memory.
      decoding: attempts that decode, in the order in which they started to.
      prefilling: attempts whose prompt is being computed, in scheduling order.
    """

    __slots__ = ("_waiting_heap", "decoding", "prefilling", "waiting")

    def __init__(self) -> None:
        # Cancelled attempts stay in the heap until they reach its top.
        self._waiting_heap: list[
            tuple[tuple[int, int], enginerequest.EngineRequest]
        ] = []
        self.waiting = 0
        self.decoding: dict[enginerequest.EngineRequest, None] = {}
        self.prefilling: list[enginerequest.EngineRequest] = []

    def add_waiting(self, request: enginerequest.EngineRequest) -> None:
        """Adds an attempt that has no memory yet."""
        heapq.heappush(self._waiting_heap, (request.sort_key, request))
        self.waiting += 1

    def peek_waiting(self) -> enginerequest.EngineRequest | None:
        """Returns the first attempt without memory, or None."""
        while (
            self._waiting_heap
            and self._waiting_heap[0][1].phase is not _WAITING
        ):
            heapq.heappop(self._waiting_heap)
        return self._waiting_heap[0][1] if self._waiting_heap else None

    def pop_waiting(self) -> None:
        """Removes the attempt that ``peek_waiting`` returned."""
        heapq.heappop(self._waiting_heap)
        self.waiting -= 1

    def add_prefill(self, request: enginerequest.EngineRequest) -> None:
        """Adds an attempt whose prompt is to be computed."""
        request.phase = enginerequest.Phase.PREFILLING
        bisect.insort(
            self.prefilling,
            request,
            key=lambda each: each.sort_key,
        )

    def add_decode(self, request: enginerequest.EngineRequest) -> None:
        """Adds an attempt that decodes."""
        request.phase = enginerequest.Phase.DECODING
        self.decoding[request] = None

    def remove(
        self,
        request: enginerequest.EngineRequest,
        phase: enginerequest.Phase = enginerequest.Phase.GONE,
    ) -> None:
        """Removes an attempt and sets its new phase."""
        if request.phase is _WAITING:
            self.waiting -= 1
        elif request.phase is enginerequest.Phase.PREFILLING:
            self.prefilling.remove(request)
        elif request.phase is enginerequest.Phase.DECODING:
            del self.decoding[request]
        request.phase = phase

    def list_decoders(self) -> list[enginerequest.EngineRequest]:
        """Returns the decoding attempts that no stalled source holds up."""
        return [
            request for request in self.decoding if not request.stalled_sources
        ]

    def schedule_prefill(self, limit: int) -> list[PrefillChunk]:
        """Returns the prompt tokens to compute for each attempt.

        Args:
          limit: maximum number of prompt tokens in total.
        """
        prefill_chunks = []
        for request in self.prefilling:
            if request.stalled_sources:
                continue
            tokens = min(limit, request.remaining_tokens)
            if tokens < request.remaining_tokens and not tokens:
                break
            limit -= tokens
            prefill_chunks.append(PrefillChunk(request, tokens))
        return prefill_chunks
