"""What instances tell each other of the work that they placed.

Datagrams, sent once and never confirmed: what is lost makes a prediction
worse for a moment and nothing else. Peers are found through the store's list
of instances, and each datagram names its sender, so that an instance which
started later is known as soon as it speaks.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import logging
from typing import Any

from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import enginebook
from rhubarblock.routing import health as healths

# Seconds after which an instance that has been silent is not told any more:
# longer than any cut that is to heal without a new listing.
SILENT_S = 60.0
# Seconds between two signs of life of an instance that has nothing to tell.
GREETING_S = 2.0

_PLACED = "p"
_ENDED = "e"
_GREETING = "g"
_BROKEN = "b"

_logger = logging.getLogger(__name__)


class News(asyncio.DatagramProtocol):
    """Tells peers of placed work and hears of theirs."""

    def __init__(
        self,
        own_id: str,
        start_id: str,
        data_centre: str,
        book: enginebook.EngineBook,
        health: healths.Health,
        timers: timer_service.Timers,
    ):
        """Creates an end that is not open yet.

        Args:
          own_id: name of this instance.
          start_id: differs between the starts of an instance.
          data_centre: data centre of this instance.
          book: takes what peers placed.
          health: takes what peers of the same data centre met.
          timers: the clock.
        """
        self._prefix = f"{own_id}.{start_id}"
        self._data_centre = data_centre
        self._book = book
        self._health = health
        self._timers = timers
        self._peers: dict[tuple[str, int], float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._own: tuple[str, int] = ("", 0)

    def make_job_id(self, number: int) -> str:
        """Returns the id of a new job, unique over all instances."""
        return f"{self._prefix}.{number}"

    @contextlib.asynccontextmanager
    async def open(self, host: str, port: int) -> AsyncIterator["News"]:
        """Listens while the context is open."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = transport
        self._own = (host, port)
        try:
            with self._timers.subscribe(GREETING_S, self.greet):
                yield self
        finally:
            self._transport = None
            transport.close()

    def add_peer(self, host: str, port: int) -> None:
        """Takes in an instance that the store lists."""
        if (host, port) != self._own:
            self._peers.setdefault((host, port), self._timers.read_monotonic())

    def count_instances(self) -> int:
        """Returns how many instances there are, this one included."""
        return len(self._peers) + 1

    async def greet(self) -> None:
        """Gives a sign of life."""
        self._send([_GREETING])

    def tell_placed(self, job: enginebook.Job) -> None:
        """Tells peers of a job that was placed."""
        read_us = round(job.parts[0].read_s * 1e6)
        ids = [part.endpoint_id for part in job.parts]
        pause_ms = round(job.pause_s * 1e3)
        tokens = [part.tokens for part in job.parts]
        while tokens[-1:] == [0]:
            tokens.pop()
        self._send([_PLACED, job.job_id, ids, read_us, tokens, pause_ms])

    def tell_ended(self, job_id: str) -> None:
        """Tells peers that a job ended."""
        self._send([_ENDED, job_id])

    def tell_broken(self, endpoint_id: str, data_centre: str) -> None:
        """Tells peers of an endpoint that broke a connection or kept silent."""
        self._send([_BROKEN, self._data_centre, endpoint_id, data_centre])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        now_s = self._timers.read_monotonic()
        self._peers[addr] = now_s
        try:
            self._take(json.loads(data), now_s)
        except (ValueError, TypeError, IndexError) as error:
            _logger.debug("a datagram of %s can't be read: %s", addr, error)

    def error_received(self, exc: Exception) -> None:
        _logger.debug("a datagram could not be sent: %s", exc)

    def _take(self, fields: list[Any], now_s: float) -> None:
        if fields[0] == _PLACED:
            _, job_id, ids, read_us, tokens, pause_ms = fields
            held = tokens + [0] * (len(ids) - len(tokens))
            parts = tuple(
                enginebook.Part(name, read_us / 1e6, n)
                for name, n in zip(ids, held, strict=True)
            )
            job = enginebook.Job(job_id, parts, pause_ms / 1e3)
            self._book.add(job, now_s)
        elif fields[0] == _ENDED:
            self._book.remove(fields[1])
        elif fields[0] == _BROKEN and fields[1] == self._data_centre:
            self._health.note_broken(fields[2], fields[3], now_s)

    def _send(self, fields: list[Any]) -> None:
        if self._transport is None:
            return
        data = json.dumps(fields, separators=(",", ":")).encode()
        oldest_s = self._timers.read_monotonic() - SILENT_S
        for peer, heard_s in list(self._peers.items()):
            if heard_s < oldest_s:
                del self._peers[peer]
                continue
            self._transport.sendto(data, peer)
