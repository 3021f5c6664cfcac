"""Serves an entry instance on sockets for callers, operators and peers."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import dataclasses
import pathlib
import random

from aiohttp import web
import statsd

from rhubarblock.admin import api as admin_api
from rhubarblock.catalogue import changes
from rhubarblock.daemon import callerserver
from rhubarblock.daemon import fleetstatus
from rhubarblock.daemon import instance as instances
from rhubarblock.daemon import intake as intakes
from rhubarblock.daemon import sockets
from rhubarblock.fleet import grpcpeers
from rhubarblock.fleet import peertls
from rhubarblock.kernel import looplag
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import callcontext
from rhubarblock.relay import completionsapi
from rhubarblock.relay import servicesapi
from rhubarblock.settings import entry as settings_lib

_MS_PER_S = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class Server:
    """A running instance and the addresses on which it listens.

    Attributes:
      instance: the instance.
      caller_address: ``host:port`` for callers.
      admin_address: ``host:port`` for operators.
    """

    instance: instances.Instance
    caller_address: str
    admin_address: str


@contextlib.asynccontextmanager
async def run_server(
    settings: settings_lib.EntrySettings,
) -> AsyncIterator[Server]:
    """Runs an instance on real sockets while the context is open.

    Args:
      settings: validated settings.

    Yields:
      The running instance, ready for callers.

    Raises:
      OSError: an address cannot be listened on, or a TLS file cannot be read.
    """
    async with contextlib.AsyncExitStack() as stack:
        clients = await stack.enter_async_context(
            sockets.open_clients(settings)
        )
        incarnation = int(clients.timers.read_wall() * _MS_PER_S)
        peers = await stack.enter_async_context(
            _open_peers(settings, incarnation, clients.timers)
        )
        instance = instances.Instance(
            settings,
            clients,
            instances.PeerPort(peers, _choose_address(settings, peers)),
            # Ids must differ between starts, so the generator takes its seed
            # from the operating system.
            random.Random(),
            incarnation,
        )
        stack.enter_context(_send_metrics(instance))
        # The outer stack closes the servers after the instance has drained, so
        # callers and health checks are answered during the drain.
        async with contextlib.AsyncExitStack() as serving:
            await serving.enter_async_context(instance.run())
            server = await _open_servers(instance, stack)
            yield server


def _open_peers(
    settings: settings_lib.EntrySettings,
    incarnation: int,
    timers: timer_service.Timers,
) -> contextlib.AbstractAsyncContextManager[grpcpeers.GrpcPeers]:
    peers = settings.peers
    tls = None
    if peers.secure:
        tls = peertls.TlsFiles(
            pathlib.Path(peers.certificate),
            pathlib.Path(peers.key),
            pathlib.Path(peers.authority),
        )
    identity = grpcpeers.PeerIdentity(settings.instance.id, incarnation)
    listen = str(settings.instance.peer_listen)
    return grpcpeers.GrpcPeers(listen, identity, timers, tls).run()


def _choose_address(
    settings: settings_lib.EntrySettings, peers: grpcpeers.GrpcPeers
) -> str:
    """Returns the address at which other instances reach this one."""
    advertised = settings.instance.advertise
    if advertised is None:
        return peers.address
    port = advertised.port or peers.address.rpartition(":")[2]
    return f"{advertised.host}:{port}"


@contextlib.contextmanager
def _send_metrics(instance: instances.Instance) -> Iterator[None]:
    settings = instance.settings.metrics
    if settings.statsd is None:
        yield
        return
    client = statsd.StatsClient(settings.statsd.host, settings.statsd.port)
    with metric_store.flush_regularly(
        instance.metrics, instance.clients.timers, client, settings.interval_s
    ):
        yield


async def _open_servers(
    instance: instances.Instance, stack: contextlib.AsyncExitStack
) -> Server:
    bounds = instance.settings.limits
    timers = instance.clients.timers
    lag = looplag.LoopLag(timers, instance.metrics)
    stack.enter_context(lag.measure())
    intake = intakes.Intake(instance.lifecycle, lag, timers, instance.metrics)
    app = callerserver.create_app(
        _make_apis(instance), instance.lifecycle, bounds.body_bytes
    )
    caller_address = await stack.enter_async_context(
        callerserver.run_server(
            app,
            instance.settings.instance.listen,
            callerserver.ServerBounds(
                bounds.header_bytes,
                bounds.slow_reader_bytes,
                instance.settings.drain.deadline_s,
            ),
            intake,
        )
    )
    admin_address = await stack.enter_async_context(
        callerserver.run_server(
            _make_admin_app(instance),
            instance.settings.instance.admin_listen,
            callerserver.ServerBounds(bounds.header_bytes),
        )
    )
    return Server(instance, caller_address, admin_address)


def _make_apis(instance: instances.Instance) -> callerserver.CallerApis:
    context = callcontext.CallContext(
        instance.catalogue.get,
        instance.clients.timers,
        instance.make_id,
        instance.settings.limits.default_deadline_s,
    )
    return callerserver.CallerApis(
        completionsapi.CompletionsApi(instance.parts.relay, context),
        servicesapi.ServicesApi(
            instance.caller, instance.limiter, instance.lifecycle, context
        ),
    )


def _make_admin_app(instance: instances.Instance) -> web.Application:
    clients = instance.clients
    return admin_api.create_app(
        admin_api.AdminParts(
            changes=changes.ChangeService(
                clients.store,
                clients.timers,
                instance.catalogue.get_revision,
                instance.catalogue.accept,
            ),
            timers=clients.timers,
            get_catalogue=instance.catalogue.get,
            status_source=fleetstatus.InstanceStatusSource(instance),
            drain_control=fleetstatus.InstanceDrainControl(instance),
            bootstrap_sha256=(
                instance.settings.administration.bootstrap_sha256
            ),
        )
    )
