"""Times the choice of a place at the size of a large pool.

Run as ``python benchmarks/placement.py``. A book is filled with what runs at a
usual moment of a burst; then prompts of each kind are placed again and again.
"""

import random
import time

from rhubarblock.core import listed as lists
from rhubarblock.experiments.platform import deployments as platformdeployments
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import splitpolicy

ROUNDS = 200
SEED = 7
PLAN = platformdeployments.LARGE


def make_engines(count: int) -> list[lists.ListedEndpoint]:
    """Returns engines of the own data centre."""
    slots = PLAN.model.slots
    return [
        lists.ListedEndpoint(f"e{n:03}", f"e{n}", "0", "pool", slots, False)
        for n in range(count)
    ]


def fill_book(
    engines: list[lists.ListedEndpoint], rng: random.Random
) -> jobtracker.JobTracker:
    """Returns a book in which half of the engines write and a fifth reads."""
    book = jobtracker.JobTracker()
    for number, engine in enumerate(engines):
        for writer in range(rng.choice((0, 0, 1, 2, 4))):
            part = jobtracker.Part(engine.endpoint_id, 0.0, 5_000)
            job = jobtracker.Job(
                f"w{number}.{writer}", (part,), 0.25, 5_000, 0.3
            )
            book.add(job, 0.0)
    for number in range(len(engines) // 40):
        chosen = rng.sample(engines, min(len(engines), 8))
        parts = tuple(jobtracker.Part(e.endpoint_id, 0.4) for e in chosen)
        book.add(jobtracker.Job(f"g{number}", parts, 1.0, 250_000, 4.0), 0.0)
    return book


def measure(engine_count: int, tokens: int) -> float:
    """Returns the milliseconds that one choice takes, the least of three."""
    engines = make_engines(engine_count)
    book = fill_book(engines, random.Random(SEED))
    policy = splitpolicy.SplitPromptPolicy(book, "0")
    prompt = prompts.Prompt("p", tokens, 1_800, 0.25, 0.321, False)
    taken = []
    for _ in range(3):
        begun = time.process_time()
        for number in range(ROUNDS):
            policy.choose(prompt, engines, PLAN.model, 0.001 * number)
        taken.append((time.process_time() - begun) / ROUNDS)
    return 1e3 * min(taken)


def main() -> None:
    """Prints a table."""
    print("engines  tokens  ms")
    for engine_count in (48, 96, 195):
        for tokens in (5_000, 45_000, 300_000):
            took_ms = measure(engine_count, tokens)
            print(f"{engine_count:7} {tokens:7} {took_ms:5.2f}")


if __name__ == "__main__":
    main()
