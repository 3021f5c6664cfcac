"""Callers that open streams at a steady rate, and what they see.

The same callers go to the token sources directly and through an instance. Each
keeps when its data came, so that the two can be compared.
"""

import abc
import asyncio
from collections.abc import Iterator
import dataclasses
import itertools
import json
import random

import aiohttp

from rhubarblock.core import attempt as attempts
from rhubarblock.experiments import workload
from rhubarblock.experiments.overhead import parts as overheadparts
from rhubarblock.experiments.overhead import source as overheadsource
from rhubarblock.fleet import enginewire
from rhubarblock.kernel import timers as timer_service

BYTES_PER_TOKEN = 4
DEADLINE_S = "120"
# One stream in so many has its whole text compared, not only counted.
CHECK_EVERY = 8
# Each token of the source starts so, and nothing else in an event does.
_TOKEN_START = b" 0"
_DONE = b"data: [DONE]"


@dataclasses.dataclass(slots=True, frozen=True)
class LoadPlan:
    """What the callers do.

    Attributes:
      requests_per_s: streams opened a second, evenly spaced.
      tokens: tokens of each answer.
      prompt_tokens: length of each prompt; 0 draws lengths from the workload.
      warm_s: seconds before anything counts.
      window_s: seconds that count.
      seed: decides the drawn lengths.
    """

    requests_per_s: float
    tokens: int
    prompt_tokens: int
    warm_s: float
    window_s: float
    seed: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """One HTTP request that opens a stream."""

    url: str
    body: bytes
    headers: dict[str, str]


class Way(abc.ABC):
    """Where the callers send their requests."""

    @abc.abstractmethod
    def make_call(self, prompt: bytes, tokens: int) -> Call:
        """Returns the request for a prompt of plain ASCII letters."""


class DirectWay(Way):
    """Straight to the token sources, in turns."""

    def __init__(self, addresses: tuple[str, ...]):
        self._addresses = itertools.cycle(addresses)
        self._numbers = itertools.count()

    def make_call(self, prompt: bytes, tokens: int) -> Call:
        number = next(self._numbers)
        attempt = attempts.Attempt(
            attempt_id=f"direct~{number}/1",
            owner="direct",
            model=overheadparts.MODEL,
            prompt="",
            prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
            prefix_blocks=(),
            digest="",
            max_tokens=tokens,
        )
        body = enginewire.encode_attempt(attempt)
        body = body.replace(b'"prompt":""', b'"prompt":"%b"' % prompt, 1)
        url = f"http://{next(self._addresses)}/v1/generate"
        return Call(url, body, {"Content-Type": "application/json"})


class EntryWay(Way):
    """Through an instance, as callers do."""

    def __init__(self, address: str):
        self._url = f"http://{address}/v1/completions"
        self._headers = {
            "Authorization": f"Bearer {overheadparts.SECRET}",
            "Content-Type": "application/json",
            "X-Timeout-S": DEADLINE_S,
        }

    def make_call(self, prompt: bytes, tokens: int) -> Call:
        body = b'{"model":"%b","max_tokens":%d,"stream":true,"prompt":"%b"}' % (
            overheadparts.MODEL.encode(),
            tokens,
            prompt,
        )
        return Call(self._url, body, self._headers)


@dataclasses.dataclass(slots=True)
class Stream:
    """What one caller saw; times are monotonic seconds.

    Attributes:
      sent_s: when the request was sent.
      prompt_tokens: length of the prompt.
      came_s: when data came, for each piece.
      tokens: tokens received.
      whole: whether the end mark came.
      right: whether the text was the right one, where it was compared.
    """

    sent_s: float
    prompt_tokens: int
    came_s: list[float] = dataclasses.field(default_factory=list)
    tokens: int = 0
    whole: bool = False
    right: bool = True


class Load:
    """The callers of one phase.

    Attributes:
      streams: every stream that was opened.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        way: Way,
        plan: LoadPlan,
        timers: timer_service.Timers,
    ):
        """Creates the callers.

        Args:
          session: connections, as many as are needed.
          way: where to send.
          plan: what to send.
          timers: timer service.
        """
        self._session = session
        self._way = way
        self._plan = plan
        self._timers = timers
        self._tasks: set[asyncio.Task[None]] = set()
        self.streams: list[Stream] = []

    async def send_until(self, end_s: float) -> None:
        """Opens streams at the planned rate until a monotonic time."""
        prompts = _make_prompts(self._plan)
        due_s = self._timers.read_monotonic()
        for number, prompt in enumerate(prompts):
            delay_s = due_s - self._timers.read_monotonic()
            if delay_s > 0:
                await self._timers.sleep(delay_s)
            if due_s >= end_s:
                return
            due_s += 1.0 / self._plan.requests_per_s
            call = self._way.make_call(prompt, self._plan.tokens)
            length = len(prompt) // BYTES_PER_TOKEN
            task = asyncio.ensure_future(self._run(call, length, number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait(self) -> None:
        """Waits until every stream has ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _run(self, call: Call, prompt_tokens: int, number: int) -> None:
        read_monotonic = self._timers.read_monotonic
        stream = Stream(read_monotonic(), prompt_tokens)
        self.streams.append(stream)
        kept: list[bytes] = []
        keep = number % CHECK_EVERY == 0
        try:
            async with self._session.post(
                call.url, data=call.body, headers=call.headers
            ) as response:
                async for data in response.content.iter_any():
                    stream.came_s.append(read_monotonic())
                    stream.tokens += data.count(_TOKEN_START)
                    stream.whole = stream.whole or _DONE in data
                    if keep:
                        kept.append(data)
        except aiohttp.ClientError:
            stream.whole = False
        if keep:
            stream.right = is_right(b"".join(kept), self._plan.tokens)


def is_right(data: bytes, tokens: int) -> bool:
    """Says whether events hold the whole text of an answer, in order."""
    text = ""
    for event in data.split(b"\n\n"):
        payload = event.removeprefix(b"data: ")
        if payload and payload != b"[DONE]":
            fields = json.loads(payload)
            if "error" in fields:
                return False
            text += "".join(x["text"] for x in fields["choices"])
    return text == overheadsource.make_text(tokens)


def _make_prompts(plan: LoadPlan) -> Iterator[bytes]:
    """Yields prompts without end, no two of which are the same."""
    rng = random.Random(plan.seed)
    for number in itertools.count():
        tokens = plan.prompt_tokens or workload.draw_prompt(rng)
        head = b"Prompt %d. " % number
        yield head + b"x" * (tokens * BYTES_PER_TOKEN - len(head))
