"""A baseline with lanes: a fixed share of the engines reads long prompts only.

It is kept as the other side of measurements. Short prompts never meet long
reading, and long ones starve when the mix moves.
"""

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.plugins import least_requests
from rhubarblock.routing.placement import partplan
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import promptpolicy

__plugins__ = ("FixedLanes",)

# Share of the engines that is kept for long prompts, and the least length in
# tokens of these: the ones of the first trial on the users' platform.
KEPT_SHARE = 0.35
LONG_TOKENS = 20_000
# Seconds of reading for each of which one more engine reads a long prompt.
PART_READ_S = 0.1


class FixedLanes(promptpolicy.PromptPolicy):
    """Parts the engines once and for all."""

    plugin_name = "fixed_lanes"

    def choose(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ) -> prompts.Choice | None:
        ordered = sorted(engines, key=lambda engine: engine.endpoint_id)
        kept = round(KEPT_SHARE * len(ordered))
        is_long = prompt.prompt_tokens > LONG_TOKENS
        lane = ordered[:kept] if is_long else ordered[kept:]
        count = least_requests.count_holders(prompt, model)
        if is_long:
            whole_s = model.predict_prefill(prompt.prompt_tokens)
            wanted = 1 + int(whole_s / PART_READ_S)
            most = min(partplan.MAX_PARTS, len(lane))
            count = max(count, min(wanted, most))
        chosen = least_requests.choose_least(self._tracker, lane, model, count)
        if not chosen:
            return None
        return least_requests.make_choice(prompt, chosen, model)
