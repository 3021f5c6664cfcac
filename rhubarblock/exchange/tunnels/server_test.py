import asyncio
import contextlib

from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.tunnels import server as tunnel_server
from rhubarblock.exchange.tunnels import wire
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service

PAYLOAD = bytes(range(256)) * 20_000


class HttpProtocol(asyncio.Protocol):
    """Stands for the protocol of connections that are no tunnels."""

    def __init__(self):
        self.received = b""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data
        self.transport.write(b"HTTP/1.1 200 OK\r\n\r\n")


class Server:
    """A server for tunnels with one endpoint behind it.

    Attributes:
      address: address of the endpoint.
      tunnels: the server.
      paths: its network paths.
      served: called with reader and writer of the endpoint's connections.
    """

    def __init__(self, peer_host):
        timers = timer_service.LoopTimers()
        metrics = metric_store.Metrics()
        self.directory = directories.Directory(timers)
        self.paths = endpoint_paths.EndpointPaths(
            self.directory.find_at, self.directory.list_usable, timers, metrics
        )
        peers = peer_table.PeerTable("i1", "osu-hall", timers)
        peers.add(peer_host, 1, "i2")
        self.tunnels = tunnel_server.TunnelServer(
            self.directory, peers, self.paths, metrics
        )
        self.address = ""
        self.port = 0
        self.gone = asyncio.Event()

    @contextlib.asynccontextmanager
    async def open(self, serve):
        async def serve_connection(reader, writer):
            try:
                await serve(reader, writer)
            except ConnectionError:
                pass
            finally:
                self.gone.set()
                writer.close()

        endpoint = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: self.tunnels.make_protocol(HttpProtocol), "127.0.0.1", 0
        )
        self.address = format_address(endpoint)
        self.port = listener.sockets[0].getsockname()[1]
        self.directory.update(fakes.make_endpoint(1, self.address))
        try:
            yield self
        finally:
            self.tunnels.abort()
            endpoint.close()
            listener.close()

    async def request(self, head):
        """Sends the head of a request; returns reader, writer and answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(head)
        answer = await reader.readuntil(wire.HEAD_END)
        return reader, writer, answer

    async def connect(self, address=None):
        """Requests a tunnel; returns reader, writer and the reply."""
        head = wire.encode_request(address or self.address)
        reader, writer, answer = await self.request(head)
        return reader, writer, wire.decode_reply(answer)


def format_address(server):
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


async def echo(reader, writer):
    while data := await reader.read(4096):
        writer.write(data)
        await writer.drain()


def run(steps, serve=echo, peer_host="127.0.0.1"):
    async def main():
        async with Server(peer_host).open(serve) as server:
            return await steps(server)

    return asyncio.run(main())


def test_bytes_are_forwarded_both_ways_with_bounded_buffers():
    async def steps(server):
        reader, writer, reply = await server.connect()
        (tunnel,) = server.tunnels._tunnels
        most = 0

        async def watch_buffers():
            nonlocal most
            while True:
                ends = (tunnel.endpoint_end, tunnel.peer_end)
                sizes = [e.transport.get_write_buffer_size() for e in ends]
                most = max(most, *sizes)
                await asyncio.sleep(0)

        watching = asyncio.create_task(watch_buffers())
        writer.write(PAYLOAD)
        echoed = await reader.readexactly(len(PAYLOAD))
        watching.cancel()
        return reply, echoed == PAYLOAD, most

    reply, is_equal, most = run(steps)
    assert reply is wire.Reply.OPENED
    assert is_equal
    assert most <= tunnel_server.WRITE_BYTES + tunnel_server.READ_BYTES


def test_only_peers_get_tunnels():
    async def steps(server):
        return (await server.connect())[2]

    assert run(steps, peer_host="10.0.0.9") is wire.Reply.FORBIDDEN


def test_tunnels_lead_to_listed_endpoints_only():
    async def steps(server):
        return (await server.connect(f"127.0.0.1:{server.port}"))[2]

    assert run(steps) is wire.Reply.FORBIDDEN


def test_malformed_request_is_refused():
    async def steps(server):
        head = b"CONNECT nowhere HTTP/1.1\r\n\r\n"
        _, _, answer = await server.request(head)
        return wire.decode_reply(answer)

    assert run(steps) is wire.Reply.FORBIDDEN


def test_other_requests_are_served_over_http():
    async def steps(server):
        return (await server.request(b"GET / HTTP/1.1\r\n\r\n"))[2]

    assert run(steps).startswith(b"HTTP/1.1 200 ")


def test_failed_connection_blames_the_endpoint_only_with_proof():
    async def steps(server):
        closed = await asyncio.start_server(echo, "127.0.0.1", 0)
        address = format_address(closed)
        closed.close()
        server.directory.update(fakes.make_endpoint(2, address))
        unproven = (await server.connect(address))[2]
        server.paths.find(address).note_received()
        return unproven, (await server.connect(address))[2]

    assert run(steps) == (wire.Reply.UNAVAILABLE, wire.Reply.UNREACHABLE)


def test_partitioned_instance_opens_no_tunnel():
    async def steps(server):
        other = fakes.make_endpoint(2, "127.0.0.1:9")
        server.directory.update(other)
        for address in (server.address, other.address):
            server.paths.find(address).note_failed(address, "timeout")
        return (await server.connect())[2]

    assert run(steps) is wire.Reply.UNAVAILABLE


def test_draining_server_finishes_its_tunnels_and_opens_no_more():
    async def steps(server):
        reader, writer, _ = await server.connect()
        server.tunnels.drain()
        refused = (await server.connect())[2]
        writer.write(b"late")
        echoed = await reader.readexactly(4)
        waiting = asyncio.create_task(server.tunnels.wait_empty())
        await asyncio.sleep(0.01)
        was_waiting = not waiting.done()
        writer.close()
        await waiting
        return refused, echoed, was_waiting

    assert run(steps) == (wire.Reply.UNAVAILABLE, b"late", True)


def test_endpoint_is_left_at_once_when_the_peer_closes():
    async def read_all(reader, writer):
        await reader.read()

    async def steps(server):
        _, writer, _ = await server.connect()
        writer.transport.abort()
        await asyncio.wait_for(server.gone.wait(), 5.0)
        await asyncio.wait_for(server.tunnels.wait_empty(), 5.0)

    run(steps, read_all)


def test_last_bytes_of_an_endpoint_arrive_before_the_end():
    async def send_and_close(reader, writer):
        writer.write(PAYLOAD)
        await writer.drain()

    async def steps(server):
        reader, writer, _ = await server.connect()
        received = await reader.read()
        writer.close()
        return received

    assert run(steps, send_and_close) == PAYLOAD


def test_number_of_tunnels_is_bounded(monkeypatch):
    monkeypatch.setattr(tunnel_server, "MAX_TUNNELS", 2)

    async def steps(server):
        connected = [await server.connect() for _ in range(3)]
        return [reply for _, _, reply in connected]

    opened = wire.Reply.OPENED
    assert run(steps) == [opened, opened, wire.Reply.UNAVAILABLE]
