"""A small fleet on the fake clock that a test drives step by step.

The fleet owns the event loop; time passes only within ``run``.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import dataclasses
from typing import Any
from unittest import mock

from returns import result

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.daemon import loopbackfleet_test as loopback
from rhubarblock.experiments import simulation
from rhubarblock.kernel import virtualloop
from rhubarblock.relay import sink as sinks
from rhubarblock.standins import service
from rhubarblock.standins.engine import engine as engine_lib
from rhubarblock.standins.engine import tokens as enginetokens

PLAN = simulation.FleetPlan(
    name="hofbauer",
    data_centres=("halle-steyr", "halle-liezen"),
    instances=2,
    engines=3,
    latency_s=0.0012,
    weight_ttft=0.3,
)
WORKSPACE = "hofbauer/dispatch"
# Lag of the platform's list in seconds, shorter than in measurements.
LIST_LAG_S = 1.0
# Seconds after the start until the instances have discovered the engines.
SETTLE_S = 2.5


class Caller(sinks.Sink):
    """One caller with its request, the received answer and the times."""

    def __init__(self, fleet: "SmallFleet", name: str, deadline_s: float):
        self.fleet = fleet
        self.name = name
        self.asked_s = fleet.simulation.timers.read_monotonic()
        self.deadline_s = self.asked_s + deadline_s
        self.digest = ""
        self.request_id = ""
        self.wanted = 0
        self.text = ""
        self.tokens = 0
        self.first_s = 0.0
        self.ended_s = 0.0
        self.outcome: result.Result[Any, failures.Failure] | None = None
        self.task: asyncio.Task[None]

    async def write(self, chunk: attempts.Chunk) -> None:
        if not self.tokens:
            self.first_s = self.fleet.simulation.timers.read_monotonic()
        self.text += chunk.text
        self.tokens += chunk.count

    @property
    def failure(self) -> failures.Failure:
        assert isinstance(self.outcome, result.Failure), self.outcome
        return self.outcome.failure()

    @property
    def refused(self) -> bool:
        return isinstance(self.outcome, result.Failure)

    @property
    def complete(self) -> bool:
        """Whether the caller has exactly its complete answer."""
        expected = enginetokens.expected_text(self.digest, 0, self.wanted)
        return isinstance(self.outcome, result.Success) and (
            self.text == expected
        )

    @property
    def has_own_prefix(self) -> bool:
        """Whether the received text is a prefix of the caller's answer."""
        expected = enginetokens.expected_text(self.digest, 0, self.tokens)
        return self.text == expected


