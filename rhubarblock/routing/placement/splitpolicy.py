"""The default prompt policy: splits prompts into parts and may defer them.

Engines prefill the latest arrival first, so a long prompt that is placed in the
middle of a burst delays every shorter one that is being prefilled, and is
delayed itself by all that arrive after it. If it waits at its instance until
those prefills are done, all of them are on time.
"""

import dataclasses

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import partplan
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import promptpolicy

# Smallest objective of a job, in seconds, when its prompt has used up the rest
# by waiting.
MIN_OBJECTIVE_S = 0.05
# Deferring is considered if starting now costs more than this, in short
# prompts: about one answer that is on time.
DEFER_MIN_COST = 1.5
# Shortest prompt that may be deferred, in seconds of prefill by one engine:
# shorter ones cost the other jobs less than deferring could save.
DEFER_MIN_PREFILL_S = 0.8
# Part of its objective that a prompt may spend waiting; the rest is for its
# prefill.
MAX_WAIT_PART = 0.6
# Deferrals that are compared, in seconds: from about the prefill of one part up
# to the objective of a long prompt.
START_DELAYS_S = (0.2, 0.5, 1.0, 2.0)
# Smallest gain of a deferral, in short prompts, as all prompts that arrive in
# the meantime go first.
MIN_DEFER_GAIN = 0.5


class SplitPromptPolicy(promptpolicy.PromptPolicy):
    """Places prompts by the predictions of the job tracker."""

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
        """Says whether a prompt is long, has not started and has time left.

        Most prompts are not, which saves the predictions for every engine.
        """
        if prompt.is_mid_stream:
            return False
        if model.predict_prefill(prompt.prompt_tokens) < DEFER_MIN_PREFILL_S:
            return False
        return prompt.waited_s <= MAX_WAIT_PART * prompt.objective_s

    def find_start_delay(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ) -> float:
        """Returns the seconds by which a prompt's start should be deferred.

        Handles bursts of long prompts: one that starts while the engines
        prefill another delays both, and the answers that are decoded there
        pause twice.
        """
        if not self.may_defer(prompt, model):
            return 0.0
        plan = partplan.choose_plan(
            self._tracker, self._data_centre, prompt, engines, model, now_s
        )
        if plan is None or plan.cost < DEFER_MIN_COST:
            return 0.0
        least = plan.cost - MIN_DEFER_GAIN
        start_s = 0.0
        for delay_s in START_DELAYS_S:
            plan = self._plan_deferred(prompt, engines, model, now_s, delay_s)
            if plan is not None and plan.cost < least:
                least = plan.cost
                start_s = delay_s
        return start_s

    def _plan_deferred(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
        delay_s: float,
    ) -> partplan.Plan | None:
        """Returns the best plan at a later start if no other job is placed."""
        waited = dataclasses.replace(prompt, waited_s=prompt.waited_s + delay_s)
        at_s = now_s + delay_s
        return partplan.choose_plan(
            self._tracker.look_ahead(at_s),
            self._data_centre,
            waited,
            engines,
            model,
            at_s,
        )


def _make_choice(prompt: prompts.Prompt, plan: partplan.Plan) -> prompts.Choice:
    """Converts a plan to the form that tracker, peers and relay use."""
    parts = tuple(
        jobtracker.Part(part.endpoint.endpoint_id, plan.prefill_s, tokens)
        for part, tokens in zip(plan.parts, plan.tokens, strict=True)
    )
    job = jobtracker.Job(
        prompt.job_id,
        parts,
        prompt.pause_s,
        prompt.prompt_tokens,
        max(MIN_OBJECTIVE_S, prompt.objective_s - prompt.waited_s),
    )
    return prompts.Choice(
        job,
        tuple(part.endpoint for part in plan.parts),
        plan.expected_s,
        plan.pause_s,
        plan.cost,
        plan.others_cost,
    )
