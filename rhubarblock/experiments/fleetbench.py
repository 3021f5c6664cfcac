"""An in-memory fleet for measurements: instances, platform and engines.

Each instance runs the real membership, distribution, endpoint table and
orders over an in-memory network, on the fake clock.
"""

import contextlib
import dataclasses
import random

from rhubarblock.catalogue import archive
from rhubarblock.catalogue import codec
from rhubarblock.core import attempt as attempts
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import position as positions
from rhubarblock.fleet import distribution
from rhubarblock.fleet import endpointnotices
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import listrelay
from rhubarblock.fleet import orders
from rhubarblock.fleet.membership import member as members
from rhubarblock.standins import memoryfleet
from rhubarblock.standins.engine import cluster as enginecluster
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.engine import weights as engineweights
from rhubarblock.store import instances
from rhubarblock.store import store as stores

DATA_CENTRES = ("osu-hall", "tema-hall", "achimota-hall")
SERVICE = "rhubarb-pool"
MODEL = "claims"

_ENGINES_EACH = 4
_LOAD_INTERVAL_S = 1.0
_LIST_INTERVAL_S = 1.0
_ENGINE_LATENCY_S = 0.0005
_PROMPT_TOKENS = 400
_OUTPUT_TOKENS = 20
_MODEL_LOAD_S = 8.0


@dataclasses.dataclass(slots=True)
class OrderLog:
    """Fencing numbers of the orders that engines obeyed.

    Attributes:
      highest: by address, the highest fencing number that was obeyed.
      stale_obeyed: orders with an older number that were obeyed by engines
        that check it.
      stale_unchecked: the same for engines that do not check it.
    """

    highest: dict[str, int] = dataclasses.field(default_factory=dict)
    stale_obeyed: int = 0
    stale_unchecked: int = 0


class RecordingClient(enginecluster.MemoryEngineClient):
    """Records the fencing numbers of the orders that engines obeyed."""

    __slots__ = ("_checking", "_log")

    def __init__(
        self,
        cluster: enginecluster.EngineCluster,
        node: memoryfleet.FleetNode,
        checking: set[str],
        log: OrderLog,
    ):
        """Creates the client of one instance.

        Args:
          cluster: the engines.
          node: the instance.
          checking: addresses of the engines that check fencing numbers.
          log: log to record them in.
        """
        super().__init__(cluster, node.timers, _ENGINE_LATENCY_S)
        self._checking = checking
        self._log = log

    async def fetch_load(self, address: str) -> endpoints.LoadReport:
        # Skips the simulated network delay, which affects no figure here and
        # would take most of the run time of a session.
        return self._find(address).make_load_report()

    async def give_order(
        self, address: str, order: attempts.Order
    ) -> endpoints.LoadReport:
        report = await super().give_order(address, order)
        highest = self._log.highest.get(address, 0)
        if order.fence < highest:
            if address in self._checking:
                self._log.stale_obeyed += 1
            else:
                self._log.stale_unchecked += 1
        self._log.highest[address] = max(highest, order.fence)
        return report


class BenchNode:
    """One entry instance with all parts of the fleet's control.

    Attributes:
      node: the instance with its running membership.
      client: its engine client.
      follower: follows the catalogue.
      table: its endpoint table.
      notices: exchanges endpoint notices with its peers.
      orders: gives orders to engines as lease holder.
    """

    def __init__(self, bench: "FleetBench", node: memoryfleet.FleetNode):
        """Creates the parts around a running membership."""
        self.node = node
        self.client = RecordingClient(
            bench.cluster, node, bench.checking, bench.order_log
        )
        self.follower = distribution.CatalogueFollower(
            node.membership, node.peers, node.store, node.timers, node.rng
        )
        self.table = endpointtables.EndpointTable(node.timers)
        self.notices = endpointnotices.EndpointNotices(
            self.table, node.membership, node.peers, node.timers, node.rng
        )
        self.orders = orders.OrderService(
            node.membership,
            node.store,
            self.client,
            self.table,
            self.follower.get,
            node.timers,
            node.rng,
            bench.order_settings,
        )
        self._source = listrelay.ListRelay(
            bench.fleet.listing.connect(node.instance_id),
            node.membership,
            node.peers,
            node.timers,
            node.rng,
        )

    async def start(self) -> None:
        """Starts the parts; they stop with the instance."""
        stack = self.node.stack
        timers = self.node.timers
        await stack.enter_async_context(self.follower.run())
        await stack.enter_async_context(self.notices.run())
        await self._read_list()
        await self._read_loads()
        stack.enter_context(timers.subscribe(_LIST_INTERVAL_S, self._read_list))
        stack.enter_context(
            timers.subscribe(_LOAD_INTERVAL_S, self._read_loads)
        )
        await stack.enter_async_context(self.orders.run())

    async def _read_list(self) -> None:
        with contextlib.suppress(stores.StoreError):
            self.table.update_from_list(await self._source.fetch_instances())

    async def _read_loads(self) -> None:
        for view in self.table.list_views():
            try:
                report = await self.client.fetch_load(view.endpoint.address)
            except failures.FailureError as error:
                self.table.record_failure(
                    view.endpoint.endpoint_id, error.failure
                )
            else:
                self.table.record_load(report)


