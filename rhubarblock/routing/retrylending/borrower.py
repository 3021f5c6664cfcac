"""Asks peers for loans of retries."""

import dataclasses
import random

from rhubarblock.routing.retrylending import ledger as ledgers
from rhubarblock.routing.retrylending import messages
from rhubarblock.routing.retrylending import peers as loanpeers

# Peers that are asked at once. One that answers lends at most half of its
# share, which is less than one retry in a large fleet.
ASKED_PEERS = 4
# Rounds of requests that an instance may send in a second over all services,
# and in a burst. They bound the traffic when all instances run low.
ROUNDS_PER_S = 1.4
MAX_ROUNDS = 4.0
# Seconds until the next round for a service after a round without a loan. They
# double with each, as most peers have nothing to lend then.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 4.0
# Seconds without a request after which the next one goes to peers of this data
# centre again; their shares are unspent again then.
PASS_TTL_S = 10.0
# What is wanted of each peer, as a multiple of an equal part of the need: some
# peers have nothing to lend, and what is not spent is lost.
MARKUP = 2.0
# Most retries that one request asks for.
MAX_WANTED = 16.0
# Bits of the first number of a request. It is random, so that an answer to an
# earlier start of this instance matches no request.
_NUMBER_BITS = 48


@dataclasses.dataclass(slots=True)
class _Round:
    """Requests that were sent at once.

    Attributes:
      service: name of the service.
      sent_s: when they were sent, in seconds of the boot clock.
      unanswered: peers that have not answered.
    """

    service: str
    sent_s: float
    unanswered: set[str]


@dataclasses.dataclass(slots=True)
class _Backoff:
    next_s: float = 0.0
    delay_s: float = 0.0


class Borrower:
    """Requests of one instance for loans, over all services."""

    __slots__ = (
        "_asked_s",
        "_backoffs",
        "_number",
        "_order",
        "_peers",
        "_rng",
        "_rounds",
        "_tokens",
        "_updated_s",
    )

    def __init__(
        self, peers: loanpeers.LoanPeers, rng: random.Random, now_s: float
    ):
        """Starts without open requests.

        Args:
          peers: the other instances.
          rng: order of the peers, and the first number of a request.
          now_s: current time in seconds of the boot clock.
        """
        self._peers = peers
        self._rng = rng
        self._number = rng.getrandbits(_NUMBER_BITS)
        self._rounds: dict[int, _Round] = {}
        self._backoffs: dict[str, _Backoff] = {}
        # Peers that have not been asked in the present pass over all peers, the
        # next one last.
        self._order: list[str] = []
        self._asked_s = now_s
        self._tokens = MAX_ROUNDS
        self._updated_s = now_s

    def ask(self, service: str, wanted: float, now_s: float) -> int:
        """Asks some peers for loans unless that was done too often.

        Args:
          service: name of the service.
          wanted: retries that are needed.
          now_s: current time in seconds of the boot clock.

        Returns:
          The number of peers asked.
        """
        self._expire(now_s)
        backoff = self._backoffs.setdefault(service, _Backoff())
        if now_s < backoff.next_s or not self._take_token(now_s):
            return 0
        if now_s - self._asked_s >= PASS_TTL_S:
            self._order.clear()
        self._asked_s = now_s
        asked = self._choose_peers()
        if not asked:
            return 0
        self._number += 1
        self._rounds[self._number] = _Round(service, now_s, set(asked))
        backoff.delay_s = min(
            MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2.0 * backoff.delay_s)
        )
        backoff.next_s = now_s + backoff.delay_s
        request = messages.LoanRequest(
            service,
            self._number,
            min(MAX_WANTED, MARKUP * wanted / len(asked)),
        )
        for peer in asked:
            self._peers.send_request(peer, request)
        return len(asked)

    def receive(
        self, peer: str, grant: messages.LoanGrant, now_s: float
    ) -> messages.Loan | None:
        """Applies the answer of a peer.

        Returns:
          The loan; None if the answer lends nothing, is late, or is a duplicate
          of an earlier one.
        """
        self._expire(now_s)
        asked = self._rounds.get(grant.number)
        if asked is None or peer not in asked.unanswered:
            return None
        asked.unanswered.remove(peer)
        if not grant.amount > 0.0:
            return None
        self._backoffs[asked.service] = _Backoff()
        return messages.Loan(asked.service, grant.amount, asked.sent_s)

    def awaits_answer(
        self, service: str, now_s: float, within_s: float
    ) -> bool:
        """Returns whether an answer is due to a request of the last seconds."""
        return any(
            asked.service == service
            and asked.unanswered
            and now_s - asked.sent_s < within_s
            for asked in self._rounds.values()
        )

    def _choose_peers(self) -> list[str]:
        """Returns the next peers of a pass over all peers.

        A pass begins with the peers of this data centre. Each is asked once in
        a pass, and the order of each pass is random.
        """
        near = self._peers.list_names(near=True)
        far = self._peers.list_names(near=False)
        alive = {*near, *far}
        chosen: list[str] = []
        while len(chosen) < min(ASKED_PEERS, len(alive)):
            if not self._order:
                self._rng.shuffle(near)
                self._rng.shuffle(far)
                self._order = [*far, *near]
            name = self._order.pop()
            if name in alive and name not in chosen:
                chosen.append(name)
        return chosen

    def _take_token(self, now_s: float) -> bool:
        added = ROUNDS_PER_S * max(0.0, now_s - self._updated_s)
        self._tokens = min(MAX_ROUNDS, self._tokens + added)
        self._updated_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _expire(self, now_s: float) -> None:
        """Drops requests whose loans could not be used any more."""
        for number, asked in list(self._rounds.items()):
            if now_s - asked.sent_s < ledgers.VALID_S:
                break
            del self._rounds[number]
