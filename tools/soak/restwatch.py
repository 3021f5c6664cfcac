"""Endpoints of the soak that ask for rest, and whether they get it."""

import dataclasses

from tools.soak import evidence as evidences
from tools.soak import proxy as proxies

# Seconds after an answer in which requests that were under way still arrive.
UNDER_WAY_S = 0.5
# Requests of one process that may arrive in the rest of the time.
ALLOWED = 2


@dataclasses.dataclass(slots=True)
class Rest:
    """What one answer asked of one process.

    Attributes:
      asked_s: when it was answered.
      until_s: when the time is over.
      arrived: requests of the process in that time.
    """

    asked_s: float
    until_s: float
    arrived: int = 0


class RestWatch:
    """What one start of an endpoint asked for, and what arrives there."""

    def __init__(self, endpoint_id: str, evidence: evidences.Evidence):
        self._endpoint_id = endpoint_id
        self._evidence = evidence
        self._rests: dict[int, list[Rest]] = {}
        self._reported: set[int] = set()

    def ask(self, request_id: str, rest_s: float) -> None:
        """Takes in that a request is answered with a wish for rest."""
        sent = self._evidence.sent.get(request_id)
        if sent is None or not sent.process_id:
            return
        now_s = evidences.read_clock()
        rests = self._rests.setdefault(sent.process_id, [])
        rests.append(Rest(now_s, now_s + rest_s))

    def note_arrival(self, request_id: str, way: proxies.SoakProxy) -> None:
        """Takes in a request, and checks whether its process keeps the rest.

        Args:
          request_id: its id.
          way: the way to the endpoint.
        """
        sent = self._evidence.sent.get(request_id)
        if sent is None:
            return
        now_s = evidences.read_clock()
        rests = [
            rest
            for rest in self._rests.get(sent.process_id, ())
            if now_s < rest.until_s
            and not way.was_broken_since(rest.asked_s)
            and not self._evidence.was_disturbed(sent.process_id, rest.asked_s)
        ]
        self._rests[sent.process_id] = rests
        for rest in rests:
            rest.arrived += now_s >= rest.asked_s + UNDER_WAY_S
        if any(rest.arrived > ALLOWED for rest in rests):
            self._report(sent, now_s)

    def _report(self, sent: evidences.Sent, now_s: float) -> None:
        if sent.process_id in self._reported:
            return
        self._reported.add(sent.process_id)
        worst = max(self._rests[sent.process_id], key=lambda r: r.arrived)
        self._evidence.faults.append(
            f"{self._endpoint_id} asked process {sent.process_id} for "
            f"{worst.until_s - worst.asked_s:g} s of rest and got "
            f"{sent.request_id} {now_s - worst.asked_s:.2f} s later, "
            f"{worst.arrived} in that time"
        )
