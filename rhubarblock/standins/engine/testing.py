"""Helpers that set up stand-in engines and attempts in tests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
from typing import Any
from typing import TypeVar

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.fleet import engineclient
from rhubarblock.kernel import timers
from rhubarblock.kernel import virtualloop
from rhubarblock.standins.engine import cluster as enginecluster
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import settings as enginesettings

T = TypeVar("T")


@dataclasses.dataclass(slots=True)
class Answer:
    """The answer to one attempt.

    Attributes:
      chunks: all chunks in order of arrival.
      times_s: monotonic time at which each chunk arrived.
      failure: failure that ended it early, or None.
    """

    chunks: list[attempts.Chunk]
    times_s: list[float]
    failure: failures.Failure | None = None

    @property
    def text(self) -> str:
        """Concatenated text of all chunks."""
        return "".join(chunk.text for chunk in self.chunks)

    @property
    def whole(self) -> bool:
        """Whether its last chunk is an end chunk."""
        return bool(self.chunks) and self.chunks[-1].end


def make_attempt(
    attempt_id: str, prompt_tokens: int, max_tokens: int = 1, **fields: Any
) -> attempts.Attempt:
    """Returns an attempt whose digest is its request id.

    Args:
      attempt_id: ``request_id/number``.
      prompt_tokens: length of the prompt.
      max_tokens: tokens to generate.
      **fields: other fields of the attempt.
    """
    values: dict[str, Any] = {
        "owner": "entry/1",
        "model": "default",
        "prompt": "",
        "prefix_blocks": (),
        "digest": attempt_id.partition("/")[0],
    }
    values.update(fields)
    return attempts.Attempt(
        attempt_id=attempt_id,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        **values,
    )


def make_blocks(name: str, count: int) -> tuple[str, ...]:
    """Returns names for the first prefix blocks of a prompt."""
    return tuple(f"{name}{number}" for number in range(count))


def make_engine(
    clock: timers.Timers, address: str = "a:1", **settings: Any
) -> engines.Engine:
    """Returns an engine that loses no cache events by default.

    Args:
      clock: timer service.
      address: its address and endpoint id.
      **settings: fields of its settings.
    """
    values = {"event_loss": 0.0, **settings}
    return engines.Engine(
        address,
        address,
        clock,
        random.Random(1),
        enginesettings.EngineSettings(**values),
    )


class Bench:
    """A cluster of engines with equal settings, and a client.

    Attributes:
      clock: timer service of the running loop.
      cluster: the engines.
      client: client of the cluster.
    """

    __slots__ = ("_addresses", "client", "clock", "cluster")

    def __init__(self, addresses: str = "a:1", **settings: Any):
        """Creates the engines.

        Args:
          addresses: their addresses separated by spaces.
          **settings: fields of their settings.
        """
        self._addresses = addresses.split()
        self.clock = timers.LoopTimers(wall_offset_s=0.0)
        self.cluster = enginecluster.EngineCluster()
        for address in self._addresses:
            self.cluster.add(make_engine(self.clock, address, **settings))
        self.client = enginecluster.MemoryEngineClient(self.cluster, self.clock)

    @property
    def engine(self) -> engines.Engine:
        """The first engine."""
        return self.cluster[self._addresses[0]]

    def start(
        self,
        attempt_id: str,
        prompt_tokens: int,
        max_tokens: int = 1,
        address: str = "a:1",
        **fields: Any,
    ) -> asyncio.Task[Answer]:
        """Starts an attempt in a task; see ``make_attempt`` for arguments."""
        attempt = make_attempt(attempt_id, prompt_tokens, max_tokens, **fields)
        return asyncio.ensure_future(
            collect(self.client, self.clock, address, attempt)
        )

    async def run(self, *args: Any, **fields: Any) -> Answer:
        """Runs an attempt to its end."""
        return await self.start(*args, **fields)

    def list_held(self) -> list[dict[str, int]]:
        """Returns the KV tokens that each engine holds, by attempt id."""
        return [engine.kv_held() for engine in self.cluster]


def run_bench(
    body: Callable[[Bench], Awaitable[T]],
    addresses: str = "a:1",
    **settings: Any,
) -> T:
    """Runs a coroutine with a ``Bench`` on a virtual clock that starts at 0 s.

    Args:
      body: coroutine function that takes the ``Bench``.
      addresses: addresses of the engines separated by spaces.
      **settings: fields of their settings.
    """

    async def main() -> T:
        return await body(Bench(addresses, **settings))

    return virtualloop.run(main())


async def collect(
    client: engineclient.EngineClient,
    clock: timers.Timers,
    address: str,
    attempt: attempts.Attempt,
) -> Answer:
    """Runs an attempt to its end and collects its answer."""
    answer = Answer([], [])
    try:
        async for chunk in client.generate(address, attempt):
            answer.chunks.append(chunk)
            answer.times_s.append(clock.read_monotonic())
    except failures.FailureError as error:
        answer.failure = error.failure
    return answer
