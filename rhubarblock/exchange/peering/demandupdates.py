"""Exchanges summaries of demand between instances.

They are sent only while a service is pressed, to a few peers at a time, so that
an instance sends and receives a bounded number of bytes however many instances
there are.
"""

import math
import random
from typing import Any

from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.admission import controller as controllers
from rhubarblock.routing.admission import demand as demands

# Seconds between two summaries of one instance.
INTERVAL_S = 0.5
# Peers that get a summary. With summaries of 620 bytes, an instance sends and
# receives 6.5 KB a second for one service.
MAX_RECIPIENTS = 5
# Longest accepted name of a service in characters, as each name that a peer
# sends gets counts.
MAX_NAME_CHARACTERS = 200
# Decimal places of the counts.
_DIGITS = 2


class DemandUpdates:
    """Sends and receives the summaries of one instance."""

    __slots__ = (
        "_controller",
        "_is_scheduled",
        "_peers",
        "_rng",
        "_timers",
        "_updates",
    )

    def __init__(
        self,
        controller: controllers.AdmissionController,
        updates: peer_updates.PeerUpdates,
        peers: peer_table.PeerTable,
        timers: timer_service.Timers,
        rng: random.Random,
    ):
        """Starts to receive summaries; none is sent without pressure.

        Args:
          controller: holds the demand.
          updates: sends and receives datagrams.
          peers: the other instances.
          timers: the clock.
          rng: draws the peers that get a summary.
        """
        self._controller = controller
        self._updates = updates
        self._peers = peers
        self._timers = timers
        self._rng = rng
        self._is_scheduled = False
        updates.listen(peer_updates.DEMAND, self._receive)

    def note_pressure(self) -> None:
        """Sends summaries from now on until no service is pressed."""
        if not self._is_scheduled:
            self._is_scheduled = True
            delay_s = INTERVAL_S * self._rng.random()
            self._timers.call_later(delay_s, self._send)

    def _send(self) -> None:
        now_s = self._timers.read_monotonic()
        pressed = self._controller.list_pressed(now_s)
        self._is_scheduled = bool(pressed)
        if not pressed:
            return
        known = [address for address, _ in self._peers.list_known()]
        chosen = self._rng.sample(known, min(MAX_RECIPIENTS, len(known)))
        for service in pressed:
            summary = self._controller.find_demand(service).summarise(now_s)
            fields = [peer_updates.DEMAND, service, _encode(summary)]
            for address in chosen:
                self._updates.send_to(address, fields)
        self._timers.call_later(INTERVAL_S, self._send)

    def _receive(self, fields: list[Any], address: peer_table.Address) -> None:
        service, encoded = fields[:2]
        if not 0 < len(service) <= MAX_NAME_CHARACTERS:
            raise ValueError("no name of a service")
        summary = _decode(encoded)
        now_s = self._timers.read_monotonic()
        demand = self._controller.find_demand(str(service))
        demand.receive(peer_table.format_address(address), summary, now_s)
        self.note_pressure()


def _encode(summary: demands.Summary) -> list[Any]:
    return [
        [
            rank,
            *_encode_count(demand.requests),
            {
                name: _encode_count(count, 1e3)
                for name, count in demand.workspaces.items()
            },
        ]
        for rank, demand in summary.items()
    ]


def _encode_count(count: demands.Count, unit: float = 1.0) -> list[float]:
    return [
        round(unit * count.offered, _DIGITS),
        round(unit * count.admitted, _DIGITS),
    ]


def _decode(encoded: list[Any]) -> demands.Summary:
    return {
        int(rank): demands.RankDemand(
            _decode_count([offered, admitted]),
            {
                str(name): _decode_count(count, 1e3)
                for name, count in _list_items(workspaces)
            },
        )
        for rank, offered, admitted, workspaces in encoded
    }


def _decode_count(encoded: list[Any], unit: float = 1.0) -> demands.Count:
    offered, admitted = encoded
    return demands.Count(
        _read_amount(offered) / unit, _read_amount(admitted) / unit
    )


def _list_items(field: Any) -> list[tuple[Any, Any]]:
    if not isinstance(field, dict):
        raise ValueError("no counts by workspace")
    return list(field.items())


def _read_amount(field: Any) -> float:
    amount = float(field)
    if not math.isfinite(amount) or amount < 0.0:
        raise ValueError("no amount of demand")
    return amount
