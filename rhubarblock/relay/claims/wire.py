"""Encodes operations for the coordinator of their shard, and its replies."""

import dataclasses
import json
from typing import Any

from rhubarblock.relay.claims import ops as claimops
from rhubarblock.relay.claims import row as claimrow

CLAIM = "claim"
LOOKUP = "lookup"
FINISH = "finish"
RELEASE = "release"


@dataclasses.dataclass(slots=True)
class Batch:
    """Operations on one shard.

    Attributes:
      operations: operations to apply.
      left_s: seconds until the sender gives up.
    """

    operations: list[claimops.Operation]
    left_s: float


def encode_batch(batch: Batch) -> bytes:
    """Encodes a batch."""
    operations = [_encode_operation(o) for o in batch.operations]
    fields = {"operations": operations, "left_s": batch.left_s}
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_batch(message: bytes) -> Batch:
    """Decodes the output of ``encode_batch`` at the coordinator."""
    fields = json.loads(message)
    operations = [_decode_operation(o) for o in fields["operations"]]
    return Batch(operations, fields["left_s"])


def encode_found(rows: list[claimrow.ClaimRow | None]) -> bytes:
    """Encodes the rows that the operations of a batch found."""
    lines = [
        claimrow.encode_row(row).decode() if row is not None else None
        for row in rows
    ]
    return json.dumps(lines, separators=(",", ":")).encode()


def decode_found(message: bytes) -> list[claimrow.ClaimRow | None]:
    """Decodes the output of ``encode_found``."""
    return [
        claimrow.decode_row(line.encode()) if line is not None else None
        for line in json.loads(message)
    ]


def _encode_operation(operation: claimops.Operation) -> dict[str, Any]:
    if isinstance(operation, claimops.Claim):
        line = claimrow.encode_row(operation.row).decode()
        return {"kind": CLAIM, "row": line}
    if isinstance(operation, claimops.Lookup):
        return {"kind": LOOKUP, "key": operation.key_digest}
    if isinstance(operation, claimops.Finish):
        answer = operation.answer
        return {
            "kind": FINISH,
            "key": operation.key_digest,
            "claim": operation.claim_id,
            "state": operation.state.value,
            "answer": claimrow.encode_answer(answer) if answer else None,
        }
    if isinstance(operation, claimops.Release):
        return {
            "kind": RELEASE,
            "key": operation.key_digest,
            "claim": operation.claim_id,
        }
    raise TypeError(f"cannot encode {type(operation).__name__}")


def _decode_operation(fields: dict[str, Any]) -> claimops.Operation:
    kind = fields["kind"]
    if kind == CLAIM:
        row = claimrow.decode_row(fields["row"].encode())
        return claimops.ForwardedClaim(row)
    if kind == LOOKUP:
        return claimops.Lookup(fields["key"])
    if kind == RELEASE:
        return claimops.Release(fields["key"], fields["claim"])
    if kind != FINISH:
        raise ValueError(f"unknown operation kind {kind}")
    answer = fields["answer"]
    return claimops.Finish(
        fields["key"],
        fields["claim"],
        claimrow.RowState(fields["state"]),
        claimrow.decode_answer(answer) if answer else None,
    )
