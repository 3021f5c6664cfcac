"""Sets up a small fleet, its store and its servers for a script."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile

from common import clients
from common import fleet
from common import platform
from common import relay
from common import wire

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("halle-steyr", "halle-liezen", "halle-admont")
METRICS_PORT = 9464
STABILITY_S = 3.0
DRAIN_S = 2.0
# A script ends itself before the limit of two minutes.
LIMIT_S = 112.0


class CaseError(Exception):
    """The case could not run."""


class Scene:
    """What a script works with.

    Attributes:
      network: first three parts of the loopback addresses of this run.
      store: the platform's store.
      relays: the way of each node to the store.
      nodes: the processes of the project.
      folder: temporary folder with settings and logs.
    """

    def __init__(self, record: pathlib.Path, folder: pathlib.Path):
        self.network = find_network()
        self.store = platform.Store()
        self.relays: list[relay.Relay] = []
        self.nodes: list[fleet.Node] = []
        self.folder = folder
        self._started_s = wire.now()
        self._record = record.open("w")

    def note(self, text: str) -> None:
        """Writes a line to the record."""
        at_s = wire.now() - self._started_s
        self._record.write(f"{at_s:8.3f} {text}\n")
        self._record.flush()

    def since_start(self, at_s: float) -> float:
        """Returns a time of the steady clock as the record shows it."""
        return at_s - self._started_s

    async def open_store(self, nodes: int) -> None:
        """Starts the store, and a way to it for each node."""
        host = f"{self.network}.200"
        server = await asyncio.start_server(self.store.handle, host, 0)
        target = (host, server.sockets[0].getsockname()[1])
        for _ in range(nodes):
            way = relay.Relay(target)
            await way.start(host)
            self.relays.append(way)

    async def start_nodes(self) -> None:
        """Starts one node for each way to the store and waits for all."""
        for n, way in enumerate(self.relays):
            zone = ZONES[n % len(ZONES)]
            node = fleet.Node(
                f"edge-{zone}-{n // len(ZONES) + 1}",
                f"{self.network}.{n + 1}",
                zone,
                way.address,
                self.folder,
            )
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            try:
                await node.wait_ready()
            except TimeoutError:
                raise CaseError(
                    f"{node.name} did not start: {node.read_log()[-800:]}"
                ) from None

    async def end(self) -> None:
        """Ends all processes."""
        for node in self.nodes:
            node.kill()
        for node in self.nodes:
            await node.end()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for node in self.nodes:
                path = pathlib.Path(logs) / f"{node.name}.log"
                path.write_text(node.read_log())


def find_network() -> str:
    """Returns the first parts of loopback addresses that nobody uses.

    The port of the metrics is fixed, so that two runs must not share them.
    """
    while True:
        network = f"127.{random.SystemRandom().randrange(20, 220)}.3"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"{network}.1", METRICS_PORT))
            return network


def make_configuration(
    version: int,
    routes: list[dict[str, object]],
    services: list[dict[str, object]],
    keys: tuple[str, ...] = (clients.KEY,),
) -> dict[str, object]:
    """Returns a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": list(keys), "priority": 1}],
    }


def make_route(
    name: str, prefix: str, kind: str, service: str, **fields: object
) -> dict[str, object]:
    """Returns a route to a plain service, with the times of the sheet."""
    return {
        "name": name,
        "host": clients.HOST,
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": 800,
        "targetLatencyMs": 300,
        "priority": 2,
        "service": service,
        "maxAttempts": 1 if kind == "non_idempotent" else 2,
        "anonymous": False,
        **fields,
    }


def make_service(name: str, connections: int = 334) -> dict[str, object]:
    """Returns a plain service."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": connections,
        "protocol": "h1",
        "tls": False,
    }


@contextlib.asynccontextmanager
async def open_scene(record: pathlib.Path) -> AsyncIterator[Scene]:
    """Yields a scene; all processes are ended with the context."""
    with tempfile.TemporaryDirectory() as name:
        scene = Scene(record, pathlib.Path(name))
        try:
            yield scene
        finally:
            await scene.end()


def run(play: Callable[[], object]) -> None:
    """Plays a case and exits with its result.

    Args:
      play: a coroutine function that returns whether the rule held.
    """

    async def limit() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # Ends the processes also when the script itself is stopped.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            return bool(await play())  # type: ignore[misc]

    try:
        held = asyncio.run(limit())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if held else 1)
