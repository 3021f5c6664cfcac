"""In-memory instances that send to one endpoint with a rate limit."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import itertools
import random

from rhubarblock.core import listed as lists
from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.exchange import endpointlimits
from rhubarblock.experiments.endpointlimits import gates
from rhubarblock.fleet import rendezvous
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.endpointlimits import messages
from rhubarblock.routing.endpointlimits import peers as limitpeers

# One-way latency in seconds between instances, and to the endpoint.
LATENCY_S = 0.001
# Seconds between two tries of a waiting request, and for which it waits.
POLL_S = 0.02
WAIT_S = 1.0
# Length in seconds of the window over which requests are counted.
WINDOW_S = 4.0
ENDPOINT = lists.ListedEndpoint("e1", "127.0.0.1:1", "dc", "desk", 6, False)

# The policies: the product's permits, an equal share of the limit for each
# instance, the full limit for each instance, and no limit.
PERMITS = "permits"
SHARES = "shares"
ALONE = "alone"
NONE = "none"
POLICIES = (PERMITS, SHARES, ALONE, NONE)


class FleetPeers(limitpeers.LimitPeers):
    """The peer transport of one instance of an in-memory fleet."""

    def __init__(self, fleet: "LimitFleet", name: str):
        """Creates the transport of the instance with a name."""
        self._fleet = fleet
        self._name = name

    def count_users(self, endpoint_id: str) -> int:
        del endpoint_id
        return len(self._fleet.limits)

    def choose_coordinator(self, endpoint_id: str, silent: set[str]) -> str:
        names = [n for n in self._fleet.limits if n not in silent]
        best = max(
            {*names, self._name},
            key=lambda name: rendezvous.compute_score(endpoint_id, name),
        )
        return limitpeers.SELF if best == self._name else best

    def send_request(self, peer: str, request: messages.PermitRequest) -> None:
        self._send(
            peer, lambda receiver: receiver.receive_request(self._name, request)
        )

    def send_grant(self, peer: str, grant: messages.PermitGrant) -> None:
        self._send(
            peer, lambda receiver: receiver.receive_grant(self._name, grant)
        )

    def send_report(self, peer: str, report: messages.LimitReport) -> None:
        self._send(peer, lambda receiver: receiver.receive_report(report))

    def broadcast_report(self, report: messages.LimitReport) -> None:
        for peer in self._fleet.limits:
            if peer != self._name:
                self.send_report(peer, report)

    def _send(
        self, peer: str, step: Callable[[endpointlimits.EndpointLimits], None]
    ) -> None:
        self._fleet.messages += 1
        if self._fleet.can_reach(self._name, peer):
            receiver = self._fleet.limits[peer]
            asyncio.get_running_loop().call_later(LATENCY_S, step, receiver)


class LimitFleet:
    """Instances that send to one endpoint.

    Attributes:
      timers: the timer service.
      limits: endpoint limits of each instance, by its name.
      peers: peer transport of each instance, by its name.
      partitions: sets of instances that reach only each other; empty if there
        is no partition.
      dead: instances that neither send nor receive.
      stated: limit that the endpoint states at present.
      arrived_s: when requests arrived at it, in monotonic seconds.
      served: requests that arrived, by instance.
      messages: messages that instances sent to each other.
    """

    def __init__(
        self,
        count: int,
        stated: ratelimits.StatedLimit,
        policy: str = PERMITS,
        seed: int = 1,
    ):
        """Creates instances that have not received a limit yet.

        Args:
          count: number of instances.
          stated: limit that the endpoint states.
          policy: one of ``POLICIES``.
          seed: seed of the arrivals.
        """
        self.timers = timer_service.LoopTimers()
        self.partitions: list[set[str]] = []
        self.dead: set[str] = set()
        self.stated = stated
        self.arrived_s: list[float] = []
        self.messages = 0
        self._seed = seed
        self._numbers = itertools.count()
        names = [f"i{n}" for n in range(count)]
        self.served = dict.fromkeys(names, 0)
        self.peers = {name: FleetPeers(self, name) for name in names}
        self.limits = {name: self._make_limits(name) for name in names}
        self._gates = {name: self._make_gate(name, policy) for name in names}

    def _make_limits(self, name: str) -> endpointlimits.EndpointLimits:
        return endpointlimits.EndpointLimits(
            self.peers[name],
            random.Random(f"{self._seed} {name}"),
            self.timers,
            metric_store.Metrics(),
        )

    def _make_gate(self, name: str, policy: str) -> gates.Gate:
        if policy == PERMITS:
            return gates.PermitGate(self.limits[name], ENDPOINT)
        if policy == NONE:
            return gates.OpenGate()
        part = 1.0 if policy == ALONE else 1.0 / len(self.limits)
        return gates.ShareGate(part, self.timers)

    def can_reach(self, sender: str, receiver: str) -> bool:
        """Says whether a message from one instance reaches another."""
        if sender in self.dead or receiver in self.dead:
            return False
        return not self.partitions or any(
            sender in partition and receiver in partition
            for partition in self.partitions
        )

    async def call(self, name: str, waits: bool = False) -> None:
        """Sends one request of an instance if its gate admits it.

        Args:
          name: name of the instance.
          waits: whether the request may wait up to ``WAIT_S``.
        """
        gate = self._gates[name]
        request_id = f"q{next(self._numbers)}"
        until_s = self.timers.read_monotonic() + WAIT_S * waits
        while True:
            left_s = until_s - self.timers.read_monotonic()
            least_s = endpointlimits.MIN_PERMIT_WAIT_S
            if gate.try_pass(request_id, max(least_s, left_s)):
                break
            if left_s <= 0.0:
                return
            await self.timers.sleep(POLL_S)
        sent_s = self.timers.read_monotonic()
        await self.timers.sleep(LATENCY_S)
        self.arrived_s.append(self.timers.read_monotonic())
        self.served[name] += 1
        stated = self.stated
        await self.timers.sleep(LATENCY_S)
        gate.note_answer(stated, sent_s)

    async def load(
        self,
        names: Iterable[str],
        per_s: float,
        length_s: float,
        waits: bool = False,
    ) -> None:
        """Sends requests from instances with Poisson arrivals.

        Args:
          names: names of the instances.
          per_s: mean requests a second of each.
          length_s: duration in seconds.
          waits: whether requests may wait up to ``WAIT_S``.
        """
        async with asyncio.TaskGroup() as group:
            for name in names:
                group.create_task(self._load(name, per_s, length_s, waits))

    async def _load(
        self, name: str, per_s: float, length_s: float, waits: bool
    ) -> None:
        now_s = self.timers.read_monotonic()
        rng = random.Random(f"{self._seed} {name} {now_s}")
        left_s = length_s
        async with asyncio.TaskGroup() as group:
            while (next_s := rng.expovariate(per_s)) < left_s:
                left_s -= next_s
                await self.timers.sleep(next_s)
                if name not in self.dead:
                    group.create_task(self.call(name, waits))

    def count_worst_window(
        self, from_s: float, window_s: float = WINDOW_S
    ) -> int:
        """Returns the most arrivals in any window from a given time on."""
        later = [at_s for at_s in self.arrived_s if at_s >= from_s]
        last = 0
        most = 0
        for first, at_s in enumerate(later):
            while last < len(later) and later[last] < at_s + window_s:
                last += 1
            most = max(most, last - first)
        return most
