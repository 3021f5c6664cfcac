"""Callers that check each answer against their request."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import Any

import aiohttp

from rhubarblock.platform import names
from tools.soak import engines
from tools.soak import evidence as evidences
from tools.soak import fleet
from tools.soak import leavewatch

# Timeout of a request in seconds, above the five seconds of its routes.
REQUEST_TIMEOUT_S = 6.0
# Mean seconds between two requests of a caller.
REQUEST_INTERVAL_S = 0.15

PATHS = {"stream": "/s/x", "once": "/once/x", "again": "/again/x"}


class SoakCaller:
    """Sends requests of random kinds to random instances."""

    def __init__(
        self,
        name: str,
        instances: list[fleet.SoakInstance],
        keys: list[str],
        evidence: evidences.Evidence,
        rng: random.Random,
        kinds: Sequence[str] = tuple(PATHS),
    ):
        self._name = name
        self._instances = instances
        self._keys = keys
        self._evidence = evidence
        self._rng = rng
        self._kinds = kinds
        self._count = 0

    async def run(self, stop: asyncio.Event) -> None:
        """Sends requests until `stop` is set; connections are reused."""
        async with open_session() as session:
            while not stop.is_set():
                await self.send_request(session)
                await asyncio.sleep(
                    REQUEST_INTERVAL_S * (0.5 + self._rng.random())
                )

    async def send_request(
        self, session: aiohttp.ClientSession
    ) -> evidences.SentRequest:
        """Sends one request, and returns it with its outcome."""
        self._count += 1
        kind = self._rng.choice(self._kinds)
        sent = evidences.SentRequest(
            f"{self._name}-{self._count}",
            kind,
            self._rng.choice(self._keys),
            evidences.read_clock(),
        )
        self._evidence.sent[sent.request_id] = sent
        instance = self._rng.choice(self._choose_instances())
        sent.process_id = instance.process_id
        sent.address = instance.ip
        sent.is_first = True
        try:
            async with session.post(
                f"http://{instance.ip}:{instance.front}{PATHS[kind]}",
                headers=make_headers(sent, self._rng),
                data=b"body",
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
                trace_request_ctx=sent,
            ) as answer:
                note_endpoint_headers(
                    self._evidence, answer.headers, sent.process_id
                )
                body = await answer.read()
                sent.status = answer.status
                if names.RETRY_AFTER in answer.headers:
                    sent.retry_after_s = float(
                        answer.headers[names.RETRY_AFTER]
                    )
                sent.is_complete = is_valid_answer(sent, answer.headers, body)
        except TimeoutError:
            sent.status = 0
            sent.has_timed_out = True
        except (aiohttp.ClientError, OSError):
            # No answer, or one that was cut and recognizably incomplete.
            sent.status = 0
        self._evidence.note_answer(sent, instance.process_id)
        return sent

    def _choose_instances(self) -> list[fleet.SoakInstance]:
        """Returns the instances that a load balancer would choose from."""
        ready = [i for i in self._instances if not i.is_leaving]
        return ready or self._instances


def open_session() -> aiohttp.ClientSession:
    """Returns a session that notes which requests reuse a connection."""

    async def note_reused(
        session: aiohttp.ClientSession, context: Any, params: Any
    ) -> None:
        del session, params
        context.trace_request_ctx.is_first = False

    tracing = aiohttp.TraceConfig()
    tracing.on_connection_reuseconn.append(note_reused)
    return aiohttp.ClientSession(trace_configs=[tracing])


def make_headers(
    sent: evidences.SentRequest, rng: random.Random
) -> dict[str, str]:
    """Returns the headers of a request."""
    headers = {
        "Host": "soak.example",
        names.ATTEMPT_ID: sent.request_id,
        names.CREDENTIAL: sent.key,
        names.REMAINING: str(round(REQUEST_TIMEOUT_S * 1e3)),
    }
    if sent.kind == "stream":
        tokens = rng.choice((2_000, 40_000, 700_000))
        headers[names.TOKEN_COUNT] = f"{tokens},100"
    return headers


def note_endpoint_headers(
    evidence: evidences.Evidence, headers: Mapping[str, str], process_id: int
) -> None:
    """Records what an endpoint announced about itself in an answer."""
    if names.LIMIT in headers:
        evidence.note_limit_forwarded(headers.get(names.SEAL, ""), process_id)
    leavewatch.note_answer(evidence, headers, process_id)


def is_valid_answer(
    sent: evidences.SentRequest, headers: Mapping[str, str], body: bytes
) -> bool:
    """Whether an answer is complete and belongs to a request.

    Args:
      sent: the request.
      headers: headers of the answer; their names are case-insensitive.
      body: its body.
    """
    if headers.get(names.ATTEMPT_ID) != sent.request_id:
        return False
    if names.SEAL not in headers:
        return False
    if sent.kind != "stream":
        return body == f"answer to {sent.request_id}".encode()
    return body == b"".join(
        f"id: {n}\ndata: {sent.request_id} {n}\n\n".encode()
        for n in range(1, engines.EVENTS + 1)
    )
