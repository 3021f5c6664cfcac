"""Where one attempt of an exchange goes."""

import dataclasses

from rhubarblock.core import listed as lists
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import leases
from rhubarblock.routing.placement import prompt as prompts

# Seconds that an answer of a plain service is expected to take at first.
SERVICE_S = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """Where one attempt goes.

    Attributes:
      endpoint: the endpoint that is asked.
      helpers: engines that read parts of the prompt.
      helper_engines: these engines, in the same order.
      held: memory that must be set aside before it is sent.
      expected_s: seconds until the first byte, as predicted.
      urgency: rank at an engine; None leaves the usual one.
      limit_per_s: rate limit that the endpoint is known to name, in requests a
        second; None without one.
    """

    endpoint: lists.ListedEndpoint
    helpers: tuple[dialects.Helper, ...] = ()
    helper_engines: tuple[lists.ListedEndpoint, ...] = ()
    held: tuple[leases.Lease, ...] = ()
    expected_s: float = SERVICE_S
    urgency: int | None = None
    limit_per_s: float | None = None

    def find_helper(self, address: str) -> lists.ListedEndpoint | None:
        """Returns the helper at an address, if there is one."""
        found = (e for e in self.helper_engines if e.address == address)
        return next(found, None)


def make_place(choice: prompts.Choice, limit_per_s: float | None) -> Place:
    """Returns the place of a choice, with the memory that helpers hold.

    Args:
      choice: where a prompt goes.
      limit_per_s: rate limit of its first engine, None without one.
    """
    helpers = []
    held = []
    job = choice.job
    for number in range(1, len(job.parts)):
        engine = choice.engines[number]
        tokens = job.parts[number].tokens
        lease_id = ""
        if tokens:
            lease_id = f"{job.job_id}.{number}"
            held.append(leases.Lease(engine, lease_id, tokens))
        helpers.append(dialects.Helper(engine.address, lease_id))
    return Place(
        choice.engines[0],
        tuple(helpers),
        choice.engines[1:],
        tuple(held),
        choice.expected_s,
        limit_per_s=limit_per_s,
    )
