"""Failure detector for instances of the own data centre.

An unanswered probe makes an instance a suspect. It is then probed repeatedly,
directly and through helpers, until the suspicion window ends. The window is
longer than the pauses that must not count as a death, and repeated probes
tolerate lost messages.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from google.protobuf import message as protobuf_message

from rhubarblock.fleet import peertransport
from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import membership_pb2
from rhubarblock.fleet.membership import view as memberview
from rhubarblock.kernel import timers as timers_lib

HEARTBEAT_KIND = "membership.heartbeat"
PROBE_KIND = "membership.probe"


@dataclasses.dataclass(slots=True, frozen=True)
class DetectionSettings:
    """Settings of the failure detector; times are in seconds.

    The suspicion window is the sum of ``probe_timeout_s`` and ``confirm_s``.

    Attributes:
      period_s: time between two probes of one subject.
      probe_timeout_s: time after which an unanswered probe makes its subject a
        suspect.
      confirm_s: time that a suspect has to answer before it counts as dead.
      retry_s: time between two rounds of probes to a suspect.
      indirect_probes: helpers asked to probe the suspect in each round.
      isolated_s: additional time if no helper answers either, since the fault
        may then be on the side of this instance.
      stall_s: delay of a timer beyond its due time that shows that this
        instance itself was paused.
    """

    period_s: float = 0.8
    probe_timeout_s: float = 0.3
    confirm_s: float = 1.3
    retry_s: float = 0.25
    indirect_probes: int = 3
    isolated_s: float = 5.0
    stall_s: float = 0.2


class FailureDetector:
    """Probes single instances on behalf of ``fleet.membership``."""

    __slots__ = (
        "_view",
        "_transport",
        "_timers",
        "_rng",
        "_settings",
        "_on_heartbeat",
    )

    def __init__(
        self,
        view: memberview.MemberView,
        transport: peertransport.PeerTransport,
        timers: timers_lib.Timers,
        rng: random.Random,
        settings: DetectionSettings,
        on_heartbeat: Callable[[membership_pb2.Heartbeat], None],
    ):
        """Creates the detector and registers the handler of indirect probes.

        Args:
          view: the membership view of this instance.
          transport: carries calls to peers.
          timers: the timer service.
          rng: chooses the helpers of indirect probes.
          settings: times and counts.
          on_heartbeat: called with each heartbeat received as a response.
        """
        self._view = view
        self._transport = transport
        self._timers = timers
        self._rng = rng
        self._settings = settings
        self._on_heartbeat = on_heartbeat
        transport.register(PROBE_KIND, self._handle_probe)

    async def is_alive(self, subject: members.Member) -> bool:
        """Probes an instance until it answers or the suspicion window ends.

        Args:
          subject: an instance of this data centre.

        Returns:
          Whether the instance answered, or contacted this instance itself.
        """
        settings = self._settings
        started_s = self._timers.read_monotonic()
        self._view.counters.probes += 1
        if await self.send_heartbeat(subject, settings.probe_timeout_s):
            return True
        self._view.counters.suspicions += 1
        evidence = _Evidence(subject, started_s)
        if await self._confirm(evidence, settings.confirm_s):
            return True
        if evidence.helpers_answered or not self._list_helpers(subject):
            return False
        return await self._confirm(evidence, settings.isolated_s)

    async def send_heartbeat(
        self, subject: members.Member, timeout_s: float
    ) -> bool:
        """Sends a heartbeat and merges the response.

        Args:
          subject: the receiver.
          timeout_s: timeout of the call in seconds.

        Returns:
          Whether the subject itself answered.
        """
        heartbeat = self._view.build_heartbeat(subject.instance_id)
        try:
            payload = await self._transport.call(
                subject.address,
                HEARTBEAT_KIND,
                heartbeat.SerializeToString(),
                timeout_s,
            )
            answer = membership_pb2.Heartbeat.FromString(payload)
        except peertransport.PeerError:
            return False
        except protobuf_message.DecodeError:
            self._view.counters.bad_messages += 1
            return False
        self._on_heartbeat(answer)
        # Another instance may have taken over the address.
        return answer.sender.instance_id == subject.instance_id

    async def _confirm(self, evidence: "_Evidence", duration_s: float) -> bool:
        """Probes a suspect for some seconds; returns whether it is alive."""
        settings = self._settings
        probes: set[asyncio.Task[None]] = set()
        end_s = self._timers.read_monotonic() + duration_s
        try:
            while (now_s := self._timers.read_monotonic()) < end_s:
                probes |= self._start_probes(evidence, end_s - now_s)
                await self._timers.sleep(settings.retry_s)
                if self._has_answered(evidence):
                    return True
                woken_s = self._timers.read_monotonic()
                if woken_s - now_s > settings.retry_s + settings.stall_s:
                    # This instance was paused, so the missing responses prove
                    # nothing; the window starts again.
                    self._view.counters.stalls += 1
                    end_s = woken_s + duration_s
        finally:
            for task in probes:
                task.cancel()
        return False

    def _start_probes(
        self, evidence: "_Evidence", timeout_s: float
    ) -> set[asyncio.Task[None]]:
        helpers = self._list_helpers(evidence.subject)
        count = min(self._settings.indirect_probes, len(helpers))
        tasks = [self._probe_directly(evidence, timeout_s)]
        for helper in self._rng.sample(helpers, count):
            tasks.append(self._probe_through(helper, evidence, timeout_s))
        return {asyncio.ensure_future(task) for task in tasks}

    def _list_helpers(self, subject: members.Member) -> list[members.Member]:
        return [
            member
            for member in self._view.list_peers()
            if member.instance_id != subject.instance_id
        ]

    def _has_answered(self, evidence: "_Evidence") -> bool:
        last_heard_s = self._view.get_last_heard(evidence.subject.instance_id)
        return evidence.alive or last_heard_s >= evidence.started_s

    async def _probe_directly(
        self, evidence: "_Evidence", timeout_s: float
    ) -> None:
        if await self.send_heartbeat(evidence.subject, timeout_s):
            evidence.alive = True

    async def _probe_through(
        self,
        helper: members.Member,
        evidence: "_Evidence",
        timeout_s: float,
    ) -> None:
        request = membership_pb2.ProbeRequest(
            instance_id=evidence.subject.instance_id,
            address=evidence.subject.address,
        )
        try:
            payload = await self._transport.call(
                helper.address,
                PROBE_KIND,
                request.SerializeToString(),
                timeout_s,
            )
            answer = membership_pb2.ProbeAnswer.FromString(payload)
        except (peertransport.PeerError, protobuf_message.DecodeError):
            return
        evidence.helpers_answered += 1
        evidence.alive = evidence.alive or answer.alive

    async def _handle_probe(self, sender: str, payload: bytes) -> bytes:
        """Handles an indirect probe on behalf of another instance."""
        request = membership_pb2.ProbeRequest.FromString(payload)
        subject = members.Member(
            request.instance_id, self._view.own.data_centre, request.address
        )
        timeout_s = 2 * self._settings.probe_timeout_s
        alive = await self.send_heartbeat(subject, timeout_s)
        return membership_pb2.ProbeAnswer(alive=alive).SerializeToString()


@dataclasses.dataclass(slots=True)
class _Evidence:
    """Result of probing a suspect so far.

    Attributes:
      subject: the suspect.
      started_s: when its first unanswered probe was sent.
      alive: whether it answered this instance or a helper.
      helpers_answered: number of responses from helpers, whatever the result.
    """

    subject: members.Member
    started_s: float
    alive: bool = False
    helpers_answered: int = 0
