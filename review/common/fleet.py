"""The project's own program as processes, as the deploy file starts it."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import tomllib

from common import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Ports below those that the kernel gives to outgoing connections.
PORTS = (10_000, 32_000)
START_S = 20.0

# The settings of a small deployment, hofbauer-lager.
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
bootstrap = {bootstrap}
countsAsLoss = false
discovery = "platform"
entryKind = "virtual_ip"
heartbeatMs = 1200
contracts = [
  "base","drain","config","cost","retry","recover",
  "engine","stream","tenants","platform","spans"
]
[zones]
halle-steyr = "ennstal"
halle-liezen = "ennstal"
halle-admont = "ennstal"
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


class Node:
    """One process of the deploy file's role.

    Attributes:
      name: its name.
      ip: its loopback address.
      zone: its zone.
      front: port for clients.
      process: the present process.
    """

    def __init__(
        self, name: str, ip: str, zone: str, store: str, folder: pathlib.Path
    ):
        self.name, self.ip, self.zone = name, ip, zone
        self.front = find_ports(ip, 4)
        self.process: asyncio.subprocess.Process | None = None
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._store = store
        self.write_settings(bootstrap=True)

    def write_settings(self, bootstrap: bool) -> None:
        """Writes the settings file."""
        self._path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                front=self.front,
                ready=self.front + 1,
                peers=self.front + 2,
                last=self.front + 3,
                bootstrap="true" if bootstrap else "false",
                store=self._store,
            )
        )

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RHUBARBLOCK_BOOT": str(self._path),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.write_settings(bootstrap=False)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Asks as the platform does whether it is ready."""
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.front + 1
                )
                writer.write(
                    wire.encode_request("GET", "/readiness", {"Host": "r"})
                )
                message = await wire.read_message(reader)
                writer.close()
                return message is not None and message.status == 200
        return False

    async def wait_ready(self) -> None:
        """Waits until it is ready; raises TimeoutError if that takes long."""
        async with asyncio.timeout(START_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def kill(self) -> None:
        """Kills the process."""
        self.send(signal.SIGKILL)

    async def end(self) -> None:
        """Kills the process and waits for it."""
        self.kill()
        if self.process is not None:
            await self.process.wait()

    def read_log(self) -> str:
        """Returns what the process wrote."""
        return self._log.read_text() if self._log.exists() else ""


def find_ports(ip: str, count: int) -> int:
    """Returns the first of some consecutive free ports."""
    while True:
        first = random.SystemRandom().randrange(*PORTS)
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = stack.enter_context(socket.socket(type=kind))
                    probe.bind((ip, port))
            return first
