"""The claims of one shard: a small head object and sealed segments.

The head holds the recent rows and names the segments. A segment never
changes: its rows are one object and the sorted digests of their keys another,
so that an instance reads the digests once and knows from then on which keys
the segment does not have.

Every change goes through a conditional write of the head. That is why a
writer that saw the head at its present version has seen every claim.
"""

import dataclasses
import json
from typing import Any

from rhubarblock.core import position as positions
from rhubarblock.relay.claims import row as claimrow

HEAD_PREFIX = "claims/"
KEYS_PREFIX = "claimkeys/"
ROWS_PREFIX = "claimrows/"


@dataclasses.dataclass(slots=True, frozen=True)
class Segment:
    """A sealed set of rows.

    Attributes:
      segment_id: unique name.
      newest_wall_s: wall time of its newest claim.
      size: size of its object of rows in bytes.
    """

    segment_id: str
    newest_wall_s: float
    size: int


@dataclasses.dataclass(slots=True, frozen=True)
class Sealing:
    """A segment that an instance is about to write.

    Attributes:
      segment_id: unique name.
      started_wall_s: wall time of the start.
    """

    segment_id: str
    started_wall_s: float


@dataclasses.dataclass(slots=True)
class ClaimTable:
    """The head of a shard, as read and then changed before it is written.

    Attributes:
      version: version of the head as read; NOWHERE when there is none yet.
      lines: recent rows by key digest, each as it is encoded.
      segments: sealed segments, oldest first.
      sealing: segment that is being written, or None.
      dropped: ids of segments whose objects are still to be deleted.
      changed: whether there is something to write.
    """

    version: positions.Position = positions.NOWHERE
    lines: dict[str, bytes] = dataclasses.field(default_factory=dict)
    segments: list[Segment] = dataclasses.field(default_factory=list)
    sealing: Sealing | None = None
    dropped: list[str] = dataclasses.field(default_factory=list)
    changed: bool = False

    def find_row(self, key_digest: str) -> claimrow.ClaimRow | None:
        """Returns the recent row of a key, or None."""
        line = self.lines.get(key_digest)
        return claimrow.decode_row(line) if line is not None else None

    def list_rows(self) -> list[claimrow.ClaimRow]:
        """Returns all recent rows."""
        return [claimrow.decode_row(line) for line in self.lines.values()]

    def put_row(self, row: claimrow.ClaimRow) -> None:
        """Adds or replaces a row."""
        self.lines[row.key_digest] = claimrow.encode_row(row)
        self.changed = True

    def remove_row(self, key_digest: str) -> None:
        """Removes a row."""
        del self.lines[key_digest]
        self.changed = True

    def copy(self) -> "ClaimTable":
        """Returns a copy that can be changed on its own."""
        return ClaimTable(
            version=self.version,
            lines=dict(self.lines),
            segments=list(self.segments),
            sealing=self.sealing,
            dropped=list(self.dropped),
        )

    def encode(self) -> bytes:
        """Returns the content of the head object."""
        return b"\n".join([self._encode_header(), *self.lines.values()])

    def is_full(self, seal_bytes: int) -> bool:
        """Says whether the rows are as large as they should become."""
        return sum(map(len, self.lines.values())) >= seal_bytes

    def find_small_run(self, count: int, size: int) -> list[Segment]:
        """Returns segments that follow each other and can become one.

        Args:
          count: number of segments.
          size: most bytes that their rows have together.

        Returns:
          The oldest such run, or an empty list.
        """
        for start in range(len(self.segments) - count + 1):
            run = self.segments[start : start + count]
            if sum(segment.size for segment in run) <= size:
                return run
        return []

    def replace_run(self, run: list[Segment], merged: Segment) -> bool:
        """Puts one segment in the place of a run; says whether it was there."""
        if not run or run[0] not in self.segments:
            return False
        start = self.segments.index(run[0])
        if self.segments[start : start + len(run)] != run:
            return False
        self.segments[start : start + len(run)] = [merged]
        self.dropped.extend(segment.segment_id for segment in run)
        self.changed = True
        return True

    def _encode_header(self) -> bytes:
        sealing = self.sealing
        fields: dict[str, Any] = {
            "segments": [dataclasses.astuple(s) for s in self.segments],
            "sealing": dataclasses.astuple(sealing) if sealing else None,
            "dropped": self.dropped,
        }
        return json.dumps(fields, separators=(",", ":")).encode()


def decode_table(value: bytes, version: positions.Position) -> ClaimTable:
    """Reads a head object."""
    header, *lines = value.split(b"\n")
    fields = json.loads(header)
    sealing = fields["sealing"]
    return ClaimTable(
        version=version,
        lines={claimrow.read_key(line): line for line in lines},
        segments=[Segment(*segment) for segment in fields["segments"]],
        sealing=Sealing(*sealing) if sealing else None,
        dropped=fields["dropped"],
    )


def encode_rows(rows: list[claimrow.ClaimRow]) -> bytes:
    """Returns the content of a segment's object of rows."""
    return b"\n".join(claimrow.encode_row(row) for row in rows)


def decode_rows(value: bytes) -> list[claimrow.ClaimRow]:
    """Reads what ``encode_rows`` made."""
    return [claimrow.decode_row(line) for line in value.split(b"\n")]


def encode_keys(rows: list[claimrow.ClaimRow]) -> bytes:
    """Returns the content of a segment's object of sorted key digests."""
    return b"".join(sorted(bytes.fromhex(row.key_digest) for row in rows))


def has_key(keys: bytes, key_digest: str) -> bool:
    """Says whether a segment's sorted key digests hold one of them."""
    wanted = bytes.fromhex(key_digest)
    size = claimrow.KEY_DIGEST_BYTES
    low, high = 0, len(keys) // size
    while low < high:
        middle = (low + high) // 2
        if keys[middle * size : (middle + 1) * size] < wanted:
            low = middle + 1
        else:
            high = middle
    return keys[low * size : (low + 1) * size] == wanted
