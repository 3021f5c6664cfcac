"""Plays seeds of the soak: ``python -m tools.soak.run --seeds 1..50``."""

import asyncio
import contextlib
import math
import pathlib
import random
import signal
import sys
import tempfile

import aiohttp
import click

from tools.soak import callers
from tools.soak import configuration
from tools.soak import drill
from tools.soak import engines
from tools.soak import evidence as evidences
from tools.soak import fleet
from tools.soak import keptcallers
from tools.soak import plannedstops
from tools.soak import proxy as proxies
from tools.soak import store as stores

REVOKE_S = 3.0
# Limits that endpoints name, in requests a second, and the share of the times
# that all of a service name one.
LIMITS_PER_S = (0.0, 0.2, 0.5, 1.0, 2.5)
ALL_SHARE = 0.3
# Rests that endpoints ask for, and the shortest and the longest time for which
# they turn requests away, in seconds.
RESTS_S = (1.0, 1.75, 2.5, 3.0, 4.0)
REST_LENGTHS_S = (2.0, 8.0)
# Share of the endpoints that leave unseen whose instances can't read the store
# either.
UNREAD_SHARE = 0.3
SERVICES = ("pool", "desk")
DATA_CENTRES = ("osu", "tema")
INSTANCES = 4
CALLERS = 10
# Connections to each instance that are kept in planned work.
KEPT = 12
ENGINES = 6
DESKS = 3
# Seconds for which all may come up.
START_S = 60.0
# Seconds after the last fault in which all must have settled; in the planned
# work that follows nothing may be lost.
SETTLE_S = 6.0
# Seconds after planned work in which requests under way end.
LAST_S = 2.0
# Seconds of quiet at the end, in which memory must come free.
QUIET_S = 5.0


