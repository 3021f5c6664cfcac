"""Complete instances, some of which are partitioned from all endpoints."""

import asyncio
import contextlib
import contextvars
import dataclasses
import random
import socket
import struct

import aiohttp
import pytest

from rhubarblock.core import listed
from rhubarblock.core import route as routes
from rhubarblock.daemon import endpointlimit_test as fleetfixtures
from rhubarblock.daemon import exchangeinstance
from rhubarblock.daemon import exchangeinstance_test as instancefixtures
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import connector as connectors
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import outcomes
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.platform import leaseclient
from rhubarblock.platform import names
from rhubarblock.platform import objectstore
from rhubarblock.store import store as stores

ENDPOINT_COUNT = 3
# First tries per instance before and after the partition counts.
EARLY_TRIES = 4
TRIES = 30
# Smallest ratio of the share of first tries that partitioned instances serve to
# that of the others.
MIN_RATIO = 2 / 3
# Seconds for which a sound endpoint may be silent.
SILENCE_S = 1.2

# The network of the instance that the running task belongs to.
_network = contextvars.ContextVar("network", default=None)


class Network:
    """The network between one instance and all others.

    Attributes:
      refusal: how connections to endpoints fail: "hang" or an exception; None
        while the network is whole.
      is_isolated: whether the store and all peers are cut off.
    """

    def __init__(self):
        self.refusal = None
        self.is_isolated = False

    async def cross(self):
        """Returns once a connection may be opened."""
        if self.refusal == "hang":
            await asyncio.Event().wait()
        if self.refusal is not None:
            raise self.refusal

    async def cross_to_peer(self):
        """Returns once a connection to a peer may be opened."""
        if self.is_isolated:
            await asyncio.Event().wait()


class IsolatingStore(fleetfixtures.FleetStore):
    """Fails at instances that are isolated."""

    async def read(self, name):
        network = _network.get()
        if network is not None and network.is_isolated:
            await asyncio.sleep(objectstore.CALL_TIMEOUT_S)
            raise stores.StoreError(stores.StoreErrorKind.UNAVAILABLE)
        return await super().read(name)


class KindDialect(instancefixtures.FakeDialect):
    """Has a single route of one kind."""

    def __init__(self, kind):
        super().__init__()
        self.kind = kind

    def change_table(self, before, document, difference):
        table = super().change_table(before, document, difference)
        route = fakes.make_route(self.kind, timeout_s=20.0, objective_s=5.0)
        return dataclasses.replace(table, routes=routes.RouteIndex([route]))


class Fleet:
    """Instances that share a store and endpoints.

    Attributes:
      instances: the instances.
      networks: the network of each instance.
      leases: the client of each instance for memory at engines.
      session: session of the callers.
      endpoints: the endpoints.
      store: the store.
    """

    def __init__(self, session, endpoints, store):
        self.session = session
        self.endpoints = endpoints
        self.instances = []
        self.networks = []
        self.leases = []
        self._contexts = []
        self.store = store
        self._running = []
        self._stops = []

    async def start(
        self,
        kind=routes.RouteKind.NON_IDEMPOTENT,
        centre=None,
        peer_count=None,
        bounds=fakes.BOUNDS,
    ):
        """Starts one more instance and waits until it knows its peers."""
        number = len(self.instances)
        if peer_count is None:
            peer_count = number
        settings = instancefixtures.make_settings(f"i{number}", bounds)
        if centre is not None:
            settings = dataclasses.replace(settings, data_centre=centre)
        instance = exchangeinstance.ExchangeInstance(
            settings,
            KindDialect(kind),
            lambda session, metrics, eras: self.store,
            self._make_leases,
            names.ATTEMPT_ID,
            random.Random(number),
        )
        network = Network()
        stop = asyncio.Event()
        context = contextvars.copy_context()
        context.run(_network.set, network)
        running = asyncio.create_task(instance.run(stop), context=context)
        self.instances.append(instance)
        self._contexts.append(context)
        self.networks.append(network)
        self._running.append(running)
        self._stops.append(stop)
        while (
            await instancefixtures.ask_ready(self.session, settings) != 200
            or instance.peers.count_instances() <= peer_count
        ):
            assert not running.done(), running
            await asyncio.sleep(0.01)

    def _make_leases(self, session):
        self.leases.append(leaseclient.PlatformLeaseClient(session))
        return fakes.NoLeases()

    async def run(self, number, coroutine):
        """Runs a coroutine in the network of an instance."""
        context = self._contexts[number]
        return await asyncio.create_task(coroutine, context=context)

    async def stop(self, number):
        """Stops an instance as planned."""
        self._stops[number].set()
        await self._running[number]

    async def stop_all(self):
        for number in range(len(self.instances)):
            await self.stop(number)

    async def ask(self, number):
        """Sends a request to an instance; returns its status."""
        url = f"http://{self.instances[number].settings.callers}/a/x"
        return await fleetfixtures.ask(self.session, url)

    async def ask_whole(self, number):
        """Sends a request to an instance; returns status and headers."""
        url = f"http://{self.instances[number].settings.callers}/a/x"
        headers = instancefixtures.HEADERS
        async with self.session.post(url, headers=headers) as answer:
            return answer.status, answer.headers

    async def count_served(self, number, tries):
        """Returns how many first tries an instance serves."""
        statuses = [await self.ask(number) for _ in range(tries)]
        return statuses.count(200)


