"""The faults that the scenario injects, one class for each kind.

A fault begins at some time, lasts for a while and ends. The end always
repairs what the fault broke, so anything still broken afterwards is a defect
of the code under test.
"""

import abc
import random

from rhubarblock.experiments import simulation
from rhubarblock.experiments.faults import fleet as faultfleet
from rhubarblock.standins.engine import engine as engines
from rhubarblock.store import instances

# Times that differ by no more than this many seconds count as equal.
TIME_TOLERANCE_S = 0.001


class Fault(abc.ABC):
    """One fault of one run.

    Attributes:
      kind: name of its kind, as in settings and results.
      rng: seeded generator of its details.
      duration_s: seconds from its start to its end.
    """

    kind = ""

    def __init__(self, rng: random.Random, duration_s: float):
        """Creates a fault that has not begun.

        Args:
          rng: seeded generator of its details.
          duration_s: seconds from its start to its end.
        """
        self.rng = rng
        self.duration_s = duration_s

    @abc.abstractmethod
    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        """Injects the fault."""

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        """Repairs what ``begin`` broke; some faults end by themselves."""
        return


class EngineFault(Fault):
    """A fault of one engine."""

    engine: engines.Engine

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        # The busier of two engines, since a fault of an idle one tests little.
        candidates = self.rng.sample(list(fleet.cluster), 2)
        self.engine = max(candidates, key=lambda engine: len(engine.kv_held()))
        self.break_engine()

    @abc.abstractmethod
    def break_engine(self) -> None:
        """Injects the fault into the chosen engine."""

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        self.engine.clear_faults()


class EngineDeath(EngineFault):
    """An engine crashes and is restarted."""

    kind = "engine_death"

    def break_engine(self) -> None:
        self.engine.die()

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        if not self.engine.alive:
            self.engine.restart()


class EnginePause(EngineFault):
    """An engine stalls."""

    kind = "engine_pause"

    def break_engine(self) -> None:
        self.engine.pause(self.duration_s)


class EngineSlow(EngineFault):
    """An engine runs at a fifth of its speed."""

    kind = "engine_slow"

    def break_engine(self) -> None:
        self.engine.faults.slow_factor = 5.0


class EngineRefuses(EngineFault):
    """An engine accepts no connections."""

    kind = "engine_refuses"

    def break_engine(self) -> None:
        self.engine.refuse_connections(self.duration_s)


class CrossedAnswers(EngineFault):
    """Chunks of two answers are swapped between their streams."""

    kind = "crossed_answers"

    def break_engine(self) -> None:
        self.engine.faults.cross_next = self.rng.randint(1, 6)


class LateAnswers(EngineFault):
    """Chunks arrive late, and some of them twice."""

    kind = "late_answers"

    def break_engine(self) -> None:
        self.engine.faults.late_s = self.rng.uniform(0.05, 0.5)
        self.engine.faults.duplicate_next = self.rng.randint(1, 6)


class CutStreams(EngineFault):
    """Streams end without their end mark."""

    kind = "cut_streams"

    def break_engine(self) -> None:
        self.engine.faults.cut_next = self.rng.randint(1, 6)


class InstanceFault(Fault):
    """A fault of one entry instance."""

    node: simulation.Node

    def choose_node(self, fleet: faultfleet.FaultFleet) -> None:
        """Chooses a running instance."""
        self.node = self.rng.choice(list(fleet.instances.values()))

    def find_number(self) -> int:
        """Returns the number by which the instance can be restarted."""
        return int(self.node.instance_id.rpartition("-")[2])


class InstanceDeath(InstanceFault):
    """An instance crashes and is replaced."""

    kind = "instance_death"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        self.choose_node(fleet)
        if len(fleet.instances) > 1:
            fleet.kill_instance(self.node)

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        if self.node.instance_id not in fleet.instances:
            fleet.store.faults.join(self.node.instance_id)
            await fleet.start_instance(self.find_number())


class InstancePause(InstanceFault):
    """An instance stalls and later continues where it was."""

    kind = "instance_pause"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        self.choose_node(fleet)
        fleet.pause_instance(self.node)

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        if self.node.instance_id in fleet.instances:
            fleet.resume_instance(self.node)


class InstanceStop(InstanceFault):
    """An instance is stopped gracefully and started again."""

    kind = "instance_stop"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        self.choose_node(fleet)
        if len(fleet.instances) > 1:
            fleet.stopped.append(self.node.instance_id)
            await fleet.stop_instance(self.node)

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        if self.node.instance_id not in fleet.instances:
            await fleet.start_instance(self.find_number())


class PlatformOutage(Fault):
    """The platform refuses every call."""

    kind = "platform_outage"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        fleet.store.faults.start_outage()

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        fleet.store.faults.end_outage()


class PlatformSlow(Fault):
    """The platform answers with a delay of up to 2.5 seconds."""

    kind = "platform_slow"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        fleet.store.faults.slow_s = self.rng.uniform(0.5, 2.5)

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        fleet.store.faults.slow_s = 0.0


