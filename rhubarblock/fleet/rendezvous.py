"""Scores for rendezvous hashing.

All instances compute the same scores from the same names, and a name that is
added or removed changes no score of the others.
"""

import functools
import hashlib

_SCORE_BYTES = 8
_SCORES = float(1 << 8 * _SCORE_BYTES)
_CACHED_SCORES = 65_536


@functools.lru_cache(maxsize=_CACHED_SCORES)
def compute_score(key: str, instance_id: str) -> int:
    """Returns the score of an instance for a key; the highest one wins."""
    digest = hashlib.blake2b(
        instance_id.encode(), digest_size=_SCORE_BYTES, key=_shorten_key(key)
    )
    return int.from_bytes(digest.digest(), "big")


def compute_share(key: str, instance_id: str) -> float:
    """Returns the score of an instance for a key as a share of the range.

    Over many instances the shares are uniformly distributed in [0, 1).
    """
    return compute_score(key, instance_id) / _SCORES


def _shorten_key(key: str) -> bytes:
    # The keyed mode of blake2b takes at most 64 bytes.
    return hashlib.blake2b(key.encode(), digest_size=32).digest()