class Soak:
    """One seed."""

    def __init__(self, seed: int, folder: pathlib.Path):
        self.rng = random.Random(seed)
        self.network = 10 + seed % 200
        self.folder = folder
        self.store = stores.SoakStore()
        self.evidence = evidences.Evidence()
        self.keys = [f"key-{n}" for n in range(6)]
        self.version = 1
        self.stop = asyncio.Event()
        self._is_drilling = False

    async def play(self, length_s: float) -> evidences.Evidence:
        """Plays for some seconds and returns what was seen."""
        async with contextlib.AsyncExitStack() as stack:
            group = await stack.enter_async_context(asyncio.TaskGroup())
            _, store_port = await stack.enter_async_context(
                stores.serve(self.store.handle)
            )
            self._write_configuration()
            await self._start(stack, group, store_port)
            await self._wait_ready()
            self._start_callers()
            watching = group.create_task(self.evidence.watch_stalls())
            faulting = group.create_task(self._inject_faults())
            await asyncio.sleep(length_s)
            faulting.cancel()
            self._heal()
            await self._wait_ready()
            await asyncio.sleep(SETTLE_S)
            self.evidence.calm_s = evidences.read_clock()
            await self._work_as_planned()
            self.evidence.calm_s = None
            for task in self.calling:
                task.cancel()
            await asyncio.sleep(QUIET_S)
            self._check_memory()
            watching.cancel()
            self.stop.set()
            for instance in self.instances:
                instance.send(signal.SIGKILL)
        self.evidence.close()
        return self.evidence

    def _write_configuration(self) -> None:
        self.version += self.rng.randint(1, 3)
        self._put_configuration()

    def _put_configuration(self) -> None:
        self.store.put(
            "config/main", configuration.make(self.version, self.keys)
        )

    async def _start(
        self,
        stack: contextlib.AsyncExitStack,
        group: asyncio.TaskGroup,
        store_port: int,
    ) -> None:
        self.endpoints = [
            engines.SoakEndpoint(
                "pool" if n < ENGINES else "desk",
                DATA_CENTRES[n % len(DATA_CENTRES)],
                self.store,
                self.evidence,
                REVOKE_S,
                random.Random(self.rng.random()),
            )
            for n in range(ENGINES + DESKS)
        ]
        self.proxies = []
        self.instances = []
        for number in range(INSTANCES):
            proxy = proxies.SoakProxy(store_port)
            port = await stack.enter_async_context(proxy.open())
            self.proxies.append(proxy)
            self.instances.append(
                fleet.SoakInstance(
                    self.network,
                    number,
                    DATA_CENTRES[number % len(DATA_CENTRES)],
                    port,
                    REVOKE_S,
                    self.folder,
                )
            )
        for part in (*self.endpoints, *self.instances):
            group.create_task(part.live(self.stop))

    async def _wait_ready(self) -> None:
        async with (
            asyncio.timeout(START_S),
            aiohttp.ClientSession() as session,
        ):
            for instance in self.instances:
                while True:
                    with contextlib.suppress(aiohttp.ClientError):
                        async with session.get(instance.ready_url) as answer:
                            if answer.status == 200:
                                break
                    await asyncio.sleep(0.1)

    def _start_callers(self) -> None:
        self.callers = [
            callers.SoakCaller(
                f"c{n}",
                self.instances,
                self.keys[:],
                self.evidence,
                random.Random(self.rng.random()),
            )
            for n in range(CALLERS)
        ]
        loop = asyncio.get_running_loop()
        self.calling = [
            loop.create_task(caller.live(self.stop)) for caller in self.callers
        ]

    def _start_kept_callers(self) -> None:
        loop = asyncio.get_running_loop()
        for instance in self.instances:
            for number in range(KEPT):
                caller = keptcallers.KeptCaller(
                    f"k{instance.front}-{number}",
                    instance,
                    self.keys[:],
                    self.evidence,
                    random.Random(self.rng.random()),
                )
                self.calling.append(loop.create_task(caller.live()))

    async def _inject_faults(self) -> None:
        faults = (
            self._kill,
            self._freeze,
            self._terminate,
            self._break_way,
            self._break_store,
            self._drill,
            self._break_endpoint,
            self._end_endpoint,
            self._revoke,
            self._name_limit,
            self._leave_unseen,
            self._ask_for_rest,
        )
        # These come in each seed, the others by chance.
        due = [self._leave_unseen, self._ask_for_rest, self._drill]
        running: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            fault = due.pop() if due else self.rng.choice(faults)
            task = asyncio.ensure_future(fault())
            running.add(task)
            task.add_done_callback(running.discard)

    async def _kill(self) -> None:
        self.rng.choice(self.instances).send(signal.SIGKILL)

    async def _freeze(self) -> None:
        instance = self.rng.choice(self.instances)
        process_id = instance.process_id
        instance.send(signal.SIGSTOP)
        self.evidence.disturbed_s[process_id] = math.inf
        await asyncio.sleep(self.rng.uniform(0.5, REVOKE_S + 2.0))
        instance.send(signal.SIGCONT)
        self.evidence.disturbed_s[process_id] = evidences.read_clock()

    async def _terminate(self) -> None:
        instance = self.rng.choice(self.instances)
        instance.send(self.rng.choice([signal.SIGTERM, signal.SIGHUP]))

    async def _break_way(self) -> None:
        """Breaks the way from one instance to the store or to an endpoint."""
        ways = [*self.proxies, *(e.way for e in self.endpoints)]
        way = self.rng.choice(ways)
        way.mode = self.rng.choice(proxies.MODES)
        await asyncio.sleep(self.rng.uniform(0.5, REVOKE_S + 2.0))
        way.heal()

    async def _break_store(self) -> None:
        step = self.rng.choice(["refuses", "slow", "forgets"])
        if step == "forgets":
            self.store.forget_history()
            return
        self.store.refuses = step == "refuses"
        self.store.delay_s = 0.3 if step == "slow" else 0.0
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.store.refuses = False
        self.store.delay_s = 0.0

    async def _drill(self) -> None:
        """Lets the store come back older, unless it is away already."""
        if self.store.refuses or self._is_drilling:
            return
        self._is_drilling = True
        try:
            await drill.play(
                self.store,
                self.endpoints,
                self.evidence,
                self._put_configuration,
                self.rng,
            )
        finally:
            self._is_drilling = False

    def _list_endpoints(self, service: str) -> list[engines.SoakEndpoint]:
        return [e for e in self.endpoints if e.service == service]

    async def _break_endpoint(self) -> None:
        endpoint = self.rng.choice(self.endpoints)
        endpoint.mode = self.rng.choice(["shed", "lose", "hang"])
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        if endpoint.mode != "drain":
            endpoint.mode = ""

    async def _end_endpoint(self) -> None:
        endpoint = self.rng.choice(self.endpoints)
        endpoint.end(self.rng.choice(["crash", "drain"]))

    async def _leave_unseen(self) -> None:
        """Lets endpoints leave while the store refuses to list that they do.

        Instances would serve nothing if they could not read for longer.
        """
        for service in SERVICES:
            self.rng.choice(self._list_endpoints(service)).end("drain")
        if self.rng.random() < UNREAD_SHARE:
            self.store.refuses = True
            await asyncio.sleep(self.rng.uniform(2.5, REVOKE_S))
            self.store.refuses = False
        else:
            self.store.refuses_writes = True
            await asyncio.sleep(self.rng.uniform(3.0, 5.0))
            self.store.refuses_writes = False

    async def _ask_for_rest(self) -> None:
        """Lets an endpoint turn all requests away and ask for rest."""
        endpoint = self.rng.choice(self.endpoints)
        length_s = self.rng.uniform(*REST_LENGTHS_S)
        await endpoint.rest(self.rng.choice(RESTS_S), length_s)

    async def _name_limit(self) -> None:
        """Lets an endpoint, or all of a service, name limits that change."""
        own = self._list_endpoints(self.rng.choice(SERVICES))
        chosen = own if self.rng.random() < ALL_SHARE else own[:1]
        for _ in range(self.rng.randint(1, 2)):
            for endpoint in chosen:
                endpoint.rate.name(self.rng.choice(LIMITS_PER_S))
            await asyncio.sleep(self.rng.uniform(4.0, 8.0))
        for endpoint in chosen:
            endpoint.rate.name(None)

    async def _revoke(self) -> None:
        self._revoke_one()

    def _revoke_one(self) -> None:
        if len(self.keys) > 2:
            key = self.keys.pop(self.rng.randrange(len(self.keys)))
            self._write_configuration()
            self.evidence.revoked_s[key] = evidences.read_clock()

    def _heal(self) -> None:
        for proxy in self.proxies:
            proxy.heal()
        self.store.refuses = False
        self.store.refuses_writes = False
        self.store.delay_s = 0.0
        for endpoint in self.endpoints:
            endpoint.way.heal()
            if endpoint.mode != "drain":
                endpoint.mode = ""
            endpoint.rate.name(None)
        for instance in self.instances:
            instance.send(signal.SIGCONT)

    async def _work_as_planned(self) -> None:
        """Stops instances, drains endpoints and lets some rest."""
        self._start_kept_callers()
        for service in SERVICES:
            await plannedstops.stop_some(
                self.instances, self.evidence, self.rng
            )
            own = self._list_endpoints(service)
            leaving, resting = self.rng.sample(own, 2)
            leaving.end("drain")
            rest_s = self.rng.choice(RESTS_S)
            rest = asyncio.ensure_future(resting.rest(rest_s, fleet.SEEN_S))
            await asyncio.sleep(fleet.SEEN_S)
            self._revoke_one()
            await self._wait_ready()
            await rest
            for instance in self.instances:
                instance.stopped_s = None
        await asyncio.sleep(LAST_S)

    def _check_memory(self) -> None:
        held = sum(endpoint.count_leases() for endpoint in self.endpoints)
        if held:
            self.evidence.faults.append(f"{held} memory leases were not freed")


