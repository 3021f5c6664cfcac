"""Simulates a fleet in one process on the fake clock.

Entry instances run the real code; engines, services and the platform are
stand-ins. Arrivals go to the instances in turn, as the platform's load
balancer distributes them, and each request leaves a record.
"""

import asyncio
from collections.abc import Sequence
import contextlib
import dataclasses
import random

from returns import result

from rhubarblock.catalogue import archive
from rhubarblock.catalogue import codec
from rhubarblock.core import attempt as attempts
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import position as positions
from rhubarblock.daemon import clients as clients_lib
from rhubarblock.daemon import instance as entries
from rhubarblock.experiments import workload
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import completion as completions
from rhubarblock.relay import sink as sinks
from rhubarblock.settings import entry as settings_lib
from rhubarblock.settings import kinds
from rhubarblock.standins import instancelist
from rhubarblock.standins import memorypeers
from rhubarblock.standins import service
from rhubarblock.standins.engine import cluster as enginecluster
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.engine import tokens as enginetokens
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import instances

MODEL = "reader"
POOL = "pool"
DESK = "desk"
SERVICE_ENDPOINTS = 3
WALL_OFFSET_S = 1.8e9
LIST_LAG_S = 5.0
# Seconds between the start of the instances and the first request.
START_S = 12.0


@dataclasses.dataclass(slots=True, frozen=True)
class FleetPlan:
    """Size and shape of a simulated fleet.

    Attributes:
      name: name of the deployment.
      data_centres: names of its data centres.
      instances: number of entry instances.
      engines: number of engines.
      latency_s: one-way latency between data centres in seconds.
      weight_ttft: weight of the time to first token against the slowdown of
        short requests.
      decoders: engines with the decode role; 0 gives all engines both roles.
      kv_tokens: size of an engine's KV cache in tokens.
    """

    name: str
    data_centres: tuple[str, ...]
    instances: int
    engines: int
    latency_s: float
    weight_ttft: float
    decoders: int = 0
    kv_tokens: int = 400_000


class RecordingSink(sinks.Sink):
    """Records token arrival times and checks the text of the answer."""

    __slots__ = (
        "_digest",
        "_timers",
        "first_s",
        "gaps_s",
        "last_s",
        "has_correct_text",
        "tokens",
    )

    def __init__(self, digest: str, timers: timer_service.Timers):
        self._digest = digest
        self._timers = timers
        self.first_s = 0.0
        self.last_s = 0.0
        self.gaps_s: list[float] = []
        self.tokens = 0
        self.has_correct_text = True

    async def write(self, chunk: attempts.Chunk) -> None:
        now_s = self._timers.read_monotonic()
        if self.tokens == 0:
            self.first_s = now_s
        else:
            self.gaps_s.append(now_s - self.last_s)
        self.last_s = now_s
        expected = enginetokens.expected_text(
            self._digest, self.tokens, self.tokens + chunk.count
        )
        self.has_correct_text = self.has_correct_text and chunk.text == expected
        self.tokens += chunk.count


@dataclasses.dataclass(slots=True)
class Record:
    """One request and its outcome.

    Attributes:
      arrival: the request as drawn.
      instance_id: instance that received it.
      address: peer address of that instance; a restart gets a new one.
      sink: what its caller received.
      outcome: answer or failure; None while it runs.
      ended_s: when it ended, in monotonic seconds.
    """

    arrival: workload.Arrival
    instance_id: str
    address: str
    sink: RecordingSink
    outcome: result.Result[completions.Completion, failures.Failure] | None = (
        None
    )
    ended_s: float = 0.0


