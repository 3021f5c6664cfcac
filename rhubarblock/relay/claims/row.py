"""The row of a claim: the record that an idempotency key has been used.

The row is written before the first byte of the call is sent, and only the
request that wrote it may send the call. So the call runs at most once.
"""

import base64
import dataclasses
import enum
import hashlib
import json
from typing import Any

from rhubarblock.core import request as requests

# Size of a key digest. Half of a SHA-256 makes collisions negligible.
KEY_DIGEST_BYTES = 16
_KEY_CHARACTERS = 2 * KEY_DIGEST_BYTES


class RowState(enum.Enum):
    """State of the single run that a row allows."""

    CLAIMED = "claimed"  # The call may be running.
    DONE = "done"  # The call ran; its answer is known.
    UNKNOWN = "unknown"  # The call was sent and its answer was lost.


@dataclasses.dataclass(slots=True, frozen=True)
class RowAnswer:
    """The answer of a finished run.

    Attributes:
      status: HTTP status.
      content_type: media type of the body.
      body: response body, or None if it was too large to store.
      body_digest: hex SHA-256 of the whole body.
    """

    status: int
    content_type: str
    body: bytes | None
    body_digest: str


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimRow:
    """The stored record of one claim.

    Attributes:
      key_digest: hex digest of institution and key.
      body_digest: digest of the call that the key is bound to.
      claim_id: unique id of the claim; only its holder may run the call.
      attempt_id: id of the request that made the claim, for diagnosis only.
      state: state of the run.
      claimed_wall_s: wall time of the claim, in seconds since 1970.
      until_wall_s: deadline of the call as wall time; no answer is expected
        after it.
      answer: answer of a finished run.
    """

    key_digest: str
    body_digest: str
    claim_id: str
    attempt_id: str
    state: RowState
    claimed_wall_s: float
    until_wall_s: float
    answer: RowAnswer | None = None


def digest_key(institution: str, key: str) -> str:
    """Returns the hex digest that identifies a key of an institution."""
    # The length prefix separates institution and key unambiguously.
    text = f"{len(institution)}:{institution}{key}"
    digest = hashlib.sha256(text.encode()).digest()
    return digest[:KEY_DIGEST_BYTES].hex()


def make_answer(answer: requests.ServiceAnswer, size_limit: int) -> RowAnswer:
    """Returns an answer as it is stored in a row.

    Args:
      answer: the whole answer.
      size_limit: largest body that is stored, in bytes.
    """
    return RowAnswer(
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body if len(answer.body) <= size_limit else None,
        body_digest=hashlib.sha256(answer.body).hexdigest(),
    )


def encode_row(row: ClaimRow) -> bytes:
    """Encodes a row as one line: its key digest, then JSON with short names.

    The key comes first so that a head can be read and written without parsing
    all of its rows.
    """
    fields: dict[str, Any] = {
        "b": row.body_digest,
        "c": row.claim_id,
        "a": row.attempt_id,
        "s": row.state.value,
        "t": row.claimed_wall_s,
        "u": row.until_wall_s,
    }
    if row.answer is not None:
        fields["r"] = encode_answer(row.answer)
    text = json.dumps(fields, separators=(",", ":"))
    return (row.key_digest + text).encode()


def read_key(line: bytes) -> str:
    """Returns the key digest of an encoded row."""
    return line[:_KEY_CHARACTERS].decode()


def decode_row(line: bytes) -> ClaimRow:
    """Decodes the output of ``encode_row``."""
    fields = json.loads(line[_KEY_CHARACTERS:])
    answer = fields.get("r")
    return ClaimRow(
        key_digest=read_key(line),
        body_digest=fields["b"],
        claim_id=fields["c"],
        attempt_id=fields["a"],
        state=RowState(fields["s"]),
        claimed_wall_s=fields["t"],
        until_wall_s=fields["u"],
        answer=decode_answer(answer) if answer is not None else None,
    )


def encode_answer(answer: RowAnswer) -> dict[str, Any]:
    """Encodes an answer as a JSON object with short names."""
    body = answer.body
    return {
        "s": answer.status,
        "t": answer.content_type,
        "b": base64.b64encode(body).decode() if body is not None else None,
        "d": answer.body_digest,
    }


def decode_answer(fields: dict[str, Any]) -> RowAnswer:
    """Decodes the output of ``encode_answer``."""
    body = fields["b"]
    return RowAnswer(
        status=fields["s"],
        content_type=fields["t"],
        body=base64.b64decode(body) if body is not None else None,
        body_digest=fields["d"],
    )