async def play_seed(seed: int, length_s: float) -> evidences.Evidence:
    """Plays one seed in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return await Soak(seed, pathlib.Path(folder)).play(length_s)


def parse_seeds(text: str) -> range:
    """Reads ``first..last`` or a single seed; an empty text is none."""
    if not text:
        return range(0)
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def read_seeds(path: pathlib.Path | None) -> list[int]:
    """Reads a file with a seed at the begin of each line, then its cause."""
    if path is None:
        return []
    lines = path.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and line[0] != "#"]


@click.command()
@click.option("--seeds", default="1..3", help="first..last")
@click.option(
    "--again",
    type=click.Path(path_type=pathlib.Path),
    help="file of seeds that once broke a rule; they are played first",
)
@click.option("--seconds", default=12.0, help="length of the faults")
def main(seeds: str, again: pathlib.Path | None, seconds: float) -> None:
    """Plays seeds and says which broke a rule."""
    # A signal to end is an interrupt, so that every process is ended too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    broken = 0
    for seed in [*read_seeds(again), *parse_seeds(seeds)]:
        seen = asyncio.run(play_seed(seed, seconds))
        served = seen.count(200)
        click.echo(
            f"seed {seed}: {len(seen.sent)} sent, {served} served, "
            f"{len(seen.faults)} rules broken; the soak stood still for "
            f"{seen.stall_s:.2f} s at most"
        )
        for fault in seen.faults:
            click.echo(f"  {fault}")
        broken += bool(seen.faults)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