class Simulation:
    """Engines, instances and the requests that ran through them.

    Attributes:
      plan: size and shape.
      policy_name: placement policy of all instances.
      seed: seed of everything random.
      timers: the timer service.
      rng: generator that seeds those of all parts.
      store: the stand-in of the platform's store.
      listing: the platform's lagging list of instances.
      network: the network between the instances.
      cluster: the engines.
      runs: log of the calls that plain services ran.
      services: endpoints of the plain service, by address.
      instances: the running entry instances, by id.
      records: all requests, in the order in which they were sent.
    """

    def __init__(
        self,
        plan: FleetPlan,
        policy_name: str,
        seed: int,
        catalogue: catalogues.Catalogue,
    ):
        """Builds everything but the instances, which are started later.

        Args:
          plan: size and shape.
          policy_name: placement policy of all instances.
          seed: seed of everything random.
          catalogue: catalogue in force from the start.
        """
        self.plan = plan
        self.policy_name = policy_name
        self.seed = seed
        self.timers = timer_service.LoopTimers(wall_offset_s=WALL_OFFSET_S)
        self.rng = random.Random(seed)
        self.store = platform.MemoryStore(self.timers, self.make_rng())
        self.store.state.write(
            archive.CURRENT_OBJECT,
            codec.encode(catalogue),
            positions.NOWHERE,
            0.0,
        )
        self.listing = instancelist.InstanceList(
            self.store, instancelist.InstanceListSettings(LIST_LAG_S)
        )
        self.network = memorypeers.MemoryPeerNetwork(
            self.make_rng(),
            memorypeers.NetworkDelays(between_s=plan.latency_s),
        )
        self.cluster = enginecluster.EngineCluster()
        self.runs = service.RunLog()
        self.services: dict[str, service.PlainService] = {}
        self.instances: dict[str, Node] = {}
        self.records: list[Record] = []
        self._starts = 0
        for number in range(plan.engines):
            self._add_engine(number)
        for number in range(SERVICE_ENDPOINTS):
            self._add_service(number)

    def make_rng(self) -> random.Random:
        """Returns a new generator for one part of the simulation."""
        return random.Random(self.rng.getrandbits(64))

    def make_client(
        self, timers: timer_service.Timers
    ) -> enginecluster.MemoryEngineClient:
        """Returns the engine client of one instance."""
        return enginecluster.MemoryEngineClient(
            self.cluster, timers, self.plan.latency_s
        )

    def choose_data_centre(self, number: int) -> str:
        """Returns the data centre of the numbered instance or endpoint."""
        names = self.plan.data_centres
        return names[number % len(names)]

    async def start_instances(self, settle_s: float = START_S) -> None:
        """Starts all instances of the plan, one after the other.

        Args:
          settle_s: seconds to wait afterwards; loans of limits begin only when
            no loan to an earlier start of an instance can still be held.
        """
        for number in range(self.plan.instances):
            await self.start_instance(number)
        await self.timers.sleep(settle_s)

    async def start_instance(self, number: int) -> "Node":
        """Starts an instance; the same number again restarts that instance."""
        node = self._create_node(number)
        await node.stack.enter_async_context(node.instance.run())
        self.instances[node.instance_id] = node
        return node

    async def stop_instance(self, node: "Node") -> None:
        """Stops an instance gracefully, with its drain."""
        del self.instances[node.instance_id]
        await node.stack.aclose()
        self.network.remove(node.port.address)

    async def stop(self) -> None:
        """Stops every instance."""
        for node in list(self.instances.values()):
            await self.stop_instance(node)

    async def run(self, arrivals: Sequence[workload.Arrival]) -> None:
        """Runs all arrivals to completion, over the instances in turn."""
        tasks = []
        start_s = self.timers.read_monotonic()
        for number, arrival in enumerate(arrivals):
            now_s = self.timers.read_monotonic()
            await self.timers.sleep(max(0.0, start_s + arrival.at_s - now_s))
            names = list(self.instances)
            node = self.instances[names[number % len(names)]]
            tasks.append(asyncio.ensure_future(self.serve(arrival, node)))
        await asyncio.gather(*tasks)

    async def serve(self, arrival: workload.Arrival, node: "Node") -> Record:
        """Runs one arrival through an instance and records it."""
        request = arrival.request
        request.arrived_s = self.timers.read_monotonic()
        request.deadline_s += request.arrived_s
        request.request_id = node.instance.make_id()
        sink = RecordingSink(request.digest, self.timers)
        record = Record(arrival, node.instance_id, node.port.address, sink)
        self.records.append(record)
        record.outcome = await node.instance.parts.relay.complete(request, sink)
        record.ended_s = self.timers.read_monotonic()
        return record

    def _add_engine(self, number: int) -> None:
        role = endpoints.Role.BOTH
        if self.plan.decoders:
            role = endpoints.Role.PREFILL
            if number >= self.plan.engines - self.plan.decoders:
                role = endpoints.Role.DECODE
        name = f"engine-{number:02d}"
        address = f"10.0.{number}.1:8000"
        settings = enginesettings.EngineSettings(
            role=role, models=(f"{MODEL}@v1",), kv_tokens=self.plan.kv_tokens
        )
        self.cluster.add(
            engines.Engine(
                name, address, self.timers, self.make_rng(), settings
            )
        )
        self._list_instance(
            name, address, number, instances.InstanceKind.ENGINE
        )

    def _add_service(self, number: int) -> None:
        name = f"desk-{number}"
        address = f"10.2.{number}.1:8000"
        self.services[address] = service.PlainService(
            name, self.timers, self.runs
        )
        self._list_instance(
            name, address, number, instances.InstanceKind.SERVICE
        )

    def _list_instance(
        self,
        name: str,
        address: str,
        number: int,
        kind: instances.InstanceKind,
    ) -> None:
        pool = POOL if kind is instances.InstanceKind.ENGINE else DESK
        self.listing.put(
            instances.ListedInstance(
                name, address, self.choose_data_centre(number), pool, kind
            )
        )

    def _create_node(self, number: int) -> "Node":
        self._starts += 1
        data_centre = self.choose_data_centre(number)
        instance_id = f"{data_centre}-{number}"
        address = f"10.1.{number}.1:{self._starts}"
        peers = self.network.join(address, instance_id, data_centre)
        timers = memorypeers.PausableTimers(self.timers, peers)
        connection = self.store.connect(instance_id)
        client = self.make_client(timers)
        clients = clients_lib.Clients(
            timers=timers,
            store=connection,
            source=self.listing.connect(instance_id),
            engines=client,
            services=service.MemoryServiceClient(
                self.services, timers, self.make_rng(), self.plan.latency_s
            ),
        )
        port = entries.PeerPort(peers, address)
        instance = entries.Instance(
            make_settings(
                instance_id, data_centre, self.policy_name, self.plan
            ),
            clients,
            port,
            self.make_rng(),
            self._starts,
        )
        return Node(instance, port, peers, client, contextlib.AsyncExitStack())


