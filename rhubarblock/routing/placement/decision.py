"""The query to a placement policy and the placement that it returns.

A placement only names endpoints; the relay turns it into attempts.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementQuery:
    """What a policy needs to know about a request.

    Attributes:
      request_id: request to place.
      service: engine service of its model.
      model: model name.
      prompt_tokens: length of the prompt in tokens.
      max_tokens: largest number of tokens still to generate.
      slack_s: seconds until the deadline.
      prefix_blocks: chained digests of the first blocks of the prompt.
      avoid: endpoints that failed an earlier attempt of this request, or that
        are reserved for suspect requests.
    """

    request_id: str
    service: str
    model: str
    prompt_tokens: int
    max_tokens: int
    slack_s: float
    prefix_blocks: tuple[str, ...] = ()
    avoid: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class Segment:
    """One part of a prompt that does not fit into a single engine.

    Attributes:
      endpoint_id: engine that computes and holds the part.
      end: number of prompt tokens up to the end of this part.
    """

    endpoint_id: str
    end: int


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """The endpoints chosen for one attempt of a prompt.

    Attributes:
      prefill_id: engine that prefills the prompt, or its last segment.
      decode_id: engine that decodes; equal to ``prefill_id`` unless the KV
        cache moves.
      priority: priority at the engines; the smaller one runs first.
      segments: earlier segments of a prompt that does not fit into one engine.
      expected_wait_s: predicted seconds until the prefill begins.
    """

    prefill_id: str
    decode_id: str
    priority: int
    segments: tuple[Segment, ...] = ()
    expected_wait_s: float = 0.0

    @property
    def handed_over(self) -> bool:
        """Whether the KV cache moves to another engine for decoding."""
        return self.decode_id != self.prefill_id

    def list_endpoints(self) -> tuple[str, ...]:
        """Returns every endpoint involved, without duplicates."""
        names = [segment.endpoint_id for segment in self.segments]
        names += [self.prefill_id, self.decode_id]
        return tuple(dict.fromkeys(names))
