"""The small fleet of the fault scenario, with eyes on what must hold."""

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
# Seconds until the instances know each other, which the lagging list delays.
SETTLE_S = 8.0
# How often a caller whose connection was lost sends its request again.
RESENDS = 4
RESEND_DELAY_S = 0.2
# A request that crashes engines: who sends it, how often, with what time.
POISON_SENDERS = 2
POISON_SENDINGS = 6
POISON_DEADLINE_S = 6.0
# Seconds until a crashed engine runs again.
RESTART_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Sending:
    """One attempt that an engine took."""

    at_s: float
    address: str


class ObservedClient(enginecluster.MemoryEngineClient):
    """Notes which engine gets new work, and when."""

    __slots__ = ("_clock", "_sendings")

    def __init__(
        self,
        cluster: enginecluster.EngineCluster,
        timers: timer_service.Timers,
        latency_s: float,
        sendings: list[Sending],
    ):
        super().__init__(cluster, timers, latency_s)
        self._clock = timers
        self._sendings = sendings

    async def generate(
        self, address: str, attempt: attempts.Attempt
    ) -> AsyncGenerator[attempts.Chunk, None]:
        # What an engine refuses is no work that it got.
        sending: Sending | None = Sending(self._clock.read_monotonic(), address)
        chunks = super().generate(address, attempt)
        try:
            async for chunk in chunks:
                if sending is not None:
                    self._sendings.append(sending)
                    sending = None
                yield chunk
        finally:
            await chunks.aclose()


@dataclasses.dataclass(slots=True, frozen=True)
class Leaving:
    """An endpoint that is about to stop.

    Attributes:
      address: the endpoint.
      from_s: when it said so.
      until_s: when it took that back.
    """

    address: str
    from_s: float
    until_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """A change of the catalogue that an operator was told is accepted."""

    at_s: float
    revision: int


