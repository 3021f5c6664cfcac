"""Callers that keep a connection until their instance closes it.

A balancer sends no new connections to an instance that leaves, but who holds an
open one goes on with it up to the last moment.
"""

import asyncio
import random

from tools.soak import callers
from tools.soak import evidence as evidences
from tools.soak import fleet
from tools.soak import wire

# Seconds of a busy caller between an answer and its next request.
PAUSE_S = 0.15
# Share of the callers that rest for long between two requests, and for how many
# seconds. An instance that leaves ends a connection with its next answer, so
# only these still have theirs when the others are closed.
RESTING_SHARE = 0.7
REST_S = 1.5
# Seconds after a signal to stop between which those that rest go on: around the
# moment at which connections are left.
LATE_S = (2.3, 3.2)
# Seconds between two looks at whether the instance was told to stop.
LOOK_S = 0.1
# Share of the requests that come in pieces, how many pieces, and the longest
# time in seconds for all of them.
PIECES_SHARE = 0.5
PIECES = 5
SEND_S = 0.5
# Share of the requests in pieces whose first piece ends within the head.
HEAD_SHARE = 0.5
# Bytes of a body.
BODY = 2_000
# Seconds after the first byte of a request within which a connection that is
# closed may not have read it.
UNREAD_S = 0.3


class KeptCaller:
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
        self._rests = rng.random() < RESTING_SHARE

    async def live(self) -> None:
        """Sends until it is cancelled, over one connection after another."""
        while True:
            process_id = self._instance.process_id
            if process_id and not self._instance.is_leaving:
                await self._use_connection(process_id)
            await asyncio.sleep(PAUSE_S)

    async def _use_connection(self, process_id: int) -> None:
        """Opens a connection and uses it to its end."""
        try:
            connection = await wire.connect(
                self._instance.ip, self._instance.front
            )
        except OSError:
            return
        try:
            while connection.closed_s is None:
                answer = await self.ask(connection, process_id)
                if answer is None or answer.is_last:
                    return
                await self._pause(process_id)
        finally:
            connection.close()

    async def ask(
        self, connection: wire.Connection, process_id: int
    ) -> wire.Answer | None:
        """Sends a request; returns its answer, or None without a whole one."""
        self._count += 1
        kind = self._rng.choice(list(callers.PATHS))
        sent = evidences.Sent(
            f"{self._name}-{self._count}",
            kind,
            self._rng.choice(self._keys),
            evidences.read_clock(),
            process_id,
        )
        self._evidence.sent[sent.request_id] = sent
        answer = None
        try:
            async with asyncio.timeout(callers.WAIT_S):
                await connection.send(*self._choose_pieces(sent))
                answer = await connection.read_answer()
        except TimeoutError:
            sent.overdue = True
        if answer is not None:
            callers.note_words(self._evidence, answer.headers, process_id)
            sent.status = answer.status
            sent.whole = callers.is_own(sent, answer.headers, answer.body)
        elif connection.closed_s is not None:
            sent.is_unread = self._may_be_unread(sent, connection)
        self._evidence.note_answer(sent, process_id)
        return answer

    def _may_be_unread(
        self, sent: evidences.Sent, connection: wire.Connection
    ) -> bool:
        """Whether a request crossed the close of a connection that was left.

        One that is closed later had been read: its answer is owed.
        """
        stopped_s = self._evidence.stopped_s.get(sent.process_id)
        if stopped_s is None or connection.closed_s is None:
            return False
        return (
            connection.served > 0
            and not connection.received
            and sent.at_s > stopped_s + fleet.SEEN_S
            and connection.closed_s < sent.at_s + UNREAD_S
        )

    async def _pause(self, process_id: int) -> None:
        """Waits until the next request is due."""
        pause_s = REST_S if self._rests else PAUSE_S
        due_s = evidences.read_clock() + pause_s * (0.5 + self._rng.random())
        while (left_s := due_s - evidences.read_clock()) > 0:
            await asyncio.sleep(min(left_s, LOOK_S))
            stopped_s = self._evidence.stopped_s.get(process_id)
            if self._rests and stopped_s is not None:
                due_s = stopped_s + self._rng.uniform(*LATE_S)
                await asyncio.sleep(due_s - evidences.read_clock())

    def _choose_pieces(self, sent: evidences.Sent) -> tuple[list[bytes], float]:
        """Returns the pieces of a request and the seconds between two."""
        head = self._make_head(sent)
        message = head + b"b" * BODY
        if self._rng.random() >= PIECES_SHARE:
            return [message], 0.0
        in_head = self._rng.random() < HEAD_SHARE
        first = self._rng.randrange(1, len(head)) if in_head else len(head)
        rest = range(first + 1, len(message))
        cuts = sorted(self._rng.sample(rest, PIECES - 2))
        bounds = [0, first, *cuts, len(message)]
        pieces = [
            message[begin:end]
            for begin, end in zip(bounds, bounds[1:], strict=False)
        ]
        return pieces, self._rng.uniform(0.0, SEND_S) / (PIECES - 1)

    def _make_head(self, sent: evidences.Sent) -> bytes:
        headers = callers.make_headers(sent, self._rng)
        headers["Content-Length"] = str(BODY)
        lines = [f"POST {callers.PATHS[sent.kind]} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode()
