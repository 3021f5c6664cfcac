"""The other instances, as the limits of endpoints need them."""

import abc

from rhubarblock.routing.endpointlimits import messages

# Stands for this instance among the names of peers.
SELF = ""


class LimitPeers(abc.ABC):
    """Tells peers of limits and carries permits; any message may be lost."""

    @abc.abstractmethod
    def count_users(self, endpoint_id: str) -> int:
        """Returns how many instances use an endpoint, this one included."""

    @abc.abstractmethod
    def choose_coordinator(self, endpoint_id: str, silent: set[str]) -> str:
        """Returns the peer that grants an endpoint's permits, or ``SELF``.

        Instances that see the same peers choose the same one.

        Args:
          endpoint_id: the endpoint.
          silent: peers that are not chosen, as they give no answer.
        """

    @abc.abstractmethod
    def send_request(self, peer: str, request: messages.PermitRequest) -> None:
        """Asks a peer for permits."""

    @abc.abstractmethod
    def send_grant(self, peer: str, grant: messages.PermitGrant) -> None:
        """Answers a peer's request."""

    @abc.abstractmethod
    def send_report(self, peer: str, report: messages.LimitReport) -> None:
        """Tells one peer what an endpoint said."""

    @abc.abstractmethod
    def broadcast_report(self, report: messages.LimitReport) -> None:
        """Tells all peers that use an endpoint what it said."""
