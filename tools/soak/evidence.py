"""What callers and endpoints saw, and whether it is allowed."""

import dataclasses
import time


@dataclasses.dataclass(slots=True)
class Sent:
    """One request of a caller.

    Attributes:
      request_id: unique id.
      kind: ``stream``, ``once`` or ``again`` (may run more than once).
      key: the key that it bore.
      at_s: when it was sent.
      status: status of the answer; 0 without one.
      whole: whether the answer was whole and the request's own.
    """

    request_id: str
    kind: str
    key: str
    at_s: float
    status: int = 0
    whole: bool = False


@dataclasses.dataclass(slots=True)
class Evidence:
    """Everything that was seen.

    Attributes:
      sent: requests by id.
      runs: endpoints that ran a request, by its id.
      revoked_s: when the removal of a key was acknowledged, by key.
      faults: rules that were broken, in words.
    """

    sent: dict[str, Sent] = dataclasses.field(default_factory=dict)
    runs: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    revoked_s: dict[str, float] = dataclasses.field(default_factory=dict)
    faults: list[str] = dataclasses.field(default_factory=list)

    def note_run(self, request_id: str, endpoint_id: str) -> None:
        """Takes in that an endpoint runs a request."""
        runs = self.runs.setdefault(request_id, [])
        runs.append(endpoint_id)
        sent = self.sent.get(request_id)
        if sent is None:
            self.faults.append(f"{request_id} ran and nobody sent it")
        elif sent.kind == "once" and len(runs) > 1:
            self.faults.append(f"{request_id} ran twice: {runs}")

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
