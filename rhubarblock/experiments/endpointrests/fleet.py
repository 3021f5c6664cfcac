"""Instances in memory before endpoints of which some shed load."""

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
from rhubarblock.experiments.endpointrests import sheds
from rhubarblock.experiments.endpointrests import ways
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import health as healths

# Seconds from an instance to an endpoint of its data centre and of another.
NEAR_S = 0.0005
FAR_S = 0.005
# Seconds from one instance to another, and the part of messages that is lost.
MESSAGE_S = 0.001
LOST_PART = 1.0 / 200.0
DATA_CENTRES = ("dc0", "dc1", "dc2")
SERVICE = "desk"
# Endpoints at least, instances for each one, and endpoints for each one that
# sheds.
LEAST_ENDPOINTS = 30
INSTANCES_EACH = 4
SOUND_EACH = 10
# What is asked for, in what all endpoints serve while none sheds.
LOAD = 0.6
# Attempts for a request of a caller, and times at which a caller comes.
ATTEMPTS = 2
VISITS = 2


@dataclasses.dataclass(slots=True)
class Call:
    """What a caller's request met.

    Attributes:
      begun_s: when the caller came first, in monotonic seconds.
      time_s: seconds until it had its answer, None if it got none.
      sent: requests that endpoints got for it.
      refusals: how often the caller was refused.
    """

    begun_s: float
    time_s: float | None = None
    sent: int = 0
    refusals: int = 0


@dataclasses.dataclass(slots=True)
class Traffic:
    """What went between one instance and one endpoint that sheds.

    Attributes:
      sent_s: when requests were sent, in monotonic seconds.
      asked_s: when the instance heard that the endpoint wants rest.
    """

    sent_s: list[float] = dataclasses.field(default_factory=list)
    asked_s: list[float] = dataclasses.field(default_factory=list)


