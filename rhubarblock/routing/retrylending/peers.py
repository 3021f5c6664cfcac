"""The other instances, as the borrower and the lender see them."""

import abc

from rhubarblock.routing.retrylending import messages


class LoanPeers(abc.ABC):
    """Lists the other instances and sends messages that may get lost."""

    @abc.abstractmethod
    def list_names(self, near: bool) -> list[str]:
        """Returns the names of the live peers.

        Args:
          near: whether to list those of this instance's data centre, or the
            others.
        """

    @abc.abstractmethod
    def send_request(self, peer: str, request: messages.LoanRequest) -> None:
        """Asks a peer for a loan."""

    @abc.abstractmethod
    def send_grant(self, peer: str, grant: messages.LoanGrant) -> None:
        """Answers the request of a peer."""
