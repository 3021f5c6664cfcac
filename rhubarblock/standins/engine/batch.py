"""Who runs in the next iteration of the stand-in engine.

Waiting attempts, prompts being computed and decodes are each kept in the
order of priority, then arrival. An attempt without memory waits for all those
before it, so that a large one is never starved by small ones behind it.
"""

import bisect
import heapq

from rhubarblock.standins.engine import request as enginerequest

_WAITING = enginerequest.Phase.WAITING


class Grant:
    """Prompt tokens that one attempt computes in an iteration."""

    __slots__ = ("request", "tokens")

    def __init__(self, request: enginerequest.EngineRequest, tokens: int):
        self.request = request
        self.tokens = tokens


class Plan:
    """One iteration.

    Attributes:
      decoders: attempts that generate one token each.
      grants: prompt tokens to compute.
    """

    __slots__ = ("decoders", "grants")

    def __init__(
        self,
        decoders: list[enginerequest.EngineRequest],
        grants: list[Grant],
    ):
        self.decoders = decoders
        self.grants = grants


class Batch:
    """The attempts of an engine by what they do.

    Attributes:
      waiting: number of attempts that wait for memory.
      decoding: attempts that generate, in the order in which they began.
      prefilling: attempts whose prompt is computed, in their order.
    """

    __slots__ = ("_heap", "decoding", "prefilling", "waiting")

    def __init__(self) -> None:
        # Those that were cancelled stay in the heap until they come up.
        self._heap: list[
            tuple[tuple[int, int], enginerequest.EngineRequest]
        ] = []
        self.waiting = 0
        self.decoding: dict[enginerequest.EngineRequest, None] = {}
        self.prefilling: list[enginerequest.EngineRequest] = []

    def add_waiting(self, request: enginerequest.EngineRequest) -> None:
        """Adds an attempt that has no memory yet."""
        heapq.heappush(self._heap, (request.order, request))
        self.waiting += 1

    def peek_waiting(self) -> enginerequest.EngineRequest | None:
        """Returns the first attempt without memory, or None."""
        while self._heap and self._heap[0][1].phase is not _WAITING:
            heapq.heappop(self._heap)
        return self._heap[0][1] if self._heap else None

    def pop_waiting(self) -> None:
        """Takes out the attempt that ``peek_waiting`` returned."""
        heapq.heappop(self._heap)
        self.waiting -= 1

    def add_prefill(self, request: enginerequest.EngineRequest) -> None:
        """Adds an attempt whose prompt is to be computed."""
        request.phase = enginerequest.Phase.PREFILLING
        bisect.insort(
            self.prefilling,
            request,
            key=lambda each: each.order,
        )

    def add_decode(self, request: enginerequest.EngineRequest) -> None:
        """Adds an attempt that generates."""
        request.phase = enginerequest.Phase.DECODING
        self.decoding[request] = None

    def remove(
        self,
        request: enginerequest.EngineRequest,
        phase: enginerequest.Phase = enginerequest.Phase.GONE,
    ) -> None:
        """Takes an attempt out and sets what it does instead."""
        if request.phase is _WAITING:
            self.waiting -= 1
        elif request.phase is enginerequest.Phase.PREFILLING:
            self.prefilling.remove(request)
        elif request.phase is enginerequest.Phase.DECODING:
            del self.decoding[request]
        request.phase = phase

    def list_decoders(self) -> list[enginerequest.EngineRequest]:
        """Returns the attempts that can generate a token now."""
        return [request for request in self.decoding if not request.stalled]

    def grant(self, limit: int) -> list[Grant]:
        """Returns who computes how much of its prompt, up to a limit."""
        grants = []
        for request in self.prefilling:
            if request.stalled:
                continue
            tokens = min(limit, request.remaining)
            if tokens < request.remaining and not tokens:
                break
            limit -= tokens
            grants.append(Grant(request, tokens))
        return grants
