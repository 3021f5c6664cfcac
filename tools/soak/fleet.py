"""The entry instances: processes of the real program."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import sys

from rhubarblock.platform import names
from tools.soak import coldwatch
from tools.soak import evidence as evidences
from tools.soak import partitionedstart

# Seconds after the stop signal in which an instance still gets new connections:
# a load balancer that probes once a second notices the stop only after two
# failed probes.
BALANCER_DELAY_S = 2.0
# Milliseconds within which an evacuation must be in force.
EVACUATE_MS = 5_000
# First and last port of the instances.
PORTS = (10_000, 32_000)
# Lines of the log of an instance that does not start.
LAST_LINES = 20

SETTINGS = """\
nodeName = "{name}"
ip = "{ip}"
zone = "{data_centre}"
internalPortRange = [{peers},{last}]
[listen]
front = "{ip}:{front}"
readyAddr = "{ip}:{ready}"
[limits]
maxFds = 4000
[bounds]
drainMs = 2000
graceS = 6
revokeMs = {revoke_ms}
evacuateMs = {evacuate_ms}
retryBudgetRatio = 0.2
retryBudgetSlack = 100
budgetWindowS = 10
maxHoldMs = 20000
idleMaxMs = 9000
{cold_bounds}[platformSettings]
address = "127.0.0.1:{store}"
"""


class SoakInstance:
    """One instance: a process that is started again whenever it ends.

    Attributes:
      front: port for callers.
      process: the present process.
      stop_signalled_s: when it got the signal of a planned stop; None once it
        is back.
    """

    def __init__(
        self,
        network: int,
        number: int,
        data_centre: str,
        store_port: int,
        revoke_s: float,
        folder: pathlib.Path,
    ):
        # Each instance has its own address because the metrics port is fixed;
        # seeds that run concurrently use different networks.
        self.ip = f"127.{network}.7.{number + 1}"
        self.front = _find_ports(self.ip, 4)
        ready, peers = self.front + 1, self.front + 2
        self.process: asyncio.subprocess.Process | None = None
        self.stop_signalled_s: float | None = None
        self._path = folder / f"{number}.toml"
        self._log = folder / f"{number}.log"
        self._partition = folder / f"{number}.partition"
        self._partition.write_text("")
        self._store_port = store_port
        self._path.write_text(
            SETTINGS.format(
                name=f"edge-{number}",
                ip=self.ip,
                data_centre=data_centre,
                front=self.front,
                ready=ready,
                peers=peers,
                last=peers + 1,
                revoke_ms=round(revoke_s * 1e3),
                evacuate_ms=EVACUATE_MS,
                cold_bounds=coldwatch.BOUNDS,
                store=store_port,
            )
        )
        self.ready_url = f"http://{self.ip}:{ready}/"

    async def run(self, stop: asyncio.Event) -> None:
        """Runs the program again and again until `stop` is set."""
        env = {
            **os.environ,
            names.SETTINGS_VARIABLE: str(self._path),
            partitionedstart.PARTITION_VARIABLE: str(self._partition),
            partitionedstart.STORE_VARIABLE: str(self._store_port),
        }
        with self._log.open("ab") as log:
            while not stop.is_set():
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "tools.soak.partitionedstart",
                    stdout=log,
                    stderr=log,
                    env=env,
                )
                try:
                    await self.process.wait()
                finally:
                    # Leaves no process behind if the soak itself is cancelled.
                    self.send(signal.SIGKILL)
                await asyncio.sleep(0.2)

    def partition(self, kind: str) -> None:
        """Cuts the instance from all endpoints; ends it if `kind` is empty."""
        self._partition.write_text(kind)

    def read_log(self) -> str:
        """Returns what the program wrote, at all its starts."""
        return self._log.read_text()

    def read_last_log(self) -> str:
        """Returns the last lines that the program wrote."""
        return "\n".join(self.read_log().splitlines()[-LAST_LINES:])

    @property
    def process_id(self) -> int:
        """Id of the present process; 0 if none runs."""
        if self.process is None or self.process.returncode is not None:
            return 0
        return self.process.pid

    @property
    def is_leaving(self) -> bool:
        """Whether a load balancer has noticed that it is stopping."""
        if self.stop_signalled_s is None:
            return False
        return evidences.read_clock() > self.stop_signalled_s + BALANCER_DELAY_S

    def stop_gracefully(self) -> None:
        """Sends the present process the signal of a planned stop."""
        self.stop_signalled_s = evidences.read_clock()
        self.send(signal.SIGTERM)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the present process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


def _find_ports(ip: str, count: int) -> int:
    """Returns the first of some consecutive free ports.

    They are below the ports that the kernel gives to outgoing connections,
    which could take them before the instance listens there.
    """
    while True:
        first = random.SystemRandom().randrange(*PORTS)
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = stack.enter_context(socket.socket(type=kind))
                    probe.bind((ip, port))
            return first
