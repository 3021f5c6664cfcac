"""In-memory instances that send to endpoints, some of which shed load."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random

from rhubarblock.core import listed as lists
from rhubarblock.exchange import callbalancer
from rhubarblock.exchange import candidates
from rhubarblock.exchange import relay
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.experiments.endpointrests import policies
from rhubarblock.experiments.endpointrests import sheddingendpoint
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import health as healths

# One-way latency in seconds from an instance to an endpoint of its own data
# centre and of another one.
NEAR_S = 0.0005
FAR_S = 0.005
# One-way latency in seconds between instances, and the message loss rate.
MESSAGE_S = 0.001
LOSS_RATE = 1.0 / 200.0
DATA_CENTRES = ("dc0", "dc1", "dc2")
SERVICE = "desk"
# Least number of endpoints, instances per endpoint, and endpoints per shedding
# endpoint, itself included.
LEAST_ENDPOINTS = 30
INSTANCES_PER_ENDPOINT = 4
ENDPOINTS_PER_SHEDDING = 10
# Offered load as a share of the capacity of all endpoints while none sheds.
LOAD = 0.6
# Attempts for a request, and how often a caller sends its request in all.
ATTEMPTS = 2
SENDS = 2


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request and its outcome.

    Attributes:
      begun_s: when the caller first sent it, in monotonic seconds.
      time_s: seconds until the answer, None if it got none.
      sent: attempts that were sent to endpoints.
      refusals: how often the caller was refused.
    """

    begun_s: float
    time_s: float | None = None
    sent: int = 0
    refusals: int = 0


@dataclasses.dataclass(slots=True)
class Traffic:
    """Traffic between one instance and one shedding endpoint.

    Attributes:
      sent_s: when requests were sent, in monotonic seconds.
      cooldowns_s: when the instance received a cool-down from the endpoint.
    """

    sent_s: list[float] = dataclasses.field(default_factory=list)
    cooldowns_s: list[float] = dataclasses.field(default_factory=list)


class Instance:
    """One instance with its callers and its cool-down policy."""

    def __init__(self, fleet: "RestFleet", name: str, data_centre: str):
        """Creates an instance without cool-downs.

        Args:
          fleet: the fleet to which it belongs.
          name: its name.
          data_centre: its data centre.
        """
        self._fleet = fleet
        self._timers = fleet.timers
        self._name = name
        self._data_centre = data_centre
        self._rng = random.Random(f"{fleet.seed} {name}")
        self._health = healths.Health(data_centre)
        self._calls = callbalancer.CallBalancer(
            self._health, data_centre, self._timers
        )
        self._policy = policies.make_policy(
            fleet.way, random.Random(f"{fleet.seed} {name} hints")
        )
        self._used = fleet.list_used(name, data_centre)
        # The balancer takes the first of equally idle endpoints, so the same
        # order everywhere would send all calls to the first in the list.
        self._rng.shuffle(self._used)

    async def load(self, per_s: float, length_s: float) -> None:
        """Serves callers with Poisson arrivals.

        Args:
          per_s: mean requests a second.
          length_s: duration in seconds.
        """
        rng = random.Random(f"{self._fleet.seed} {self._name} callers")
        left_s = length_s
        async with asyncio.TaskGroup() as group:
            while (next_s := rng.expovariate(per_s)) < left_s:
                left_s -= next_s
                await self._timers.sleep(next_s)
                group.create_task(self._serve())

    def receive_update(self, endpoint_id: str) -> None:
        """Processes a peer's update that an endpoint asked for a cool-down."""
        now_s = self._timers.read_monotonic()
        self._policy.note_peer_cooldown(
            endpoint_id, sheddingendpoint.COOLDOWN_S, now_s
        )

    async def _serve(self) -> None:
        """Serves one caller, who retries once if it is refused."""
        call = Call(self._timers.read_monotonic())
        self._fleet.calls.append(call)
        for send in range(SENDS):
            if send:
                await self._timers.sleep(self._find_retry_delay())
            if await self._try_endpoints(call):
                now_s = self._timers.read_monotonic()
                call.time_s = now_s - call.begun_s
                return
            call.refusals += 1

    async def _try_endpoints(self, call: Call) -> bool:
        """Sends a request, and to a second endpoint if the first refuses it."""
        refused_by = ""
        for _ in range(ATTEMPTS):
            left = [e for e in self._used if e.endpoint_id != refused_by]
            now_s = self._timers.read_monotonic()
            candidates_left = self._policy.select(left, now_s)
            if not candidates_left:
                return False
            chosen = self._calls.choose(candidates_left)
            call.sent += 1
            if await self._send(chosen):
                return True
            refused_by = chosen.endpoint_id
        return False

    async def _send(self, listed: lists.ListedEndpoint) -> bool:
        """Sends a request to an endpoint; returns whether it was accepted."""
        endpoint_id = listed.endpoint_id
        endpoint = self._fleet.endpoints[endpoint_id]
        traffic = self._fleet.traffic[self._name, endpoint_id]
        latency_s = NEAR_S if listed.data_centre == self._data_centre else FAR_S
        now_s = self._timers.read_monotonic()
        if endpoint.sheds:
            traffic.sent_s.append(now_s)
        self._policy.note_chosen(endpoint_id, now_s)
        with self._calls.hold(endpoint_id):
            await self._timers.sleep(latency_s)
            answer = endpoint.answer(self._timers.read_monotonic())
            await self._timers.sleep(answer.after_s + latency_s)
        if answer.is_accepted:
            self._policy.note_accepted(endpoint_id)
        if answer.cooldown_s:
            now_s = self._timers.read_monotonic()
            traffic.cooldowns_s.append(now_s)
            if self._policy.note_own_cooldown(
                endpoint_id, answer.cooldown_s, now_s
            ):
                self._fleet.broadcast(self._name, endpoint_id)
        return answer.is_accepted

    def _find_retry_delay(self) -> float:
        """Returns the seconds after which a refused caller retries."""
        now_s = self._timers.read_monotonic()
        left_s = min(
            self._policy.find_remaining(e.endpoint_id, now_s)
            for e in self._used
        )
        spread_s = candidates.COOLDOWN_SPREAD_S * self._rng.random()
        return max(relay.RETRY_AFTER_S, left_s) + spread_s


