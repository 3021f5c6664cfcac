"""Open connections to the store go silent while servers are replaced."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import clients  # noqa: E402
from common import scene as scenes  # noqa: E402
from common import servers  # noqa: E402
from common import wire  # noqa: E402

SERVICE = "lager-app"
PREFIX = "/puxa403/"
NODES = 6
SERVERS = 16
# Requests a second at each node, and the seconds that one takes.
RATE = 25.0
WORK_S = 0.09
# A release of 7 of the 16 servers, one after the other. The connections go
# silent once, between two steps, so that the last two of its steps lie over
# three seconds later.
REPLACED = 7
GAP_S = 1.1
SILENT_AFTER = 2
SILENT_LAG_S = 0.25
# What a server serves beyond its announced time.
LINGER_S = 0.5
REST_S = 12.0


class Release:
    """The servers of a service are replaced one after the other."""

    def __init__(self, scene: scenes.Scene):
        self.scene = scene
        self.old: list[servers.Server] = []
        self.new: list[servers.Server] = []
        self.acked_s: dict[str, float] = {}
        self.ended_s: dict[str, float] = {}
        self.silent_s: float | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def add(self, number: int) -> servers.Server:
        """Starts a server."""
        server = servers.Server(
            self.scene.store,
            SERVICE,
            scenes.ZONES[number % len(scenes.ZONES)],
            f"{self.scene.network}.{60 + number}",
        )
        server.work_s = WORK_S
        await server.start()
        return server

    async def run(self) -> None:
        """Replaces servers; connections go silent between two steps."""
        for step in range(REPLACED):
            self.new.append(await self.add(SERVERS + step))
            self._tasks.append(
                asyncio.ensure_future(self._drain(self.old[step]))
            )
            if step == SILENT_AFTER and scenes.TROUBLE:
                await asyncio.sleep(SILENT_LAG_S)
                self._silence()
                await asyncio.sleep(GAP_S - SILENT_LAG_S)
            else:
                await asyncio.sleep(GAP_S)
        await asyncio.gather(*self._tasks)

    def _silence(self) -> None:
        counts = [way.silence() for way in self.scene.relays]
        self.silent_s = wire.now()
        self.scene.note(f"open connections to the store go silent: {counts}")

    async def _drain(self, server: servers.Server) -> None:
        self.acked_s[server.id] = server.write_entry("draining")
        self.scene.note(f"acknowledged: {server.id} is draining")
        await asyncio.sleep(scenes.DRAIN_S + LINGER_S)
        server.stop()
        self.ended_s[server.id] = wire.now()
        self.scene.store.remove(f"servers/{server.id}")
        self.scene.note(f"{server.id} has ended")

    def list_late(self) -> list[tuple[servers.Server, float, str]]:
        """Returns the requests that break the rule."""
        late = []
        for server in self.old[:REPLACED]:
            acked_s = self.acked_s[server.id]
            is_counted = (
                self.silent_s is None
                or acked_s < self.silent_s
                or acked_s >= self.silent_s + scenes.STABILITY_S
            )
            for at_s, attempt, _ in server.arrivals:
                if self._is_touched(at_s) or not is_counted:
                    continue
                if at_s > acked_s + scenes.DRAIN_S:
                    late.append((server, at_s - acked_s, attempt))
        return late

    def _is_touched(self, at_s: float) -> bool:
        """Returns whether the machines are out of touch at a moment."""
        if self.silent_s is None:
            return False
        return self.silent_s <= at_s < self.silent_s + scenes.STABILITY_S


async def play() -> bool:
    """Plays one release; returns whether the rule held."""
    async with scenes.open_scene(FOLDER / "record.txt") as scene:
        scene.store.put(
            "config/main",
            scenes.make_configuration(
                7,
                [scenes.make_route("r-b", PREFIX, "non_idempotent", SERVICE)],
                [scenes.make_service(SERVICE)],
            ),
        )
        await scene.open_store(NODES)
        release = Release(scene)
        for number in range(SERVERS):
            release.old.append(await release.add(number))
        await scene.start_nodes()
        scene.note(f"{NODES} nodes are ready")
        sent: list[clients.Sent] = []
        loads = [
            asyncio.ensure_future(
                clients.send_often(
                    node, RATE, sent, "POST", f"{PREFIX}2f", b"x" * 600
                )
            )
            for node in scene.nodes
        ]
        await asyncio.sleep(REST_S)
        await release.run()
        await asyncio.sleep(2.0)
        for load in loads:
            load.cancel()
        return report(scene, release, sent)


def report(
    scene: scenes.Scene, release: Release, sent: list[clients.Sent]
) -> bool:
    """Records what was sent, answered and run; returns whether it held."""
    by_attempt = {one.attempt: one for one in sent}
    counts: dict[int, int] = {}
    for one in sent:
        counts[one.status] = counts.get(one.status, 0) + 1
    runs = sum(len(s.runs) for s in release.old + release.new)
    scene.note(f"sent {len(sent)}, run {runs}, answers by status {counts}")
    if len(sent) - counts.get(200, 0) > len(sent) // 2:
        raise scenes.CaseError("most requests were not served")
    late = release.list_late()
    for server, after_s, attempt in late:
        one = by_attempt.get(attempt)
        scene.note(
            f"LATE {attempt} reached {server.id} {after_s:.3f} s after the "
            f"acknowledgement, from {one.node if one else '?'}, "
            f"answer {one.status if one else '?'}"
        )
    for server in release.old[:REPLACED]:
        for at_s, attempt in server.runs:
            one = by_attempt.get(attempt)
            if one is not None and one.status not in (200,):
                scene.note(
                    f"LOST {attempt} ran at {server.id} "
                    f"{at_s - release.acked_s[server.id]:.3f} s after the "
                    f"acknowledgement and was answered {one.status}"
                )
    scene.note(f"requests that broke the rule: {len(late)}")
    return not late


scenes.run(play)
