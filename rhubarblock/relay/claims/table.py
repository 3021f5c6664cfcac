"""The stored claims of one shard: a small head object and sealed segments.

The head holds the recent rows and lists the segments. A segment is immutable
and consists of two objects, its rows and the sorted digests of their keys. An
instance reads the digests once and then needs no further read to rule out that
a key is in the segment.

Every change is a conditional write of the head. A writer that has read the
current version of the head has therefore seen all claims.
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
    """An immutable set of rows.

    Attributes:
      segment_id: unique name.
      newest_wall_s: wall time of its newest claim, in seconds since 1970.
      size: size of its rows object in bytes.
    """

    segment_id: str
    newest_wall_s: float
    size: int


@dataclasses.dataclass(slots=True, frozen=True)
class Sealing:
    """A segment that is being written.

    Attributes:
      segment_id: unique name.
      started_wall_s: wall time of its start, in seconds since 1970.
    """

    segment_id: str
    started_wall_s: float


@dataclasses.dataclass(slots=True)
class ClaimTable:
    """The head of a shard, with changes that are not written yet.

    Attributes:
      version: version of the head as read; NOWHERE if there is none yet.
      lines: recent rows in encoded form, by key digest.
      segments: sealed segments, oldest first.
      sealing: segment that is being written, or None.
      dropped: ids of segments whose objects must still be deleted.
      changed: whether there are unwritten changes.
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
        """Returns an independent copy with ``changed`` unset."""
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
        """Returns whether the rows have reached the size for sealing."""
        return sum(map(len, self.lines.values())) >= seal_bytes

    def find_mergeable(self, count: int, size: int) -> list[Segment]:
        """Returns consecutive segments that can be merged into one.

        Args:
          count: number of segments.
          size: largest total size of their rows, in bytes.

        Returns:
          The oldest such segments, or an empty list.
        """
        for start in range(len(self.segments) - count + 1):
            sources = self.segments[start : start + count]
            if sum(segment.size for segment in sources) <= size:
                return sources
        return []

    def replace_segments(self, sources: list[Segment], merged: Segment) -> bool:
        """Replaces consecutive segments by one that merges them.

        Returns:
          Whether all of them were still listed; otherwise nothing changes.
        """
        if not sources or sources[0] not in self.segments:
            return False
        start = self.segments.index(sources[0])
        if self.segments[start : start + len(sources)] != sources:
            return False
        self.segments[start : start + len(sources)] = [merged]
        self.dropped.extend(segment.segment_id for segment in sources)
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
    """Decodes a head object."""
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
    """Encodes the rows object of a segment."""
    return b"\n".join(claimrow.encode_row(row) for row in rows)


def decode_rows(value: bytes) -> list[claimrow.ClaimRow]:
    """Decodes the output of ``encode_rows``."""
    return [claimrow.decode_row(line) for line in value.split(b"\n")]


def encode_keys(rows: list[claimrow.ClaimRow]) -> bytes:
    """Encodes the keys object of a segment, the sorted key digests."""
    return b"".join(sorted(bytes.fromhex(row.key_digest) for row in rows))


def has_key(keys: bytes, key_digest: str) -> bool:
    """Returns whether a segment's sorted key digests contain a digest."""
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
