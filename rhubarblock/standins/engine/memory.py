"""The KV memory of the stand-in engine: who holds how much of it.

A reservation holds private tokens and pinned blocks of the prefix cache,
which it may share with others. Idle blocks fill what is free and are dropped
when a reservation needs the room.
"""

from rhubarblock.standins.engine import cache as enginecache
from rhubarblock.standins.engine import settings as enginesettings


class Reservation:
    """Memory of one request.

    Attributes:
      tokens: tokens that it covers in all.
      private: tokens that no block of the prefix cache covers.
      blocks: blocks of its part of the prompt.
      pinned: number of these, from the first on, that it has pinned.
    """

    __slots__ = ("blocks", "pinned", "private", "tokens")

    def __init__(self, tokens: int, blocks: tuple[str, ...]):
        self.tokens = tokens
        self.private = tokens
        self.blocks = blocks
        self.pinned = 0


class KvMemory:
    """Keeps reservations and idle blocks within the capacity."""

    __slots__ = ("_cache", "_capacity", "_private")

    def __init__(self, capacity: int, cache: enginecache.PrefixCache):
        self._capacity = capacity
        self._cache = cache
        self._private = 0

    @property
    def held_tokens(self) -> int:
        """Tokens that reservations hold; a shared block counts once."""
        return self._private + self._cache.pinned_tokens

    def reserve(
        self, tokens: int, blocks: tuple[str, ...]
    ) -> Reservation | None:
        """Takes memory and pins the leading blocks that are cached.

        Args:
          tokens: tokens to hold in all.
          blocks: blocks of the prompt within these tokens.

        Returns:
          The reservation, or None when it doesn't fit now.
        """
        cached = self._cache.count_leading(blocks)
        idle = self._cache.count_idle(blocks[:cached])
        need = tokens - (cached - idle) * enginesettings.BLOCK_TOKENS
        if self.held_tokens + need > self._capacity:
            return None
        reservation = Reservation(tokens, blocks)
        self._private += tokens
        self.pin_blocks(reservation, cached)
        return reservation

    def pin_blocks(self, reservation: Reservation, count: int) -> None:
        """Turns the first blocks of a reservation into cached ones.

        Args:
          reservation: reservation whose prompt was computed so far.
          count: number of its blocks that are computed.
        """
        for block in reservation.blocks[reservation.pinned : count]:
            self._cache.pin(block)
            self._change_private(reservation, -enginesettings.BLOCK_TOKENS)
            reservation.pinned += 1
        self._make_room()

    def shrink(self, reservation: Reservation, tokens: int) -> None:
        """Gives back private tokens of a reservation."""
        reservation.tokens -= tokens
        self._change_private(reservation, -tokens)

    def release(self, reservation: Reservation) -> None:
        """Gives back all; the cached blocks become idle."""
        # The last block goes first, so that it is also dropped first: a
        # block is of no use without those before it.
        for block in reversed(reservation.blocks[: reservation.pinned]):
            self._cache.unpin(block)
        reservation.pinned = 0
        reservation.tokens = 0
        self._change_private(reservation, -reservation.private)

    def _change_private(self, reservation: Reservation, tokens: int) -> None:
        reservation.private += tokens
        self._private += tokens

    def _make_room(self) -> None:
        while self.held_tokens + self._cache.idle_tokens > self._capacity:
            self._cache.drop_oldest()
