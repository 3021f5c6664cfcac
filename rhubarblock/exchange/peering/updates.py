"""What instances tell each other of the work that they placed.

Datagrams, sent once and never confirmed: what is lost makes a prediction
worse for a moment and nothing else. An instance that started later is known as
soon as it speaks, and hears then what runs.
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
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import health as healths
from rhubarblock.routing.placement import jobtracker

# Seconds after which a crash is told once more; told twice within two seconds
# it counts once.
TELL_AGAIN_S = 0.4
_PLACED = "p"
_ENDED = "e"
_GREETING = "g"
_BROKEN = "b"
_CRASH = "c"
# Codes of what others than this module send and take.
LIMIT_REPORT = "l"
PERMIT_REQUEST = "q"
PERMIT_GRANT = "t"
_COUNTERS = {
    _PLACED: "placed",
    _ENDED: "ended",
    _GREETING: "greeting",
    _BROKEN: "broken",
    _CRASH: "crash",
    LIMIT_REPORT: "limit",
    PERMIT_REQUEST: "permit_request",
    PERMIT_GRANT: "permit_grant",
}
# What a listener takes: the fields after the code, and who sent them.
Listener = Callable[[list[Any], peer_table.Address], None]

_logger = logging.getLogger(__name__)


class PeerUpdates(asyncio.DatagramProtocol):
    """Tells peers of placed work and hears of theirs.

    Attributes:
      on_crash: called with an endpoint that crashed, and the ages of requests
        that ran there by their digests.
      on_start: called with the address of a peer that has just started.
    """

    def __init__(
        self,
        own_id: str,
        start_id: str,
        data_centre: str,
        book: jobtracker.JobTracker,
        health: healths.Health,
        subsets_: subsets.Subsets,
        peers: peer_table.PeerTable,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
        capacity: capacities.Capacity = capacities.UNKNOWN,
    ):
        """Creates an end that is not open yet.

        Args:
          own_id: name of this instance.
          start_id: differs between the starts of an instance.
          data_centre: data centre of this instance.
          book: takes what peers placed.
          health: takes what peers of the same data centre met.
          subsets_: which peers use which engines.
          peers: the other instances; it learns of them here.
          timers: the clock.
          metrics: counts datagrams by what they tell.
          capacity: what the machine of this instance can carry.
        """
        self._metrics = metrics
        self._own_id = own_id
        self._prefix = f"{own_id}.{start_id}"
        self._data_centre = data_centre
        self._greeting = [
            _GREETING,
            own_id,
            data_centre,
            self._prefix,
            [capacity.link_mbps, capacity.cores],
        ]
        # Jobs of this instance that have not ended, and when they were placed.
        self._own_jobs: dict[str, tuple[jobtracker.Job, float]] = {}
        self._book = book
        self._health = health
        self._subsets = subsets_
        self._timers = timers
        self._greetings = 0
        self._peers = peers
        self._transport: asyncio.DatagramTransport | None = None
        self._listeners: dict[str, Listener] = {}
        self.on_start: Callable[[peer_table.Address], None] = lambda address: (
            None
        )
        self.on_crash: Callable[[str, dict[str, float]], None] = (
            lambda endpoint_id, ages: None
        )

    @property
    def source(self) -> str:
        """Names this start of this instance."""
        return self._prefix

    def make_job_id(self, number: int) -> str:
        """Returns the id of a new job, unique over all instances."""
        return f"{self._prefix}.{number}"

    @contextlib.asynccontextmanager
    async def open(self, host: str, port: int) -> AsyncIterator["PeerUpdates"]:
        """Listens while the context is open."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = transport
        self._peers.set_own((host, port))
        try:
            with self._timers.subscribe(
                peer_table.GREETING_S, self.send_heartbeat
            ):
                yield self
        finally:
            self._transport = None
            transport.close()

    async def send_heartbeat(self) -> None:
        """Gives a sign of life, each time only to those that may rely on it."""
        is_for_all = self._greetings % peer_table.FAR_GREETINGS == 0
        self._greetings += 1
        if is_for_all:
            self._send(self._greeting, _is_any)
            return
        group = {address for address, _ in self._peers.list_group()}
        self._send(
            self._greeting,
            lambda address, peer: address in group or not peer.instance_id,
        )

    def announce_placed(self, job: jobtracker.Job) -> None:
        """Tells peers that use its engines of a job that was placed."""
        now_s = self._timers.read_monotonic()
        self._own_jobs[job.job_id] = (job, now_s)
        fields = _describe_job(job, job.parts[0].prefill_s)
        self._send(fields, self._make_filter(job))

    def announce_ended(self, job: jobtracker.Job) -> None:
        """Tells the same peers that the job ended."""
        self._own_jobs.pop(job.job_id, None)
        self._send([_ENDED, job.job_id], self._make_filter(job))

    def announce_broken(self, endpoint_id: str, data_centre: str) -> None:
        """Tells peers of an endpoint that broke a connection or kept silent.

        Only those of this data centre hear of it, as they use the same way.
        """
        self._send(
            [_BROKEN, self._data_centre, endpoint_id, data_centre],
            self._is_near,
        )

    def announce_crash(self, endpoint_id: str, ages: dict[str, float]) -> None:
        """Tells peers under which requests, by age, an endpoint crashed."""
        rounded = {digest: round(age_s, 2) for digest, age_s in ages.items()}
        fields = [_CRASH, endpoint_id, rounded]
        # A datagram may be lost, and this one must not be.
        self._send(fields, _is_any)
        self._timers.call_later(
            TELL_AGAIN_S, lambda: self._send(fields, _is_any)
        )

    def listen(self, code: str, listener: Listener) -> None:
        """Hands datagrams of a code to a listener.

        What it raises for fields that can't be read is logged here.
        """
        self._listeners[code] = listener

    def send_to(self, address: peer_table.Address, fields: list[Any]) -> None:
        """Sends a datagram to one peer."""
        self._send_to((address,), fields)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        now_s = self._timers.read_monotonic()
        peer = self._peers.find(addr)
        if peer is None:
            peer = self._peers.note_unknown(addr)
            self._send_to([addr], self._greeting)
        peer.heard_s = now_s
        self._metrics.count("news.received")
        try:
            fields = json.loads(data)
            listener = self._listeners.get(fields[0])
            if listener is not None:
                listener(fields[1:], addr)
                return
            self._take(fields, peer, now_s)
            if fields[0] == _GREETING:
                self._take_greeting(fields, peer, addr, now_s)
        except (ValueError, TypeError, IndexError) as error:
            _logger.debug("a datagram of %s can't be read: %s", addr, error)

    def error_received(self, exc: Exception) -> None:
        _logger.debug("a datagram could not be sent: %s", exc)

    def _take(
        self, fields: list[Any], peer: peer_table.Peer, now_s: float
    ) -> None:
        if fields[0] == _PLACED:
            _, job_id, ids, read_us, tokens, pause_ms, length, due_ms = fields
            held = tokens + [0] * (len(ids) - len(tokens))
            parts = tuple(
                jobtracker.Part(name, read_us / 1e6, n)
                for name, n in zip(ids, held, strict=True)
            )
            job = jobtracker.Job(
                job_id, parts, pause_ms / 1e3, length, due_ms / 1e3
            )
            self._book.add(job, now_s)
        elif fields[0] == _ENDED:
            self._book.remove(fields[1])
        elif fields[0] == _CRASH:
            self.on_crash(fields[1], fields[2])
        elif fields[0] == _BROKEN and fields[1] == self._data_centre:
            self._health.note_unreachable(fields[2], fields[3], now_s)

    def _take_greeting(
        self,
        fields: list[Any],
        peer: peer_table.Peer,
        address: peer_table.Address,
        now_s: float,
    ) -> None:
        """Learns who speaks; a new start of it runs none of the old jobs."""
        _, peer.instance_id, peer.data_centre, source, carries = fields
        peer.capacity = capacities.Capacity(*map(float, carries))
        if source == peer.source:
            return
        if peer.source:
            self._book.remove_source(peer.source)
        peer.source = source
        # It may have given no state because it was not up.
        peer.distrusted_until_s = 0.0
        for job, placed_s in self._own_jobs.values():
            left_s = max(0.0, job.parts[0].prefill_s - (now_s - placed_s))
            self._send_to([address], _describe_job(job, left_s))
        self.on_start(address)

    def _is_near(
        self, address: peer_table.Address, peer: peer_table.Peer
    ) -> bool:
        """Whether a peer runs in this data centre; one unknown may."""
        del address
        return peer.data_centre in ("", self._data_centre)

    def _make_filter(self, job: jobtracker.Job) -> peer_table.Filter:
        """Returns what says whether a peer uses an engine of a job.

        One that is unknown may.
        """
        uses = self._subsets.make_filter(p.endpoint_id for p in job.parts)
        return lambda address, peer: (
            not peer.instance_id or uses(peer.instance_id, peer.data_centre)
        )

    def _send(self, fields: list[Any], is_told: peer_table.Filter) -> None:
        """Sends a datagram to those peers that are to be told."""
        self._send_to(self._peers.list_told(is_told), fields)

    def _send_to(
        self, addresses: Iterable[peer_table.Address], fields: list[Any]
    ) -> None:
        """Sends a datagram to some peers, counted once for all of them."""
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


def _describe_job(job: jobtracker.Job, prefill_s: float) -> list[Any]:
    """Returns what is told of a job, with the reading that is left of it."""
    ids = [part.endpoint_id for part in job.parts]
    tokens = [part.tokens for part in job.parts]
    while tokens[-1:] == [0]:
        tokens.pop()
    read_us = round(prefill_s * 1e6)
    return [
        _PLACED,
        job.job_id,
        ids,
        read_us,
        tokens,
        round(job.pause_s * 1e3),
        job.prompt_tokens,
        round(job.objective_s * 1e3),
    ]


def _is_any(address: peer_table.Address, peer: peer_table.Peer) -> bool:
    del address, peer
    return True