class CutEndpoint(fleetfixtures.CountingEndpoint):
    """Loses the connections that are open at a moment.

    Attributes:
      answering: set while requests are answered.
    """

    def __init__(self):
        super().__init__()
        self.answering = asyncio.Event()
        self.answering.set()
        self._open = set()
        self._silent = set()

    def cut_open_connections(self):
        self._silent |= self._open

    def reset_open_connections(self):
        for writer in self._open:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if writer in self._silent:
                    await asyncio.Event().wait()
                self.heads.append(head)
                await self.answering.wait()
                await fakes.whole(b"ok")(head, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def open_fleet(
    kind=routes.RouteKind.NON_IDEMPOTENT, count=3, endpoints=()
):
    """Runs a fleet, before endpoints that serve everything by default."""
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect
    async with contextlib.AsyncExitStack() as stack:
        endpoints = endpoints or [
            fleetfixtures.CountingEndpoint() for _ in range(ENDPOINT_COUNT)
        ]
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint.open())
        ports = {int(e.address.rpartition(":")[2]) for e in endpoints}

        async def connect_over_network(sock, address):
            network = _network.get()
            if network is not None:
                is_endpoint = address[1] in ports
                cross = network.cross if is_endpoint else network.cross_to_peer
                await cross()
            await connect(sock, address)

        loop.sock_connect = connect_over_network
        session = await stack.enter_async_context(aiohttp.ClientSession())
        fleet = Fleet(session, endpoints, IsolatingStore(*endpoints))
        stack.push_async_callback(fleet.stop_all)
        for _ in range(count):
            await fleet.start(kind)
        yield fleet


@pytest.fixture(autouse=True)
def set_times(monkeypatch):
    """Stops instances quickly, and lets a busy machine open connections."""
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.05)
    monkeypatch.setattr(connectors, "CONNECT_TIMEOUT_S", 2.0)


@pytest.mark.parametrize(
    "refusal",
    ["hang", ConnectionRefusedError(111, "refused"), ConnectionResetError()],
    ids=["hang", "refused", "reset"],
)
@pytest.mark.parametrize("partitioned", [[0], [0, 1]], ids=["one", "most"])
def test_partitioned_instances_serve_first_tries_like_the_others(
    refusal, partitioned
):
    async def main():
        async with open_fleet() as fleet:
            for number in partitioned:
                fleet.networks[number].refusal = refusal
            for number in partitioned:
                await fleet.count_served(number, EARLY_TRIES)
            return [await fleet.count_served(n, TRIES) for n in range(3)]

    served = asyncio.run(main())
    assert served[2] == TRIES
    assert min(served[n] for n in partitioned) >= MIN_RATIO * served[2]


def test_partitioned_instance_sets_memory_aside_through_a_peer():
    # Answers to orders echo no id of a request.
    answer = fakes.whole(b"{}", request_id="")

    async def main():
        endpoints = [fakes.ScriptedEndpoint(answer, answer)]
        async with open_fleet(count=2, endpoints=endpoints) as fleet:
            fleet.networks[0].refusal = "hang"
            engine = listed.ListedEndpoint(
                "e1", fleet.endpoints[0].address, "osu-hall", "desk", 8, False
            )
            order = dialects.LeaseRequest("t1", 1000, 2.0)
            client = fleet.leases[0]
            return [
                await fleet.run(0, client.reserve(engine, order)),
                await fleet.run(0, client.release(engine, "t1")),
            ]

    replies = asyncio.run(main())
    assert [r.answer for r in replies] == [dialects.LeaseAnswer.DONE] * 2


