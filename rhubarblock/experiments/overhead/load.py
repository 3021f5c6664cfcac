"""Callers that open streams at a steady rate and record their answers.

The same callers send to the token sources directly and through an instance.
Each records when its data arrived, so that the two paths can be compared.
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
# The full text is checked for one stream in this many; for the others only the
# number of tokens.
CHECK_EVERY = 8
# Each token of the source starts with this, and nothing else in an event does.
_TOKEN_START = b" 0"
_DONE = b"data: [DONE]"


@dataclasses.dataclass(slots=True, frozen=True)
class LoadPlan:
    """Load of the callers.

    Attributes:
      requests_per_s: streams opened a second, evenly spaced.
      tokens: tokens of each answer.
      prompt_tokens: length of each prompt; 0 draws lengths from the workload.
      warm_s: length of the warm-up in seconds.
      window_s: length of the measured window in seconds.
      seed: seed of the drawn lengths.
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


class DataPath(abc.ABC):
    """The path by which callers reach the token sources."""

    @abc.abstractmethod
    def make_call(self, prompt: bytes, tokens: int) -> Call:
        """Returns the request for a prompt of plain ASCII letters."""


class DirectPath(DataPath):
    """Directly to the token sources, in turn."""

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


class EntryPath(DataPath):
    """Through an entry instance."""

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
    """One stream as its caller saw it; times are in monotonic seconds.

    Attributes:
      sent_s: when the request was sent.
      prompt_tokens: length of the prompt.
      arrived_s: arrival time of each piece of data.
      tokens: number of received tokens.
      complete: whether the end mark arrived.
      has_correct_text: whether the text was correct, if it was checked.
    """

    sent_s: float
    prompt_tokens: int
    arrived_s: list[float] = dataclasses.field(default_factory=list)
    tokens: int = 0
    complete: bool = False
    has_correct_text: bool = True


class Load:
    """The callers of one phase.

    Attributes:
      streams: every stream that was opened.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        path: DataPath,
        plan: LoadPlan,
        timers: timer_service.Timers,
    ):
        """Creates the callers.

        Args:
          session: HTTP session without a limit on connections.
          path: path to the token sources.
          plan: load to send.
          timers: timer service.
        """
        self._session = session
        self._path = path
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
            call = self._path.make_call(prompt, self._plan.tokens)
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
        received: list[bytes] = []
        checks_text = number % CHECK_EVERY == 0
        try:
            async with self._session.post(
                call.url, data=call.body, headers=call.headers
            ) as response:
                async for data in response.content.iter_any():
                    stream.arrived_s.append(read_monotonic())
                    stream.tokens += data.count(_TOKEN_START)
                    stream.complete = stream.complete or _DONE in data
                    if checks_text:
                        received.append(data)
        except aiohttp.ClientError:
            stream.complete = False
        if checks_text:
            stream.has_correct_text = is_text_correct(
                b"".join(received), self._plan.tokens
            )


def is_text_correct(data: bytes, tokens: int) -> bool:
    """Says whether events contain the complete text of an answer, in order."""
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
    """Yields an endless sequence of distinct prompts."""
    rng = random.Random(plan.seed)
    for number in itertools.count():
        tokens = plan.prompt_tokens or workload.draw_prompt(rng)
        head = b"Prompt %d. " % number
        yield head + b"x" * (tokens * BYTES_PER_TOKEN - len(head))
