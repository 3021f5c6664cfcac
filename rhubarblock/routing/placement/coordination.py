"""Places prompts through the coordinator of a pool, or alone without it.

The coordinator of a pool is one instance, chosen by rendezvous hashing over the
live ones. It knows every grant that it gave, so two instances do not choose the
same idle engine at once. Two concurrent coordinators only make placements
worse. If the coordinator does not answer in time, the instance decides from its
own load table.
"""

from collections.abc import Callable
import dataclasses

from rhubarblock.core import endpoint as endpoints
from rhubarblock.fleet import peertransport
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing import ledger as ledgers
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import placement_pb2
from rhubarblock.routing.placement import policy as policies

PLACE_KIND = "placement.place"
PROGRESS_KIND = "placement.progress"
# Seconds to wait for the coordinator before the instance decides alone.
PLACE_TIMEOUT_S = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class Coordinator:
    """The instance that currently places prompts for a pool."""

    instance_id: str
    address: str


class PlacementClient:
    """Places the prompts of one instance and reports their progress."""

    __slots__ = (
        "_find_coordinator",
        "_instance_id",
        "_ledger",
        "_metrics",
        "_peers",
        "_pending",
        "_policy",
        "_remote",
    )

    def __init__(
        self,
        instance_id: str,
        ledger: ledgers.Ledger,
        policy: policies.Policy,
        peers: peertransport.PeerTransport,
        find_coordinator: Callable[[str], Coordinator],
        metrics: metric_store.Metrics,
    ):
        """Creates the client and registers the handlers of a coordinator.

        Args:
          instance_id: this instance.
          ledger: grants that this instance counts.
          policy: placement policy in force.
          peers: transport to other instances.
          find_coordinator: returns the coordinator of an engine service.
          metrics: counters.
        """
        self._instance_id = instance_id
        self._ledger = ledger
        self._policy = policy
        self._peers = peers
        self._find_coordinator = find_coordinator
        self._metrics = metrics
        self._remote: dict[str, str] = {}
        self._pending: dict[str, list[placement_pb2.Progress]] = {}
        peers.register(PLACE_KIND, self._handle_place)
        peers.register(PROGRESS_KIND, self._handle_progress)

    def list_engines(self, query: placements.PlacementQuery) -> list[str]:
        """Returns the engines that prefill prompts of a model at present."""
        loads = self._ledger.table.list_loads(query.service, query.model)
        return [
            load.endpoint.endpoint_id
            for load in loads
            if load.role is not endpoints.Role.DECODE
        ]

    def has_room(
        self, query: placements.PlacementQuery, endpoint_id: str
    ) -> bool:
        """Says whether an engine could hold a prompt and its answer now.

        Also true if the engine is unknown or can never hold the prompt:
        ``place`` then ignores this engine as ``only_endpoint``.
        """
        if not self._fits(query, endpoint_id):
            return True
        load = self._ledger.table.find(endpoint_id)
        room = query.prompt_tokens + query.max_tokens
        return load is not None and load.estimate_free_kv() >= room

    async def place(
        self,
        grant_id: str,
        query: placements.PlacementQuery,
        only_endpoint: str | None = None,
    ) -> placements.Placement | None:
        """Places a prompt.

        Args:
          grant_id: id by which the grant is released.
          query: the prompt to place.
          only_endpoint: engine on which a suspect request has to run, or None.

        Returns:
          The placement, or None if no engine has room at present.
        """
        if only_endpoint is not None and self._fits(query, only_endpoint):
            placement = placements.Placement(only_endpoint, only_endpoint, 0)
            self._ledger.adopt(grant_id, query, placement, self._instance_id)
            return placement
        if not self._policy.needs_coordinator(query):
            return self._place_alone(grant_id, query)
        coordinator = self._find_coordinator(query.service)
        if coordinator.instance_id == self._instance_id:
            return self._place_alone(grant_id, query)
        try:
            reply = await self._request_placement(coordinator, grant_id, query)
        except peertransport.PeerError:
            self._metrics.count("placement.alone")
            return self._place_alone(grant_id, query)
        if not reply.found:
            return None
        placement = read_reply(reply)
        self._remote[grant_id] = coordinator.address
        self._ledger.adopt(grant_id, query, placement, self._instance_id)
        return placement

    def end_prefill(self, grant_id: str) -> None:
        """Records and reports that the prefill of a grant is done."""
        self._ledger.end_prefill(grant_id)
        self._queue_progress(grant_id, finished=False)

    def release(self, grant_id: str) -> None:
        """Records and reports that a grant is over; this is idempotent."""
        self._ledger.release(grant_id)
        self._queue_progress(grant_id, finished=True)
        self._remote.pop(grant_id, None)

    async def send_progress(self) -> None:
        """Sends the collected progress; the timer service calls this."""
        pending, self._pending = self._pending, {}
        for address, progress in pending.items():
            report = placement_pb2.ProgressReport(progress=progress)
            try:
                await self._peers.call(
                    address,
                    PROGRESS_KIND,
                    report.SerializeToString(),
                    PLACE_TIMEOUT_S,
                )
            except peertransport.PeerError:
                # The coordinator drops grants whose end it did not receive
                # when they expire.
                self._metrics.count("placement.progress_lost")
        self._ledger.collect_expired()

    def _fits(self, query: placements.PlacementQuery, endpoint_id: str) -> bool:
        """Says whether one engine could ever hold a prompt and its answer."""
        load = self._ledger.table.find(endpoint_id)
        if load is None:
            return False
        return query.prompt_tokens + query.max_tokens <= load.kv_capacity

    def _place_alone(
        self, grant_id: str, query: placements.PlacementQuery
    ) -> placements.Placement | None:
        return self._ledger.place(grant_id, query, self._instance_id)

    def _queue_progress(self, grant_id: str, finished: bool) -> None:
        address = self._remote.get(grant_id)
        if address is not None:
            progress = placement_pb2.Progress(
                grant_id=grant_id, finished=finished
            )
            self._pending.setdefault(address, []).append(progress)

    async def _request_placement(
        self,
        coordinator: Coordinator,
        grant_id: str,
        query: placements.PlacementQuery,
    ) -> placement_pb2.PlaceReply:
        request = placement_pb2.PlaceRequest(
            grant_id=grant_id,
            service=query.service,
            model=query.model,
            prompt_tokens=query.prompt_tokens,
            max_tokens=query.max_tokens,
            slack_s=query.slack_s,
            prefix_blocks=query.prefix_blocks,
            avoid=sorted(query.avoid),
        )
        payload = await self._peers.call(
            coordinator.address,
            PLACE_KIND,
            request.SerializeToString(),
            PLACE_TIMEOUT_S,
        )
        return placement_pb2.PlaceReply.FromString(payload)

    async def _handle_place(self, sender: str, payload: bytes) -> bytes:
        request = placement_pb2.PlaceRequest.FromString(payload)
        query = placements.PlacementQuery(
            request_id=request.grant_id,
            service=request.service,
            model=request.model,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            slack_s=request.slack_s,
            prefix_blocks=tuple(request.prefix_blocks),
            avoid=frozenset(request.avoid),
        )
        placement = self._ledger.place(request.grant_id, query, sender)
        return write_reply(placement).SerializeToString()

    async def _handle_progress(self, sender: str, payload: bytes) -> bytes:
        report = placement_pb2.ProgressReport.FromString(payload)
        for progress in report.progress:
            if progress.finished:
                self._ledger.release(progress.grant_id)
            else:
                self._ledger.end_prefill(progress.grant_id)
        return placement_pb2.ProgressReply().SerializeToString()


def write_reply(
    placement: placements.Placement | None,
) -> placement_pb2.PlaceReply:
    """Encodes a placement, or None, as a reply."""
    if placement is None:
        return placement_pb2.PlaceReply(found=False)
    return placement_pb2.PlaceReply(
        found=True,
        prefill_id=placement.prefill_id,
        decode_id=placement.decode_id,
        priority=placement.priority,
        segments=[
            placement_pb2.PlacedSegment(endpoint_id=x.endpoint_id, end=x.end)
            for x in placement.segments
        ],
        expected_wait_s=placement.expected_wait_s,
    )


def read_reply(reply: placement_pb2.PlaceReply) -> placements.Placement:
    """Decodes the placement from a reply with ``found`` set."""
    return placements.Placement(
        prefill_id=reply.prefill_id,
        decode_id=reply.decode_id,
        priority=reply.priority,
        segments=tuple(
            placements.Segment(x.endpoint_id, x.end) for x in reply.segments
        ),
        expected_wait_s=reply.expected_wait_s,
    )
