"""An event loop in its own thread, for measurements in one process.

All threads share the interpreter lock, so wall-clock times are less reliable
than between processes. Processor time is accounted for each thread alone.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import threading
from typing import Any
from typing import TypeVar

T = TypeVar("T")


class LoopThread:
    """An event loop that runs in another thread."""

    __slots__ = ("_loop",)

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop

    async def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on that loop and awaits its result here."""
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return await asyncio.wrap_future(future)


@contextlib.asynccontextmanager
async def open_thread(name: str) -> AsyncIterator[LoopThread]:
    """Runs a loop in a thread while the context is open.

    Args:
      name: name of the thread.

    Yields:
      The thread.
    """
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, name=name, daemon=True)
    thread.start()
    try:
        yield LoopThread(loop)
    finally:
        loop.call_soon_threadsafe(loop.stop)
        await asyncio.to_thread(thread.join)
        loop.close()


@contextlib.asynccontextmanager
async def open_in_thread(
    thread: LoopThread,
    factory: Callable[[], contextlib.AbstractAsyncContextManager[T]],
) -> AsyncIterator[T]:
    """Holds a context open in another thread.

    A single task of that thread enters and leaves the context, as contexts
    that use task groups or timeouts require.

    Args:
      thread: thread to open it in.
      factory: makes the context; called in that thread.

    Yields:
      The value that the context yields.
    """
    opened: asyncio.Future[T] = asyncio.get_running_loop().create_future()
    here = asyncio.get_running_loop()
    closing: list[asyncio.Event] = []

    async def hold() -> None:
        closing.append(asyncio.Event())
        async with factory() as value:
            here.call_soon_threadsafe(opened.set_result, value)
            await closing[0].wait()

    async def release() -> None:
        closing[0].set()

    holder = asyncio.ensure_future(thread.run(hold()))
    waiting: list[asyncio.Future[Any]] = [opened, holder]
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    if holder.done():
        # The context could not be entered: raises its error here.
        holder.result()
    try:
        yield opened.result()
    finally:
        await thread.run(release())
        await holder
