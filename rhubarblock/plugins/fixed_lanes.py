"""A baseline policy that reserves a share of the engines for long prompts.

It exists for comparison. Short prompts never share an engine with long
prefills, but long prompts starve when their share of the load grows.
"""

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.plugins import least_requests
from rhubarblock.routing.placement import partplan
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import promptpolicy

__plugins__ = ("FixedLanes",)

# Share of the engines that is reserved for long prompts, and the length in
# tokens above which a prompt is long. The users tried fixed lanes with these
# values.
LONG_LANE_SHARE = 0.35
LONG_TOKENS = 20_000
# A long prompt is split over one more engine for each multiple of this prefill
# time, in seconds.
PREFILL_S_PER_PART = 0.1


class FixedLanes(promptpolicy.PromptPolicy):
    """Divides the engines into two fixed lanes."""

    plugin_name = "fixed_lanes"

    def choose(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ) -> prompts.Choice | None:
        ordered = sorted(engines, key=lambda engine: engine.endpoint_id)
        long_lane_size = round(LONG_LANE_SHARE * len(ordered))
        is_long = prompt.prompt_tokens > LONG_TOKENS
        lane = ordered[:long_lane_size] if is_long else ordered[long_lane_size:]
        count = least_requests.count_engines_needed(prompt, model)
        if is_long:
            whole_s = model.predict_prefill(prompt.prompt_tokens)
            wanted = 1 + int(whole_s / PREFILL_S_PER_PART)
            most = min(partplan.MAX_PARTS, len(lane))
            count = max(count, min(wanted, most))
        chosen = least_requests.choose_least_loaded(
            self._tracker, lane, model, count
        )
        if not chosen:
            return None
        return least_requests.make_choice(prompt, chosen, model)