class SmallFleet:
    """A simulation and the event loop on which it runs."""

    def __init__(
        self, policy: str = "length_aware", seed: int = 1, **shape: Any
    ):
        self._runner = asyncio.Runner(loop_factory=virtualloop.VirtualLoop)
        self._dead: list[simulation.Node] = []
        plan = dataclasses.replace(PLAN, **shape)
        self.simulation: simulation.Simulation = self.run(
            self._start(plan, policy, seed)
        )

    async def _start(
        self, plan: simulation.FleetPlan, policy: str, seed: int
    ) -> simulation.Simulation:
        # Declares the present roles of the engines, so that none is changed.
        catalogue = dataclasses.replace(
            loopback.make_catalogue(1_002_000, plan.decoders / plan.engines),
            credentials={},
        )
        with mock.patch.object(simulation, "LIST_LAG_S", LIST_LAG_S):
            fleet = simulation.Simulation(plan, policy, seed, catalogue)
        await fleet.start_instances(SETTLE_S)
        return fleet

    @property
    def nodes(self) -> list[simulation.Node]:
        return list(self.simulation.instances.values())

    @property
    def engines(self) -> list[engine_lib.Engine]:
        return list(self.simulation.cluster)

    @property
    def service_endpoints(self) -> list[service.PlainService]:
        return list(self.simulation.services.values())

    @property
    def now_s(self) -> float:
        return self.call_in_loop(self.simulation.timers.read_monotonic)

    def run(self, main: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine on the loop of the fleet."""
        return self._runner.run(main)

    def call_in_loop(self, function: Callable[..., Any], *args: Any) -> Any:
        """Calls a plain function that needs the running event loop."""

        async def call() -> Any:
            return function(*args)

        return self.run(call())

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        self.run(self.simulation.timers.sleep(seconds))

    def ask(
        self,
        name: str = "caller",
        tokens: int = 1_000,
        output: int = 20,
        deadline_s: float = 60.0,
        node: simulation.Node | None = None,
    ) -> Caller:
        """Starts a prompt at an instance; no time passes."""
        target = node or self.nodes[0]

        def start() -> Caller:
            caller = Caller(self, name, deadline_s)
            caller.request_id = target.instance.make_id()
            caller.digest = f"body of {name}"
            caller.wanted = output
            request = requests.PromptRequest(
                request_id=caller.request_id,
                institution=WORKSPACE.partition("/")[0],
                workspace=WORKSPACE,
                model=simulation.MODEL,
                request_class=requests.RequestClass.INTERACTIVE,
                prompt_tokens=tokens,
                max_tokens=output,
                deadline_s=caller.deadline_s,
                digest=caller.digest,
                arrived_s=caller.asked_s,
            )
            relay = target.instance.parts.relay
            self._begin(caller, relay.complete(request, caller))
            return caller

        return self.call_in_loop(start)

    def call(
        self,
        name: str = "caller",
        key: str | None = None,
        path: str = "/bookings",
        deadline_s: float = 10.0,
        node: simulation.Node | None = None,
    ) -> Caller:
        """Starts a call to the plain service; no time passes."""
        target = node or self.nodes[0]

        def start() -> Caller:
            caller = Caller(self, name, deadline_s)
            caller.request_id = target.instance.make_id()
            call = requests.ServiceCall(
                request_id=caller.request_id,
                institution=WORKSPACE.partition("/")[0],
                workspace=WORKSPACE,
                service=simulation.DESK,
                method="POST",
                path=path,
                body=name.encode(),
                digest=f"body of {name}",
                idempotent=path.startswith("/status"),
                idempotency_key=key,
                deadline_s=caller.deadline_s,
            )
            self._begin(caller, target.instance.caller.call(call))
            return caller

        return self.call_in_loop(start)

    def _begin(self, caller: Caller, work: Coroutine[Any, Any, Any]) -> None:
        async def serve() -> None:
            caller.outcome = await work
            caller.ended_s = self.simulation.timers.read_monotonic()

        caller.task = asyncio.ensure_future(serve())

    def finish(self, *callers: Caller) -> None:
        """Lets time pass until the requests of the callers have ended."""

        async def wait() -> None:
            await asyncio.gather(*(caller.task for caller in callers))

        self.run(wait())

    def advance_until_tokens(self, caller: Caller, count: int) -> None:
        """Lets time pass until a caller has received some tokens."""
        while caller.tokens < count and not caller.task.done():
            self.advance(0.004)
        assert caller.tokens >= count, caller.outcome

    def find_engine(self) -> engine_lib.Engine:
        """Returns the only engine that holds KV memory at present."""
        busy = [engine for engine in self.engines if engine.kv_held()]
        assert len(busy) == 1, busy
        return busy[0]

    def kill(self, node: simulation.Node) -> None:
        """Crashes an instance: it can neither send nor receive any more."""
        del self.simulation.instances[node.instance_id]
        self.simulation.store.faults.cut_off(node.instance_id)
        self.simulation.network.remove(node.port.address)
        for engine in self.engines:
            node.client.block(engine.address)
        self._dead.append(node)

    async def _shut_down(self) -> None:
        await self.simulation.stop()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in self._dead:
            node.peers.running.set()
            with contextlib.suppress(Exception):
                await node.stack.aclose()

    def close(self) -> None:
        """Stops the fleet and closes the event loop."""
        try:
            self.run(self._shut_down())
        finally:
            self._runner.close()


@contextlib.contextmanager
def open_fleet(**options: Any) -> Iterator[SmallFleet]:
    """Runs a small fleet while the context is open."""
    fleet = SmallFleet(**options)
    try:
        yield fleet
    finally:
        fleet.close()
