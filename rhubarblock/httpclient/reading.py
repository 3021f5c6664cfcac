"""Reads answers within bounds."""

import aiohttp

from rhubarblock.httpclient import protocol as protocols

# Longest description of an error in characters.
MAX_ERROR_CHARACTERS = 200


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the body of an answer.

    Args:
      response: the answer, whose body has not been read.
      max_bytes: longest body in bytes.

    Raises:
      protocol.InvalidAnswerError: it is longer; the connection is closed.
      aiohttp.ClientError: it is incomplete.
    """
    pieces: list[bytes] = []
    size = 0
    while piece := await response.content.readany():
        size += len(piece)
        if size > max_bytes:
            response.close()
            raise protocols.InvalidAnswerError("the answer is too long")
        pieces.append(piece)
    return b"".join(pieces)


def describe_error(error: BaseException) -> str:
    """Returns the text of an error, in bounded length and without controls.

    Texts of the HTTP library may repeat what a server sent.
    """
    text = str(error)[:MAX_ERROR_CHARACTERS] or type(error).__name__
    return "".join(c if c.isprintable() else "?" for c in text)
