"""A prompt that is to be placed, and where it goes."""

import dataclasses

from rhubarblock.core import listed as lists
from rhubarblock.routing.placement import jobtracker


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """What is to be placed.

    Attributes:
      job_id: unique over all instances.
      prompt_tokens: length.
      answer_tokens: most tokens of its answer.
      pause_s: longest pause that is on time, in seconds; 0 where any is.
      objective_s: time to the first event that is on time, in seconds.
      waited_s: seconds since its arrival.
      is_mid_stream: whether its caller is within a stream already, so that each
        hundredth of a second counts.
      refusals: plans of it that an engine refused.
    """

    job_id: str
    prompt_tokens: int
    answer_tokens: int
    pause_s: float
    objective_s: float
    is_mid_stream: bool = False
    waited_s: float = 0.0
    refusals: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """Where a prompt goes.

    Attributes:
      job: what the book is told.
      engines: the engines of the job's parts, in the same order.
      expected_s: seconds until its first event, as predicted.
      pause_s: seconds between that and the next one.
    """

    job: jobtracker.Job
    engines: tuple[lists.ListedEndpoint, ...]
    expected_s: float
    pause_s: float = 0.0
