"""Times placement on engines of learned speeds, and what learning costs.

Run as ``python -m benchmarks.speeds``. The book and the prompts are those of
``benchmarks.placement``; its figures at the same number of engines show what a
decision costs before anything was learned.
"""

import random
import time

from benchmarks import placement
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import speedsamples
from rhubarblock.routing.placement import splitpolicy

ENGINES = 100
EVENTS = 20_000
# Factors of the passes of equal and of uneven engines.
EQUAL = (1.0, 1.0)
UNEVEN = (0.5, 2.0)


def learn(book: jobtracker.JobTracker, bounds: tuple[float, float]) -> None:
    """Lets passes be observed at all engines."""
    rng = random.Random(placement.SEED)
    for engine in placement.make_engines(ENGINES):
        ratio = rng.uniform(*bounds)
        for _ in range(4):
            book.speeds.note_pass(engine.endpoint_id, ratio, 0.0)


def measure_choice(tokens: int, bounds: tuple[float, float] | None) -> float:
    """Returns the microseconds that one choice takes, the least of three.

    Args:
      tokens: length of the prompt.
      bounds: smallest and largest observed factor; None if nothing was
        observed.
    """
    engines = placement.make_engines(ENGINES)
    book = placement.fill_book(engines, random.Random(placement.SEED))
    if bounds:
        learn(book, bounds)
    policy = splitpolicy.SplitPromptPolicy(book, "0")
    prompt = prompts.Prompt("p", tokens, 1_800, 0.25, 0.321, False)
    taken = []
    for _ in range(3):
        begun = time.process_time()
        for number in range(placement.ROUNDS):
            book.speeds.refresh(0.001 * number)
            policy.choose(prompt, engines, placement.PLAN.model, 0.001 * number)
        taken.append((time.process_time() - begun) / placement.ROUNDS)
    return 1e6 * min(taken)


def measure_event() -> float:
    """Returns the microseconds that one event of an answer takes."""
    book = jobtracker.JobTracker()
    model = placement.PLAN.model
    part = jobtracker.Part("e000", 0.05, 5_000)
    job = jobtracker.Job("i.1", (part,), 0.25, 5_000, 0.3)
    book.add(job, 0.0)
    samples = speedsamples.AnswerSamples(book, job, model, 0.0)
    begun = time.process_time()
    for number in range(EVENTS):
        samples.note_event(0.1 + 0.05 * number)
    return 1e6 * (time.process_time() - begun) / EVENTS


def main() -> None:
    """Prints a table."""
    print(f"{ENGINES} engines, us a decision")
    print("tokens  nothing learned  equal  uneven")
    for tokens in (5_000, 45_000, 300_000):
        figures = [
            measure_choice(tokens, bounds) for bounds in (None, EQUAL, UNEVEN)
        ]
        print(
            f"{tokens:6} {figures[0]:16.0f} {figures[1]:6.0f} {figures[2]:7.0f}"
        )
    print(f"an event: {measure_event():.1f} us")


if __name__ == "__main__":
    main()
