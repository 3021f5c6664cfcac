"""A lease in the platform that lets one instance at a time give orders.

The holder renews the lease by conditional updates and counts its end from
before each update was sent, by its own monotonic clock and with a margin. A
contender counts from when it saw the lease change last. So the holder stops
before another one can begin, unless it is paused in between; against that
helps only the fencing number, which rises with each new holder. It is made of
the position of the update by which the lease was taken.
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
    """Times in seconds.

    Attributes:
      duration_s: time after which a lease that does not change can be taken.
      margin_s: time before that at which the holder itself stops.
      renew_s: time between two renewals.
    """

    duration_s: float = 6.0
    margin_s: float = 2.0
    renew_s: float = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class _Content:
    """What the object holds.

    Attributes:
      holder: instance that holds the lease; empty when it was released.
      nonce: differs in each update, to tell updates apart.
      fence: fencing number; 0 in the update that takes the lease.
    """

    holder: str
    nonce: str
    fence: int


def make_fence(position: positions.Position) -> int:
    """Returns the fencing number of a holder.

    Args:
      position: position of the update by which the lease was taken.

    Raises:
      ValueError: the store counts eras; engines compare whole numbers, and a
        revision alone does not rise from one era to the next.
    """
    if position.era:
        raise ValueError(f"no fencing number tells of era {position.era}")
    return position.revision


class Lease:
    """One lease as one instance sees it."""

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
          holder: this instance and its incarnation.
          settings: times.
        """
        self._store = store
        self._timers = timers
        self._rng = rng
        self._object = LEASE_PREFIX + name
        self._holder = holder
        self._settings = settings or LeaseSettings()
        self._fence = 0
        self._version = positions.NOWHERE
        self._until_s = float("-inf")
        self._seen_version: positions.Position | None = None
        self._seen_s = float("-inf")

    @property
    def fence(self) -> int:
        """The fencing number; it means nothing unless the lease is held."""
        return self._fence

    @property
    def renew_s(self) -> float:
        """Seconds after which the holder should renew it."""
        return self._settings.renew_s

    def is_held(self) -> bool:
        """Says whether this instance may act now.

        It has to be asked right before each act, after every wait.
        """
        return self._timers.read_monotonic() < self._until_s

    async def pursue(self) -> bool:
        """Renews the lease, or takes it when that is due.

        Returns:
          Whether it is held. Errors of the platform are passed over: the lease
          then runs out.
        """
        try:
            if self.is_held():
                await self._renew()
            else:
                self._until_s = float("-inf")
                await self._take()
        except stores.StoreError:
            # The next call finds out whether an update took effect.
            pass
        return self.is_held()

    def abandon(self) -> None:
        """Acts no more under this fencing number, as a later one was seen."""
        self._until_s = float("-inf")

    async def release(self) -> None:
        """Gives the lease up, so that another one need not wait for its end."""
        if not self.is_held():
            return
        self._until_s = float("-inf")
        released = _Content("", self._make_nonce(), self._fence)
        try:
            await self._store.write(
                self._object, _encode(released), self._version
            )
        except stores.StoreError:
            # It runs out by itself.
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
                await self._look_again()
            elif error.kind is _Kind.UNSURE:
                await self._resolve(content, started_s)
            return
        self._version = written.version
        self._extend(started_s)

    async def _look_again(self) -> None:
        """Finds out after a conflict whether another one took the lease."""
        stored = await self._store.read(self._object)
        content = _decode(stored.value)
        if content.holder == self._holder and content.fence == self._fence:
            # An earlier update of ours took effect after all.
            self._version = stored.version
        else:
            self._until_s = float("-inf")

    async def _resolve(self, content: _Content, started_s: float) -> None:
        """Finds out whether an unanswered update took effect."""
        stored = await self._store.read(self._object)
        if stored.value == _encode(content):
            self._version = stored.version
            self._extend(started_s)

    async def _take(self) -> None:
        version, content = await self._read()
        now_s = self._timers.read_monotonic()
        if version != self._seen_version:
            self._seen_version = version
            self._seen_s = now_s
        # A lease of its own that ran out it may take anew: the version shows
        # that nobody else had it in between.
        is_free = content is None or content.holder in ("", self._holder)
        is_over = now_s - self._seen_s >= self._settings.duration_s
        if not (is_free or is_over):
            return
        taking = _Content(self._holder, self._make_nonce(), 0)
        started_s = self._timers.read_monotonic()
        try:
            written = await self._store.write(
                self._object, _encode(taking), version
            )
        except stores.StoreError as error:
            if error.kind is not _Kind.UNSURE:
                raise
            written = await self._store.read(self._object)
            if written.value != _encode(taking):
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
        self._until_s = started_s + settings.duration_s - settings.margin_s

    def _make_nonce(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"


def _encode(content: _Content) -> bytes:
    return json.dumps(dataclasses.asdict(content), sort_keys=True).encode()


def _decode(value: bytes) -> _Content:
    return _Content(**json.loads(value))
