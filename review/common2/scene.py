"""Runs a case and turns its result into an exit status."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
import pathlib
import signal
import sys
import tempfile

from common2 import clients
from common2 import fleet
from common2 import record as records
from common2 import store as stores

HELD, BROKEN, FAILED_TO_RUN = 0, 1, 2

ZONES = ("halle-steyr", "halle-liezen", "halle-admont")


class Scene:
    """The store, the processes and the record of one case.

    Attributes:
      is_troubled: whether the disruption takes place.
      record: the record.
      store: the platform's store.
      folder: a temporary folder.
      instances: the processes that were started.
    """

    def __init__(self, folder: pathlib.Path, record_path: pathlib.Path):
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.record = records.Record(record_path)
        self.store = stores.Store()
        self.folder = folder
        self.instances: list[fleet.Instance] = []
        self._network = fleet.find_network()

    async def add_instance(self, zone: str, store: str) -> fleet.Instance:
        """Starts an instance."""
        number = len(self.instances) + 1
        instance = fleet.Instance(
            self._network, number, zone, store, self.folder, self.record
        )
        self.instances.append(instance)
        await instance.start()
        return instance

    async def end(self) -> None:
        """Ends all processes."""
        for instance in self.instances:
            await instance.end()


def make_route(
    name: str, path: str, kind: str, service: str, **other: object
) -> dict[str, object]:
    """Returns a route of a configuration."""
    return {
        "name": name,
        "host": clients.HOST,
        "pathPrefix": path,
        "routeKind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "anonymous": False,
        **other,
    }


def make_service(name: str, **other: object) -> dict[str, object]:
    """Returns a plain service of a configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 100,
        "protocol": "h1",
        "tls": False,
        **other,
    }


def make_engines(name: str) -> dict[str, object]:
    """Returns a service of model servers, with the sheet's cost model."""
    return make_service(
        name,
        maxConnections=334,
        engine={
            "slots": 8,
            "kvCapacityTokens": 450_000,
            "kvTokenBytes": 327_680,
            "linkMbps": 400_000.0,
            "stride": 46,
            "models": [{"name": "m"}],
            "step_ms": 0.925,
            "per_seq_ms": 0.00966,
            "context_per_k": 0.00254,
            "read_per_s": 256_000.0,
            "pairs_per_m": 0.0917,
            "chunk": 2048,
            "report_lag_ms": 200.0,
            "loadsPerS": 0.0,
            "loads_at_once": 8,
            "delays": [],
            "usual": {"prompt": 13_227, "answer": 1_541},
            "hopMs": 0.1,
        },
    )


def make_streaming_route(
    name: str, path: str, service: str, **other: object
) -> dict[str, object]:
    """Returns a route of streams that may be resumed."""
    return make_route(
        name,
        path,
        "streaming",
        service,
        **{
            "timeoutMs": 10_000,
            "targetLatencyMs": 300,
            "stickySessions": True,
            "streamResume": True,
            "gapTargetMs": 200,
            **other,
        },
    )


def make_configuration(version: int, routes: list, services: list) -> dict:
    """Returns a configuration with one tenant."""
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
        "tenants": [
            {"name": "hule930", "apiKeys": [clients.KEY], "priority": 1}
        ],
    }


def run(case: Callable[[Scene], Awaitable[bool]], path: str) -> None:
    """Runs a case, which returns whether the rule held, and exits."""

    async def main() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        # Ends the processes also if the case itself is ended.
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        record_path = pathlib.Path(path).parent / "record.txt"
        with tempfile.TemporaryDirectory() as folder:
            scene = Scene(pathlib.Path(folder), record_path)
            try:
                async with asyncio.timeout(110.0):
                    held = await case(scene)
            except (Exception, asyncio.CancelledError) as error:
                scene.record.note(f"the case could not run: {error!r}")
                print(f"could not run: {error!r}")
                return FAILED_TO_RUN
            finally:
                with contextlib.suppress(Exception):
                    await scene.end()
        text = "the rule held" if held else "the rule was broken"
        scene.record.note(text)
        print(text)
        return HELD if held else BROKEN

    sys.exit(asyncio.run(main()))