@dataclasses.dataclass(slots=True, frozen=True)
class Node:
    """An entry instance in a simulation, with its points for fault injection.

    Attributes:
      instance: the instance.
      port: its peer transport with its address.
      peers: its peer transport, which can be paused or cut off.
      client: its engine client, which can be blocked.
      stack: closed when the instance stops.
    """

    instance: entries.Instance
    port: entries.PeerPort
    peers: memorypeers.MemoryPeers
    client: enginecluster.MemoryEngineClient
    stack: contextlib.AsyncExitStack

    @property
    def instance_id(self) -> str:
        """Its unique name."""
        return self.instance.identity.instance_id


def make_settings(
    instance_id: str, data_centre: str, policy_name: str, plan: FleetPlan
) -> settings_lib.EntrySettings:
    """Returns the settings of a simulated instance."""
    nowhere = kinds.Address("127.0.0.1", 0)
    return settings_lib.EntrySettings(
        instance=settings_lib.InstanceSettings(
            id=instance_id,
            data_centre=data_centre,
            region=plan.name,
            listen=nowhere,
            admin_listen=nowhere,
            peer_listen=nowhere,
        ),
        platform=settings_lib.PlatformSettings(url="http://127.0.0.1:1"),
        routing=settings_lib.RoutingSettings(
            policy=policy_name, weight_ttft=plan.weight_ttft
        ),
        drain=settings_lib.DrainSettings(deadline_s=120.0),
    )
