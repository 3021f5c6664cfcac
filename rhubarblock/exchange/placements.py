"""The endpoint, helpers and memory leases of one attempt."""

import dataclasses

from rhubarblock.core import listed as lists
from rhubarblock.exchange import callbalancer
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import leases
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import speedsamples

# Expected time in seconds to the first byte of a service without engines.
SERVICE_S = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """Where one attempt is sent.

    Attributes:
      endpoint: receives the request.
      helpers: engines that prefill parts of the prompt.
      helper_engines: endpoints of the helpers, in the same order.
      held_leases: memory leases to acquire before the attempt is sent.
      expected_s: predicted seconds to the first byte.
      urgency: rank at an engine; None keeps the default.
      limit_per_s: known rate limit of the endpoint in requests per second; None
        without one.
      samples: observes the speed of its engines; None for a plain call.
      call: measures how long a plain call takes; None for a prompt.
    """

    endpoint: lists.ListedEndpoint
    helpers: tuple[dialects.Helper, ...] = ()
    helper_engines: tuple[lists.ListedEndpoint, ...] = ()
    held_leases: tuple[leases.Lease, ...] = ()
    expected_s: float = SERVICE_S
    urgency: int | None = None
    limit_per_s: float | None = None
    samples: speedsamples.AnswerSamples | None = None
    call: callbalancer.Call | None = None

    def find_helper(self, address: str) -> lists.ListedEndpoint | None:
        """Returns the helper at an address, or None."""
        found = (e for e in self.helper_engines if e.address == address)
        return next(found, None)


def make_placement(
    choice: prompts.Choice,
    limit_per_s: float | None,
    samples: speedsamples.AnswerSamples | None = None,
) -> Placement:
    """Returns the placement of a choice, with leases for its helpers.

    Args:
      choice: engines that were chosen for a prompt.
      limit_per_s: rate limit of the first engine, None without one.
      samples: observes the speed of its engines.
    """
    helpers = []
    held_leases = []
    job = choice.job
    for number in range(1, len(job.parts)):
        engine = choice.engines[number]
        tokens = job.parts[number].tokens
        lease_id = ""
        if tokens:
            lease_id = f"{job.job_id}.{number}"
            held_leases.append(leases.Lease(engine, lease_id, tokens))
        helpers.append(dialects.Helper(engine.address, lease_id))
    return Placement(
        choice.engines[0],
        tuple(helpers),
        choice.engines[1:],
        tuple(held_leases),
        choice.expected_s,
        limit_per_s=limit_per_s,
        samples=samples,
    )
