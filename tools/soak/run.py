"""Runs seeds of the soak: ``python -m tools.soak.run --seeds 1..50``."""

import asyncio
import contextlib
import math
import pathlib
import random
import shutil
import signal
import sys
import tempfile

import aiohttp
import click

from tools.soak import callers
from tools.soak import configuration
from tools.soak import engines
from tools.soak import evacuations
from tools.soak import evacuationwatch
from tools.soak import evidence as evidences
from tools.soak import fleet
from tools.soak import keepalivecallers
from tools.soak import partitions
from tools.soak import plannedstops
from tools.soak import poison
from tools.soak import proxy as proxies
from tools.soak import restarts
from tools.soak import restore
from tools.soak import store as stores
from tools.soak import storms
from tools.soak import unread

# Seconds within which a revoked key must be refused everywhere.
REVOKE_S = 3.0
# Rate limits that endpoints announce, in requests a second, and the share of
# the announcements that all endpoints of a service make together.
LIMITS_PER_S = (0.0, 0.2, 0.5, 1.0, 2.5)
WHOLE_SERVICE_SHARE = 0.3
# Cool-downs that endpoints ask for, and the shortest and the longest time for
# which they refuse requests, in seconds.
COOLDOWNS_S = (1.0, 1.75, 2.5, 3.0, 4.0)
REFUSAL_LENGTHS_S = (2.0, 8.0)
# Share of the unlisted drains in which the store refuses reads, too.
STORE_OUTAGE_SHARE = 0.3
SERVICES = ("pool", "desk")
DATA_CENTRES = ("osu", "tema")
INSTANCES = 4
CALLERS = 10
# Keep-alive connections to each instance during planned work.
KEEP_ALIVE_CALLERS = 12
POOL_ENDPOINTS = 6
DESK_ENDPOINTS = 3
# Seconds in which all instances must become ready.
STARTUP_TIMEOUT_S = 60.0
# Seconds after the last fault in which everything must recover; planned work
# follows, in which no request may be lost.
SETTLE_S = 6.0
# Seconds after planned work in which requests in flight end.
FINISH_S = 2.0
# Seconds without requests at the end, in which memory leases must be released.
RELEASE_S = 5.0


