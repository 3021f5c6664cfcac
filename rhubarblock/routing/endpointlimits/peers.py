"""Interface to the peers for the rate limits of endpoints."""

import abc

from rhubarblock.routing.endpointlimits import messages

# Stands for this instance among the names of peers.
SELF = ""


class LimitPeers(abc.ABC):
    """Sends limits, permit requests and grants; any message may be lost."""

    @abc.abstractmethod
    def count_users(self, endpoint_id: str) -> int:
        """Counts the instances that use an endpoint, including this one."""

    @abc.abstractmethod
    def choose_coordinator(self, endpoint_id: str, silent: set[str]) -> str:
        """Returns the peer that grants an endpoint's permits, or ``SELF``.

        Instances that know the same peers choose the same one.

        Args:
          endpoint_id: the endpoint.
          silent: peers that are not chosen because they don't answer.
        """

    @abc.abstractmethod
    def send_request(self, peer: str, request: messages.PermitRequest) -> None:
        """Sends a permit request to a peer."""

    @abc.abstractmethod
    def send_grant(self, peer: str, grant: messages.PermitGrant) -> None:
        """Answers the permit request of a peer."""

    @abc.abstractmethod
    def send_report(self, peer: str, report: messages.LimitReport) -> None:
        """Sends a limit to one peer."""

    @abc.abstractmethod
    def broadcast_report(self, report: messages.LimitReport) -> None:
        """Sends a limit to all peers that use the endpoint."""
