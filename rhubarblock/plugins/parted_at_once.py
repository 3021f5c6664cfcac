"""The default placement without deferred starts.

It exists for comparison in benchmarks: the difference shows what deferring
prompts in the instance gains.
"""

from rhubarblock.core import route as routes
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import splitpolicy

__plugins__ = ("ImmediateSplitPolicy",)


class ImmediateSplitPolicy(splitpolicy.SplitPromptPolicy):
    """Places each prompt when it arrives and never defers it."""

    plugin_name = "parted_at_once"

    def may_defer(
        self, prompt: prompts.Prompt, model: routes.EngineCostModel
    ) -> bool:
        del prompt, model
        return False