def test_requests_leave_kept_connections_on_a_lost_path():
    async def main():
        endpoints = [CutEndpoint() for _ in range(ENDPOINT_COUNT)]
        kind = routes.RouteKind.IDEMPOTENT
        async with open_fleet(kind, 2, endpoints) as fleet:
            await asyncio.gather(*(fleet.ask(0) for _ in range(TRIES)))
            fleet.networks[0].refusal = "hang"
            for endpoint in endpoints:
                endpoint.cut_open_connections()
            served = await fleet.count_served(0, TRIES)
            tripped = [
                instance.health.is_tripped(f"e{number + 1}")
                for instance in fleet.instances
                for number in range(ENDPOINT_COUNT)
            ]
            return served, tripped

    served, tripped = asyncio.run(main())
    assert served == TRIES
    # Sound endpoints are blamed neither here nor at the peer.
    assert not any(tripped)


def test_requests_that_no_instance_can_serve_are_refused_at_once():
    async def main():
        async with open_fleet() as fleet:
            for network in fleet.networks:
                network.refusal = ConnectionResetError()
            for number in range(3):
                await fleet.count_served(number, EARLY_TRIES)
            refusals = [await fleet.ask_whole(0) for _ in range(TRIES)]
            attempts = fleet.instances[0].metrics.counts["exchange.placed"]
            for network in fleet.networks:
                network.refusal = None
            await asyncio.sleep(endpoint_paths.TRIAL_S)
            served = [await fleet.count_served(n, TRIES) for n in range(3)]
            return refusals, attempts, served

    refusals, attempts, served = asyncio.run(main())
    for status, headers in refusals:
        assert status == 503
        assert headers["X-Verdict"] == "NOT_RUN"
        assert float(headers["Retry-After"]) > 0.0
    # Nearly all of them were refused without an attempt.
    assert attempts < TRIES
    assert served == [TRIES] * 3


def test_broken_connections_on_a_lost_path_are_not_announced():
    async def main():
        endpoints = [CutEndpoint() for _ in range(ENDPOINT_COUNT)]
        kind = routes.RouteKind.IDEMPOTENT
        async with open_fleet(kind, 2, endpoints) as fleet:
            for endpoint in endpoints:
                endpoint.answering.clear()
            asking = [asyncio.create_task(fleet.ask(0)) for _ in range(6)]
            while not all(endpoint.heads for endpoint in endpoints):
                await asyncio.sleep(0.01)
            fleet.networks[0].refusal = ConnectionResetError()
            for endpoint in endpoints:
                endpoint.reset_open_connections()
                endpoint.answering.set()
            await asyncio.gather(*asking)
            await asyncio.sleep(2 * outcomes.ANNOUNCE_DELAY_S)
            return [
                fleet.instances[1].health.is_tripped(f"e{number + 1}")
                for number in range(ENDPOINT_COUNT)
            ]

    assert not any(asyncio.run(main()))


def test_kept_connections_that_outlive_the_path_are_used():
    async def main():
        async with open_fleet(count=2) as fleet:
            await fleet.count_served(0, EARLY_TRIES)
            fleet.networks[0].refusal = ConnectionRefusedError(111, "refused")
            served = await fleet.count_served(0, TRIES)
            tunnels = fleet.instances[1].metrics.counts
            return served, tunnels.get("tunnels.served.opened", 0)

    served, tunnels = asyncio.run(main())
    assert served == TRIES
    # Only endpoints without a kept connection need a peer.
    assert tunnels <= ENDPOINT_COUNT


async def hold_request(fleet):
    """Sends a request that a peer forwards, and that waits for its answer."""
    fleet.networks[0].refusal = "hang"
    for endpoint in fleet.endpoints:
        endpoint.answering.clear()
    asking = asyncio.create_task(fleet.ask_whole(0))
    while not any(endpoint.heads for endpoint in fleet.endpoints):
        await asyncio.sleep(0.01)
    return asking