class LostAnswers(Fault):
    """Answers of writes are lost, before or after the write took effect."""

    kind = "platform_lost_answers"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        fleet.store.faults.lose_answers_share = self.rng.uniform(0.2, 0.8)
        fleet.store.faults.lose_before_share = self.rng.uniform(0.0, 0.2)

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        fleet.store.faults.lose_answers_share = 0.0
        fleet.store.faults.lose_before_share = 0.0


class StaleReads(Fault):
    """The platform serves stale reads, and drops and reorders watch events."""

    kind = "platform_stale"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        fleet.store.faults.stale_s = self.rng.uniform(0.5, 3.0)
        fleet.store.faults.drop_events_share = 0.3
        fleet.store.faults.reorder_events_share = 0.3

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        fleet.store.faults.stale_s = 0.0
        fleet.store.faults.drop_events_share = 0.0
        fleet.store.faults.reorder_events_share = 0.0


class Partition(Fault):
    """Two data centres are partitioned, and one loses the platform as well."""

    kind = "partition"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        first, second = faultfleet.PLAN.data_centres
        sides = (
            self._list_nodes(fleet, first),
            self._list_nodes(fleet, second),
        )
        fleet.network.cut(
            [x.port.address for x in sides[0]],
            [x.port.address for x in sides[1]],
        )
        self.isolated = sides[1]
        for node in self.isolated:
            fleet.store.faults.cut_off(node.instance_id)

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        fleet.network.heal()
        for node in self.isolated:
            if node.instance_id in fleet.instances:
                fleet.store.faults.join(node.instance_id)

    def _list_nodes(
        self, fleet: faultfleet.FaultFleet, data_centre: str
    ) -> list[simulation.Node]:
        return [
            node
            for node in fleet.instances.values()
            if node.instance.identity.data_centre == data_centre
        ]


class EndpointLeaves(Fault):
    """An engine is about to stop, which the lagging list shows late.

    The engine refuses new work at once, as one that is being stopped does.
    """

    kind = "endpoint_leaves"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        candidates = self.rng.sample(list(fleet.cluster), 2)
        self.engine = max(candidates, key=lambda engine: len(engine.kv_held()))
        now_s = fleet.timers.read_monotonic()
        fleet.leaving.append(
            faultfleet.Leaving(
                self.engine.address, now_s, now_s + self.duration_s
            )
        )
        self.engine.begin_stop()
        fleet.listing.put(self._describe(fleet, leaving=True))

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        now_s = fleet.timers.read_monotonic()
        if any(
            x.address == self.engine.address
            and x.until_s > now_s + TIME_TOLERANCE_S
            for x in fleet.leaving
        ):
            return
        self.engine.end_stop()
        fleet.listing.put(self._describe(fleet, leaving=False))

    def _describe(
        self, fleet: faultfleet.FaultFleet, leaving: bool
    ) -> instances.ListedInstance:
        number = int(self.engine.endpoint_id.rpartition("-")[2])
        return instances.ListedInstance(
            self.engine.endpoint_id,
            self.engine.address,
            fleet.choose_data_centre(number),
            simulation.POOL,
            instances.InstanceKind.ENGINE,
            leaving,
        )


class ServiceFault(Fault):
    """An endpoint of the plain service crashes after it ran a call."""

    kind = "service_death"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        self.service = self.rng.choice(list(fleet.services.values()))
        self.service.faults.die_after_run_next = 1
        self.service.faults.cut_before_run_next = self.rng.randint(0, 1)

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        self.service.faults.dead = False
        self.service.faults.die_after_run_next = 0


class ServiceCut(Fault):
    """Service connections break after a call ran, or answers are swapped."""

    kind = "service_cut"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        for service in fleet.services.values():
            service.faults.cut_after_run_next = self.rng.randint(0, 3)
            service.faults.cross_next = self.rng.choice((0, 2))
            service.faults.refuse_next = self.rng.randint(0, 2)


class OperatorRace(Fault):
    """Two operators change the catalogue concurrently at two instances."""

    kind = "operator_race"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        await fleet.race_changes(self.rng)


class PoisonRequest(Fault):
    """A request crashes each engine that runs it, and its caller retries it.

    The caller sends it to two instances at once and again after each failure.
    """

    kind = "poison_request"

    async def begin(self, fleet: faultfleet.FaultFleet) -> None:
        digest = f"poison-{self.rng.getrandbits(32):08x}"
        for engine in fleet.cluster:
            engine.faults.crash_digests.add(digest)
        fleet.start_poison(digest, self.rng.randint(100, 6_000))

    async def end(self, fleet: faultfleet.FaultFleet) -> None:
        """Does nothing: the request keeps crashing engines."""
        return


KINDS: tuple[type[Fault], ...] = (
    EngineDeath,
    EnginePause,
    EngineSlow,
    EngineRefuses,
    CrossedAnswers,
    LateAnswers,
    CutStreams,
    InstanceDeath,
    InstancePause,
    InstanceStop,
    PlatformOutage,
    PlatformSlow,
    LostAnswers,
    StaleReads,
    Partition,
    EndpointLeaves,
    ServiceFault,
    ServiceCut,
    OperatorRace,
    PoisonRequest,
)
