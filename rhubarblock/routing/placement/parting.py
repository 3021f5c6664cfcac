"""Places a prompt now, or says that it had better begin a little later.

Engines read what came last first, so a long prompt that is placed in the middle
of a burst pushes back every shorter one that is being read, and is pushed back
itself by all that come after it. If it waits in its instance until these are
read, all of them are in time.
"""

import dataclasses

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import partplan
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import promptpolicy

# Least seconds that are left of an objective in what the book is told.
SHORTEST_OBJECTIVE_S = 0.05
# A later start is looked for if the best one now costs more than this, in short
# prompts: about one answer in time.
LATER_FROM_COST = 1.5
# Shortest prompt, in seconds of reading by one engine, that may wait: others
# take less from those at their engines than a later start could spare.
LATER_FROM_READ_S = 0.8
# Part of its objective up to which a prompt may have waited; what is left is
# for its reading.
LATER_PART = 0.6
# Later starts that are compared, in seconds: from about a part of a prompt to
# the objective of a long one.
LATER_S = (0.2, 0.5, 1.0, 2.0)
# What a later start must gain at least, in short prompts, as all that comes
# meanwhile goes first.
LATER_GAIN = 0.5


class Parter(promptpolicy.PromptPolicy):
    """Places prompts by what the book of engines predicts."""

    plugin_name = "parted"

    def choose(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ) -> prompts.Choice | None:
        plan = partplan.choose_plan(
            self._tracker, self._data_centre, prompt, engines, model, now_s
        )
        return _make_choice(prompt, plan) if plan else None

    def may_defer(
        self, prompt: prompts.Prompt, model: routes.EngineCostModel
    ) -> bool:
        """Says whether a prompt is long, not begun, and has time left.

        Most are not, and need no look at any engine.
        """
        if prompt.is_mid_stream:
            return False
        if model.predict_prefill(prompt.prompt_tokens) < LATER_FROM_READ_S:
            return False
        return prompt.waited_s <= LATER_PART * prompt.objective_s

    def find_start_delay(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ) -> float:
        """Returns the seconds after which a prompt had better begin.

        Answers a burst of long prompts: one that begins while engines read for
        another delays both, and those who write there pause twice.
        """
        if not self.may_defer(prompt, model):
            return 0.0
        plan = partplan.choose_plan(
            self._tracker, self._data_centre, prompt, engines, model, now_s
        )
        if plan is None or plan.cost < LATER_FROM_COST:
            return 0.0
        least = plan.cost - LATER_GAIN
        start_s = 0.0
        for later_s in LATER_S:
            plan = self._plan_later(prompt, engines, model, now_s, later_s)
            if plan is not None and plan.cost < least:
                least = plan.cost
                start_s = later_s
        return start_s

    def _plan_later(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
        later_s: float,
    ) -> partplan.Plan | None:
        """Returns the best plan if nothing else is placed until then."""
        waited = dataclasses.replace(prompt, waited_s=prompt.waited_s + later_s)
        at_s = now_s + later_s
        return partplan.choose_plan(
            self._tracker.look_ahead(at_s),
            self._data_centre,
            waited,
            engines,
            model,
            at_s,
        )


def _make_choice(prompt: prompts.Prompt, plan: partplan.Plan) -> prompts.Choice:
    """Returns a plan as what the book, the peers and the relay are told."""
    parts = tuple(
        jobtracker.Part(part.endpoint.endpoint_id, plan.prefill_s, tokens)
        for part, tokens in zip(plan.parts, plan.tokens, strict=True)
    )
    job = jobtracker.Job(
        prompt.job_id,
        parts,
        prompt.pause_s,
        prompt.prompt_tokens,
        max(SHORTEST_OBJECTIVE_S, prompt.objective_s - prompt.waited_s),
    )
    return prompts.Choice(
        job,
        tuple(part.endpoint for part in plan.parts),
        plan.expected_s,
        plan.pause_s,
    )