def test_stopping_peer_finishes_the_requests_that_it_forwards():
    async def main():
        endpoints = [CutEndpoint() for _ in range(ENDPOINT_COUNT)]
        async with open_fleet(count=2, endpoints=endpoints) as fleet:
            asking = await hold_request(fleet)
            stopping = asyncio.create_task(fleet.stop(1))
            await asyncio.sleep(4 * plannedstop.LAME_DUCK_S)
            was_stopping = not stopping.done()
            for endpoint in endpoints:
                endpoint.answering.set()
            status, _ = await asking
            return was_stopping, status

    assert asyncio.run(main()) == (True, 200)


def test_request_that_a_lost_peer_forwarded_is_not_sent_again():
    async def main():
        endpoints = [CutEndpoint() for _ in range(ENDPOINT_COUNT)]
        async with open_fleet(endpoints=endpoints) as fleet:
            asking = await hold_request(fleet)
            for instance in fleet.instances:
                instance.tunnels.abort()
            status, headers = await asking
            for endpoint in endpoints:
                endpoint.answering.set()
            heads = [head for endpoint in endpoints for head in endpoint.heads]
            return status, headers["X-Verdict"], len(heads)

    assert asyncio.run(main()) == (502, "MAY_HAVE_RUN", 1)


async def write_unframed(writer):
    """Writes an answer without length or chunks, up to its end."""
    writer.write(
        f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: q1\r\n"
        f"{names.SEAL}: s\r\n\r\nbody".encode()
    )
    await writer.drain()


def test_answer_that_ends_with_its_connection_is_whole_through_a_peer():
    async def unframed(head, writer):
        await write_unframed(writer)
        raise ConnectionError

    async def main():
        endpoints = [fakes.ScriptedEndpoint(unframed, unframed)]
        async with open_fleet(count=2, endpoints=endpoints) as fleet:
            direct, _ = await fleet.ask_whole(0)
            fleet.networks[0].refusal = "hang"
            relayed, _ = await fleet.ask_whole(0)
            return direct, relayed

    assert asyncio.run(main()) == (200, 200)


def test_answer_without_length_is_not_whole_if_the_peer_ends():
    written = asyncio.Event()

    async def unframed(head, writer):
        await write_unframed(writer)
        written.set()
        await asyncio.Event().wait()

    async def main():
        endpoints = [fakes.ScriptedEndpoint(unframed)]
        async with open_fleet(count=2, endpoints=endpoints) as fleet:
            fleet.networks[0].refusal = "hang"
            asking = asyncio.create_task(fleet.ask_whole(0))
            await written.wait()
            await asyncio.sleep(0.05)
            for tunnel in fleet.instances[1].tunnels._tunnels:
                # As the kernel does when a process is killed.
                tunnel.peer_end.transport.close()
            status, headers = await asking
            return status, headers["X-Verdict"]

    assert asyncio.run(main()) == (502, "MAY_HAVE_RUN")


def test_answer_without_length_that_is_reset_is_not_whole_through_a_peer():
    async def unframed(head, writer):
        await write_unframed(writer)
        await asyncio.sleep(0.05)
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    async def main():
        endpoints = [fakes.ScriptedEndpoint(unframed)]
        async with open_fleet(count=2, endpoints=endpoints) as fleet:
            fleet.networks[0].refusal = "hang"
            status, headers = await fleet.ask_whole(0)
            return status, headers["X-Verdict"]

    assert asyncio.run(main()) == (502, "MAY_HAVE_RUN")


def test_endpoint_that_is_silent_for_a_second_keeps_its_request():
    async def main():
        endpoints = [CutEndpoint() for _ in range(ENDPOINT_COUNT)]
        async with open_fleet(count=2, endpoints=endpoints) as fleet:
            for endpoint in endpoints:
                endpoint.answering.clear()
            asking = asyncio.create_task(fleet.ask_whole(0))
            await asyncio.sleep(SILENCE_S)
            for endpoint in endpoints:
                endpoint.answering.set()
            status, _ = await asking
            paths = fleet.instances[0].paths.find_service("desk")
            heads = [head for endpoint in endpoints for head in endpoint.heads]
            return status, len(heads), paths.partitioned_s

    assert asyncio.run(main()) == (200, 1, None)