class Instance:
    """One instance, its callers and what it keeps."""

    def __init__(self, fleet: "RestFleet", name: str, data_centre: str):
        """Creates an instance that knows of no rest.

        Args:
          fleet: where it belongs.
          name: its name.
          data_centre: where it runs.
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
        self._notice = ways.make_notice(
            fleet.way, random.Random(f"{fleet.seed} {name} hints")
        )
        self._used = fleet.list_used(name, data_centre)
        # Idle endpoints are alike to it; the first listed would get all calls.
        self._rng.shuffle(self._used)

    async def load(self, per_s: float, length_s: float) -> None:
        """Lets callers come at random moments.

        Args:
          per_s: requests a second.
          length_s: for how long.
        """
        rng = random.Random(f"{self._fleet.seed} {self._name} callers")
        left_s = length_s
        async with asyncio.TaskGroup() as group:
            while (next_s := rng.expovariate(per_s)) < left_s:
                left_s -= next_s
                await self._timers.sleep(next_s)
                group.create_task(self._serve())

    def hear(self, endpoint_id: str) -> None:
        """Takes in that an endpoint asked a peer for rest."""
        now_s = self._timers.read_monotonic()
        self._notice.hear_peer(endpoint_id, sheds.REST_S, now_s)

    async def _serve(self) -> None:
        """Serves one caller, who comes back once if it is refused."""
        call = Call(self._timers.read_monotonic())
        self._fleet.calls.append(call)
        for visit in range(VISITS):
            if visit:
                await self._timers.sleep(self._find_return())
            if await self._visit(call):
                now_s = self._timers.read_monotonic()
                call.time_s = now_s - call.begun_s
                return
            call.refusals += 1

    async def _visit(self, call: Call) -> bool:
        """Sends a request, and once more elsewhere if it is turned away."""
        refused_by = ""
        for _ in range(ATTEMPTS):
            left = [e for e in self._used if e.endpoint_id != refused_by]
            now_s = self._timers.read_monotonic()
            open_ = self._notice.select(left, now_s)
            if not open_:
                return False
            chosen = self._calls.choose(open_)
            call.sent += 1
            if await self._send(chosen):
                return True
            refused_by = chosen.endpoint_id
        return False

    async def _send(self, to: lists.ListedEndpoint) -> bool:
        """Sends a request to an endpoint and says whether that ran it."""
        endpoint_id = to.endpoint_id
        endpoint = self._fleet.endpoints[endpoint_id]
        traffic = self._fleet.traffic[self._name, endpoint_id]
        way_s = NEAR_S if to.data_centre == self._data_centre else FAR_S
        now_s = self._timers.read_monotonic()
        if endpoint.sheds:
            traffic.sent_s.append(now_s)
        self._notice.note_chosen(endpoint_id, now_s)
        with self._calls.hold(endpoint_id):
            await self._timers.sleep(way_s)
            answer = endpoint.answer(self._timers.read_monotonic())
            await self._timers.sleep(answer.after_s + way_s)
        if answer.is_taken:
            self._notice.note_accepted(endpoint_id)
        if answer.rest_s:
            now_s = self._timers.read_monotonic()
            traffic.asked_s.append(now_s)
            if self._notice.hear_endpoint(endpoint_id, answer.rest_s, now_s):
                self._fleet.tell(self._name, endpoint_id)
        return answer.is_taken

    def _find_return(self) -> float:
        """Returns the seconds after which a refused caller comes back."""
        now_s = self._timers.read_monotonic()
        left_s = min(
            self._notice.find_remaining(e.endpoint_id, now_s)
            for e in self._used
        )
        spread_s = candidates.REST_SPREAD_S * self._rng.random()
        return max(relay.RETRY_AFTER_S, left_s) + spread_s


class RestFleet:
    """Instances that send to the endpoints of one service.

    Attributes:
      way: how instances take rests in, one of ``ways.WAYS``.
      seed: decides when callers come and how long requests run.
      timers: the clock.
      endpoints: by their ids.
      calls: of all callers, in the order in which they came.
      traffic: by instance and endpoint, for endpoints that shed.
      messages: what instances sent to each other.
    """

    def __init__(self, way: str, count: int, shed_rate: float, seed: int):
        """Creates instances and endpoints that are idle.

        Args:
          way: one of ``ways.WAYS``.
          count: instances.
          shed_rate: part of its usual rate that a shedding endpoint takes.
          seed: decides when callers come and how long requests run.
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
    ) -> dict[str, sheds.Endpoint]:
        number = max(LEAST_ENDPOINTS, count // INSTANCES_EACH)
        endpoints = {}
        for n in range(number):
            listed = lists.ListedEndpoint(
                f"e{n}",
                f"127.0.0.1:{n + 1}",
                DATA_CENTRES[n % len(DATA_CENTRES)],
                SERVICE,
                sheds.SLOTS,
                False,
            )
            rng = random.Random(f"{self.seed} {listed.endpoint_id}")
            endpoints[listed.endpoint_id] = sheds.Endpoint(
                listed, n % SOUND_EACH == SOUND_EACH - 1, shed_rate, rng
            )
        return endpoints

    def list_used(
        self, name: str, data_centre: str
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints that an instance uses, and notes it for them.

        Args:
          name: the instance.
          data_centre: where it runs.
        """
        listed = self._directory.list_usable(SERVICE)
        used = list(self._subsets.select(name, data_centre, listed))
        for endpoint in used:
            self._users[endpoint.endpoint_id].append(name)
        return used

    def tell(self, sender: str, endpoint_id: str) -> None:
        """Tells the users of an endpoint that it asked one for rest.

        Args:
          sender: the instance that was asked.
          endpoint_id: the endpoint.
        """
        for name in self._users[endpoint_id]:
            if name == sender:
                continue
            self.messages += 1
            if self._rng.random() >= LOST_PART:
                hear: Callable[[str], None] = self._instances[name].hear
                loop = asyncio.get_running_loop()
                loop.call_later(MESSAGE_S, hear, endpoint_id)

    async def load(self, length_s: float) -> None:
        """Lets callers come to all instances.

        Args:
          length_s: for how long, in seconds.
        """
        whole = len(self.endpoints) * sheds.SLOTS / sheds.SERVICE_S
        per_s = LOAD * whole / len(self._instances)
        async with asyncio.TaskGroup() as group:
            for instance in self._instances.values():
                group.create_task(instance.load(per_s, length_s))
