"""Clients that send single requests to a node."""

import asyncio
import contextlib
import dataclasses
import random

from common import fleet
from common import wire

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


@dataclasses.dataclass(slots=True)
class Sent:
    """One request and how it ended.

    Attributes:
      attempt: its id.
      node: name of the node that it was sent to.
      sent_s: when it was sent.
      status: status of the answer; 0 without one.
      answered_s: when the answer was complete; 0 without one.
      answer: the answer.
    """

    attempt: str
    node: str
    sent_s: float
    status: int = 0
    answered_s: float = 0.0
    answer: wire.Message | None = None


def make_headers(attempt: str, wait_ms: int, key: str = KEY) -> dict[str, str]:
    """Returns the header fields of a request."""
    return {
        "Host": HOST,
        "X-Rhubarblock-Attempt-Id": attempt,
        "X-Rhubarblock-Deadline-Remaining": str(wait_ms),
        "X-Rhubarblock-Credential": key,
    }


async def send(
    node: fleet.Node,
    method: str,
    path: str,
    body: bytes = b"",
    wait_ms: int = 1500,
    key: str = KEY,
) -> Sent:
    """Sends one request on a new connection and waits for its answer."""
    attempt = f"{random.getrandbits(64):016x}"
    sent = Sent(attempt, node.name, wire.now())
    writer: asyncio.StreamWriter | None = None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(wait_ms / 1e3):
            reader, writer = await asyncio.open_connection(node.ip, node.front)
            sent.sent_s = wire.now()
            headers = make_headers(attempt, wait_ms, key)
            writer.write(wire.encode_request(method, path, headers, body))
            sent.answer = await wire.read_message(reader)
            if sent.answer is not None:
                sent.status = sent.answer.status
                sent.answered_s = wire.now()
    if writer is not None:
        writer.close()
    return sent


async def send_often(
    node: fleet.Node,
    per_s: float,
    sent: list[Sent],
    method: str,
    path: str,
    body: bytes = b"",
) -> None:
    """Sends requests at a rate until it is cancelled."""
    tasks: set[asyncio.Task[None]] = set()

    async def send_one() -> None:
        sent.append(await send(node, method, path, body))

    try:
        while True:
            task = asyncio.ensure_future(send_one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(per_s))
    finally:
        for task in tasks:
            task.cancel()
