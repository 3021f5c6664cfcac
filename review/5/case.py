"""A watch goes silent, and a server that has left still gets requests."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common2 import clients
from common2 import proxy as proxies
from common2 import scene as scenes
from common2 import servers

# From the sheet: stabilityWindowMs and drainMs, in seconds.
STABILITY_S = 3.0
DRAIN_S = 2.0
# Seconds after the acknowledgement for which a server that leaves still serves:
# drainMs and "a little longer (at times many seconds)".
SERVES_S = 3.5
SERVICE = "lager-app"
CLIENTS = 8


async def keep_asking(client: clients.Client, stop: asyncio.Event) -> None:
    """Books docks, one request after the other."""
    while not stop.is_set():
        answer = await client.ask("POST", "/puxa403/2f", 1.5, b"x" * 600)
        if answer is None:
            client.close()
        await asyncio.sleep(0.05)


async def find_watch(proxy: proxies.Proxy) -> proxies.Link:
    """Returns the connection on which a watch of the servers has just begun."""
    counts = {link: link.requests for link in proxy.links}
    while True:
        await asyncio.sleep(0.01)
        for link in proxy.links:
            is_watch = "/objects/servers?watch=" in link.first_line
            is_new = link.requests != counts.get(link)
            if link.is_open and is_watch and is_new:
                return link


async def case(scene: scenes.Scene) -> bool:
    """Returns whether the rule held."""
    record, store = scene.record, scene.store
    store_port = await store.serve("127.0.0.1")
    proxy = proxies.Proxy("127.0.0.1", store_port)
    proxy_port = await proxy.serve("127.0.0.1")
    store.put(
        "config/main",
        scenes.make_configuration(
            7,
            [scenes.make_route("r-1", "/puxa403/", "non_idempotent", SERVICE)],
            [scenes.make_service(SERVICE)],
        ),
    )
    pool = [servers.Server(SERVICE, z, store, record) for z in scenes.ZONES]
    for server in pool:
        await server.start("127.0.0.1")
    instance = await scene.add_instance(
        "halle-steyr", f"127.0.0.1:{proxy_port}"
    )
    await instance.wait_ready()
    stop = asyncio.Event()
    callers = [
        clients.Client(instance.ip, instance.front, record)
        for _ in range(CLIENTS)
    ]
    asking = [asyncio.create_task(keep_asking(c, stop)) for c in callers]
    await asyncio.sleep(5.0)
    watch = await find_watch(proxy)
    silent_s = record.now_s()
    if scene.is_troubled:
        watch.is_silent = True
        record.note("the connection of the watch goes silent for good")
    # A planned release: the new server starts first, the old one drains.
    await asyncio.sleep(0.4)
    new = servers.Server(SERVICE, scenes.ZONES[0], store, record)
    await new.start("127.0.0.1")
    await asyncio.sleep(0.1)
    old = pool[0]
    old.register("draining")
    left_s = record.now_s()
    await asyncio.sleep(SERVES_S)
    old.exit()
    await asyncio.sleep(4.0)
    stop.set()
    await asyncio.gather(*asking)
    instance.send(signal.SIGTERM)
    await asyncio.sleep(1.0)
    bound_s = max(left_s + DRAIN_S, silent_s + STABILITY_S)
    late = [attempt for at_s, attempt in old.ran if at_s > bound_s]
    answers = [a for c in callers for a in c.answers]
    lost = [a for a in answers if a[2] != 200 and a[1] > bound_s]
    record.note(
        f"{len(late)} requests reached {old.server_id} later than {bound_s:.3f}"
        f" s; {len(lost)} of those sent since then have no success"
    )
    print(f"{len(late)} late requests, {len(lost)} without a success")
    return not late


if __name__ == "__main__":
    scenes.run(case, __file__)
