"""gRPC transport for calls between entry instances.

One unary method carries all kinds of messages in an envelope, so that a new
subsystem needs only a handler and no service definition. gRPC serves only as
the transport: ``fleet.membership`` determines the peers.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import logging

import grpc
import grpc.aio

from rhubarblock.fleet import peer_pb2
from rhubarblock.fleet import peertls
from rhubarblock.fleet import peertransport
from rhubarblock.kernel import timers as timers_lib

_SERVICE = "rhubarblock.Peer"
_METHOD = f"/{_SERVICE}/Call"

# Seconds between two checks of the key files for changes.
RELOAD_INTERVAL_S = 5.0
# A channel without calls for this long is closed. Otherwise channels to
# addresses of replaced peers would accumulate.
CHANNEL_IDLE_S = 300.0
# Grace period in seconds for calls in flight when a channel or server closes.
CLOSE_GRACE_S = 1.0
# A catalogue may be 1 MB; the envelope adds little.
_MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
# A peer that was away must be reconnected within one or two heartbeats.
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 1000

_COMMON_OPTIONS = [
    ("grpc.max_receive_message_length", _MESSAGE_LIMIT_BYTES),
    # Bandwidth probing would send a ping for each heartbeat.
    ("grpc.http2.bdp_probe", 0),
]
_SERVER_OPTIONS = [
    *_COMMON_OPTIONS,
    # A port in use must be an error and not be shared with another process.
    ("grpc.so_reuseport", 0),
]
_CHANNEL_OPTIONS = [
    *_COMMON_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", _RECONNECT_MIN_MS),
    ("grpc.min_reconnect_backoff_ms", _RECONNECT_MIN_MS),
    ("grpc.max_reconnect_backoff_ms", _RECONNECT_MAX_MS),
]

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class PeerIdentity:
    """Identity of this instance in calls to peers.

    Attributes:
      instance_id: unique name.
      incarnation: increases with each start of the instance.
    """

    instance_id: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class _Channel:
    channel: grpc.aio.Channel
    call: grpc.aio.UnaryUnaryMultiCallable
    used_s: float


class GrpcPeers(peertransport.PeerTransport):
    """Carries calls between entry instances over gRPC.

    Handlers may be registered at any time; calls are sent and served while the
    context of ``run`` is open.
    """

    def __init__(
        self,
        listen: str,
        identity: PeerIdentity,
        timers: timers_lib.Timers,
        tls: peertls.TlsFiles | None = None,
    ):
        """Creates the transport.

        Args:
          listen: ``host:port`` to listen on; port 0 takes a free one.
          identity: identity of this instance.
          timers: the timer service.
          tls: files with the key material; None disables TLS.

        Raises:
          OSError: the key material cannot be read.
        """
        self._listen = listen
        self._identity = identity
        self._timers = timers
        self._tls = tls
        self._material = peertls.read_material(tls) if tls else None
        self._server_config: grpc.ServerCertificateConfiguration | None = None
        self._handlers: dict[str, peertransport.Handler] = {}
        self._channels: dict[str, _Channel] = {}
        self._address = ""
        self.counters = PeerCounters()

    @property
    def address(self) -> str:
        """``host:port`` that it listens on; empty before ``run``."""
        return self._address

    @property
    def channel_count(self) -> int:
        """Number of open channels to peers."""
        return len(self._channels)

    def register(self, kind: str, handler: peertransport.Handler) -> None:
        self._handlers[kind] = handler

    async def call(
        self, address: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes:
        envelope = peer_pb2.Envelope(
            kind=kind,
            sender=self._identity.instance_id,
            incarnation=self._identity.incarnation,
            payload=payload,
        )
        channel = self._open_channel(address)
        self.counters.calls_sent += 1
        try:
            answer = await channel.call(envelope, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            self.counters.calls_failed += 1
            raise peertransport.PeerError(
                f"{kind} to {address}: {error.code().name} {error.details()}"
            ) from error
        except grpc.aio.UsageError as error:
            self.counters.calls_failed += 1
            raise peertransport.PeerError(
                f"{kind} to {address}: channel closed"
            ) from error
        return answer.payload

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["GrpcPeers"]:
        """Listens and calls while the context is open.

        Yields:
          This transport.

        Raises:
          OSError: the address cannot be listened on.
        """
        server = grpc.aio.server(options=_SERVER_OPTIONS)
        server.add_generic_rpc_handlers((self._create_handler(),))
        self._address = self._bind(server)
        await server.start()
        try:
            with self._timers.subscribe(RELOAD_INTERVAL_S, self._maintain):
                yield self
        finally:
            await self._close_channels(list(self._channels))
            await server.stop(CLOSE_GRACE_S)

    def _create_handler(self) -> grpc.GenericRpcHandler:
        method = grpc.unary_unary_rpc_method_handler(
            self._handle_call,
            request_deserializer=peer_pb2.Envelope.FromString,
            response_serializer=peer_pb2.Envelope.SerializeToString,
        )
        return grpc.method_handlers_generic_handler(_SERVICE, {"Call": method})

    def _bind(self, server: grpc.aio.Server) -> str:
        host = self._listen.rpartition(":")[0]
        try:
            port = self._add_port(server)
        except RuntimeError as error:
            raise OSError(f"cannot listen on {self._listen}") from error
        return f"{host}:{port}"

    def _add_port(self, server: grpc.aio.Server) -> int:
        if self._material is None:
            return server.add_insecure_port(self._listen)
        self._server_config = peertls.create_server_config(self._material)
        credentials = grpc.dynamic_ssl_server_credentials(
            self._server_config,
            # Called by gRPC at each handshake, from another thread.
            lambda: self._server_config,
            require_client_authentication=True,
        )
        return server.add_secure_port(self._listen, credentials)

    async def _handle_call(
        self,
        request: peer_pb2.Envelope,
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.Envelope:
        self.counters.calls_received += 1
        if self._tls and not self._is_peer(context):
            self.counters.calls_refused += 1
            await context.abort(
                grpc.StatusCode.PERMISSION_DENIED, "not a peer's certificate"
            )
        handler = self._handlers.get(request.kind)
        if handler is None:
            await context.abort(
                grpc.StatusCode.UNIMPLEMENTED, f"no handler of {request.kind}"
            )
            raise AssertionError("abort returned")
        try:
            answer = await handler(request.sender, request.payload)
        except Exception as error:
            # Otherwise gRPC would log a traceback for each failed call. The
            # peer gets only the error's repr.
            self.counters.handler_failures += 1
            _logger.debug("handler of %s failed", request.kind, exc_info=True)
            await context.abort(grpc.StatusCode.INTERNAL, repr(error))
            raise AssertionError("abort returned") from error
        return peer_pb2.Envelope(
            sender=self._identity.instance_id,
            incarnation=self._identity.incarnation,
            payload=answer,
        )

    def _is_peer(self, context: grpc.aio.ServicerContext) -> bool:
        # The authority may also sign certificates for other purposes, so the
        # name is checked too.
        assert self._tls is not None
        names = context.auth_context().get("x509_subject_alternative_name", ())
        return self._tls.peer_name.encode() in names

    def _open_channel(self, address: str) -> _Channel:
        entry = self._channels.get(address)
        if entry is None:
            channel = self._create_channel(address)
            call = channel.unary_unary(
                _METHOD,
                request_serializer=peer_pb2.Envelope.SerializeToString,
                response_deserializer=peer_pb2.Envelope.FromString,
            )
            entry = self._channels[address] = _Channel(channel, call, 0.0)
        entry.used_s = self._timers.read_monotonic()
        return entry

    def _create_channel(self, address: str) -> grpc.aio.Channel:
        if self._material is None:
            return grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
        assert self._tls is not None
        options = [
            *_CHANNEL_OPTIONS,
            ("grpc.ssl_target_name_override", self._tls.peer_name),
        ]
        return grpc.aio.secure_channel(
            address,
            peertls.create_channel_credentials(self._material),
            options=options,
        )

    async def _maintain(self) -> None:
        await self._reload_material()
        await self._close_idle_channels()

    async def _reload_material(self) -> None:
        if self._tls is None:
            return
        try:
            material = peertls.read_material(self._tls)
        except OSError as error:
            # The files may be in the process of being replaced.
            self.counters.reload_failures += 1
            _logger.warning("key material not readable: %s", error)
            return
        if material == self._material:
            return
        self._material = material
        self._server_config = peertls.create_server_config(material)
        self.counters.reloads += 1
        _logger.info("key material replaced")
        await self._close_channels(list(self._channels))

    async def _close_idle_channels(self) -> None:
        oldest_s = self._timers.read_monotonic() - CHANNEL_IDLE_S
        idle = [
            address
            for address, entry in self._channels.items()
            if entry.used_s < oldest_s
        ]
        await self._close_channels(idle)

    async def _close_channels(self, addresses: list[str]) -> None:
        entries = [self._channels.pop(address) for address in addresses]
        await asyncio.gather(
            *(entry.channel.close(CLOSE_GRACE_S) for entry in entries)
        )


@dataclasses.dataclass(slots=True)
class PeerCounters:
    """Counters of the transport since its start."""

    calls_sent: int = 0
    calls_failed: int = 0
    calls_received: int = 0
    calls_refused: int = 0
    handler_failures: int = 0
    reloads: int = 0
    reload_failures: int = 0
