"""A baseline policy that sends each prompt to the engine with fewest requests.

It exists for comparison. A prompt that does not fit one engine is split over as
few engines as can hold it.
"""

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import partplan
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import promptpolicy

__plugins__ = ("LeastRequests",)


class LeastRequests(promptpolicy.PromptPolicy):
    """Places prompts by the number of requests at each engine alone."""

    plugin_name = "least_requests"

    def choose(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ) -> prompts.Choice | None:
        count = count_engines_needed(prompt, model)
        chosen = choose_least_loaded(self._tracker, engines, model, count)
        if not chosen:
            return None
        return make_choice(prompt, chosen, model)


def count_engines_needed(
    prompt: prompts.Prompt, model: routes.EngineCostModel
) -> int:
    """Returns how many engines are needed to hold a prompt."""
    needed = prompt.prompt_tokens + prompt.answer_tokens
    if needed <= partplan.MEMORY_PART * model.kv_capacity_tokens:
        return 1
    return -(-needed // partplan.limit_lease(model))


def choose_least_loaded(
    tracker: jobtracker.JobTracker,
    engines: list[lists.ListedEndpoint],
    model: routes.EngineCostModel,
    count: int,
) -> list[lists.ListedEndpoint]:
    """Returns the `count` engines with the fewest requests.

    The list is empty if there are too few engines, or if the engine with the
    fewest requests has no free slot.
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
    """Returns the choice that splits a prompt evenly over engines."""
    count = len(engines)
    prefill_s = model.predict_prefill(prompt.prompt_tokens, count)
    tokens_per_engine = -(
        -(prompt.prompt_tokens + prompt.answer_tokens) // count
    )
    parts = tuple(
        jobtracker.Part(engine.endpoint_id, prefill_s, tokens_per_engine)
        for engine in engines
    )
    job = jobtracker.Job(prompt.job_id, parts, prompt.pause_s)
    return prompts.Choice(job, tuple(engines), prefill_s)
