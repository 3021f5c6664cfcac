"""The baseline for prompts: the engine with the fewest requests reads it whole.

It is kept as the other side of measurements. A prompt larger than an engine is
read in as few parts as hold it.
"""

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import partplan
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import promptpolicy

__plugins__ = ("LeastRequests",)


class LeastRequests(promptpolicy.PromptPolicy):
    """Counts requests and nothing else."""

    plugin_name = "least_requests"

    def choose(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ) -> prompts.Choice | None:
        count = count_holders(prompt, model)
        chosen = choose_least(self._tracker, engines, model, count)
        if not chosen:
            return None
        return make_choice(prompt, chosen, model)


def count_holders(prompt: prompts.Prompt, model: routes.EngineCostModel) -> int:
    """Returns how many engines must hold a prompt together."""
    needed = prompt.prompt_tokens + prompt.answer_tokens
    if needed <= partplan.MEMORY_PART * model.kv_capacity_tokens:
        return 1
    return -(-needed // partplan.limit_lease(model))


def choose_least(
    tracker: jobtracker.JobTracker,
    engines: list[lists.ListedEndpoint],
    model: routes.EngineCostModel,
    count: int,
) -> list[lists.ListedEndpoint]:
    """Returns the engines with the fewest requests, the first with a slot.

    It is empty if none has a slot, or if there are too few.
    """
    ranked = sorted(
        engines,
        key=lambda e: (len(tracker.find(e.endpoint_id).jobs), e.address),
    )
    if len(ranked) < count:
        return []
    if len(tracker.find(ranked[0].endpoint_id).jobs) >= model.slots:
        return []
    return ranked[:count]


def make_choice(
    prompt: prompts.Prompt,
    engines: list[lists.ListedEndpoint],
    model: routes.EngineCostModel,
) -> prompts.Choice:
    """Returns the choice that reads a prompt in even parts."""
    count = len(engines)
    prefill_s = model.predict_prefill(prompt.prompt_tokens, count)
    held = -(-(prompt.prompt_tokens + prompt.answer_tokens) // count)
    parts = tuple(
        jobtracker.Part(engine.endpoint_id, prefill_s, held)
        for engine in engines
    )
    job = jobtracker.Job(prompt.job_id, parts, prompt.pause_s)
    return prompts.Choice(job, tuple(engines), prefill_s)
