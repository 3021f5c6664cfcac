"""A one-way stream from an engine to the one task that reads it.

Cheaper than ``asyncio.Queue``: one wake for all that is put in one iteration.
"""

import asyncio
import collections
from collections.abc import AsyncGenerator
from typing import Generic
from typing import TypeVar

from rhubarblock.core import failure as failures

T = TypeVar("T")


class Stream(Generic[T]):
    """Items in order, then an end, which a failure may explain.

    Attributes:
      items: what was put and not yet taken.
      closed: whether nothing more will be put.
      failure: why it was closed before its time, or None.
    """

    __slots__ = ("_waiter", "closed", "failure", "items")

    def __init__(self) -> None:
        self.items: collections.deque[T] = collections.deque()
        self.closed = False
        self.failure: failures.Failure | None = None
        self._waiter: asyncio.Future[None] | None = None

    def put(self, item: T) -> None:
        """Adds an item; one put after the end is dropped."""
        if self.closed:
            return
        self.items.append(item)
        waiter = self._waiter
        if waiter is not None:
            self._waiter = None
            if not waiter.done():
                waiter.set_result(None)

    def close(self, failure: failures.Failure | None = None) -> None:
        """Ends the stream after the items that it still holds."""
        if self.closed:
            return
        self.closed = True
        self.failure = failure
        waiter = self._waiter
        if waiter is not None:
            self._waiter = None
            if not waiter.done():
                waiter.set_result(None)

    def make_waiter(self) -> asyncio.Future[None]:
        """Returns what is done once there is an item or the end.

        A stream has one reader, so an earlier future is forgotten.
        """
        waiter: asyncio.Future[None] = asyncio.Future()
        if self.items or self.closed:
            waiter.set_result(None)
        else:
            self._waiter = waiter
        return waiter

    async def read(self) -> AsyncGenerator[T, None]:
        """Yields the items up to the end.

        Raises:
          failure.FailureError: the stream was closed with a failure.
        """
        items = self.items
        while True:
            while items:
                yield items.popleft()
            if self.closed:
                break
            await self.make_waiter()
        if self.failure is not None:
            raise failures.FailureError(self.failure)
