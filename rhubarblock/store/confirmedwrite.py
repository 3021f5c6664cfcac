"""Conditional writes whose outcome is confirmed by reading back.

A write without an answer may have taken effect, may never do so, or may still
be in flight. Reading back detects the first case. In the other two it is safe
to write again with the same expected version: the platform accepts only one of
the writes.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind

# Errors after which a write had no effect and can be retried.
_TRANSIENT = {_Kind.UNAVAILABLE, _Kind.RATE_LIMITED}


@dataclasses.dataclass(slots=True, frozen=True)
class PendingWrite:
    """A conditional write that can be recognized when it is read back.

    Attributes:
      name: full name of the object.
      value: new content.
      expected_version: version to replace; NOWHERE means that it must not
        exist.
      owns: returns whether a content was written by this write, usually by a
        writer id that is unique to the write.
    """

    name: str
    value: bytes
    expected_version: positions.Position
    owns: Callable[[bytes], bool]


class ConfirmingWriter:
    """Retries writes until their outcome is known."""

    __slots__ = ("_rng", "_settings", "_store", "_timers")

    def __init__(
        self,
        store: stores.ObjectStore,
        timers: timer_service.Timers,
        rng: random.Random,
        settings: backoffs.BackoffSettings | None = None,
    ):
        """Creates a writer.

        Args:
          store: object API.
          timers: clock and sleeps.
          rng: source of the jitter.
          settings: backoff between tries, or None for the defaults.
        """
        self._store = store
        self._timers = timers
        self._rng = rng
        self._settings = settings or backoffs.BackoffSettings()

    async def write(
        self, pending: PendingWrite, deadline_s: float
    ) -> stores.StoredObject:
        """Writes, reads back if unsure, and retries until a deadline.

        Args:
          pending: what to write.
          deadline_s: deadline, in seconds of the monotonic clock.

        Returns:
          The object as written, or as read back.

        Raises:
          store.StoreError: CONFLICT if the write certainly had no effect;
            UNSURE if the outcome is still unknown at the deadline, or if a
            later write replaced the content that would show whether this one
            took effect; UNAVAILABLE if the platform rejected every try.
        """
        backoff = backoffs.Backoff(self._rng, self._settings)
        unsure = False
        while True:
            try:
                return await self._try_once(pending, deadline_s)
            except stores.StoreError as error:
                kind = error.kind
                if kind is _Kind.CONFLICT and not unsure:
                    raise
                if kind is _Kind.UNSURE:
                    unsure = True
                elif kind is not _Kind.CONFLICT and kind not in _TRANSIENT:
                    raise
            if unsure:
                found = await self._read_back(pending, deadline_s)
                if found is not None:
                    return found
            await self._wait(backoff, deadline_s, unsure)

    async def _try_once(
        self, pending: PendingWrite, deadline_s: float
    ) -> stores.StoredObject:
        left_s = deadline_s - self._timers.read_monotonic()
        try:
            async with asyncio.timeout(left_s):
                return await self._store.write(
                    pending.name, pending.value, pending.expected_version
                )
        except TimeoutError as error:
            raise stores.StoreError(_Kind.UNSURE, "no answer") from error

    async def _read_back(
        self, pending: PendingWrite, deadline_s: float
    ) -> stores.StoredObject | None:
        left_s = deadline_s - self._timers.read_monotonic()
        version = positions.NOWHERE
        try:
            async with asyncio.timeout(left_s):
                found = await self._store.read(pending.name)
        except TimeoutError:
            return None
        except stores.StoreError as error:
            if error.kind is not _Kind.NOT_FOUND:
                return None
        else:
            if pending.owns(found.value):
                return found
            version = found.version
        if version > pending.expected_version:
            raise stores.StoreError(
                _Kind.UNSURE, f"{pending.name} was written by another"
            )
        # The object has not changed, or the platform serves an older state;
        # either way the next try decides.
        return None

    async def _wait(
        self, backoff: backoffs.Backoff, deadline_s: float, unsure: bool
    ) -> None:
        delay_s = backoff.take_delay()
        if self._timers.read_monotonic() + delay_s >= deadline_s:
            raise stores.StoreError(
                _Kind.UNSURE if unsure else _Kind.UNAVAILABLE,
                "no certain answer before the deadline",
            )
        await self._timers.sleep(delay_s)
