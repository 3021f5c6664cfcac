"""The simulated fleet of the fault scenario, with observers for its checks."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Coroutine
import contextlib
import dataclasses
import functools
import random
from typing import Any

from returns import result

from rhubarblock.catalogue import changes
from rhubarblock.core import attempt as attempts
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.core import verdict as verdicts
from rhubarblock.experiments import simulation
from rhubarblock.experiments import workload
from rhubarblock.kernel import timers as timer_service
from rhubarblock.standins.engine import cluster as enginecluster
from rhubarblock.standins.engine import engine as engines

PLAN = simulation.FleetPlan(
    name="adwoa",
    data_centres=("osu-hall", "tema-hall"),
    instances=4,
    engines=8,
    latency_s=0.0005,
    weight_ttft=0.5,
    decoders=2,
    kv_tokens=60_000,
)
# Seconds until the instances have discovered each other in the lagging list.
SETTLE_S = 8.0
# How often a caller sends its request, as long as the connection is lost.
SEND_ATTEMPTS = 4
RESEND_DELAY_S = 0.2
# Senders of a poison request, how often each sends it, and its deadline.
POISON_SENDERS = 2
POISON_ATTEMPTS = 6
POISON_DEADLINE_S = 6.0
# Seconds until a crashed engine is restarted.
RESTART_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class AcceptedAttempt:
    """When and where an engine accepted an attempt."""

    at_s: float
    address: str


class ObservedClient(enginecluster.MemoryEngineClient):
    """Records the attempts that engines accept."""

    __slots__ = ("_accepted_attempts", "_clock")

    def __init__(
        self,
        cluster: enginecluster.EngineCluster,
        timers: timer_service.Timers,
        latency_s: float,
        accepted_attempts: list[AcceptedAttempt],
    ):
        super().__init__(cluster, timers, latency_s)
        self._clock = timers
        self._accepted_attempts = accepted_attempts

    async def generate(
        self, address: str, attempt: attempts.Attempt
    ) -> AsyncGenerator[attempts.Chunk, None]:
        # Recorded with the first chunk, since a refused attempt has none and
        # must not count.
        entry: AcceptedAttempt | None = AcceptedAttempt(
            self._clock.read_monotonic(), address
        )
        chunks = super().generate(address, attempt)
        try:
            async for chunk in chunks:
                if entry is not None:
                    self._accepted_attempts.append(entry)
                    entry = None
                yield chunk
        finally:
            await chunks.aclose()


@dataclasses.dataclass(slots=True, frozen=True)
class Leaving:
    """The time for which an endpoint was leaving.

    Attributes:
      address: address of the endpoint.
      from_s: when it began to leave.
      until_s: when it was available again.
    """

    address: str
    from_s: float
    until_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class AcceptedChange:
    """A catalogue change that was reported to its operator as accepted."""

    at_s: float
    revision: int


@dataclasses.dataclass(slots=True)
class CallRecord:
    """One call to a plain service and its outcomes.

    Attributes:
      key: idempotency key, or None.
      digest: digest of the call.
      deadline_s: its deadline in monotonic seconds.
      outcomes: the answers that its caller got, one for each time it sent.
      request_ids: request id of each outcome.
      ended_s: when the last answer came; 0 while it is in flight.
    """

    key: str | None
    digest: str
    deadline_s: float
    outcomes: list[result.Result[requests.ServiceAnswer, failures.Failure]] = (
        dataclasses.field(default_factory=list)
    )
    request_ids: list[str] = dataclasses.field(default_factory=list)
    ended_s: float = 0.0


class FaultFleet(simulation.Simulation):
    """A fleet whose instances can be killed, paused and observed.

    Attributes:
      accepted_attempts: every attempt that an engine accepted.
      nodes: every instance that was started, restarts included.
      killed: event by address of an instance, set when it has crashed.
      calls: calls to plain services.
      revisions: by address of an instance, the revisions that it put in force,
        with the times.
      reverts: how often an instance went back to an older revision.
      accepted_changes: changes that were reported to operators as accepted.
      leaving: endpoints that were leaving, with the times.
      stopped: ids of instances that were stopped gracefully.
      poisons: digests that crash engines.
      lost_to_poison: number of engines that they crashed.
      load_started_s: when the load began, in monotonic seconds.
      resent: how often a prompt was sent again after a lost connection.
      background: tasks of operators and of senders of poison requests.
    """

    def __init__(self, seed: int, catalogue: catalogues.Catalogue):
        self.accepted_attempts: list[AcceptedAttempt] = []
        super().__init__(PLAN, "length_aware", seed, catalogue)
        self.nodes: list[simulation.Node] = []
        self.killed: dict[str, asyncio.Event] = {}
        self.calls: list[CallRecord] = []
        self.revisions: dict[str, list[tuple[float, int]]] = {}
        self.reverts = 0
        self.accepted_changes: list[AcceptedChange] = []
        self.leaving: list[Leaving] = []
        self.stopped: list[str] = []
        self.resent = 0
        self.poisons: set[str] = set()
        self.lost_to_poison = 0
        self._restarting: set[str] = set()
        self.load_started_s = 0.0
        self.background: set[asyncio.Task[None]] = set()

    def make_client(
        self, timers: timer_service.Timers
    ) -> enginecluster.MemoryEngineClient:
        return ObservedClient(
            self.cluster, timers, self.plan.latency_s, self.accepted_attempts
        )

    async def start_instance(self, number: int) -> simulation.Node:
        node = await super().start_instance(number)
        self.nodes.append(node)
        self.killed[node.port.address] = asyncio.Event()
        self._record_revisions(node)
        return node

    async def tear_down(self) -> None:
        """Cancels all tasks, including those of crashed instances."""
        current = asyncio.current_task()
        tasks = asyncio.all_tasks() - {current}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in self.nodes:
            with contextlib.suppress(Exception):
                await node.stack.aclose()

    def kill_instance(self, node: simulation.Node) -> None:
        """Crashes an instance: it can neither send nor receive any more."""
        del self.instances[node.instance_id]
        self.killed[node.port.address].set()
        self.store.faults.cut_off(node.instance_id)
        self.network.pause(node.port.address)
        self.network.remove(node.port.address)
        for engine in self.cluster:
            node.client.block(engine.address)

    def pause_instance(self, node: simulation.Node) -> None:
        """Pauses an instance."""
        self.network.pause(node.port.address)
        for engine in self.cluster:
            node.client.block(engine.address)

    def resume_instance(self, node: simulation.Node) -> None:
        """Resumes a paused instance as if no time had passed."""
        self.network.resume(node.port.address)
        for engine in self.cluster:
            node.client.unblock(engine.address)

    async def race_changes(self, rng: random.Random) -> None:
        """Changes one catalogue entry at two instances concurrently."""
        nodes = list(self.instances.values())
        chosen = rng.sample(nodes, min(2, len(nodes)))
        for node in chosen:
            task = asyncio.ensure_future(
                self._change(node, rng.uniform(0.5, 2.0), rng.getrandbits(64))
            )
            self.background.add(task)
            task.add_done_callback(self.background.discard)

    async def _change(
        self, node: simulation.Node, weight: float, number: int
    ) -> None:
        instance = node.instance
        service = changes.ChangeService(
            instance.clients.store,
            instance.clients.timers,
            instance.catalogue.get_revision,
            instance.catalogue.accept,
        )
        present = instance.catalogue.get()
        name = f"{PLAN.name}/w1"
        workspace = dataclasses.replace(
            present.workspaces[name], weight=round(weight, 3)
        )
        outcome = await service.apply(
            changes.ChangeRequest(
                f"{number:016x}",
                changes.Actor("operator"),
                "a race",
                present.revision,
                dataclasses.replace(
                    present, workspaces={**present.workspaces, name: workspace}
                ),
            )
        )
        if isinstance(outcome, result.Success) and outcome.unwrap().applied:
            now_s = self.timers.read_monotonic()
            self.accepted_changes.append(
                AcceptedChange(now_s, outcome.unwrap().revision)
            )

    def start_poison(self, digest: str, prompt_tokens: int) -> None:
        """Starts the senders of a request that crashes engines.

        Args:
          digest: digest on which the engines crash.
          prompt_tokens: length of its prompt.
        """
        self.poisons.add(digest)
        for engine in self.cluster:
            engine.subscribe(functools.partial(self._record_crash, engine))
        for turn in range(POISON_SENDERS):
            task = asyncio.ensure_future(
                self._send_poison(digest, prompt_tokens, turn)
            )
            self.background.add(task)
            task.add_done_callback(self.background.discard)

    async def _send_poison(
        self, digest: str, prompt_tokens: int, turn: int
    ) -> None:
        for number in range(POISON_ATTEMPTS):
            request = requests.PromptRequest(
                request_id="",
                institution=PLAN.name,
                workspace=f"{PLAN.name}/w0",
                model=simulation.MODEL,
                request_class=requests.RequestClass.INTERACTIVE,
                prompt_tokens=prompt_tokens,
                max_tokens=20,
                deadline_s=POISON_DEADLINE_S,
                digest=digest,
            )
            arrival = workload.Arrival(0.0, request)
            node = self._choose_node(turn + number)
            await self._await_at(self.serve(arrival, node), node)
            await self.timers.sleep(0.01)

    def _record_crash(self, engine: engines.Engine) -> None:
        """Counts an engine that a poison crashed, and schedules its restart."""
        if engine.alive or engine.endpoint_id in self._restarting:
            return
        if not any(engine.count_runs(digest) for digest in self.poisons):
            return
        self.lost_to_poison += 1
        self._restarting.add(engine.endpoint_id)
        self.timers.call_later(RESTART_S, lambda: self._restart_engine(engine))

    def _restart_engine(self, engine: engines.Engine) -> None:
        self._restarting.discard(engine.endpoint_id)
        if not engine.alive:
            engine.restart()

    async def send_prompt(self, arrival: workload.Arrival, turn: int) -> None:
        """Sends a prompt, and again whenever its connection is lost."""
        deadline_s = self.timers.read_monotonic() + arrival.request.deadline_s
        for number in range(SEND_ATTEMPTS):
            node = self._choose_node(turn + number)
            request = dataclasses.replace(
                arrival.request,
                deadline_s=deadline_s - self.timers.read_monotonic(),
            )
            if request.deadline_s <= 0:
                return
            copy = workload.Arrival(arrival.at_s, request)
            if await self._await_at(self.serve(copy, node), node):
                return
            self.resent += 1
            await self.timers.sleep(RESEND_DELAY_S)

    async def send_call(
        self, call: requests.ServiceCall, turn: int, sends: int
    ) -> None:
        """Calls a service several times at once, with the same key."""
        deadline_s = self.timers.read_monotonic() + call.deadline_s
        record = CallRecord(call.idempotency_key, call.digest, deadline_s)
        self.calls.append(record)
        copies = [
            self._call(call, record, self._choose_node(turn + number))
            for number in range(sends)
        ]
        await asyncio.gather(*copies)
        record.ended_s = self.timers.read_monotonic()

    async def _call(
        self,
        call: requests.ServiceCall,
        record: CallRecord,
        node: simulation.Node,
    ) -> None:
        request_id = node.instance.make_id()
        copy = dataclasses.replace(
            call, request_id=request_id, deadline_s=record.deadline_s
        )

        async def run() -> None:
            outcome = await node.instance.caller.call(copy)
            record.outcomes.append(outcome)
            record.request_ids.append(request_id)

        await self._await_at(run(), node)

    async def _await_at(
        self, work: Coroutine[Any, Any, Any], node: simulation.Node
    ) -> bool:
        """Awaits work at an instance; False if the instance crashes first."""
        task = asyncio.ensure_future(work)
        killed = asyncio.ensure_future(self.killed[node.port.address].wait())
        await asyncio.wait({task, killed}, return_when=asyncio.FIRST_COMPLETED)
        killed.cancel()
        if task.done():
            task.result()
            return True
        # The caller sees its connection break. The task is not cancelled,
        # since a crashed instance cleans nothing up.
        return False

    def _choose_node(self, turn: int) -> simulation.Node:
        names = list(self.instances)
        return self.instances[names[turn % len(names)]]

    def _record_revisions(self, node: simulation.Node) -> None:
        history = self.revisions.setdefault(node.port.address, [])
        history.append((0.0, node.instance.catalogue.get_revision()))

        def record(catalogue: catalogues.Catalogue) -> None:
            if catalogue.revision <= history[-1][1]:
                self.reverts += 1
            history.append((self.timers.read_monotonic(), catalogue.revision))

        node.instance.catalogue.subscribe(record)


def says_not_run(
    outcome: result.Result[requests.ServiceAnswer, failures.Failure],
) -> bool:
    """Says whether the outcome has the verdict NOT_RUN."""
    if not isinstance(outcome, result.Failure):
        return False
    return outcome.failure().verdict is verdicts.Verdict.NOT_RUN


def make_call(rng: random.Random, number: int) -> requests.ServiceCall:
    """Returns a call; two in three have a key and must not run twice."""
    kind = rng.randrange(3)
    return requests.ServiceCall(
        request_id="",
        institution=PLAN.name,
        workspace=f"{PLAN.name}/w0",
        service=simulation.DESK,
        method="POST",
        path="/status" if kind == 0 else "/notices",
        body=f"notice {number}".encode(),
        digest=f"digest-{number}",
        idempotent=kind == 0,
        idempotency_key=None if kind == 0 else f"key-{number}",
        deadline_s=8.0,
    )