@dataclasses.dataclass(slots=True)
class CallRecord:
    """What became of one call to a plain service.

    Attributes:
      key: idempotency key, or None.
      digest: digest of the call.
      deadline_s: monotonic time until which it had.
      outcomes: the answers that its caller got, one for each time it sent.
      ended_s: when the last answer came; 0 while it is open.
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
    """A fleet whose instances can be killed, paused and watched.

    Attributes:
      sendings: every attempt that an engine took.
      nodes: every start of an instance.
      killed: set for each instance once it is dead.
      calls: calls to plain services.
      revisions: revisions that each instance put in force, in order.
      reverts: times that a revision in force went down.
      accepted: changes that operators were told are accepted.
      leaving: endpoints that said that they leave.
      stopped: instances that were stopped as planned.
      poisons: digests that crash engines.
      lost_to_poison: engines that they crashed.
      traffic_s: when the first request came.
      resent: prompts that a caller sent again after a lost connection.
    """

    def __init__(self, seed: int, catalogue: catalogues.Catalogue):
        self.sendings: list[Sending] = []
        super().__init__(PLAN, "length_aware", seed, catalogue)
        self.nodes: list[simulation.Node] = []
        self.killed: dict[str, asyncio.Event] = {}
        self.calls: list[CallRecord] = []
        self.revisions: dict[str, list[tuple[float, int]]] = {}
        self.reverts = 0
        self.accepted: list[Accepted] = []
        self.leaving: list[Leaving] = []
        self.stopped: list[str] = []
        self.resent = 0
        self.poisons: set[str] = set()
        self.lost_to_poison = 0
        self._restarting: set[str] = set()
        self.traffic_s = 0.0
        self.background: set[asyncio.Task[None]] = set()

    def make_client(
        self, timers: timer_service.Timers
    ) -> enginecluster.MemoryEngineClient:
        return ObservedClient(
            self.cluster, timers, self.plan.latency_s, self.sendings
        )

    async def start_instance(self, number: int) -> simulation.Node:
        node = await super().start_instance(number)
        self.nodes.append(node)
        self.killed[node.port.address] = asyncio.Event()
        self._watch_revision(node)
        return node

    async def tear_down(self) -> None:
        """Ends everything at once, the remains of dead instances included."""
        own = asyncio.current_task()
        tasks = asyncio.all_tasks() - {own}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in self.nodes:
            with contextlib.suppress(Exception):
                await node.stack.aclose()

    def kill_instance(self, node: simulation.Node) -> None:
        """Loses an instance without a word: nothing of it moves again."""
        del self.instances[node.instance_id]
        self.killed[node.port.address].set()
        self.store.faults.cut_off(node.instance_id)
        self.network.pause(node.port.address)
        self.network.remove(node.port.address)
        for engine in self.cluster:
            node.client.block(engine.address)

    def pause_instance(self, node: simulation.Node) -> None:
        """Stops an instance where it is."""
        self.network.pause(node.port.address)
        for engine in self.cluster:
            node.client.block(engine.address)

    def resume_instance(self, node: simulation.Node) -> None:
        """Lets a paused instance go on as if no time had passed."""
        self.network.resume(node.port.address)
        for engine in self.cluster:
            node.client.unblock(engine.address)

    async def race_changes(self, rng: random.Random) -> None:
        """Lets two operators change one entry at once at two instances."""
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
            instance.outside.store,
            instance.outside.timers,
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
            self.accepted.append(Accepted(now_s, outcome.unwrap().revision))

    def start_poison(self, digest: str, prompt_tokens: int) -> None:
        """Lets a caller send a request that crashes engines, again and again.

        Args:
          digest: digest that the engines' crash on.
          prompt_tokens: length of its prompt.
        """
        self.poisons.add(digest)
        for engine in self.cluster:
            engine.subscribe(functools.partial(self._note_crash, engine))
        for turn in range(POISON_SENDERS):
            task = asyncio.ensure_future(
                self._send_poison(digest, prompt_tokens, turn)
            )
            self.background.add(task)
            task.add_done_callback(self.background.discard)

    async def _send_poison(
        self, digest: str, prompt_tokens: int, turn: int
    ) -> None:
        for number in range(POISON_SENDINGS):
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
            await self._race(self.serve(arrival, node), node)
            await self.timers.sleep(0.01)

    def _note_crash(self, engine: engines.Engine) -> None:
        """Starts a crashed engine anew, and counts what poison cost."""
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
        """Sends a prompt as a caller does: again when the connection broke."""
        deadline_s = self.timers.read_monotonic() + arrival.request.deadline_s
        for number in range(RESENDS):
            node = self._choose_node(turn + number)
            request = dataclasses.replace(
                arrival.request,
                deadline_s=deadline_s - self.timers.read_monotonic(),
            )
            if request.deadline_s <= 0:
                return
            copy = workload.Arrival(arrival.at_s, request)
            if await self._race(self.serve(copy, node), node):
                return
            self.resent += 1
            await self.timers.sleep(RESEND_DELAY_S)

    async def send_call(
        self, call: requests.ServiceCall, turn: int, sends: int
    ) -> None:
        """Calls a service, several times with one key if it has one."""
        deadline_s = self.timers.read_monotonic() + call.deadline_s
        record = CallRecord(call.idempotency_key, call.digest, deadline_s)
        self.calls.append(record)
        tries = [
            self._call(call, record, self._choose_node(turn + number))
            for number in range(sends)
        ]
        await asyncio.gather(*tries)
        record.ended_s = self.timers.read_monotonic()

    async def _call(
        self,
        call: requests.ServiceCall,
        record: CallRecord,
        node: simulation.Node,
    ) -> None:
        request_id = node.instance.make_id()
        own = dataclasses.replace(
            call, request_id=request_id, deadline_s=record.deadline_s
        )

        async def run() -> None:
            outcome = await node.instance.caller.call(own)
            record.outcomes.append(outcome)
            record.request_ids.append(request_id)

        await self._race(run(), node)

    async def _race(
        self, work: Coroutine[Any, Any, Any], node: simulation.Node
    ) -> bool:
        """Awaits work at an instance; False when the instance died first."""
        task = asyncio.ensure_future(work)
        killed = asyncio.ensure_future(self.killed[node.port.address].wait())
        await asyncio.wait({task, killed}, return_when=asyncio.FIRST_COMPLETED)
        killed.cancel()
        if task.done():
            task.result()
            return True
        # The caller sees its connection break; the dead instance's work stays
        # as it was.
        return False

    def _choose_node(self, turn: int) -> simulation.Node:
        names = list(self.instances)
        return self.instances[names[turn % len(names)]]

    def _watch_revision(self, node: simulation.Node) -> None:
        seen = self.revisions.setdefault(node.port.address, [])
        seen.append((0.0, node.instance.catalogue.get_revision()))

        def note(catalogue: catalogues.Catalogue) -> None:
            if catalogue.revision <= seen[-1][1]:
                self.reverts += 1
            seen.append((self.timers.read_monotonic(), catalogue.revision))

        node.instance.catalogue.subscribe(note)


def says_not_run(
    outcome: result.Result[requests.ServiceAnswer, failures.Failure],
) -> bool:
    """Says whether a caller was told that its call did not run."""
    if not isinstance(outcome, result.Failure):
        return False
    return outcome.failure().verdict is verdicts.Verdict.NOT_RUN


def make_call(rng: random.Random, number: int) -> requests.ServiceCall:
    """Returns a call; two in three have a key and may not run twice."""
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
