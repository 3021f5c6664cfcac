"""Policies by which one instance applies the limit that an endpoint states."""

import abc

from rhubarblock.core import listed as lists
from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.exchange import endpointlimits
from rhubarblock.kernel import timers as timer_service


class Gate(abc.ABC):
    """Decides when an instance may send to the endpoint."""

    @abc.abstractmethod
    def try_pass(self, request_id: str, within_s: float) -> bool:
        """Admits a request if the limit allows it, and counts it then.

        Args:
          request_id: id of the request.
          within_s: seconds for which it can still wait.

        Returns:
          Whether the request may be sent now.
        """

    @abc.abstractmethod
    def note_answer(
        self, stated: ratelimits.StatedLimit, sent_s: float
    ) -> None:
        """Processes the limit stated in the head of an answer.

        Args:
          stated: the stated limit.
          sent_s: when the request was sent, in monotonic seconds.
        """


class PermitGate(Gate):
    """The product's policy: permits from a coordinator."""

    def __init__(
        self,
        limits: endpointlimits.EndpointLimits,
        endpoint: lists.ListedEndpoint,
    ):
        """Creates a gate that uses the limits of an instance."""
        self._limits = limits
        self._endpoints = [endpoint]

    def try_pass(self, request_id: str, within_s: float) -> bool:
        if not self._limits.select_available(self._endpoints):
            self._limits.request_permit(self._endpoints, request_id, within_s)
        if not self._limits.select_available(self._endpoints):
            return False
        self._limits.take(self._endpoints[0].endpoint_id)
        return True

    def note_answer(
        self, stated: ratelimits.StatedLimit, sent_s: float
    ) -> None:
        endpoint_id = self._endpoints[0].endpoint_id
        self._limits.note_answer(endpoint_id, stated, sent_s)


class ShareGate(Gate):
    """A fixed part of the limit, as a token bucket of size one."""

    def __init__(self, part: float, timers: timer_service.Timers):
        """Starts without a limit.

        Args:
          part: part of the limit, 1 for all of it.
          timers: the timer service.
        """
        self._part = part
        self._timers = timers
        self._per_s: float | None = None
        self._tokens = 0.0
        self._refilled_s = 0.0

    def try_pass(self, request_id: str, within_s: float) -> bool:
        del request_id, within_s
        if self._per_s is None:
            return True
        now_s = self._timers.read_monotonic()
        refilled = self._part * self._per_s * (now_s - self._refilled_s)
        self._tokens = min(1.0, self._tokens + refilled)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def note_answer(
        self, stated: ratelimits.StatedLimit, sent_s: float
    ) -> None:
        if self._per_s is None:
            self._refilled_s = self._timers.read_monotonic()
        self._per_s = stated.per_s


class OpenGate(Gate):
    """Ignores the limit."""

    def try_pass(self, request_id: str, within_s: float) -> bool:
        return True

    def note_answer(
        self, stated: ratelimits.StatedLimit, sent_s: float
    ) -> None:
        pass
