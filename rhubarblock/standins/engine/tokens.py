"""Text that the stand-in engine generates.

A token depends only on the digest of the request's body and on its index in
the answer, so a test can tell from the text alone whether an answer is complete
and belongs to its request.
"""

import functools
import hashlib

TOKEN_CHARS = 7  # A space and six hexadecimal digits.
GROUP_TOKENS = 20  # Tokens derived from one hash.
_TOKEN_BYTES = 3
_GROUP_BYTES = GROUP_TOKENS * _TOKEN_BYTES


@functools.lru_cache(maxsize=16_384)
def make_group(digest: str, group: int) -> tuple[str, ...]:
    """Returns the texts of ``GROUP_TOKENS`` tokens derived from one hash.

    Args:
      digest: digest of the request's body.
      group: index of the first token divided by ``GROUP_TOKENS``.
    """
    hashed = hashlib.blake2b(
        f"{group}:{digest}".encode(), digest_size=_GROUP_BYTES
    ).digest()
    text = hashed.hex(" ", _TOKEN_BYTES)
    return tuple((" " + text.replace(" ", "| ")).split("|"))


def make_token(digest: str, index: int) -> str:
    """Returns the text of one token.

    Args:
      digest: digest of the request's body.
      index: index of the token in the complete answer.
    """
    return make_group(digest, index // GROUP_TOKENS)[index % GROUP_TOKENS]


def expected_text(digest: str, first: int, last: int) -> str:
    """Returns the text of the tokens from ``first`` to ``last`` (exclusive).

    Args:
      digest: digest of the request's body.
      first: index of the first token.
      last: index after the last token.
    """
    texts: list[str] = []
    while first < last:
        group, start = divmod(first, GROUP_TOKENS)
        end = min(GROUP_TOKENS, start + last - first)
        texts += make_group(digest, group)[start:end]
        first += end - start
    return "".join(texts)
