"""KV memory of the stand-in engine: reservations and cached blocks.

A reservation consists of private tokens and of pinned blocks of the prefix
cache, which reservations may share. Idle blocks stay in the free memory and are
evicted when a reservation needs it.
"""

from rhubarblock.standins.engine import cache as enginecache
from rhubarblock.standins.engine import settings as enginesettings


class Reservation:
    """KV memory of one request.

    Attributes:
      tokens: total number of tokens.
      private_tokens: tokens outside the blocks of the prefix cache.
      blocks: prefix blocks of the part of the prompt that it holds.
      pinned: number of leading blocks that it has pinned.
    """

    __slots__ = ("blocks", "pinned", "private_tokens", "tokens")

    def __init__(self, tokens: int, blocks: tuple[str, ...]):
        self.tokens = tokens
        self.private_tokens = tokens
        self.blocks = blocks
        self.pinned = 0


class KvMemory:
    """Limits reservations and idle blocks to the capacity."""

    __slots__ = ("_cache", "_capacity_tokens", "_private_tokens")

    def __init__(self, capacity_tokens: int, cache: enginecache.PrefixCache):
        self._capacity_tokens = capacity_tokens
        self._cache = cache
        self._private_tokens = 0

    @property
    def held_tokens(self) -> int:
        """Tokens held by reservations; a shared block counts once."""
        return self._private_tokens + self._cache.pinned_tokens

    def reserve(
        self, tokens: int, blocks: tuple[str, ...]
    ) -> Reservation | None:
        """Reserves memory and pins the leading blocks that are cached.

        Args:
          tokens: total number of tokens.
          blocks: prefix blocks of the prompt within these tokens.

        Returns:
          The reservation, or None if it doesn't fit at present.
        """
        cached = self._cache.count_leading(blocks)
        idle = self._cache.count_idle(blocks[:cached])
        needed_tokens = tokens - (cached - idle) * enginesettings.BLOCK_TOKENS
        if self.held_tokens + needed_tokens > self._capacity_tokens:
            return None
        reservation = Reservation(tokens, blocks)
        self._private_tokens += tokens
        self.pin_blocks(reservation, cached)
        return reservation

    def pin_blocks(self, reservation: Reservation, count: int) -> None:
        """Adds the leading blocks of a reservation to the prefix cache.

        Args:
          reservation: reservation whose prompt is being computed.
          count: number of its blocks that are computed so far.
        """
        for block in reservation.blocks[reservation.pinned : count]:
            self._cache.pin(block)
            self._add_private_tokens(reservation, -enginesettings.BLOCK_TOKENS)
            reservation.pinned += 1
        self._evict_idle_blocks()

    def shrink(self, reservation: Reservation, tokens: int) -> None:
        """Frees private tokens of a reservation."""
        reservation.tokens -= tokens
        self._add_private_tokens(reservation, -tokens)

    def release(self, reservation: Reservation) -> None:
        """Frees a reservation; blocks that only it has pinned become idle."""
        # Unpins the last block first, so that it is also evicted first: a
        # block is useless without the blocks before it.
        for block in reversed(reservation.blocks[: reservation.pinned]):
            self._cache.unpin(block)
        reservation.pinned = 0
        reservation.tokens = 0
        self._add_private_tokens(reservation, -reservation.private_tokens)

    def _add_private_tokens(
        self, reservation: Reservation, tokens: int
    ) -> None:
        reservation.private_tokens += tokens
        self._private_tokens += tokens

    def _evict_idle_blocks(self) -> None:
        while (
            self.held_tokens + self._cache.idle_tokens > self._capacity_tokens
        ):
            self._cache.evict_oldest()
