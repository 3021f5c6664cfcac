"""Lease in the platform store that lets one instance at a time give orders.

The holder renews the lease by conditional writes. It computes the expiry from
the time before each write was sent, by its own monotonic clock and less a
safety margin. A contender waits the full duration from when it last saw the
lease change. So the holder stops before another instance can start, unless it
is paused between its check and its order. The fencing number covers that case:
it increases with each new holder and is the position of the write by which the
lease was acquired.
"""

import dataclasses
import json
import random

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores

LEASE_PREFIX = "leases/"

_Kind = stores.StoreErrorKind


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Settings of a lease; times are in seconds.

    Attributes:
      duration_s: time after which an unchanged lease can be taken over.
      margin_s: time before expiry at which the holder itself stops.
      renew_s: time between two renewals.
    """

    duration_s: float = 6.0
    margin_s: float = 2.0
    renew_s: float = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class _Content:
    """Content of the stored lease object.

    Attributes:
      holder: instance that holds the lease; empty after a release.
      nonce: random text that identifies each write.
      fence: fencing number; 0 in the write that acquires the lease, since it
        is the position of that write.
    """

    holder: str
    nonce: str
    fence: int


def make_fence(position: positions.Position) -> int:
    """Returns the fencing number of a holder.

    Args:
      position: position of the write by which the lease was acquired.

    Raises:
      ValueError: the position has an era. Engines compare fencing numbers as
        integers, and a revision alone need not increase from one era to the
        next.
    """
    if position.era:
        raise ValueError(
            f"no fencing number for a position of era {position.era}"
        )
    return position.revision


class Lease:
    """One lease, from the point of view of one instance."""

    def __init__(
        self,
        store: stores.ObjectStore,
        timers: timers_lib.Timers,
        rng: random.Random,
        name: str,
        holder: str,
        settings: LeaseSettings | None = None,
    ):
        """Creates a lease that is not held.

        Args:
          store: the platform's object API.
          timers: the timer service.
          rng: makes the nonces.
          name: name of the lease, e.g. ``orders/osu-hall/rhubarb-pool``.
          holder: id and incarnation of this instance.
          settings: duration, safety margin and renewal interval.
        """
        self._store = store
        self._timers = timers
        self._rng = rng
        self._object = LEASE_PREFIX + name
        self._holder = holder
        self._settings = settings or LeaseSettings()
        self._fence = 0
        self._version = positions.NOWHERE
        self._valid_until_s = float("-inf")
        self._observed_version: positions.Position | None = None
        self._observed_s = float("-inf")

    @property
    def fence(self) -> int:
        """The fencing number; meaningless unless the lease is held."""
        return self._fence

    @property
    def renew_s(self) -> float:
        """Seconds after which the holder should renew it."""
        return self._settings.renew_s

    def is_held(self) -> bool:
        """Returns whether this instance may act as the holder now.

        Callers must check this again after every wait, right before they act.
        """
        return self._timers.read_monotonic() < self._valid_until_s

    async def renew_or_acquire(self) -> bool:
        """Renews a held lease, or acquires one that is free or expired.

        Returns:
          Whether it is held. Platform errors are ignored: without a successful
          renewal the lease expires.
        """
        try:
            if self.is_held():
                await self._renew()
            else:
                self._valid_until_s = float("-inf")
                await self._acquire()
        except stores.StoreError:
            # The next call determines whether a write took effect.
            pass
        return self.is_held()

    def abandon(self) -> None:
        """Gives up the lease locally, because a later holder was seen."""
        self._valid_until_s = float("-inf")

    async def release(self) -> None:
        """Releases the lease, so that a contender need not wait for expiry."""
        if not self.is_held():
            return
        self._valid_until_s = float("-inf")
        released = _Content("", self._make_nonce(), self._fence)
        try:
            await self._store.write(
                self._object, _encode(released), self._version
            )
        except stores.StoreError:
            # The lease expires by itself.
            pass

    async def _renew(self) -> None:
        content = _Content(self._holder, self._make_nonce(), self._fence)
        started_s = self._timers.read_monotonic()
        try:
            written = await self._store.write(
                self._object, _encode(content), self._version
            )
        except stores.StoreError as error:
            if error.kind is _Kind.CONFLICT:
                await self._check_holder()
            elif error.kind is _Kind.UNSURE:
                await self._check_written(content, started_s)
            return
        self._version = written.version
        self._extend(started_s)

    async def _check_holder(self) -> None:
        """Checks after a conflict whether another instance took the lease."""
        stored = await self._store.read(self._object)
        content = _decode(stored.value)
        if content.holder == self._holder and content.fence == self._fence:
            # An earlier unconfirmed write of this instance caused the conflict.
            self._version = stored.version
        else:
            self._valid_until_s = float("-inf")

    async def _check_written(self, content: _Content, started_s: float) -> None:
        """Checks whether a write without a response took effect."""
        stored = await self._store.read(self._object)
        if stored.value == _encode(content):
            self._version = stored.version
            self._extend(started_s)

    async def _acquire(self) -> None:
        version, content = await self._read()
        now_s = self._timers.read_monotonic()
        if version != self._observed_version:
            self._observed_version = version
            self._observed_s = now_s
        # An expired lease of this instance can be acquired again at once: the
        # conditional write fails if another instance held it in between.
        is_free = content is None or content.holder in ("", self._holder)
        is_expired = now_s - self._observed_s >= self._settings.duration_s
        if not (is_free or is_expired):
            return
        acquired = _Content(self._holder, self._make_nonce(), 0)
        started_s = self._timers.read_monotonic()
        try:
            written = await self._store.write(
                self._object, _encode(acquired), version
            )
        except stores.StoreError as error:
            if error.kind is not _Kind.UNSURE:
                raise
            written = await self._store.read(self._object)
            if written.value != _encode(acquired):
                return
        self._version = written.version
        self._fence = make_fence(written.version)
        self._extend(started_s)

    async def _read(self) -> tuple[positions.Position, _Content | None]:
        try:
            stored = await self._store.read(self._object)
        except stores.StoreError as error:
            if error.kind is not _Kind.NOT_FOUND:
                raise
            return positions.NOWHERE, None
        return stored.version, _decode(stored.value)

    def _extend(self, started_s: float) -> None:
        settings = self._settings
        self._valid_until_s = (
            started_s + settings.duration_s - settings.margin_s
        )

    def _make_nonce(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"


def _encode(content: _Content) -> bytes:
    return json.dumps(dataclasses.asdict(content), sort_keys=True).encode()


def _decode(value: bytes) -> _Content:
    return _Content(**json.loads(value))
