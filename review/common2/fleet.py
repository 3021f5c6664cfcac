"""The program as separate processes, with settings of a small deployment."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket

from common2 import record as records

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The `run` of deploy/system.toml.
COMMAND = ("python3", "-S", "-m", "rhubarblock.scripts.edgestart")
PORTS = (12_000, 30_000)
# Port of the metrics, as in deploy/system.toml.
METRICS_PORT = 9464
MOST_INSTANCES = 9

SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "ennstal"
internalPortRange = [{peers},{last}]
seedAddresses = []
bootstrap = false
countsAsLoss = false
discovery = "platform"
entryKind = "virtual_ip"
heartbeatMs = 1200
[zones]
halle-steyr = "ennstal"
halle-liezen = "ennstal"
halle-admont = "ennstal"
osu-hall = "accra"
[listen]
front = "{ip}:{front}"
readyAddr = "{ip}:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stabilityWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 100
recoveryS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
maxHoldMs = 20000
freeMs = 4000
idleMaxMs = 9000
[platformSettings]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""


class Instance:
    """One process of the program.

    Attributes:
      name: name of its machine.
      ip: address of its machine.
      front: port for clients.
      process: the process.
    """

    def __init__(
        self,
        network: str,
        number: int,
        zone: str,
        store: str,
        folder: pathlib.Path,
        record: records.Record,
    ):
        self.name = f"edge-{zone}-{number}"
        self.ip = f"{network}.{number}"
        self.front = _find_ports(self.ip, 4)
        self.process: asyncio.subprocess.Process
        self._record = record
        self._settings = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=zone,
                front=self.front,
                ready=self.front + 1,
                peers=self.front + 2,
                last=self.front + 3,
                store=store,
            )
        )

    async def start(self) -> None:
        """Starts the process."""
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "RHUBARBLOCK_BOOT": str(self._settings),
                },
            )
        self._record.note(f"{self.name} is started")

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until it counts as ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)
        self._record.note(f"{self.name} is ready")

    async def is_ready(self) -> bool:
        """Returns whether its readiness is answered with 200."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.front + 1
                )
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        return False

    def send(self, number: signal.Signals) -> None:
        """Sends a signal."""
        self._record.note(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


def find_network() -> str:
    """Returns the start of loopback addresses that no other case uses.

    The port of the metrics is fixed, so each process needs its own address.
    """
    rng = random.SystemRandom()
    while True:
        network = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for number in range(1, MOST_INSTANCES + 1):
                probe = stack.enter_context(socket.socket())
                probe.bind((f"{network}.{number}", METRICS_PORT))
            return network


def _find_ports(ip: str, count: int) -> int:
    """Returns the first of some consecutive free ports."""
    while True:
        first = random.SystemRandom().randrange(*PORTS)
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = stack.enter_context(socket.socket(type=kind))
                    probe.bind((ip, port))
            return first
