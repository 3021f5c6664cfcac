"""Exchanges rate limits of endpoints and permits between instances.

They are sent as datagrams on the channel of other peer updates. Lost permits
are requested again.
"""

from collections.abc import Callable
from typing import Any

from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.fleet import rendezvous
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.endpointlimits import messages
from rhubarblock.routing.endpointlimits import peers as limitpeers

_MS_PER_S = 1e3


class DatagramLimitPeers(limitpeers.LimitPeers):
    """The other instances, reached through peer updates.

    A peer is identified by the address of its datagrams, ``host:port``.
    """

    __slots__ = (
        "_data_centre",
        "_updates",
        "_own_id",
        "_subsets",
        "_table",
        "_timers",
    )

    def __init__(
        self,
        updates: peer_updates.PeerUpdates,
        table: peer_table.PeerTable,
        subsets_: subsets.Subsets,
        own_id: str,
        data_centre: str,
        timers: timer_service.Timers,
    ):
        """Creates a view of the known peers.

        Args:
          updates: sends and receives datagrams.
          table: the other instances.
          subsets_: which instances use which endpoints.
          own_id: name of this instance.
          data_centre: data centre of this instance.
          timers: the clock.
        """
        self._updates = updates
        self._table = table
        self._subsets = subsets_
        self._own_id = own_id
        self._data_centre = data_centre
        self._timers = timers

    def count_users(self, endpoint_id: str) -> int:
        return 1 + len(self._list_users(endpoint_id))

    def find_reached(self, endpoint_id: str) -> float:
        """Returns the part of an endpoint's users that sent datagrams lately.

        It counts itself. The others may be in another part of a partition.
        """
        now_s = self._timers.read_monotonic()
        users = self._list_users(endpoint_id)
        reached = sum(
            peer.is_alive(now_s, peer_table.FAR_HEARTBEATS) for _, peer in users
        )
        return (1 + reached) / (1 + len(users))

    def choose_coordinator(self, endpoint_id: str, silent: set[str]) -> str:
        now_s = self._timers.read_monotonic()
        best = rendezvous.compute_score(endpoint_id, self._own_id), ""
        for address, peer in self._list_users(endpoint_id):
            name = peer_table.format_address(address)
            if name in silent or not peer.instance_id:
                continue
            if peer.is_alive(now_s, peer_table.FAR_HEARTBEATS):
                score = rendezvous.compute_score(endpoint_id, peer.instance_id)
                best = max(best, (score, name))
        return best[1]

    def send_request(self, peer: str, request: messages.PermitRequest) -> None:
        fields = [
            peer_updates.PERMIT_REQUEST,
            *_encode_report(request.report),
            request.wanted,
            _to_ms(request.free_in_s),
            _to_ms(request.within_s),
            *_encode_cold(request.report),
        ]
        self._updates.send_to(peer_table.parse_address(peer), fields)

    def send_grant(self, peer: str, grant: messages.PermitGrant) -> None:
        fields = [
            peer_updates.PERMIT_GRANT,
            grant.endpoint_id,
            grant.count,
            _to_ms(grant.delay_s),
            _to_ms(grant.spacing_s),
            _to_ms(grant.retry_after_s),
        ]
        self._updates.send_to(peer_table.parse_address(peer), fields)

    def send_report(self, peer: str, report: messages.LimitReport) -> None:
        fields = _make_report_fields(report)
        self._updates.send_to(peer_table.parse_address(peer), fields)

    def broadcast_report(self, report: messages.LimitReport) -> None:
        fields = _make_report_fields(report)
        for address, _ in self._list_users(report.endpoint_id):
            self._updates.send_to(address, fields)

    def _list_users(
        self, endpoint_id: str
    ) -> list[tuple[peer_table.Address, peer_table.Peer]]:
        """Returns the peers that use an endpoint or are unidentified."""
        uses = self._subsets.make_filter((endpoint_id,))
        return [
            (address, peer)
            for address, peer in self._table.list_known()
            if not peer.instance_id or uses(peer.instance_id, peer.data_centre)
        ]


def connect(
    updates: peer_updates.PeerUpdates, limits: endpointlimits.EndpointLimits
) -> None:
    """Connects limits to the messages of peers."""
    handlers: dict[str, Callable[[list[Any], str], None]] = {
        peer_updates.LIMIT_REPORT: lambda fields, peer: limits.receive_report(
            _read_report(fields, fields[4:])
        ),
        peer_updates.PERMIT_REQUEST: lambda fields, peer: (
            limits.receive_request(peer, _read_request(fields))
        ),
        peer_updates.PERMIT_GRANT: lambda fields, peer: limits.receive_grant(
            peer, _read_grant(fields)
        ),
    }
    for code, handler in handlers.items():
        updates.listen(code, _make_listener(handler))
    updates.start_listeners.append(
        lambda address: limits.send_limits(peer_table.format_address(address))
    )


def _make_listener(
    handler: Callable[[list[Any], str], None],
) -> peer_updates.Listener:
    return lambda fields, address: handler(
        fields, peer_table.format_address(address)
    )


def _encode_report(report: messages.LimitReport) -> list[Any]:
    return [
        report.endpoint_id,
        report.per_s,
        _to_ms(report.sent_age_s),
        _to_ms(report.received_age_s),
    ]


def _make_report_fields(report: messages.LimitReport) -> list[Any]:
    return [
        peer_updates.LIMIT_REPORT,
        *_encode_report(report),
        *_encode_cold(report),
    ]


def _encode_cold(report: messages.LimitReport) -> list[Any]:
    """Returns the last fields, which an earlier version ignores."""
    cold = report.cold
    if cold is None:
        return []
    return [
        _to_ms(cold.begun_age_s),
        _to_ms(cold.left_s),
        int(cold.is_observed),
    ]


def _read_report(fields: list[Any], cold: list[Any]) -> messages.LimitReport:
    endpoint_id, per_s, sent_ms, received_ms = fields[:4]
    return messages.LimitReport(
        str(endpoint_id),
        None if per_s is None else float(per_s),
        sent_ms / _MS_PER_S,
        received_ms / _MS_PER_S,
        _read_cold(cold),
    )


def _read_cold(fields: list[Any]) -> messages.ColdReport | None:
    if not fields:
        return None
    begun_ms, left_ms, is_observed = fields[:3]
    return messages.ColdReport(
        begun_ms / _MS_PER_S, left_ms / _MS_PER_S, bool(is_observed)
    )


def _read_request(fields: list[Any]) -> messages.PermitRequest:
    wanted, free_ms, within_ms = fields[4:7]
    return messages.PermitRequest(
        _read_report(fields, fields[7:]),
        int(wanted),
        free_ms / _MS_PER_S,
        within_ms / _MS_PER_S,
    )


def _read_grant(fields: list[Any]) -> messages.PermitGrant:
    endpoint_id, count, delay_ms, spacing_ms, retry_after_ms = fields
    return messages.PermitGrant(
        str(endpoint_id),
        int(count),
        delay_ms / _MS_PER_S,
        spacing_ms / _MS_PER_S,
        retry_after_ms / _MS_PER_S,
    )


def _to_ms(seconds: float) -> float:
    """Returns milliseconds, rounded to the microsecond."""
    return round(seconds * _MS_PER_S, 3)
