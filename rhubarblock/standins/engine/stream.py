"""A stream of items from an engine to a single reader.

It is cheaper than ``asyncio.Queue``: the reader wakes up once for all items
that one iteration adds.
"""

import asyncio
import collections
from collections.abc import AsyncGenerator
from typing import Generic
from typing import TypeVar

from rhubarblock.core import failure as failures

T = TypeVar("T")


class Stream(Generic[T]):
    """An ordered stream of items that ends normally or with a failure.

    Attributes:
      items: items that have not been read yet.
      closed: whether no more items can be added.
      failure: the failure that ended the stream early, or None.
    """

    __slots__ = ("_waiter", "closed", "failure", "items")

    def __init__(self) -> None:
        self.items: collections.deque[T] = collections.deque()
        self.closed = False
        self.failure: failures.Failure | None = None
        self._waiter: asyncio.Future[None] | None = None

    def put(self, item: T) -> None:
        """Adds an item; ignored once the stream is closed."""
        if self.closed:
            return
        self.items.append(item)
        waiter = self._waiter
        if waiter is not None:
            self._waiter = None
            if not waiter.done():
                waiter.set_result(None)

    def close(self, failure: failures.Failure | None = None) -> None:
        """Closes the stream; items that it still holds can be read."""
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
        """Returns a future that is done once there is an item or the end.

        A stream has a single reader, so this replaces an earlier future.
        """
        waiter: asyncio.Future[None] = asyncio.Future()
        if self.items or self.closed:
            waiter.set_result(None)
        else:
            self._waiter = waiter
        return waiter

    async def read(self) -> AsyncGenerator[T, None]:
        """Yields the items until the stream is closed.

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
