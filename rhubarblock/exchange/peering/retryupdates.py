"""Exchanges loans of retries between instances.

They are sent as datagrams on the channel of other peer updates and are not sent
again: the borrower asks other peers instead.
"""

import math
from typing import Any

from rhubarblock.exchange import retrybudgets
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.retrylending import messages
from rhubarblock.routing.retrylending import peers as loanpeers

# Longest accepted name of a service, as each name that a peer sends gets a
# budget.
MAX_NAME_CHARACTERS = 200


class DatagramLoanPeers(loanpeers.LoanPeers):
    """The other instances, reached through peer updates.

    A peer is identified by the address of its datagrams, ``host:port``.
    """

    __slots__ = ("_data_centre", "_table", "_timers", "_updates")

    def __init__(
        self,
        updates: peer_updates.PeerUpdates,
        table: peer_table.PeerTable,
        data_centre: str,
        timers: timer_service.Timers,
    ):
        """Creates a view of the known peers.

        Args:
          updates: sends and receives datagrams.
          table: the other instances.
          data_centre: data centre of this instance.
          timers: the clock.
        """
        self._updates = updates
        self._table = table
        self._data_centre = data_centre
        self._timers = timers

    def list_names(self, near: bool) -> list[str]:
        now_s = self._timers.read_monotonic()
        return [
            peer_table.format_address(address)
            for address, peer in self._table.list_known()
            if peer.instance_id
            and (peer.data_centre == self._data_centre) is near
            and peer.is_alive(now_s, peer_table.FAR_HEARTBEATS)
        ]

    def send_request(self, peer: str, request: messages.LoanRequest) -> None:
        fields = [
            peer_updates.LOAN_REQUEST,
            request.service,
            request.number,
            round(request.wanted, 3),
        ]
        self._updates.send_to(peer_table.parse_address(peer), fields)

    def send_grant(self, peer: str, grant: messages.LoanGrant) -> None:
        fields = [peer_updates.LOAN_GRANT, grant.number, grant.amount]
        self._updates.send_to(peer_table.parse_address(peer), fields)


def connect(
    updates: peer_updates.PeerUpdates, budgets: retrybudgets.RetryBudgets
) -> None:
    """Connects budgets to the messages of peers."""
    updates.listen(
        peer_updates.LOAN_REQUEST,
        lambda fields, address: budgets.receive_request(
            peer_table.format_address(address), _read_request(fields)
        ),
    )
    updates.listen(
        peer_updates.LOAN_GRANT,
        lambda fields, address: budgets.receive_grant(
            peer_table.format_address(address), _read_grant(fields)
        ),
    )


def _read_request(fields: list[Any]) -> messages.LoanRequest:
    service, number, wanted = fields[:3]
    if not 0 < len(service) <= MAX_NAME_CHARACTERS:
        raise ValueError("no name of a service")
    return messages.LoanRequest(str(service), int(number), _read_amount(wanted))


def _read_grant(fields: list[Any]) -> messages.LoanGrant:
    number, amount = fields[:2]
    return messages.LoanGrant(int(number), _read_amount(amount))


def _read_amount(field: Any) -> float:
    amount = float(field)
    if not math.isfinite(amount) or amount < 0.0:
        raise ValueError("no amount of retries")
    return amount
