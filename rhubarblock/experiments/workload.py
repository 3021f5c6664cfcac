"""Draws the prompts of the measurements from a seed.

Prompt lengths are log-normal with a median of 3,000 tokens and one in fifty
over 100,000, truncated at 1,000,000; output lengths are log-normal with a
median of 150. Half of the prompts share a prefix of 1,000 to 4,000 tokens with
the others of their workspace.
"""

from collections.abc import Iterator
import dataclasses
import hashlib
import math
import random

from rhubarblock.core import request as requests
from rhubarblock.experiments import idle

MEDIAN_PROMPT = 3_000
LONG_PROMPT = 100_000
# The standard normal quantile of 49 in 50.
_QUANTILE_49_IN_50 = 2.0537
PROMPT_SIGMA = math.log(LONG_PROMPT / MEDIAN_PROMPT) / _QUANTILE_49_IN_50
SHORTEST_PROMPT = 16
LONGEST_PROMPT = 1_000_000
MEDIAN_OUTPUT = 150
OUTPUT_SIGMA = 0.6
LONGEST_OUTPUT = 2_000
PREFIX_SHARE = 0.5
PREFIX_RANGE = (1_000, 4_000)
BLOCK_TOKENS = 512
# A deadline is this floor plus a multiple of the time on an idle fleet.
DEADLINE_FLOOR_S = 10.0
DEADLINE_RATIO = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class Tenant:
    """A workspace that sends prompts.

    Attributes:
      institution: its institution.
      workspace: its name.
      share: its share of the requests, relative to others.
    """

    institution: str
    workspace: str
    share: float = 1.0


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request and its arrival time.

    Attributes:
      at_s: seconds from the start of the run.
      request: the request; its deadline is relative to its arrival.
    """

    at_s: float
    request: requests.PromptRequest


def mean_prompt() -> float:
    """Returns the mean of the truncated prompt lengths in tokens."""
    mu = math.log(MEDIAN_PROMPT)
    cut = (math.log(LONGEST_PROMPT) - mu) / PROMPT_SIGMA
    uncut_mean = math.exp(mu + PROMPT_SIGMA**2 / 2)
    below = uncut_mean * _normal_cdf(cut - PROMPT_SIGMA)
    return below + LONGEST_PROMPT * (1 - _normal_cdf(cut))


def _normal_cdf(quantile: float) -> float:
    """Returns the cumulative standard normal distribution at a quantile."""
    return (1 + math.erf(quantile / math.sqrt(2))) / 2


def draw_prompt(rng: random.Random) -> int:
    """Draws a prompt length in tokens."""
    tokens = rng.lognormvariate(math.log(MEDIAN_PROMPT), PROMPT_SIGMA)
    return min(LONGEST_PROMPT, max(SHORTEST_PROMPT, round(tokens)))


def draw_output(rng: random.Random) -> int:
    """Draws an output length in tokens."""
    tokens = rng.lognormvariate(math.log(MEDIAN_OUTPUT), OUTPUT_SIGMA)
    return min(LONGEST_OUTPUT, max(1, round(tokens)))


def make_prefix(name: str, tokens: int) -> tuple[str, ...]:
    """Returns the chained block digests of a shared prefix."""
    blocks = []
    digest = hashlib.blake2b(name.encode(), digest_size=8)
    for number in range(tokens // BLOCK_TOKENS):
        digest.update(str(number).encode())
        blocks.append(digest.hexdigest())
    return tuple(blocks)


def choose_deadline(prompt_tokens: int, output_tokens: int) -> float:
    """Returns the relative deadline in seconds of a request of this size."""
    idle_s = idle.predict_total(prompt_tokens, output_tokens)
    return DEADLINE_FLOOR_S + DEADLINE_RATIO * idle_s


def draw_requests(
    rng: random.Random,
    tenants: list[Tenant],
    requests_per_s: float,
    duration_s: float,
    model: str,
) -> Iterator[Arrival]:
    """Draws a Poisson stream of requests.

    Args:
      rng: seeded generator.
      tenants: workspaces that send.
      requests_per_s: mean rate of all of them together.
      duration_s: seconds over which requests arrive.
      model: requested model.

    Yields:
      The requests in order of arrival; ``deadline_s`` is relative to the
      arrival.
    """
    prefixes = {
        tenant.workspace: rng.randint(*PREFIX_RANGE) for tenant in tenants
    }
    shares = [tenant.share for tenant in tenants]
    at_s = 0.0
    number = 0
    while True:
        at_s += rng.expovariate(requests_per_s)
        if at_s > duration_s:
            return
        number += 1
        tenant = rng.choices(tenants, shares)[0]
        prompt = draw_prompt(rng)
        output = draw_output(rng)
        blocks: tuple[str, ...] = ()
        if rng.random() < PREFIX_SHARE:
            shared = min(prefixes[tenant.workspace], prompt)
            blocks = make_prefix(tenant.workspace, shared)
        yield Arrival(
            at_s,
            requests.PromptRequest(
                request_id=f"r{number}",
                institution=tenant.institution,
                workspace=tenant.workspace,
                model=model,
                request_class=requests.RequestClass.INTERACTIVE,
                prompt_tokens=prompt,
                max_tokens=output,
                deadline_s=choose_deadline(prompt, output),
                digest=f"{rng.getrandbits(64):016x}",
                prefix_blocks=blocks,
            ),
        )
