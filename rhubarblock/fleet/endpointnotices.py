"""Announces to all instances which endpoints take no new requests.

The platform's list lags by seconds, so an instance whose request an endpoint
refuses, or that gets an operator's order to drain one, notifies all other
instances at once. Drain orders are stored in the platform and synced with
peers, which brings them to instances that start later. The messages are
defined in ``endpointnews.proto``.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random

from google.protobuf import message as protobuf_message

from rhubarblock.fleet import drainrecord
from rhubarblock.fleet import endpointnews_pb2
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import peertransport
from rhubarblock.fleet.membership import membership as memberships
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores

NOTICE_KIND = "endpoints.notice"
DRAINS_KIND = "endpoints.drains"

# Seconds between two syncs of the drains with a random peer.
SYNC_INTERVAL_S = 10.0
_CALL_TIMEOUT_S = 0.5
_MAX_ATTEMPTS = 2
_MS_PER_S = 1000


class EndpointNotices:
    """Keeps the drains and exchanges endpoint notices with peers."""

    __slots__ = (
        "_table",
        "_membership",
        "_transport",
        "_timers",
        "_rng",
        "_record",
        "_drains",
        "_tasks",
    )

    def __init__(
        self,
        table: endpointtables.EndpointTable,
        membership: memberships.Membership,
        transport: peertransport.PeerTransport,
        timers: timers_lib.Timers,
        rng: random.Random,
        store: stores.ObjectStore | None = None,
    ):
        """Creates the service without any drain.

        Args:
          table: the endpoints of this instance.
          membership: the instances to notify.
          transport: carries calls to peers.
          timers: the timer service.
          rng: chooses the peers to sync with.
          store: the platform's object API, which stores the drains; with None
            they are lost when the last instance stops.
        """
        self._table = table
        self._membership = membership
        self._transport = transport
        self._timers = timers
        self._rng = rng
        self._record = (
            drainrecord.DrainRecordClient(store, timers) if store else None
        )
        self._drains: dict[str, drainrecord.Drain] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        table.subscribe_refusals(self._announce_refusal)
        transport.register(NOTICE_KIND, self._handle_notice)
        transport.register(DRAINS_KIND, self._handle_drains)

    def list_drained(self) -> list[str]:
        """Returns the ids of endpoints drained by operators, sorted."""
        return sorted(
            name for name, drain in self._drains.items() if drain.is_drained
        )

    async def order_drain(self, endpoint_id: str, is_drained: bool) -> bool:
        """Applies an operator's drain order and announces it to all instances.

        Args:
          endpoint_id: the endpoint.
          is_drained: whether it gets no new requests from now on.

        Returns:
          Whether the order is known to be stored in the platform.
        """
        drain = drainrecord.Drain(
            endpoint_id,
            is_drained,
            int(self._timers.read_wall() * _MS_PER_S),
        )
        self._apply_drain(drain)
        notice = endpointnews_pb2.EndpointNotice(drains=[_encode(drain)])
        await self._broadcast(notice)
        return self._record is not None and await self._record.save(drain)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["EndpointNotices"]:
        """Keeps the drains in sync while the context is open.

        Yields:
          This object, after it tried to read the drains from the platform and
          from a peer.
        """
        await self._load_record()
        await self._sync_drains()
        try:
            with self._timers.subscribe(SYNC_INTERVAL_S, self._sync_drains):
                yield self
        finally:
            for task in list(self._tasks):
                task.cancel()

    async def _load_record(self) -> None:
        if self._record is None:
            return
        # During a platform outage the sync with a peer provides them.
        with contextlib.suppress(stores.StoreError):
            for drain in await self._record.load():
                self._apply_drain(drain)

    def _apply_drain(self, drain: drainrecord.Drain) -> None:
        known = self._drains.get(drain.endpoint_id)
        if known is not None and known.ordered_ms >= drain.ordered_ms:
            return
        self._drains[drain.endpoint_id] = drain
        if drain.is_drained:
            self._table.mark_draining(drain.endpoint_id)
        else:
            self._table.end_draining(drain.endpoint_id)

    def _announce_refusal(self, endpoint_id: str) -> None:
        notice = endpointnews_pb2.EndpointNotice(leaving=[endpoint_id])
        task = asyncio.ensure_future(self._broadcast(notice))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _broadcast(self, notice: endpointnews_pb2.EndpointNotice) -> None:
        payload = notice.SerializeToString()
        own_id = self._membership.own.instance_id
        await asyncio.gather(
            *(
                self._send(member.address, payload)
                for member in self._membership.list_live_instances()
                if member.instance_id != own_id
            )
        )

    async def _send(self, address: str, payload: bytes) -> None:
        for _ in range(_MAX_ATTEMPTS):
            try:
                await self._transport.call(
                    address, NOTICE_KIND, payload, _CALL_TIMEOUT_S
                )
            except peertransport.PeerError:
                continue
            return

    async def _handle_notice(self, sender: str, payload: bytes) -> bytes:
        notice = endpointnews_pb2.EndpointNotice.FromString(payload)
        for drain in notice.drains:
            self._apply_drain(_decode(drain))
        for endpoint_id in notice.leaving:
            self._table.mark_leaving(endpoint_id)
        return b""

    async def _sync_drains(self) -> None:
        """Fetches the drains known to a random peer."""
        own_id = self._membership.own.instance_id
        peers = [
            member
            for member in self._membership.list_live_instances()
            if member.instance_id != own_id
        ]
        if not peers:
            return
        peer = self._rng.choice(peers)
        try:
            payload = await self._transport.call(
                peer.address, DRAINS_KIND, b"", _CALL_TIMEOUT_S
            )
            answer = endpointnews_pb2.EndpointNotice.FromString(payload)
        except (peertransport.PeerError, protobuf_message.DecodeError):
            return
        for drain in answer.drains:
            self._apply_drain(_decode(drain))

    async def _handle_drains(self, sender: str, payload: bytes) -> bytes:
        drains = map(_encode, self._drains.values())
        answer = endpointnews_pb2.EndpointNotice(drains=drains)
        return answer.SerializeToString()


def _encode(drain: drainrecord.Drain) -> endpointnews_pb2.DrainNotice:
    return endpointnews_pb2.DrainNotice(
        endpoint_id=drain.endpoint_id,
        is_drained=drain.is_drained,
        ordered_ms=drain.ordered_ms,
    )


def _decode(notice: endpointnews_pb2.DrainNotice) -> drainrecord.Drain:
    return drainrecord.Drain(
        notice.endpoint_id, notice.is_drained, notice.ordered_ms
    )