class RestFleet:
    """Instances that send to the endpoints of one service.

    Attributes:
      way: the cool-down policy, one of ``policies.WAYS``.
      seed: seed of arrivals and run times.
      timers: the timer service.
      endpoints: the endpoints by id.
      calls: the requests of all callers, in order of arrival.
      traffic: by instance and endpoint, for shedding endpoints.
      messages: messages that instances sent to each other.
    """

    def __init__(self, way: str, count: int, shed_rate: float, seed: int):
        """Creates idle instances and endpoints.

        Args:
          way: one of ``policies.WAYS``.
          count: number of instances.
          shed_rate: part of its capacity that an endpoint accepts while it
            sheds.
          seed: seed of arrivals and run times.
        """
        self.way = way
        self.seed = seed
        self.timers = timer_service.LoopTimers()
        self.calls: list[Call] = []
        self.traffic: collections.defaultdict[tuple[str, str], Traffic] = (
            collections.defaultdict(Traffic)
        )
        self.messages = 0
        self._rng = random.Random(f"{seed} messages")
        self.endpoints = self._make_endpoints(count, shed_rate)
        self._directory = directories.Directory(self.timers)
        self._directory.replace([e.listed for e in self.endpoints.values()])
        self._subsets = subsets.Subsets(self._directory)
        self._users: dict[str, list[str]] = {e: [] for e in self.endpoints}
        self._instances = {
            f"i{n}": Instance(self, f"i{n}", DATA_CENTRES[n % 3])
            for n in range(count)
        }

    def _make_endpoints(
        self, count: int, shed_rate: float
    ) -> dict[str, sheddingendpoint.Endpoint]:
        number = max(LEAST_ENDPOINTS, count // INSTANCES_PER_ENDPOINT)
        endpoints = {}
        for n in range(number):
            listed = lists.ListedEndpoint(
                f"e{n}",
                f"127.0.0.1:{n + 1}",
                DATA_CENTRES[n % len(DATA_CENTRES)],
                SERVICE,
                sheddingendpoint.SLOTS,
                False,
            )
            rng = random.Random(f"{self.seed} {listed.endpoint_id}")
            endpoints[listed.endpoint_id] = sheddingendpoint.Endpoint(
                listed,
                n % ENDPOINTS_PER_SHEDDING == ENDPOINTS_PER_SHEDDING - 1,
                shed_rate,
                rng,
            )
        return endpoints

    def list_used(
        self, name: str, data_centre: str
    ) -> list[lists.ListedEndpoint]:
        """Selects the endpoints of an instance and registers it as their user.

        Args:
          name: name of the instance.
          data_centre: its data centre.

        Returns:
          The endpoints that it uses.
        """
        listed = self._directory.list_usable(SERVICE)
        used = list(self._subsets.select(name, data_centre, listed))
        for endpoint in used:
            self._users[endpoint.endpoint_id].append(name)
        return used

    def broadcast(self, sender: str, endpoint_id: str) -> None:
        """Announces a cool-down of an endpoint to its other users.

        Args:
          sender: the instance that received it from the endpoint.
          endpoint_id: id of the endpoint.
        """
        for name in self._users[endpoint_id]:
            if name == sender:
                continue
            self.messages += 1
            if self._rng.random() >= LOSS_RATE:
                receive: Callable[[str], None] = self._instances[
                    name
                ].receive_update
                loop = asyncio.get_running_loop()
                loop.call_later(MESSAGE_S, receive, endpoint_id)

    async def load(self, length_s: float) -> None:
        """Serves callers at all instances.

        Args:
          length_s: duration in seconds.
        """
        capacity_per_s = (
            len(self.endpoints)
            * sheddingendpoint.SLOTS
            / sheddingendpoint.SERVICE_S
        )
        per_s = LOAD * capacity_per_s / len(self._instances)
        async with asyncio.TaskGroup() as group:
            for instance in self._instances.values():
                group.create_task(instance.load(per_s, length_s))
