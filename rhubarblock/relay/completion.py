"""The summary of an answer that was delivered to its end."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Completion:
    """Summary of an answer that was delivered to its end.

    Attributes:
      prompt_tokens: length of the prompt in tokens.
      completion_tokens: length of the answer in tokens.
      cached_tokens: prompt tokens that an engine had in its prefix cache.
      finish_reason: ``stop`` or ``length``.
      attempts: number of tries, including failed ones.
      first_token_s: monotonic time of the first token.
    """

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    finish_reason: str
    attempts: int
    first_token_s: float
