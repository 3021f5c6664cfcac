"""The product's placement without later starts.

It is kept as the other side of measurements: what it loses is what waiting in
the instance gains.
"""

from rhubarblock.core import route as routes
from rhubarblock.routing.placement import parting
from rhubarblock.routing.placement import prompt as prompts

__plugins__ = ("PartedAtOnce",)


class PartedAtOnce(parting.Parter):
    """Places each prompt the moment that it arrives."""

    plugin_name = "parted_at_once"

    def may_defer(
        self, prompt: prompts.Prompt, model: routes.EngineCostModel
    ) -> bool:
        del prompt, model
        return False
