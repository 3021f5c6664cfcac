"""The demo: runs a mixed load through an embedded fleet and sums it up."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import random
from typing import Any

import aiohttp

from rhubarblock.experiments import demofleet
from rhubarblock.experiments import idle
from rhubarblock.experiments import mixed
from rhubarblock.experiments import quantiles
from rhubarblock.experiments import workload
from rhubarblock.standins.engine import tokens as enginetokens

REQUESTS = 120
REQUESTS_PER_S = 8.0
NOTICES = 12
# Prompt lengths that every run has, up to the longest that is supported.
FIXED_PROMPTS = (1_000, 150_000, 900_000)
LONGEST_OUTPUT = 200
DEADLINE_S = 50.0
BYTES_PER_TOKEN = 4
REFUSED_STATUSES = (429, 503)

Progress = Callable[[int, int], None]


@dataclasses.dataclass(slots=True)
class Answer:
    """One prompt and the answer that its caller received.

    Attributes:
      institution: institution of the caller.
      prompt_tokens: length of the prompt.
      output_tokens: requested tokens.
      status: HTTP status; 0 if no answer came.
      first_s: seconds to the first token.
      total_s: seconds to the end.
      text: received text.
      complete: whether the answer had its end mark.
    """

    institution: str
    prompt_tokens: int
    output_tokens: int
    status: int = 0
    first_s: float = 0.0
    total_s: float = 0.0
    text: str = ""
    complete: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class InstitutionFigures:
    """The demo's figures for one institution; times in seconds."""

    institution: str
    admitted: int
    finished: int
    failed: int
    refused: int
    lost: int
    duplicated: int
    ttft_s: dict[str, quantiles.Quantiles]
    short_slowdown: quantiles.Quantiles


@dataclasses.dataclass(slots=True, frozen=True)
class DemoResult:
    """The demo's figures.

    Attributes:
      institutions: figures by institution.
      notices: calls with an idempotency key that were sent, with repeats.
      double_runs: keys whose call ran more than once.
      kv_leaked_tokens: KV cache tokens that the engines still hold at the end.
      broken_promises: descriptions of the guarantees that were broken.
    """

    seed: int
    institutions: list[InstitutionFigures]
    notices: int
    double_runs: int
    kv_leaked_tokens: int
    broken_promises: list[str]


async def run_demo(seed: int, progress: Progress) -> DemoResult:
    """Runs the demo.

    Args:
      seed: decides lengths and arrivals.
      progress: called with the number of prompts that ended and of all.

    Returns:
      The figures.
    """
    async with (
        demofleet.run_fleet(seed) as fleet,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session,
    ):
        addresses = [x.caller_address for x in fleet.instances]
        answers, statuses = await asyncio.gather(
            _send_prompts(session, addresses, seed, progress),
            _send_notices(session, addresses),
        )
        await asyncio.sleep(1.0)
        leaked = sum(sum(x.kv_held().values()) for x in fleet.engines)
        doubles = len(fleet.runs.find_double_runs())
    return _summarise(seed, answers, statuses, doubles, leaked)


async def _send_prompts(
    session: aiohttp.ClientSession,
    addresses: list[str],
    seed: int,
    progress: Progress,
) -> list[Answer]:
    """Sends prompts of both institutions over time and awaits all answers."""
    rng = random.Random(seed)
    prompts = [*FIXED_PROMPTS] + [
        # Bounded to keep the run short; the fixed prompts cover the longest
        # lengths.
        min(workload.draw_prompt(rng), 200_000)
        for _ in range(REQUESTS - len(FIXED_PROMPTS))
    ]
    ended = 0
    tasks = []

    async def send(number: int, prompt_tokens: int) -> Answer:
        nonlocal ended
        institution = ("adwoa", "hofbauer")[number % 2]
        answer = Answer(
            institution,
            prompt_tokens,
            min(LONGEST_OUTPUT, workload.draw_output(rng)),
        )
        address = addresses[number % len(addresses)]
        await _complete(session, address, number, answer)
        ended += 1
        progress(ended, len(prompts))
        return answer

    for number, prompt_tokens in enumerate(prompts):
        tasks.append(asyncio.ensure_future(send(number, prompt_tokens)))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    return list(await asyncio.gather(*tasks))


