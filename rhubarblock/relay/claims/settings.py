"""Settings of at-most-once calls."""

import dataclasses

from rhubarblock.store import backoff as backoffs


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimSettings:
    """How claims are written, kept and collected.

    Attributes:
      shards: number of head objects; in force is what the platform holds since
        the first start, so that all instances agree.
      batch_window_s: seconds for which a claim waits for others to share its
        write.
      finish_window_s: seconds for which an answer waits to be recorded along
        with a claim.
      forward_timeout_s: seconds that a shard's coordinator has to write a claim
        before the instance writes it itself.
      forward_pause_s: seconds for which a coordinator that failed is passed by.
      writes_per_s: most writes a second for claims, spread evenly over the
        shards; an instance keeps to it for each shard that it writes.
      claim_timeout_s: seconds after which a call is refused when the platform
        does not confirm its claim.
      poll_s: first wait between two looks at the claim of another caller.
      poll_max_s: longest such wait.
      answer_limit: largest answer body that is kept, in bytes.
      retention_s: seconds for which a key is remembered, at least.
      clock_error_s: most by which two machines' wall clocks differ.
      seal_bytes: size of a head from which on its rows are sealed.
      head_limit: size of a head above which claims are refused.
      drain_s: most seconds that stopping waits for answers to be recorded.
      backoff: waits between tries of a call to the platform.
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