class FleetBench:
    """An in-memory fleet with its engines and observers.

    Attributes:
      fleet: instances, network, platform and list.
      nodes: the instances by id.
      cluster: the engines.
      checking: addresses of the engines that check fencing numbers.
      order_log: orders that engines obeyed.
      reverts: how often an instance went back to an older revision.
      in_force_s: by revision and instance, when it came into force.
      false_deaths: live instances, with their incarnation, that another one
        declared dead.
      paused_long: instances that were paused for so long that others may
        declare them dead.
      last_sent_s: by endpoint, when an instance last sent it a prompt.
    """

    def __init__(
        self,
        fleet: memoryfleet.MemoryFleet,
        seed: int,
        order_settings: orders.OrderSettings,
    ):
        """Creates the engines; instances are started later.

        Args:
          fleet: an empty fleet.
          seed: seed of the engines.
          order_settings: settings of the order service.
        """
        self.fleet = fleet
        self.order_settings = order_settings
        self.nodes: dict[str, BenchNode] = {}
        self.cluster = enginecluster.EngineCluster()
        self.checking: set[str] = set()
        self.order_log = OrderLog()
        self.reverts = 0
        self.in_force_s: dict[tuple[int, str], float] = {}
        self.false_deaths: set[tuple[str, int]] = set()
        self.paused_long: set[str] = set()
        self.last_sent_s: dict[str, float] = {}
        self._revision = 0
        self._version = positions.NOWHERE
        self._last_revision: dict[str, int] = {}
        self._requests = 0
        self._operator = fleet.platform.connect("operator")
        self._weights = engineweights.WeightStore(fleet.timers)
        self._add_engines(seed)

    async def start(self, instance_id: str, data_centre: str) -> BenchNode:
        """Starts one instance."""
        node = BenchNode(self, await self.fleet.start(instance_id, data_centre))
        node.node.stack.enter_context(
            node.node.membership.subscribe(self._record_member)
        )
        node.follower.subscribe(
            lambda found: self._record_in_force(instance_id, found.revision)
        )
        await node.start()
        self.nodes[instance_id] = node
        return node

    async def kill(self, instance_id: str) -> None:
        """Crashes an instance; its peers get no notice."""
        node = self.nodes.pop(instance_id)
        await self.fleet.kill(node.node)

    async def publish(self, version: str) -> int:
        """Writes the next revision of the catalogue, as an operator does.

        Args:
          version: version of the model in it.

        Returns:
          Its revision.
        """
        self._revision += 1
        catalogue = make_catalogue(self._revision, version)
        written = await self._operator.write(
            archive.CURRENT_OBJECT, codec.encode(catalogue), self._version
        )
        self._version = written.version
        return self._revision

    def list_near(self, data_centre: str) -> list[BenchNode]:
        """Returns the instances of a data centre."""
        return [
            node
            for node in self.nodes.values()
            if node.node.membership.own.data_centre == data_centre
        ]

    async def send(self, rng: random.Random, node: BenchNode) -> bool:
        """Sends one prompt through an instance, without a retry.

        Args:
          rng: chooses among the endpoints.
          node: the instance.

        Returns:
          Whether the answer was complete or a draining endpoint refused it.
        """
        views = node.table.usable(SERVICE, MODEL)
        if not views:
            return False
        return await self._send_to(node, rng.choice(views).endpoint)

    def start_leaving(self, engine: engines.Engine) -> None:
        """Makes an engine refuse new work, as before a planned stop."""
        self.fleet.listing.mark_leaving(engine.endpoint_id)
        report = engine.make_load_report()
        engine.apply_order(
            attempts.Order(
                engine.fence,
                self._revision,
                report.role.value,
                report.models,
                drain=True,
            )
        )

    async def _send_to(
        self, node: BenchNode, endpoint: endpoints.Endpoint
    ) -> bool:
        self._requests += 1
        now_s = self.fleet.timers.read_monotonic()
        self.last_sent_s[endpoint.endpoint_id] = now_s
        attempt = attempts.Attempt(
            attempt_id=f"r{self._requests}/1",
            owner=node.node.instance_id,
            model=MODEL,
            prompt="",
            prompt_tokens=_PROMPT_TOKENS,
            prefix_blocks=(),
            digest=f"r{self._requests}",
            max_tokens=_OUTPUT_TOKENS,
        )
        try:
            async for chunk in node.client.generate(endpoint.address, attempt):
                if chunk.end:
                    node.table.record_success(endpoint.endpoint_id)
                    return True
        except failures.FailureError as error:
            node.table.record_failure(endpoint.endpoint_id, error.failure)
            # The relay would retry such a request at another endpoint.
            return error.failure.code is failures.FailureCode.DRAINING
        return False

    def _record_member(self, member: members.Member) -> None:
        if member.state is not members.MemberState.DEAD:
            return
        node = self.nodes.get(member.instance_id)
        if node is None or member.instance_id in self.paused_long:
            return
        if node.node.membership.own.incarnation == member.incarnation:
            self.false_deaths.add((member.instance_id, member.incarnation))

    def _record_in_force(self, instance_id: str, revision: int) -> None:
        before = self._last_revision.get(instance_id, 0)
        self.reverts += revision < before
        self._last_revision[instance_id] = revision
        self.in_force_s.setdefault(
            (revision, instance_id), self.fleet.timers.read_monotonic()
        )

    def _add_engines(self, seed: int) -> None:
        number = 0
        for data_centre in DATA_CENTRES:
            for _ in range(_ENGINES_EACH):
                self._add_engine(data_centre, number, seed)
                number += 1

    def _add_engine(self, data_centre: str, number: int, seed: int) -> None:
        address = f"10.9.0.{number}:80"
        checks_fencing = number % 2 == 0
        engine = engines.Engine(
            f"engine-{number}",
            address,
            self.fleet.timers,
            random.Random(f"{seed} engine {number}"),
            enginesettings.EngineSettings(
                models=(f"{MODEL}@1",),
                checks_fencing=checks_fencing,
                model_load_s=_MODEL_LOAD_S,
                stream_interval=_OUTPUT_TOKENS,
            ),
            self._weights,
        )
        self.cluster.add(engine)
        if checks_fencing:
            self.checking.add(address)
        self.fleet.listing.put(
            instances.ListedInstance(
                engine.endpoint_id,
                address,
                data_centre,
                SERVICE,
                instances.InstanceKind.ENGINE,
            )
        )


def make_catalogue(revision: int, version: str) -> catalogues.Catalogue:
    """Returns a catalogue with one pool and one model.

    Args:
      revision: its revision.
      version: version of the model.
    """
    return catalogues.Catalogue(
        revision=revision,
        models={
            MODEL: catalogues.Model(
                MODEL, "operators", version, SERVICE, 1_000_000
            )
        },
        services={
            SERVICE: catalogues.Service(
                SERVICE,
                "operators",
                endpoints.EndpointKind.ENGINE,
                checks_fencing=True,
                kv_tokens=400_000,
                decode_share=0.0,
            )
        },
        places={
            name: catalogues.Place(name, "operators", "accra")
            for name in DATA_CENTRES
        },
    )