class Soak:
    """One run of the soak, determined by its seed."""

    def __init__(self, seed: int, folder: pathlib.Path):
        self.rng = random.Random(seed)
        self.network = 10 + seed % 200
        self.folder = folder
        self.store = stores.SoakStore()
        self.evidence = evidences.Evidence()
        self.evacuations = evacuationwatch.EvacuationWatch(
            self.store, self.evidence
        )
        self.operator = evacuations.Operator(
            self.store, self.evacuations, DATA_CENTRES, self.rng
        )
        self.keys = [f"key-{n}" for n in range(6)]
        self.version = 1
        self.stop = asyncio.Event()
        self._is_restoring = False
        self._storms = 0

    async def run(self, length_s: float) -> evidences.Evidence:
        """Injects faults for some seconds and returns what was observed."""
        async with contextlib.AsyncExitStack() as stack:
            group = await stack.enter_async_context(asyncio.TaskGroup())
            _, store_port = await stack.enter_async_context(
                stores.serve(self.store.handle)
            )
            self._write_configuration()
            await self._start(stack, group, store_port)
            await self._wait_ready()
            self._start_callers()
            watching = [
                group.create_task(self.evidence.watch_stalls()),
                group.create_task(
                    self.evacuations.run(self.instances, self.proxies)
                ),
            ]
            faulting = group.create_task(self._inject_faults())
            await asyncio.sleep(length_s)
            faulting.cancel()
            self._heal()
            await self._wait_ready()
            # One data centre is evacuated in a part of the calm time.
            chosen = {self.rng.choice(DATA_CENTRES)}
            async with self.operator.evacuate(chosen):
                await asyncio.sleep(SETTLE_S)
                await partitions.run(self.instances, self.evidence, self.rng)
                await poison.run(
                    self.instances, self.keys[0], self.evidence, self.rng
                )
                await restarts.run(
                    self.instances,
                    self._list_endpoints(SERVICES[1]),
                    self.keys,
                    self.evidence,
                    self.rng,
                )
                self.evidence.calm_since_s = evidences.read_clock()
                self._start_keep_alive_callers()
                await self._run_planned_work(SERVICES[0])
            storm = group.create_task(self._storm())
            await self._run_planned_work(SERVICES[1])
            await storm
            await asyncio.sleep(FINISH_S)
            self.evidence.calm_since_s = None
            for task in self.caller_tasks:
                task.cancel()
            await asyncio.sleep(RELEASE_S)
            self._check_memory()
            for task in watching:
                task.cancel()
            self.stop.set()
            for instance in self.instances:
                instance.send(signal.SIGKILL)
        for instance in self.instances:
            self.evidence.unread_s[instance.ip] = unread.read_windows(
                instance.read_log()
            )
        self.evidence.check_outcomes()
        return self.evidence

    def _write_configuration(self) -> None:
        self.version += self.rng.randint(1, 3)
        self._put_configuration()

    def _put_configuration(self) -> None:
        self.store.put(
            "config/main",
            configuration.make_configuration(self.version, self.keys),
        )

    def _write_again(self) -> None:
        """Writes all objects of the operator again."""
        self._put_configuration()
        self.operator.write()

    async def _start(
        self,
        stack: contextlib.AsyncExitStack,
        group: asyncio.TaskGroup,
        store_port: int,
    ) -> None:
        self.endpoints = [
            engines.SoakEndpoint(
                "pool" if n < POOL_ENDPOINTS else "desk",
                DATA_CENTRES[n % len(DATA_CENTRES)],
                self.store,
                self.evidence,
                self.evacuations,
                REVOKE_S,
                random.Random(self.rng.random()),
            )
            for n in range(POOL_ENDPOINTS + DESK_ENDPOINTS)
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
            group.create_task(part.run(self.stop))

    async def _wait_ready(self) -> None:
        async with aiohttp.ClientSession() as session:
            for instance in self.instances:
                try:
                    async with asyncio.timeout(STARTUP_TIMEOUT_S):
                        await _poll_ready(session, instance.ready_url)
                except TimeoutError:
                    print(instance.read_last_log(), file=sys.stderr)
                    raise

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
        self.caller_tasks = [
            loop.create_task(caller.run(self.stop)) for caller in self.callers
        ]

    def _start_keep_alive_callers(self) -> None:
        loop = asyncio.get_running_loop()
        for instance in self.instances:
            for number in range(KEEP_ALIVE_CALLERS):
                caller = keepalivecallers.KeepAliveCaller(
                    f"k{instance.front}-{number}",
                    instance,
                    self.keys[:],
                    self.evidence,
                    random.Random(self.rng.random()),
                )
                self.caller_tasks.append(loop.create_task(caller.run()))

    async def _inject_faults(self) -> None:
        faults = (
            self._kill,
            self._freeze,
            self._terminate,
            self._break_proxy,
            self._break_store,
            self._restore_store,
            self._break_endpoint,
            self._end_endpoint,
            self._revoke,
            self._announce_limits,
            self._drain_unlisted,
            self._refuse_with_cooldown,
            self.operator.evacuate_some,
            self._storm,
        )
        # Every run has these faults; the others are drawn.
        due = [
            self._drain_unlisted,
            self._refuse_with_cooldown,
            self._restore_store,
            self.operator.evacuate_some,
        ]
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

    async def _break_proxy(self) -> None:
        """Breaks the proxy of one instance's store, or of an endpoint."""
        all_proxies = [*self.proxies, *(e.proxy for e in self.endpoints)]
        proxy = self.rng.choice(all_proxies)
        proxy.mode = self.rng.choice(proxies.MODES)
        await asyncio.sleep(self.rng.uniform(0.5, REVOKE_S + 2.0))
        proxy.heal()

    async def _break_store(self) -> None:
        store_fault = self.rng.choice(["refuses", "slow", "forgets"])
        if store_fault == "forgets":
            self.store.discard_events()
            return
        self.store.is_down = store_fault == "refuses"
        self.store.delay_s = 0.3 if store_fault == "slow" else 0.0
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.store.is_down = False
        self.store.delay_s = 0.0

    async def _restore_store(self) -> None:
        """Restores an older state of the store, unless it is down already."""
        if self.store.is_down or self._is_restoring:
            return
        self._is_restoring = True
        try:
            await restore.run(
                self.store,
                self.endpoints,
                self.evidence,
                self._write_again,
                self.rng,
            )
        finally:
            self._is_restoring = False

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

    async def _drain_unlisted(self) -> None:
        """Drains endpoints while the store does not accept their entries.

        Reads fail for at most `REVOKE_S`: instances that could not read for
        longer would serve nothing.
        """
        for service in SERVICES:
            self.rng.choice(self._list_endpoints(service)).end("drain")
        if self.rng.random() < STORE_OUTAGE_SHARE:
            self.store.is_down = True
            await asyncio.sleep(self.rng.uniform(2.5, REVOKE_S))
            self.store.is_down = False
        else:
            self.store.is_read_only = True
            await asyncio.sleep(self.rng.uniform(3.0, 5.0))
            self.store.is_read_only = False

    async def _refuse_with_cooldown(self) -> None:
        """Lets an endpoint refuse all requests and ask for a cool-down."""
        endpoint = self.rng.choice(self.endpoints)
        length_s = self.rng.uniform(*REFUSAL_LENGTHS_S)
        await endpoint.refuse_all(self.rng.choice(COOLDOWNS_S), length_s)

    async def _storm(self) -> None:
        self._storms += 1
        await storms.run(
            f"s{self._storms}",
            self.instances,
            self.keys,
            self.evidence,
            self.rng,
        )

    async def _announce_limits(self) -> None:
        """Lets one or all endpoints of a service announce rate limits."""
        service_endpoints = self._list_endpoints(self.rng.choice(SERVICES))
        chosen = (
            service_endpoints
            if self.rng.random() < WHOLE_SERVICE_SHARE
            else service_endpoints[:1]
        )
        for _ in range(self.rng.randint(1, 2)):
            for endpoint in chosen:
                endpoint.rate.set_limit(self.rng.choice(LIMITS_PER_S))
            await asyncio.sleep(self.rng.uniform(4.0, 8.0))
        for endpoint in chosen:
            endpoint.rate.set_limit(None)

    async def _revoke(self) -> None:
        self._revoke_key()

    def _revoke_key(self) -> None:
        if len(self.keys) > 2:
            key = self.keys.pop(self.rng.randrange(len(self.keys)))
            self._write_configuration()
            self.evidence.key_revoked_s[key] = evidences.read_clock()

    def _heal(self) -> None:
        self.operator.end_all()
        for proxy in self.proxies:
            proxy.heal()
        self.store.is_down = False
        self.store.is_read_only = False
        self.store.delay_s = 0.0
        for endpoint in self.endpoints:
            endpoint.proxy.heal()
            if endpoint.mode != "drain":
                endpoint.mode = ""
            endpoint.rate.set_limit(None)
        for instance in self.instances:
            instance.send(signal.SIGCONT)

    async def _run_planned_work(self, service: str) -> None:
        """Stops instances, drains an endpoint and lets one refuse requests."""
        await plannedstops.stop_some(self.instances, self.evidence, self.rng)
        service_endpoints = self._list_endpoints(service)
        draining, refusing = self.rng.sample(service_endpoints, 2)
        draining.end("drain")
        retry_after_s = self.rng.choice(COOLDOWNS_S)
        refusal = asyncio.ensure_future(
            refusing.refuse_all(retry_after_s, fleet.BALANCER_DELAY_S)
        )
        await asyncio.sleep(fleet.BALANCER_DELAY_S)
        self._revoke_key()
        await self._wait_ready()
        await refusal
        for instance in self.instances:
            instance.stop_signalled_s = None

    def _check_memory(self) -> None:
        held = sum(endpoint.count_leases() for endpoint in self.endpoints)
        if held:
            self.evidence.violations.append(
                f"{held} memory leases were not freed"
            )


async def _poll_ready(session: aiohttp.ClientSession, url: str) -> None:
    while True:
        with contextlib.suppress(aiohttp.ClientError):
            async with session.get(url) as answer:
                if answer.status == 200:
                    return
        await asyncio.sleep(0.1)


async def run_seed(
    seed: int, length_s: float, logs: pathlib.Path | None = None
) -> evidences.Evidence:
    """Runs one seed in a temporary folder of its own.

    Args:
      seed: determines the run.
      length_s: seconds of faults.
      logs: folder for the logs of the instances; None keeps none.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        try:
            return await Soak(seed, folder).run(length_s)
        finally:
            if logs is not None:
                for path in folder.glob("*.log"):
                    shutil.copy(path, logs / f"{seed}-{path.name}")


def parse_seeds(text: str) -> range:
    """Parses ``first..last`` or a single seed; an empty text has none."""
    if not text:
        return range(0)
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def read_seeds(path: pathlib.Path | None) -> list[int]:
    """Reads a file whose lines begin with a seed, followed by its cause."""
    if path is None:
        return []
    lines = path.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and line[0] != "#"]


@click.command()
@click.option("--seeds", default="1..3", help="first..last")
@click.option(
    "--again",
    type=click.Path(path_type=pathlib.Path),
    help="file of seeds that once violated an invariant; they run first",
)
@click.option("--seconds", default=12.0, help="length of the faults")
@click.option(
    "--logs",
    type=click.Path(path_type=pathlib.Path, exists=True, file_okay=False),
    help="folder for the logs of the instances",
)
def main(
    seeds: str,
    again: pathlib.Path | None,
    seconds: float,
    logs: pathlib.Path | None,
) -> None:
    """Runs seeds and prints the violations of each."""
    # SIGTERM acts as an interrupt, so that the soak ends all its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed_seeds = 0
    for seed in [*read_seeds(again), *parse_seeds(seeds)]:
        evidence = asyncio.run(run_seed(seed, seconds, logs))
        served = evidence.count(200)
        click.echo(
            f"seed {seed}: {len(evidence.sent)} sent, {served} served, "
            f"{len(evidence.violations)} violations; "
            f"{len(evidence.poison_crashes_s)} endpoints poisoned by "
            f"{len(evidence.poison_arrivals_s)} requests; the event loop of "
            f"the soak stalled for {evidence.max_stall_s:.2f} s at most"
        )
        for violation in evidence.violations:
            click.echo(f"  {violation}")
        failed_seeds += bool(evidence.violations)
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
