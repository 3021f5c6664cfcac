"""Exchanges crashes, answered prompt parts and quarantines between instances.

They are sent as datagrams on the channel of other peer updates. Crashes and
quarantines are sent twice, as a datagram may be lost.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import functools
import itertools
import random
from typing import Any

from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.fleet import rendezvous
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.quarantine import partregistry
from rhubarblock.routing.quarantine import registry as quarantineregistry

# Number of instances that send the quarantines to a peer that has started.
INFORMANTS = 3
# Largest number of quarantines in a datagram.
RECORDS_PER_DATAGRAM = 16
# Longest accepted part and number of parts in a message, as peers of a later
# version may send more.
MAX_PART_LENGTH = 256
# Seconds within which instances that know an answer on a suspect part report
# it, at different moments: once one has, the others need not.
REPORT_SPREAD_S = 0.05


class DatagramQuarantinePeers(quarantines.QuarantinePeers):
    """The other instances, reached through peer updates."""

    __slots__ = ("_own_id", "_rng", "_table", "_timers", "_updates", "_waiting")

    def __init__(
        self,
        updates: peer_updates.PeerUpdates,
        table: peer_table.PeerTable,
        own_id: str,
        timers: timer_service.Timers,
        rng: random.Random,
    ):
        """Creates a view of the known peers.

        Args:
          updates: sends and receives datagrams.
          table: the other instances.
          own_id: name of this instance.
          timers: the clock.
          rng: spreads the reports of answers.
        """
        self._updates = updates
        self._table = table
        self._own_id = own_id
        self._timers = timers
        self._rng = rng
        # Ages of answers that are about to be reported.
        self._waiting: dict[str, float] = {}

    def announce_crash(
        self,
        endpoint_id: str,
        requests: Mapping[str, partregistry.Parts],
        served_ages: Mapping[str, float],
        ages: Mapping[str, float],
    ) -> None:
        now_s = self._timers.read_monotonic()
        named = {digest: sorted(parts) for digest, parts in requests.items()}
        served = {part: now_s - age_s for part, age_s in served_ages.items()}

        def make_fields() -> list[Any]:
            sent_s = self._timers.read_monotonic()
            ages = {part: _age(sent_s, at_s) for part, at_s in served.items()}
            return [peer_updates.PART_CRASH, endpoint_id, named, ages]

        if requests:
            self._updates.send_twice(make_fields)
        self._updates.announce_crash(endpoint_id, dict(ages))

    def announce_served(self, ages: Mapping[str, float]) -> None:
        self._updates.send_to_all([peer_updates.PART_SERVED, _round(ages)])

    def announce_records(self, records: quarantines.Records) -> None:
        for some in _split(records):
            self._updates.send_twice(functools.partial(self._encode, some))

    def send_records(
        self, address: peer_table.Address, records: quarantines.Records
    ) -> None:
        """Sends quarantines to a peer that has started."""
        if self._count_better(f"quarantine/{address}") < INFORMANTS:
            for some in _split(records):
                self._updates.send_to(address, self._encode(some))

    def report_served(self, ages: Mapping[str, float]) -> None:
        """Reports answers soon, unless another instance does before."""
        if not ages:
            return
        self._waiting |= ages
        parts = list(ages)
        self._timers.call_later(
            self._rng.uniform(0.0, REPORT_SPREAD_S),
            lambda: self._report(parts),
        )

    def drop_reports(self, ages: Mapping[str, float]) -> None:
        """Drops the reports that another instance has made."""
        for part in ages:
            self._waiting.pop(part, None)

    def is_first(self, key: str) -> bool:
        return self._count_better(key) == 0

    def _report(self, parts: list[str]) -> None:
        ages = {
            part: self._waiting.pop(part)
            for part in parts
            if part in self._waiting
        }
        if ages:
            self.announce_served(ages)

    def _count_better(self, key: str) -> int:
        """Returns how many live peers are before this instance for a key."""
        own = rendezvous.compute_score(key, self._own_id)
        return sum(
            rendezvous.compute_score(key, peer.instance_id) > own
            for _, peer in self._table.list_alive()
            if peer.instance_id
        )

    def _encode(self, records: quarantines.Records) -> list[Any]:
        now_s = self._timers.read_monotonic()
        return [peer_updates.QUARANTINED, encode_records(records, now_s)]


def connect(
    updates: peer_updates.PeerUpdates,
    peers: DatagramQuarantinePeers,
    quarantine: quarantines.ExchangeQuarantine,
    timers: timer_service.Timers,
) -> None:
    """Connects a quarantine to the messages of peers."""

    def receive_crash(fields: list[Any], _: peer_table.Address) -> None:
        endpoint_id, requests, served_ages = fields
        peers.report_served(
            quarantine.receive_part_crash(
                str(endpoint_id), _read_requests(requests), _read(served_ages)
            )
        )

    def receive_served(fields: list[Any], _: peer_table.Address) -> None:
        ages = _read(fields[0])
        peers.drop_reports(ages)
        quarantine.receive_served(ages)

    def receive_records(fields: list[Any], _: peer_table.Address) -> None:
        now_s = timers.read_monotonic()
        quarantine.receive_records(read_records(fields[0], now_s))

    updates.listen(peer_updates.PART_CRASH, receive_crash)
    updates.listen(peer_updates.PART_SERVED, receive_served)
    updates.listen(peer_updates.QUARANTINED, receive_records)
    updates.on_crash = quarantine.receive_request_crash
    updates.start_listeners.append(
        lambda address: peers.send_records(address, quarantine.list_records())
    )


def encode_records(
    records: quarantines.Records, now_s: float
) -> list[list[Any]]:
    """Encodes quarantines with ages, as instances have clocks of their own."""
    entries: list[list[Any]] = [
        [sorted(q.parts), _age(now_s, q.at_s), q.crashes, q.trials]
        for q in records.parts
    ]
    entries += [
        [r.digest, _age(now_s, r.at_s), r.crashes] for r in records.requests
    ]
    return entries


def read_records(entries: list[Any], now_s: float) -> quarantines.Records:
    """Decodes quarantines with ages.

    Args:
      entries: as in a datagram.
      now_s: the current time of this instance.

    Raises:
      ValueError: an entry can't be decoded.
      TypeError: the same.
    """
    parts = []
    requests = []
    for named, age_s, crashes, *rest in entries:
        at_s = now_s - max(0.0, float(age_s))
        if isinstance(named, str):
            requests.append(
                quarantineregistry.QuarantineRecord(named, at_s, int(crashes))
            )
            continue
        quarantine = partregistry.Quarantine(
            frozenset(map(_check_part, named)),
            at_s,
            int(crashes),
            int(rest[0]) if rest else 0,
            shared_s=now_s,
        )
        if quarantine.parts:
            parts.append(quarantine)
    return quarantines.Records(tuple(parts), tuple(requests))


def _split(records: quarantines.Records) -> Iterator[quarantines.Records]:
    """Yields the records in lots that fit into a datagram."""
    for at in range(0, len(records.parts), RECORDS_PER_DATAGRAM):
        yield quarantines.Records(records.parts[at : at + RECORDS_PER_DATAGRAM])
    for at in range(0, len(records.requests), RECORDS_PER_DATAGRAM):
        yield quarantines.Records(
            requests=records.requests[at : at + RECORDS_PER_DATAGRAM]
        )


def _read_requests(fields: Any) -> dict[str, partregistry.Parts]:
    if not isinstance(fields, dict):
        raise TypeError("no requests by digest")
    some = itertools.islice(fields.items(), partregistry.MAX_PARTS_OF_CRASH)
    return {
        digest: frozenset(map(_check_part, parts)) for digest, parts in some
    }


def _read(fields: Any) -> dict[str, float]:
    if not isinstance(fields, dict):
        raise TypeError("no ages by part")
    some = itertools.islice(fields.items(), partregistry.MAX_PARTS_OF_CRASH)
    return {_check_part(part): max(0.0, float(age_s)) for part, age_s in some}


def _check_part(part: Any) -> str:
    if not isinstance(part, str) or not 0 < len(part) <= MAX_PART_LENGTH:
        raise ValueError("no name of a part")
    return part


def _round(ages: Mapping[str, float]) -> dict[str, float]:
    return {part: round(age_s, 3) for part, age_s in ages.items()}


def _age(now_s: float, at_s: float) -> float:
    return round(now_s - at_s, 3)
