"""Datagrams between instances about placed work and endpoint failures.

They are never acknowledged and, except for crashes, sent once: a lost datagram
only makes a prediction worse for a moment. An instance that starts later
becomes known by its first datagram, and then receives the running jobs.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import json
import logging
from typing import Any

from rhubarblock.core import capacity as capacities
from rhubarblock.core import jsontext
from rhubarblock.core import listed as lists
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import health as healths
from rhubarblock.routing.placement import jobtracker

# Seconds after which a crash is sent again; receivers count two announcements
# within two seconds as one crash.
RESEND_S = 0.4
_PLACED = "p"
_ENDED = "e"
_HEARTBEAT = "g"
_BROKEN = "b"
_CRASH = "c"
# Codes of datagrams that other modules send and receive.
LIMIT_REPORT = "l"
PERMIT_REQUEST = "q"
PERMIT_GRANT = "t"
DEMAND = "d"
LOAN_REQUEST = "rq"
LOAN_GRANT = "rg"
ADDRESS_REUSED = "ar"
PART_CRASH = "pc"
PART_SERVED = "ps"
QUARANTINED = "pq"
_COUNTERS = {
    _PLACED: "placed",
    _ENDED: "ended",
    _HEARTBEAT: "greeting",
    _BROKEN: "broken",
    _CRASH: "crash",
    LIMIT_REPORT: "limit",
    PERMIT_REQUEST: "permit_request",
    PERMIT_GRANT: "permit_grant",
    DEMAND: "demand",
    LOAN_REQUEST: "loan_request",
    LOAN_GRANT: "loan_grant",
    ADDRESS_REUSED: "address_reused",
    PART_CRASH: "part_crash",
    PART_SERVED: "part_served",
    QUARANTINED: "quarantined",
}
# Receives the fields after the code and the address of the sender.
Listener = Callable[[list[Any], peer_table.Address], None]

_logger = logging.getLogger(__name__)


class PeerUpdates(asyncio.DatagramProtocol):
    """Announces placed work to peers and receives their announcements.

    Attributes:
      on_crash: called with the id of an endpoint that crashed, and the ages in
        seconds of the requests that ran there, by digest.
      start_listeners: called with the address of a peer that has just started.
    """

    def __init__(
        self,
        own_id: str,
        start_id: str,
        data_centre: str,
        job_tracker: jobtracker.JobTracker,
        health: healths.Health,
        subsets_: subsets.Subsets,
        peers: peer_table.PeerTable,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
        capacity: capacities.Capacity = capacities.UNKNOWN,
    ):
        """Creates a channel that is not open yet.

        Args:
          own_id: name of this instance.
          start_id: unique for each start of an instance.
          data_centre: data centre of this instance.
          job_tracker: receives jobs that peers placed.
          health: receives failures that peers of the same data centre
            observed.
          subsets_: which peers use which engines.
          peers: the other instances; senders are added to it.
          timers: the clock.
          metrics: counters of datagrams by kind.
          capacity: capacity of this instance's machine.
        """
        self._metrics = metrics
        self._own_id = own_id
        self._source = f"{own_id}.{start_id}"
        self._data_centre = data_centre
        self._heartbeat = [
            _HEARTBEAT,
            own_id,
            data_centre,
            self._source,
            [capacity.link_mbps, capacity.cores],
        ]
        # Running jobs of this instance, and when they were placed.
        self._own_jobs: dict[str, tuple[jobtracker.Job, float]] = {}
        self._job_tracker = job_tracker
        self._health = health
        self._subsets = subsets_
        self._timers = timers
        self._heartbeat_count = 0
        self._peers = peers
        self._transport: asyncio.DatagramTransport | None = None
        self._listeners: dict[str, Listener] = {}
        self.start_listeners: list[Callable[[peer_table.Address], None]] = []
        self.on_crash: Callable[[str, dict[str, float]], None] = (
            lambda endpoint_id, ages: None
        )

    @property
    def source(self) -> str:
        """Id of this start of this instance."""
        return self._source

    def make_job_id(self, number: int) -> str:
        """Returns the id of a new job, unique over all instances."""
        return f"{self._source}.{number}"

    @contextlib.asynccontextmanager
    async def open(self, host: str, port: int) -> AsyncIterator["PeerUpdates"]:
        """Opens the socket while the context is open."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = transport
        self._peers.set_own_address((host, port))
        try:
            with self._timers.subscribe(
                peer_table.HEARTBEAT_S, self.send_heartbeat
            ):
                yield self
        finally:
            self._transport = None
            transport.close()

    async def send_heartbeat(self) -> None:
        """Sends a heartbeat, usually only to peers that share a reader."""
        is_for_all = self._heartbeat_count % peer_table.FAR_HEARTBEATS == 0
        self._heartbeat_count += 1
        if is_for_all:
            self._broadcast(self._heartbeat, _accepts_all)
            return
        group = {address for address, _ in self._peers.list_group()}
        self._broadcast(
            self._heartbeat,
            lambda address, peer: address in group or not peer.instance_id,
        )

    def announce_placed(self, job: jobtracker.Job) -> None:
        """Announces a placed job to the peers that use its engines."""
        now_s = self._timers.read_monotonic()
        self._own_jobs[job.job_id] = (job, now_s)
        fields = _encode_job(job, job.parts[0].prefill_s)
        self._broadcast(fields, self._make_job_filter(job))

    def announce_ended(self, job: jobtracker.Job) -> None:
        """Announces the end of a job to the same peers."""
        self._own_jobs.pop(job.job_id, None)
        self._broadcast([_ENDED, job.job_id], self._make_job_filter(job))

    def announce_broken(self, endpoint_id: str, data_centre: str) -> None:
        """Announces an endpoint that broke a connection or stalled.

        Only peers of this data centre receive it, as they share its network
        path.
        """
        self._broadcast(
            [_BROKEN, self._data_centre, endpoint_id, data_centre],
            self._is_in_own_data_centre,
        )

    def announce_reused(self, endpoint: lists.ListedEndpoint) -> None:
        """Announces that an endpoint's address belongs to another one now.

        The peers that use the endpoint receive it. Call it before the endpoint
        is removed from the directory, which tells which peers these are.
        """
        fields = [
            ADDRESS_REUSED,
            endpoint.endpoint_id,
            endpoint.address,
            endpoint.born_ms,
        ]
        self._broadcast(fields, self._make_filter((endpoint.endpoint_id,)))

    def announce_crash(self, endpoint_id: str, ages: dict[str, float]) -> None:
        """Announces a crash and the ages of the requests that ran there."""
        rounded = {digest: round(age_s, 2) for digest, age_s in ages.items()}
        fields = [_CRASH, endpoint_id, rounded]
        self.send_twice(lambda: fields)

    def listen(self, code: str, listener: Listener) -> None:
        """Registers a listener for datagrams with a code.

        Errors that it raises for malformed fields are logged here.
        """
        self._listeners[code] = listener

    def send_to_all(self, fields: list[Any]) -> None:
        """Sends a datagram to all peers."""
        self._broadcast(fields, _accepts_all)

    def send_twice(self, make_fields: Callable[[], list[Any]]) -> None:
        """Sends a datagram that matters to all peers, and again soon.

        Args:
          make_fields: returns the fields with their present ages.
        """
        self.send_to_all(make_fields())
        self._timers.call_later(
            RESEND_S, lambda: self.send_to_all(make_fields())
        )

    def send_to(self, address: peer_table.Address, fields: list[Any]) -> None:
        """Sends a datagram to one peer."""
        self._send_to((address,), fields)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        now_s = self._timers.read_monotonic()
        peer = self._peers.find(addr)
        if peer is None:
            peer = self._peers.add_unknown(addr)
            self._send_to([addr], self._heartbeat)
        peer.last_seen_s = now_s
        self._metrics.count("news.received")
        try:
            fields = jsontext.load(data)
            listener = self._listeners.get(fields[0])
            if listener is not None:
                listener(fields[1:], addr)
                return
            self._apply(fields, peer, now_s)
            if fields[0] == _HEARTBEAT:
                self._apply_heartbeat(fields, peer, addr, now_s)
        except jsontext.MISMATCH as error:
            _logger.debug("unreadable datagram from %s: %s", addr, error)

    def error_received(self, exc: Exception) -> None:
        _logger.debug("failed to send a datagram: %s", exc)

    def _apply(
        self, fields: list[Any], peer: peer_table.Peer, now_s: float
    ) -> None:
        if fields[0] == _PLACED:
            (
                _,
                job_id,
                ids,
                prefill_us,
                tokens,
                pause_ms,
                length,
                objective_ms,
            ) = fields
            part_tokens = tokens + [0] * (len(ids) - len(tokens))
            parts = tuple(
                jobtracker.Part(name, prefill_us / 1e6, n)
                for name, n in zip(ids, part_tokens, strict=True)
            )
            job = jobtracker.Job(
                job_id, parts, pause_ms / 1e3, length, objective_ms / 1e3
            )
            self._job_tracker.add(job, now_s)
        elif fields[0] == _ENDED:
            self._job_tracker.end(fields[1], now_s)
        elif fields[0] == _CRASH:
            self.on_crash(fields[1], fields[2])
        elif fields[0] == _BROKEN and fields[1] == self._data_centre:
            self._health.note_unreachable(fields[2], fields[3], now_s)

    def _apply_heartbeat(
        self,
        fields: list[Any],
        peer: peer_table.Peer,
        address: peer_table.Address,
        now_s: float,
    ) -> None:
        """Updates the sender's record and drops its jobs after a restart."""
        _, peer.instance_id, peer.data_centre, source, capacity = fields
        peer.capacity = capacities.Capacity(*map(float, capacity))
        if source == peer.source:
            return
        if peer.source:
            self._job_tracker.remove_source(peer.source)
        peer.source = source
        # The backoff may be due to the restart.
        peer.backoff_until_s = 0.0
        for job, placed_s in self._own_jobs.values():
            left_s = max(0.0, job.parts[0].prefill_s - (now_s - placed_s))
            self._send_to([address], _encode_job(job, left_s))
        for listener in self.start_listeners:
            listener(address)

    def _is_in_own_data_centre(
        self, address: peer_table.Address, peer: peer_table.Peer
    ) -> bool:
        """Returns whether a peer is unidentified or in this data centre."""
        del address
        return peer.data_centre in ("", self._data_centre)

    def _make_job_filter(self, job: jobtracker.Job) -> peer_table.Filter:
        """Returns a filter of the peers that use an engine of a job."""
        return self._make_filter(part.endpoint_id for part in job.parts)

    def _make_filter(self, endpoint_ids: Iterable[str]) -> peer_table.Filter:
        """Returns a filter of the peers that use one of some endpoints.

        It includes unidentified peers.
        """
        uses = self._subsets.make_filter(endpoint_ids)
        return lambda address, peer: (
            not peer.instance_id or uses(peer.instance_id, peer.data_centre)
        )

    def _broadcast(
        self, fields: list[Any], is_recipient: peer_table.Filter
    ) -> None:
        """Sends a datagram to all peers that a filter selects."""
        self._send_to(self._peers.list_recipients(is_recipient), fields)

    def _send_to(
        self, addresses: Iterable[peer_table.Address], fields: list[Any]
    ) -> None:
        """Sends a datagram to some peers and counts it."""
        if self._transport is None:
            return
        data = _encode(fields)
        sent = 0
        for address in addresses:
            self._transport.sendto(data, address)
            sent += 1
        if sent:
            self._metrics.count(f"news.sent.{_COUNTERS[fields[0]]}", sent)
            self._metrics.count("news.sent_bytes", sent * len(data))


def _encode(fields: list[Any]) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def _encode_job(job: jobtracker.Job, prefill_s: float) -> list[Any]:
    """Encodes a placed job with its remaining prefill."""
    ids = [part.endpoint_id for part in job.parts]
    tokens = [part.tokens for part in job.parts]
    while tokens[-1:] == [0]:
        tokens.pop()
    prefill_us = round(prefill_s * 1e6)
    return [
        _PLACED,
        job.job_id,
        ids,
        prefill_us,
        tokens,
        round(job.pause_s * 1e3),
        job.prompt_tokens,
        round(job.objective_s * 1e3),
    ]


def _accepts_all(address: peer_table.Address, peer: peer_table.Peer) -> bool:
    del address, peer
    return True
