"""Finds out that an instance of the own data centre does not answer.

A probe that is not answered raises a suspicion. The suspect is then probed
again and again, directly and through others, until the window of suspicion
ends. The window is longer than the pauses that are to be survived, and many
tries in it survive lost messages.
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
    """Times in seconds, and numbers, of the failure detector.

    ``probe_timeout_s`` and ``confirm_s`` together are the window of suspicion.

    Attributes:
      period_s: time between two probes of one subject.
      probe_timeout_s: time after which an unanswered probe raises suspicion.
      confirm_s: time that a suspect then has to answer.
      retry_s: time between two tries within it.
      indirect_probes: instances that are asked to probe the suspect.
      isolated_s: further time if none of those answers either, as then the
        fault may lie on this side.
      stall_s: delay beyond a timeout that shows that this instance itself
        was paused.
    """

    period_s: float = 0.8
    probe_timeout_s: float = 0.3
    confirm_s: float = 1.3
    retry_s: float = 0.25
    indirect_probes: int = 3
    isolated_s: float = 5.0
    stall_s: float = 0.2


class FailureDetector:
    """Probes single instances for ``fleet.membership``."""

    __slots__ = (
        "_view",
        "_transport",
        "_timers",
        "_rng",
        "_settings",
        "_take",
    )

    def __init__(
        self,
        view: memberview.MemberView,
        transport: peertransport.PeerTransport,
        timers: timers_lib.Timers,
        rng: random.Random,
        settings: DetectionSettings,
        take: Callable[[membership_pb2.Heartbeat], None],
    ):
        """Creates the detector and answers the probes of others.

        Args:
          view: what this instance knows.
          transport: calls to peers.
          timers: the timer service.
          rng: draws the instances that are asked for help.
          settings: times and numbers.
          take: gets each heartbeat that arrives as an answer.
        """
        self._view = view
        self._transport = transport
        self._timers = timers
        self._rng = rng
        self._settings = settings
        self._take = take
        transport.register(PROBE_KIND, self._answer_probe)

    async def is_alive(self, subject: members.Member) -> bool:
        """Probes an instance until it answers or the window ends.

        Args:
          subject: an instance of this data centre.

        Returns:
          Whether it gave a sign of life.
        """
        settings = self._settings
        started_s = self._timers.read_monotonic()
        self._view.counters.probes += 1
        if await self.send_heartbeat(subject, settings.probe_timeout_s):
            return True
        self._view.counters.suspicions += 1
        evidence = _Evidence(subject, started_s)
        if await self._search(evidence, settings.confirm_s):
            return True
        if evidence.helpers_answered or not self._list_helpers(subject):
            return False
        return await self._search(evidence, settings.isolated_s)

    async def send_heartbeat(
        self, subject: members.Member, timeout_s: float
    ) -> bool:
        """Sends a heartbeat and takes in the answer.

        Args:
          subject: the receiver.
          timeout_s: seconds to wait.

        Returns:
          Whether it answered.
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
        self._take(answer)
        # Another instance may have taken over the address.
        return answer.sender.instance_id == subject.instance_id

    async def _search(self, evidence: "_Evidence", duration_s: float) -> bool:
        """Looks for a sign of life; returns whether there was one."""
        settings = self._settings
        tries: set[asyncio.Task[None]] = set()
        end_s = self._timers.read_monotonic() + duration_s
        try:
            while (now_s := self._timers.read_monotonic()) < end_s:
                tries |= self._start_tries(evidence, end_s - now_s)
                await self._timers.sleep(settings.retry_s)
                if self._is_refuted(evidence):
                    return True
                woken_s = self._timers.read_monotonic()
                if woken_s - now_s > settings.retry_s + settings.stall_s:
                    # This instance was paused: the silence proves nothing.
                    self._view.counters.stalls += 1
                    end_s = woken_s + duration_s
        finally:
            for task in tries:
                task.cancel()
        return False

    def _start_tries(
        self, evidence: "_Evidence", timeout_s: float
    ) -> set[asyncio.Task[None]]:
        helpers = self._list_helpers(evidence.subject)
        count = min(self._settings.indirect_probes, len(helpers))
        tasks = [self._try_direct(evidence, timeout_s)]
        for helper in self._rng.sample(helpers, count):
            tasks.append(self._try_through(helper, evidence, timeout_s))
        return {asyncio.ensure_future(task) for task in tasks}

    def _list_helpers(self, subject: members.Member) -> list[members.Member]:
        return [
            member
            for member in self._view.list_peers()
            if member.instance_id != subject.instance_id
        ]

    def _is_refuted(self, evidence: "_Evidence") -> bool:
        heard_s = self._view.read_heard(evidence.subject.instance_id)
        return evidence.alive or heard_s >= evidence.started_s

    async def _try_direct(
        self, evidence: "_Evidence", timeout_s: float
    ) -> None:
        if await self.send_heartbeat(evidence.subject, timeout_s):
            evidence.alive = True

    async def _try_through(
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

    async def _answer_probe(self, sender: str, payload: bytes) -> bytes:
        """Probes an instance for another one that suspects it."""
        request = membership_pb2.ProbeRequest.FromString(payload)
        subject = members.Member(
            request.instance_id, self._view.own.data_centre, request.address
        )
        timeout_s = 2 * self._settings.probe_timeout_s
        alive = await self.send_heartbeat(subject, timeout_s)
        return membership_pb2.ProbeAnswer(alive=alive).SerializeToString()


@dataclasses.dataclass(slots=True)
class _Evidence:
    """What a search has found.

    Attributes:
      subject: the instance under suspicion.
      started_s: when its first unanswered probe was sent.
      alive: whether it answered, here or to a helper.
      helpers_answered: answers from helpers, whatever they say.
    """

    subject: members.Member
    started_s: float
    alive: bool = False
    helpers_answered: int = 0
