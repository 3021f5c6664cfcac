"""Observations of callers and endpoints, checked against invariants."""

import asyncio
import dataclasses
import math
import time

# Seconds within which instances must stop sending new work to a leaving
# endpoint.
DRAIN_NOTICE_S = 2.0
# Seconds after a freeze for which a process is exempt from rate limit checks.
RECOVERY_S = 4.0
# Seconds by which an instance may log too late that it closes connections
# unread.
UNREAD_LOG_S = 0.5
# Seconds between two checks of whether the event loop of the soak stalls.
STALL_CHECK_S = 0.05


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One request of a caller.

    Attributes:
      request_id: unique id.
      kind: ``stream``, ``once`` (not idempotent) or ``again`` (idempotent).
      key: the API key that it carried.
      at_s: when it was sent.
      process_id: the process that it was sent to; 0 if none ran.
      status: status of the answer; 0 without one.
      is_complete: whether the answer was complete and belonged to the request.
      has_timed_out: whether it had no answer within its timeout.
      retry_after_s: the time that its caller was given to return, in seconds;
        None without one.
      may_be_unread: whether it was sent while a stopping instance closed the
        idle connection, so that the instance may not have read it.
      address: address of the instance that it was sent to.
      is_first: whether it was the first request on its connection.
    """

    request_id: str
    kind: str
    key: str
    at_s: float
    process_id: int = 0
    status: int = 0
    is_complete: bool = False
    has_timed_out: bool = False
    retry_after_s: float | None = None
    may_be_unread: bool = False
    address: str = ""
    is_first: bool = False


@dataclasses.dataclass(slots=True)
class Evidence:
    """Everything that was observed, and the invariants that it violates.

    Attributes:
      sent: all requests, by id.
      runs: ids of the endpoints that ran a request, by request id.
      poison_arrivals_s: when requests with a poisoned part reached endpoints.
      poison_crashes_s: when endpoints crashed under them.
      key_revoked_s: when the store acknowledged the removal of a key, by key.
      key_refused_s: when a process first refused a key, by process id and key.
      limit_forwarded_s: when a process first forwarded an endpoint's rate
        limit to a caller, by the id of the announcement and the process id.
      leaving_forwarded_s: when a process first forwarded that an endpoint
        leaves, by the endpoint's id and the process id.
      disturbed_s: when a process last resumed after a freeze, by its id;
        infinite while it is frozen.
      stop_signalled_s: when a process got the signal of a planned stop, by its
        id.
      drain_listed_s: when the store acknowledged that an endpoint is draining,
        by its id.
      calm_since_s: since when no fault is injected; None while faults are, or
        before everything has recovered from them.
      max_stall_s: longest stall of the soak's own event loop in seconds, which
        delays its callers and endpoints by as much.
      unread_s: begins and ends of the times in which an instance closed new
        connections unread, by its address.
      cuts: first requests on connections that were cut, with the time and a
        message.
      violations: a message for each violated invariant.
    """

    sent: dict[str, SentRequest] = dataclasses.field(default_factory=dict)
    runs: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    key_revoked_s: dict[str, float] = dataclasses.field(default_factory=dict)
    key_refused_s: dict[tuple[int, str], float] = dataclasses.field(
        default_factory=dict
    )
    limit_forwarded_s: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    leaving_forwarded_s: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    disturbed_s: dict[int, float] = dataclasses.field(default_factory=dict)
    stop_signalled_s: dict[int, float] = dataclasses.field(default_factory=dict)
    drain_listed_s: dict[str, float] = dataclasses.field(default_factory=dict)
    calm_since_s: float | None = None
    max_stall_s: float = 0.0
    unread_s: dict[str, list[tuple[float, float]]] = dataclasses.field(
        default_factory=dict
    )
    cuts: list[tuple[SentRequest, float, str]] = dataclasses.field(
        default_factory=list
    )
    violations: list[str] = dataclasses.field(default_factory=list)
    poison_arrivals_s: list[float] = dataclasses.field(default_factory=list)
    poison_crashes_s: list[float] = dataclasses.field(default_factory=list)

    async def watch_stalls(self) -> None:
        """Measures the longest stall of the event loop, until cancelled."""
        while True:
            due_s = read_clock() + STALL_CHECK_S
            await asyncio.sleep(STALL_CHECK_S)
            self.max_stall_s = max(self.max_stall_s, read_clock() - due_s)

    def note_run(self, request_id: str, endpoint_id: str) -> None:
        """Records that an endpoint runs a request, and checks that it may."""
        runs = self.runs.setdefault(request_id, [])
        runs.append(endpoint_id)
        sent = self.sent.get(request_id)
        if sent is None:
            self.violations.append(f"{request_id} ran and nobody sent it")
        elif sent.kind == "once" and len(runs) > 1:
            self.violations.append(f"{request_id} ran twice: {runs}")
        if sent is not None:
            self._check_not_reverted(sent)
        self._check_not_draining(request_id, endpoint_id)

    def note_answer(self, sent: SentRequest, process_id: int) -> None:
        """Records the end of a request, and checks how it ended.

        Args:
          sent: the request, with the outcome that its caller saw.
          process_id: the process that the instance runs now.
        """
        stayed = sent.process_id == process_id and process_id != 0
        if sent.status == 401 and stayed:
            self.key_refused_s.setdefault((process_id, sent.key), read_clock())
        if sent.has_timed_out and self._was_calm(sent.at_s):
            self.violations.append(
                f"{sent.request_id} had no answer in its time"
            )
        is_cut = not (sent.status or sent.has_timed_out or sent.may_be_unread)
        if is_cut and self._was_calm(sent.at_s):
            message = f"{sent.request_id} was cut {self._describe_cut(sent)}"
            if sent.is_first:
                self.cuts.append((sent, read_clock(), message))
            else:
                self.violations.append(message)

    def _was_calm(self, since_s: float) -> bool:
        return self.calm_since_s is not None and self.calm_since_s <= since_s

    def _describe_cut(self, sent: SentRequest) -> str:
        signal_s = self.stop_signalled_s.get(sent.process_id)
        if signal_s is None:
            return "in calm times"
        return (
            f"by a planned stop {read_clock() - signal_s:.2f} s after the "
            f"signal; it was sent {sent.at_s - signal_s:.2f} s after it"
        )

    def _check_not_reverted(self, sent: SentRequest) -> None:
        """Checks that a process did not revert to an older configuration.

        It did if it accepts a key that it refused before.
        """
        key_refused_s = self.key_refused_s.get((sent.process_id, sent.key))
        if key_refused_s is not None and sent.at_s > key_refused_s:
            self.violations.append(
                f"{sent.request_id} ran with a key that process "
                f"{sent.process_id} had refused before"
            )

    def _check_not_draining(self, request_id: str, endpoint_id: str) -> None:
        """Checks that a draining endpoint gets no new work in calm times."""
        drain_listed_s = self.drain_listed_s.get(endpoint_id)
        if drain_listed_s is None or not self._was_calm(drain_listed_s):
            return
        late_s = read_clock() - drain_listed_s
        if late_s > DRAIN_NOTICE_S:
            self.violations.append(
                f"{request_id} reached {endpoint_id} {late_s:.2f} s after it "
                "said that it leaves"
            )

    def note_limit_forwarded(
        self, announcement_id: str, process_id: int
    ) -> None:
        """Records that a process forwarded an endpoint's rate limit."""
        self.limit_forwarded_s.setdefault(
            (announcement_id, process_id), read_clock()
        )

    def find_limit_forwarded(
        self, announcement_id: str, request_id: str
    ) -> float | None:
        """Returns when the sender of a request first forwarded a rate limit.

        None if it has not forwarded the limit, or is or was frozen recently.
        """
        sent = self.sent.get(request_id)
        if sent is None:
            return None
        disturbed_s = self.disturbed_s.get(sent.process_id)
        if disturbed_s is not None and read_clock() < disturbed_s + RECOVERY_S:
            return None
        return self.limit_forwarded_s.get((announcement_id, sent.process_id))

    def was_disturbed(self, process_id: int, since_s: float) -> bool:
        """Whether a process was frozen at any time since a given one."""
        return self.disturbed_s.get(process_id, -math.inf) >= since_s

    def check_revoked(self, request_id: str, revoke_s: float) -> None:
        """Checks that a request's key was not revoked when it was sent.

        Args:
          request_id: id of a request that runs.
          revoke_s: seconds after which a revocation must be in force.
        """
        sent = self.sent.get(request_id)
        if sent is None:
            return
        revoked_s = self.key_revoked_s.get(sent.key)
        if revoked_s is not None and sent.at_s > revoked_s + revoke_s:
            late_s = sent.at_s - revoked_s
            self.violations.append(
                f"{request_id} ran with a key removed {late_s:.2f} s before"
            )

    def _was_left_unread(self, sent: SentRequest, cut_s: float) -> bool:
        """Whether its instance said that it closed connections unread then."""
        if self.runs.get(sent.request_id):
            return False
        return any(
            begin_s - UNREAD_LOG_S <= cut_s and sent.at_s <= end_s
            for begin_s, end_s in self.unread_s.get(sent.address, ())
        )

    def check_outcomes(self) -> None:
        """Checks the invariants on the final outcome of requests."""
        self.violations += [
            message
            for sent, cut_s, message in self.cuts
            if not self._was_left_unread(sent, cut_s)
        ]
        for sent in self.sent.values():
            ran = bool(self.runs.get(sent.request_id))
            if sent.kind == "once" and sent.status in (429, 503) and ran:
                self.violations.append(
                    f"{sent.request_id} was called not run and ran"
                )
            if sent.may_be_unread and ran:
                self.violations.append(
                    f"{sent.request_id} ran and was cut by a planned stop"
                )
            if sent.status == 200 and not sent.is_complete:
                self.violations.append(
                    f"{sent.request_id} got an answer that is not its own whole"
                )

    def count(self, status: int) -> int:
        """Returns how many requests were answered with a status."""
        return sum(1 for sent in self.sent.values() if sent.status == status)


def read_clock() -> float:
    """Returns the seconds of the clock that all parts of the soak share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