async def _complete(
    session: aiohttp.ClientSession, address: str, number: int, answer: Answer
) -> None:
    """Sends one prompt and reads its stream into the answer."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    prompt = make_prompt(number, answer.prompt_tokens)
    body = {
        "model": demofleet.MODEL,
        "prompt": prompt,
        "max_tokens": answer.output_tokens,
        "stream": True,
    }
    secret = demofleet.SECRETS[answer.institution]
    headers = {
        "Authorization": f"Bearer {secret}",
        "X-Timeout-S": str(DEADLINE_S),
    }
    try:
        async with session.post(
            f"http://{address}/v1/completions", json=body, headers=headers
        ) as response:
            answer.status = response.status
            async for line in response.content:
                if not line.startswith(b"data: "):
                    continue
                if not answer.first_s:
                    answer.first_s = loop.time() - started_s
                _add_event(line[len(b"data: ") :].strip(), answer)
    except aiohttp.ClientError:
        pass
    answer.total_s = loop.time() - started_s


def _add_event(data: bytes, answer: Answer) -> None:
    if data == b"[DONE]":
        answer.complete = True
        return
    fields: dict[str, Any] = json.loads(data)
    if "error" not in fields:
        answer.text += fields["choices"][0]["text"]


def make_prompt(number: int, tokens: int) -> str:
    """Returns a prompt of a length in tokens, unique by its number."""
    head = f"Prompt {number}. "
    return head + "x" * (tokens * BYTES_PER_TOKEN - len(head))


async def _send_notices(
    session: aiohttp.ClientSession, addresses: list[str]
) -> list[int]:
    """Sends each fee notice to two instances at once, with the same key."""
    secret = demofleet.SECRETS["adwoa"]

    async def send(number: int, address: str) -> int:
        url = f"http://{address}/v1/services/{demofleet.DESK}/notices"
        async with session.post(
            url,
            json={"claim": number, "fee": 25},
            headers={
                "Authorization": f"Bearer {secret}",
                "Idempotency-Key": f"notice-{number}",
            },
        ) as response:
            await response.read()
            return response.status

    statuses: list[int] = []
    for number in range(NOTICES):
        statuses += await asyncio.gather(
            send(number, addresses[0]), send(number, addresses[1])
        )
    return statuses


def _summarise(
    seed: int,
    answers: list[Answer],
    statuses: list[int],
    doubles: int,
    leaked: int,
) -> DemoResult:
    institutions = [
        _summarise_institution(
            name, [x for x in answers if x.institution == name]
        )
        for name in demofleet.SECRETS
    ]
    broken = []
    if any(x.lost for x in institutions):
        broken.append("an admitted request got no answer")
    if any(x.duplicated for x in institutions):
        broken.append("a caller got other text than its whole answer")
    if any(x.failed for x in institutions):
        broken.append("a request failed although nothing was broken")
    if doubles or any(status != 200 for status in statuses):
        broken.append("a fee notice ran twice or not at all")
    if leaked:
        broken.append("an engine lost memory")
    return DemoResult(
        seed, institutions, len(statuses), doubles, leaked, broken
    )


def _summarise_institution(
    name: str, answers: list[Answer]
) -> InstitutionFigures:
    refused = [x for x in answers if x.status in REFUSED_STATUSES]
    complete = [x for x in answers if x.complete]
    wrong = [x for x in complete if not _has_expected_length(x)]
    shorts = [x for x in complete if x.prompt_tokens < mixed.SHORT_TOKENS]
    lost = [x for x in answers if x.status == 0]
    admitted = len(answers) - len(refused)
    return InstitutionFigures(
        institution=name,
        admitted=admitted,
        finished=len(complete),
        failed=admitted - len(complete) - len(lost),
        refused=len(refused),
        lost=len(lost),
        duplicated=len(wrong),
        ttft_s={
            band: quantiles.summarise(
                [x.first_s for x in complete if low <= x.prompt_tokens < high]
            )
            for band, (low, high) in mixed.BANDS.items()
        },
        short_slowdown=quantiles.summarise(
            [
                x.total_s / idle.predict_total(x.prompt_tokens, x.output_tokens)
                for x in shorts
            ]
        ),
    )


def _has_expected_length(answer: Answer) -> bool:
    """Says whether the text has the length of the requested tokens.

    The caller does not know the digest from which the stand-in engine derives
    its text, so only the length is checked here; tests check the text itself.
    """
    length = len(enginetokens.make_token("", 0))
    return len(answer.text) == answer.output_tokens * length
