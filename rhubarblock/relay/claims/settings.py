"""Settings of at-most-once calls."""

import dataclasses

from rhubarblock.store import backoff as backoffs


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimSettings:
    """How claims are written, stored and deleted.

    Attributes:
      shards: number of head objects. It only applies to the first start; later
        all instances use the number that the platform holds.
      batch_window_s: seconds that a claim waits for others to share its write.
      finish_window_s: seconds that an outcome waits to share the write of a
        claim.
      forward_timeout_s: seconds that a shard's coordinator has to write a claim
        before the instance writes it itself.
      forward_pause_s: seconds for which a coordinator that failed is bypassed.
      writes_per_s: most writes of claims per second, divided evenly among the
        shards; each instance applies the limit per shard that it writes.
      claim_timeout_s: seconds after which a call is refused if the platform
        does not confirm its claim.
      poll_s: first wait between two lookups of another request's claim, in
        seconds.
      poll_max_s: longest such wait in seconds.
      answer_limit: largest answer body that is stored, in bytes.
      retention_s: shortest time for which a key is remembered, in seconds.
      clock_error_s: largest difference between two machines' wall clocks, in
        seconds.
      seal_bytes: size of a head's rows at which they are sealed, in bytes.
      head_limit: size of a head above which claims are refused, in bytes.
      drain_s: longest wait for outcomes to be recorded on shutdown, in seconds.
      backoff: waits between attempts after failures of the platform.
    """

    shards: int = 4
    batch_window_s: float = 0.003
    finish_window_s: float = 0.3
    forward_timeout_s: float = 1.0
    forward_pause_s: float = 1.0
    writes_per_s: float = 100.0
    claim_timeout_s: float = 5.0
    poll_s: float = 0.05
    poll_max_s: float = 1.0
    answer_limit: int = 2_000
    retention_s: float = 86_400.0
    clock_error_s: float = 300.0
    seal_bytes: int = 32_768
    head_limit: int = 900_000
    drain_s: float = 5.0
    backoff: backoffs.BackoffSettings = backoffs.BackoffSettings()
