"""The product's placement without later starts.

It is kept as the other side of measurements: what it loses is what waiting in
the instance gains.
"""

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing import parting
from rhubarblock.routing import prompt as prompts

__plugins__ = ("PartedAtOnce",)


class PartedAtOnce(parting.Parter):
    """Places each prompt the moment that it arrives."""

    plugin_name = "parted_at_once"

    def predict_start(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineModel,
        now_s: float,
    ) -> float:
        del prompt, engines, model, now_s
        return 0.0
