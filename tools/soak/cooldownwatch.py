"""Checks that instances respect the cool-downs that endpoints ask for."""

import dataclasses

from tools.soak import evidence as evidences
from tools.soak import proxy as proxies

# Seconds after an answer in which requests already in flight still arrive.
IN_FLIGHT_S = 0.5
# Requests of one process that may arrive in the rest of the cool-down.
MAX_ARRIVALS = 2


@dataclasses.dataclass(slots=True)
class Cooldown:
    """The cool-down that one answer asks of one process.

    Attributes:
      requested_s: when the answer was sent.
      until_s: when the cool-down ends.
      arrivals: requests of the process that arrived in the cool-down.
    """

    requested_s: float
    until_s: float
    arrivals: int = 0


class CooldownWatch:
    """Cool-downs of one run of an endpoint, and the requests that arrive."""

    def __init__(self, endpoint_id: str, evidence: evidences.Evidence):
        self._endpoint_id = endpoint_id
        self._evidence = evidence
        self._cooldowns: dict[int, list[Cooldown]] = {}
        self._reported: set[int] = set()

    def note_requested(self, request_id: str, retry_after_s: float) -> None:
        """Records that a request is answered with a Retry-After."""
        sent = self._evidence.sent.get(request_id)
        if sent is None or not sent.process_id:
            return
        now_s = evidences.read_clock()
        cooldowns = self._cooldowns.setdefault(sent.process_id, [])
        cooldowns.append(Cooldown(now_s, now_s + retry_after_s))

    def note_arrival(self, request_id: str, proxy: proxies.SoakProxy) -> None:
        """Records a request, and checks that it respects the cool-downs.

        Cool-downs since which the process or the proxy was disturbed are
        dropped.

        Args:
          request_id: its id.
          proxy: the proxy of the endpoint.
        """
        sent = self._evidence.sent.get(request_id)
        if sent is None:
            return
        now_s = evidences.read_clock()
        cooldowns = [
            cooldown
            for cooldown in self._cooldowns.get(sent.process_id, ())
            if now_s < cooldown.until_s
            and not proxy.was_broken_since(cooldown.requested_s)
            and not self._evidence.was_disturbed(
                sent.process_id, cooldown.requested_s
            )
        ]
        self._cooldowns[sent.process_id] = cooldowns
        for cooldown in cooldowns:
            cooldown.arrivals += now_s >= cooldown.requested_s + IN_FLIGHT_S
        if any(cooldown.arrivals > MAX_ARRIVALS for cooldown in cooldowns):
            self._report(sent, now_s)

    def _report(self, sent: evidences.SentRequest, now_s: float) -> None:
        if sent.process_id in self._reported:
            return
        self._reported.add(sent.process_id)
        worst = max(self._cooldowns[sent.process_id], key=lambda r: r.arrivals)
        self._evidence.violations.append(
            f"{self._endpoint_id} asked process {sent.process_id} for "
            f"{worst.until_s - worst.requested_s:g} s of cool-down and got "
            f"{sent.request_id} {now_s - worst.requested_s:.2f} s later, "
            f"{worst.arrivals} in that time"
        )
