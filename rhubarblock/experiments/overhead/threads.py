"""Runs the relay measurement in one process, in three threads.

Sources and callers share one thread; each instance has its own. This is for
quick runs and for tests; see ``loopthread`` for the accuracy of its times.
"""

from collections.abc import AsyncIterator
import contextlib
import os
import resource
import time

from rhubarblock.experiments import loopthread
from rhubarblock.experiments.overhead import measurement as overhead
from rhubarblock.experiments.overhead import parts as overheadparts
from rhubarblock.fleet import httpengine

_KIB_PER_MIB = 1024


class ThreadMeter(overhead.Meter):
    """Reads the processor time of one thread; memory is the process's."""

    __slots__ = ("_thread",)

    def __init__(self, thread: loopthread.LoopThread):
        self._thread = thread

    async def read_cpu(self) -> float:
        return await self._thread.run(_read_thread_time())

    def read_rss(self) -> float:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return usage.ru_maxrss / _KIB_PER_MIB


async def _read_thread_time() -> float:
    return time.thread_time()


@contextlib.asynccontextmanager
async def open_targets(
    engines: int, gap_s: float
) -> AsyncIterator[overhead.Targets]:
    """Runs the sources in this thread and both instances in other threads.

    Args:
      engines: number of token sources.
      gap_s: seconds between two tokens of a stream.

    Yields:
      The running sources and instances.
    """
    async with contextlib.AsyncExitStack() as stack:
        environment = await stack.enter_async_context(
            overheadparts.run_environment(engines, gap_s)
        )
        targets = [
            await stack.enter_async_context(
                _open_target(environment.platform_url, name, streaming)
            )
            for name, streaming in (
                ("present", None),
                ("earlier", httpengine.StreamSettings()),
            )
        ]
        yield overhead.Targets(environment.engines, targets[0], targets[1])


@contextlib.asynccontextmanager
async def _open_target(
    url: str, name: str, streaming: httpengine.StreamSettings | None
) -> AsyncIterator[overhead.Target]:
    async with (
        loopthread.open_thread(f"{name}-{os.getpid()}") as thread,
        loopthread.open_in_thread(
            thread, lambda: overheadparts.run_entry(url, name, streaming)
        ) as running,
    ):
        yield overhead.Target(running.caller_address, ThreadMeter(thread))
