"""Callers that reuse one connection until their instance closes it.

A load balancer opens no new connections to an instance that is stopping, but a
caller with an open connection uses it until it is closed.
"""

import asyncio
import random

from tools.soak import callers
from tools.soak import evidence as evidences
from tools.soak import fleet
from tools.soak import wire

# Mean seconds between an answer and the next request of a busy caller.
BUSY_INTERVAL_S = 0.15
# Share of the callers that idle between two requests, and for how many seconds.
# A stopping instance closes a connection with its next answer, so only the idle
# callers still have a connection when it closes the remaining ones.
IDLE_SHARE = 0.7
IDLE_INTERVAL_S = 1.5
# Seconds after the stop signal between which idle callers send their next
# request: around the moment at which the instance closes idle connections.
LATE_REQUEST_S = (2.3, 3.2)
# Seconds between two checks of whether the instance got the stop signal.
POLL_S = 0.1
# Share of the requests that are sent in pieces, how many pieces, and the
# longest time in seconds for sending all of them.
SPLIT_SHARE = 0.5
PIECES = 5
MAX_SEND_S = 0.5
# Share of the requests in pieces whose first piece ends within the header
# section.
SPLIT_HEAD_SHARE = 0.5
# Bytes of a body.
BODY_BYTES = 2_000
# If the connection is closed within these seconds after the first byte of a
# request, the instance may not have read the request.
UNREAD_CLOSE_S = 0.3


class KeepAliveCaller:
    """Sends one request after another on one connection to one instance."""

    def __init__(
        self,
        name: str,
        instance: fleet.SoakInstance,
        keys: list[str],
        evidence: evidences.Evidence,
        rng: random.Random,
    ):
        self._name = name
        self._instance = instance
        self._keys = keys
        self._evidence = evidence
        self._rng = rng
        self._count = 0
        self._is_idle = rng.random() < IDLE_SHARE

    async def run(self) -> None:
        """Sends requests over one connection after another, until cancelled."""
        while True:
            process_id = self._instance.process_id
            if process_id and not self._instance.is_leaving:
                await self._use_connection(process_id)
            await asyncio.sleep(BUSY_INTERVAL_S)

    async def _use_connection(self, process_id: int) -> None:
        """Opens a connection and uses it until it is closed."""
        try:
            connection = await wire.connect(
                self._instance.ip, self._instance.front
            )
        except OSError:
            return
        try:
            while connection.closed_s is None:
                answer = await self.send_request(connection, process_id)
                if answer is None or answer.is_last:
                    return
                await self._wait_for_next(process_id)
        finally:
            connection.close()

    async def send_request(
        self, connection: wire.Connection, process_id: int
    ) -> wire.Answer | None:
        """Sends a request; returns its complete answer, or None."""
        self._count += 1
        kind = self._rng.choice(list(callers.PATHS))
        sent = evidences.SentRequest(
            f"{self._name}-{self._count}",
            kind,
            self._rng.choice(self._keys),
            evidences.read_clock(),
            process_id,
            address=self._instance.ip,
            is_first=connection.served == 0,
        )
        self._evidence.sent[sent.request_id] = sent
        answer = None
        try:
            async with asyncio.timeout(callers.REQUEST_TIMEOUT_S):
                await connection.send(*self._choose_pieces(sent))
                answer = await connection.read_answer()
        except TimeoutError:
            sent.has_timed_out = True
        if answer is not None:
            callers.note_endpoint_headers(
                self._evidence, answer.headers, process_id
            )
            sent.status = answer.status
            sent.is_complete = callers.is_valid_answer(
                sent, answer.headers, answer.body
            )
        elif connection.closed_s is not None:
            sent.may_be_unread = self._can_be_unread(sent, connection)
        self._evidence.note_answer(sent, process_id)
        return answer

    def _can_be_unread(
        self, sent: evidences.SentRequest, connection: wire.Connection
    ) -> bool:
        """Whether a stopping instance may have closed the connection unread.

        It may if the connection was idle, the request was sent after the load
        balancer had noticed the stop, and the connection closed at once. An
        instance that closes it later has read the request and must answer it.
        """
        stop_signalled_s = self._evidence.stop_signalled_s.get(sent.process_id)
        if stop_signalled_s is None or connection.closed_s is None:
            return False
        return (
            connection.served > 0
            and not connection.received
            and sent.at_s > stop_signalled_s + fleet.BALANCER_DELAY_S
            and connection.closed_s < sent.at_s + UNREAD_CLOSE_S
        )

    async def _wait_for_next(self, process_id: int) -> None:
        """Waits until the next request is due."""
        interval_s = IDLE_INTERVAL_S if self._is_idle else BUSY_INTERVAL_S
        due_s = evidences.read_clock() + interval_s * (0.5 + self._rng.random())
        while (remaining_s := due_s - evidences.read_clock()) > 0:
            await asyncio.sleep(min(remaining_s, POLL_S))
            stop_signalled_s = self._evidence.stop_signalled_s.get(process_id)
            if self._is_idle and stop_signalled_s is not None:
                due_s = stop_signalled_s + self._rng.uniform(*LATE_REQUEST_S)
                await asyncio.sleep(due_s - evidences.read_clock())

    def _choose_pieces(
        self, sent: evidences.SentRequest
    ) -> tuple[list[bytes], float]:
        """Returns the pieces of a request and the seconds between them."""
        head = self._make_head(sent)
        message = head + b"b" * BODY_BYTES
        if self._rng.random() >= SPLIT_SHARE:
            return [message], 0.0
        splits_head = self._rng.random() < SPLIT_HEAD_SHARE
        first = self._rng.randrange(1, len(head)) if splits_head else len(head)
        remainder = range(first + 1, len(message))
        boundaries = sorted(self._rng.sample(remainder, PIECES - 2))
        bounds = [0, first, *boundaries, len(message)]
        pieces = [
            message[begin:end]
            for begin, end in zip(bounds, bounds[1:], strict=False)
        ]
        return pieces, self._rng.uniform(0.0, MAX_SEND_S) / (PIECES - 1)

    def _make_head(self, sent: evidences.SentRequest) -> bytes:
        headers = callers.make_headers(sent, self._rng)
        headers["Content-Length"] = str(BODY_BYTES)
        lines = [f"POST {callers.PATHS[sent.kind]} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode()
