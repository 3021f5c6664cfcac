"""A prompt to be placed, and the engines chosen for it."""

import dataclasses

from rhubarblock.core import listed as lists
from rhubarblock.routing.placement import jobtracker


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """A prompt to be placed.

    Attributes:
      job_id: unique across all instances.
      prompt_tokens: length of the prompt in tokens.
      answer_tokens: largest number of tokens in its answer.
      pause_s: longest pause in the stream that counts as on time, in seconds; 0
        for no limit.
      objective_s: time to the first event that counts as on time, in seconds.
      waited_s: seconds since its arrival.
      is_mid_stream: whether its caller is already receiving a stream, so that
        every 10 ms of delay matter.
      refusals: how many of its placements an engine refused.
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
    """The engines chosen for a prompt.

    Attributes:
      job: what is recorded and announced to the peers.
      engines: the engines of the job's parts, in the same order.
      expected_s: predicted seconds until its first event.
      pause_s: predicted seconds between the first event and the next one.
      cost: what the placement costs all requests, in short prompts; 0 if the
        policy doesn't tell.
      others_cost: what of it other requests lose.
    """

    job: jobtracker.Job
    engines: tuple[lists.ListedEndpoint, ...]
    expected_s: float
    pause_s: float = 0.0
    cost: float = 0.0
    others_cost: float = 0.0
