"""What instances exchange about loans of retries."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LoanRequest:
    """A request for a part of a peer's unspent share.

    Attributes:
      service: name of the service.
      number: number of the request, never used again by any start of the
        sender.
      wanted: retries that the sender wants.
    """

    service: str
    number: int
    wanted: float


@dataclasses.dataclass(slots=True, frozen=True)
class LoanGrant:
    """The answer to a request.

    Attributes:
      number: number of the request.
      amount: retries that are lent; 0 if the peer has none to lend.
    """

    number: int
    amount: float


@dataclasses.dataclass(slots=True, frozen=True)
class Loan:
    """A loan that arrived in time.

    Attributes:
      service: name of the service.
      amount: retries that were lent.
      sent_s: when its request was sent, in seconds of the boot clock.
    """

    service: str
    amount: float
    sent_s: float
