"""Tells the other instances which endpoints take no new work.

The platform's list lags by seconds. An instance that is refused by an
endpoint, or that gets an operator's order to drain one, tells all others at
once. Orders to drain are kept in the platform, and passed on to instances
that start later.
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

# Seconds between two comparisons of the drains with a peer drawn at random.
COMPARE_INTERVAL_S = 10.0
_CALL_TIMEOUT_S = 0.5
_TRIES = 2
_MS_PER_S = 1000


class EndpointNotices:
    """Keeps the drains, and tells and hears of endpoints."""

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
        """Creates it without any drain.

        Args:
          table: the endpoints of this instance.
          membership: whom to tell.
          transport: calls to peers.
          timers: the timer service.
          rng: draws the peers to compare with.
          store: the platform's object API, to keep drains in; None keeps them
            only as long as one of the instances lives.
        """
        self._table = table
        self._membership = membership
        self._transport = transport
        self._timers = timers
        self._rng = rng
        self._record = drainrecord.DrainRecord(store, timers) if store else None
        self._drains: dict[str, drainrecord.Drain] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        table.subscribe_refusals(self._tell_leaving)
        transport.register(NOTICE_KIND, self._answer_notice)
        transport.register(DRAINS_KIND, self._answer_drains)

    def list_drained(self) -> list[str]:
        """Returns the endpoints that operators drain."""
        return sorted(
            name for name, drain in self._drains.items() if drain.is_drained
        )

    async def order_drain(self, endpoint_id: str, is_drained: bool) -> bool:
        """Carries out an operator's order here and tells the others.

        Args:
          endpoint_id: the endpoint.
          is_drained: whether it gets no new work from now on.

        Returns:
          Whether the order is known to be kept in the platform.
        """
        drain = drainrecord.Drain(
            endpoint_id,
            is_drained,
            int(self._timers.read_wall() * _MS_PER_S),
        )
        self._take_drain(drain)
        notice = endpointnews_pb2.EndpointNotice(drains=[_encode(drain)])
        await self._tell(notice)
        return self._record is not None and await self._record.keep(drain)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["EndpointNotices"]:
        """Follows the drains while the context is open.

        Yields:
          This object, after it asked a peer and the platform for the drains.
        """
        await self._load()
        await self._compare()
        try:
            with self._timers.subscribe(COMPARE_INTERVAL_S, self._compare):
                yield self
        finally:
            for task in list(self._tasks):
                task.cancel()

    async def _load(self) -> None:
        if self._record is None:
            return
        # While the platform is down, a peer knows them.
        with contextlib.suppress(stores.StoreError):
            for drain in await self._record.load():
                self._take_drain(drain)

    def _take_drain(self, drain: drainrecord.Drain) -> None:
        known = self._drains.get(drain.endpoint_id)
        if known is not None and known.ordered_ms >= drain.ordered_ms:
            return
        self._drains[drain.endpoint_id] = drain
        if drain.is_drained:
            self._table.mark_draining(drain.endpoint_id)
        else:
            self._table.end_draining(drain.endpoint_id)

    def _tell_leaving(self, endpoint_id: str) -> None:
        notice = endpointnews_pb2.EndpointNotice(leaving=[endpoint_id])
        task = asyncio.ensure_future(self._tell(notice))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tell(self, notice: endpointnews_pb2.EndpointNotice) -> None:
        payload = notice.SerializeToString()
        own_id = self._membership.own.instance_id
        await asyncio.gather(
            *(
                self._send(member.address, payload)
                for member in self._membership.live_instances()
                if member.instance_id != own_id
            )
        )

    async def _send(self, address: str, payload: bytes) -> None:
        for _ in range(_TRIES):
            try:
                await self._transport.call(
                    address, NOTICE_KIND, payload, _CALL_TIMEOUT_S
                )
            except peertransport.PeerError:
                continue
            return

    async def _answer_notice(self, sender: str, payload: bytes) -> bytes:
        notice = endpointnews_pb2.EndpointNotice.FromString(payload)
        for drain in notice.drains:
            self._take_drain(_decode(drain))
        for endpoint_id in notice.leaving:
            self._table.mark_leaving(endpoint_id)
        return b""

    async def _compare(self) -> None:
        """Fetches the drains that a peer knows of."""
        own_id = self._membership.own.instance_id
        peers = [
            member
            for member in self._membership.live_instances()
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
            self._take_drain(_decode(drain))

    async def _answer_drains(self, sender: str, payload: bytes) -> bytes:
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
