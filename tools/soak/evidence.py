"""What callers and endpoints saw, and whether it is allowed."""

import asyncio
import dataclasses
import math
import time

# Seconds after which a leaving endpoint gets no new work.
DRAIN_S = 2.0
# Seconds for which a process that was disturbed is not held to limits.
CALM_S = 4.0
# Seconds between two looks at whether the soak itself stands still.
TICK_S = 0.05


@dataclasses.dataclass(slots=True)
class Sent:
    """One request of a caller.

    Attributes:
      request_id: unique id.
      kind: ``stream``, ``once`` or ``again`` (may run more than once).
      key: the key that it bore.
      at_s: when it was sent.
      process_id: the process that it was sent to; 0 where none ran.
      status: status of the answer; 0 without one.
      whole: whether the answer was whole and the request's own.
      overdue: whether its caller gave up waiting.
      is_unread: whether it crossed the close of a connection that was left, so
        that it may have gone unread.
    """

    request_id: str
    kind: str
    key: str
    at_s: float
    process_id: int = 0
    status: int = 0
    whole: bool = False
    overdue: bool = False
    is_unread: bool = False


@dataclasses.dataclass(slots=True)
class Evidence:
    """Everything that was seen.

    Attributes:
      sent: requests by id.
      runs: endpoints that ran a request, by its id.
      revoked_s: when the removal of a key was acknowledged, by key.
      refused_s: when a process first refused a key, by process id and key.
      told_s: when a process first passed on an endpoint's word on its limit, by
        the mark of that word and the process id.
      leaving_s: when a process first passed on that an endpoint leaves, by the
        endpoint's id and the process id.
      disturbed_s: when a process was last frozen or signalled, by its id.
      stopped_s: when a process was told to stop in calm times, by its id.
      left_s: when the leaving of an endpoint was acknowledged, by its id.
      calm_s: since when nothing is disturbed; None while something is.
      stall_s: longest time in seconds for which the soak stood still; its
        callers and endpoints were as late.
      faults: rules that were broken, in words.
    """

    sent: dict[str, Sent] = dataclasses.field(default_factory=dict)
    runs: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    revoked_s: dict[str, float] = dataclasses.field(default_factory=dict)
    refused_s: dict[tuple[int, str], float] = dataclasses.field(
        default_factory=dict
    )
    told_s: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    leaving_s: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    disturbed_s: dict[int, float] = dataclasses.field(default_factory=dict)
    stopped_s: dict[int, float] = dataclasses.field(default_factory=dict)
    left_s: dict[str, float] = dataclasses.field(default_factory=dict)
    calm_s: float | None = None
    stall_s: float = 0.0
    faults: list[str] = dataclasses.field(default_factory=list)

    async def watch_stalls(self) -> None:
        """Measures until it is cancelled how long the soak stood still."""
        while True:
            due_s = read_clock() + TICK_S
            await asyncio.sleep(TICK_S)
            self.stall_s = max(self.stall_s, read_clock() - due_s)

    def note_run(self, request_id: str, endpoint_id: str) -> None:
        """Takes in that an endpoint runs a request."""
        runs = self.runs.setdefault(request_id, [])
        runs.append(endpoint_id)
        sent = self.sent.get(request_id)
        if sent is None:
            self.faults.append(f"{request_id} ran and nobody sent it")
        elif sent.kind == "once" and len(runs) > 1:
            self.faults.append(f"{request_id} ran twice: {runs}")
        if sent is not None:
            self._check_refused(sent)
        self._check_left(request_id, endpoint_id)

    def note_answer(self, sent: Sent, process_id: int) -> None:
        """Takes in the end of a request.

        Args:
          sent: the request, with what its caller got.
          process_id: the process that now runs where it was sent.
        """
        stayed = sent.process_id == process_id and process_id != 0
        if sent.status == 401 and stayed:
            self.refused_s.setdefault((process_id, sent.key), read_clock())
        if sent.overdue and self._was_calm(sent.at_s):
            self.faults.append(f"{sent.request_id} had no answer in its time")
        is_cut = not (sent.status or sent.overdue or sent.is_unread)
        if is_cut and self._was_calm(sent.at_s):
            self.faults.append(
                f"{sent.request_id} was cut {self._describe_stop(sent)}"
            )

    def _was_calm(self, since_s: float) -> bool:
        return self.calm_s is not None and self.calm_s <= since_s

    def _describe_stop(self, sent: Sent) -> str:
        stopped_s = self.stopped_s.get(sent.process_id)
        if stopped_s is None:
            return "in calm times"
        return (
            f"by a planned stop {read_clock() - stopped_s:.2f} s after the "
            f"signal; it was sent {sent.at_s - stopped_s:.2f} s after it"
        )

    def _check_refused(self, sent: Sent) -> None:
        """Checks that a process did not go back to an older configuration."""
        refused_s = self.refused_s.get((sent.process_id, sent.key))
        if refused_s is not None and sent.at_s > refused_s:
            self.faults.append(
                f"{sent.request_id} ran with a key that process "
                f"{sent.process_id} had refused before"
            )

    def _check_left(self, request_id: str, endpoint_id: str) -> None:
        """Checks that a leaving endpoint gets no new work in calm times."""
        left_s = self.left_s.get(endpoint_id)
        if left_s is None or not self._was_calm(left_s):
            return
        late_s = read_clock() - left_s
        if late_s > DRAIN_S:
            self.faults.append(
                f"{request_id} reached {endpoint_id} {late_s:.2f} s after it "
                "said that it leaves"
            )

    def note_told(self, mark: str, process_id: int) -> None:
        """Takes in that a process passed on an endpoint's word on its limit."""
        self.told_s.setdefault((mark, process_id), read_clock())

    def find_told(self, mark: str, request_id: str) -> float | None:
        """Returns when the sender of a request had passed on such a word.

        None if it had not, or was disturbed lately.
        """
        sent = self.sent.get(request_id)
        if sent is None:
            return None
        disturbed_s = self.disturbed_s.get(sent.process_id)
        if disturbed_s is not None and read_clock() < disturbed_s + CALM_S:
            return None
        return self.told_s.get((mark, sent.process_id))

    def was_disturbed(self, process_id: int, since_s: float) -> bool:
        """Whether a process was frozen at some time since another."""
        return self.disturbed_s.get(process_id, -math.inf) >= since_s

    def check_revoked(self, request_id: str, revoke_s: float) -> None:
        """Checks that a request's key was still good when it was sent."""
        sent = self.sent.get(request_id)
        if sent is None:
            return
        removed_s = self.revoked_s.get(sent.key)
        if removed_s is not None and sent.at_s > removed_s + revoke_s:
            late_s = sent.at_s - removed_s
            self.faults.append(
                f"{request_id} ran with a key removed {late_s:.2f} s before"
            )

    def close(self) -> None:
        """Checks what can only be told at the end."""
        for sent in self.sent.values():
            ran = bool(self.runs.get(sent.request_id))
            if sent.kind == "once" and sent.status in (429, 503) and ran:
                self.faults.append(
                    f"{sent.request_id} was called not run and ran"
                )
            if sent.is_unread and ran:
                self.faults.append(
                    f"{sent.request_id} ran and was cut by a planned stop"
                )
            if sent.status == 200 and not sent.whole:
                self.faults.append(
                    f"{sent.request_id} got an answer that is not its own whole"
                )

    def count(self, status: int) -> int:
        """Returns how many requests got a status."""
        return sum(1 for sent in self.sent.values() if sent.status == status)


def read_clock() -> float:
    """Returns seconds of the clock that all parts of the soak share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
