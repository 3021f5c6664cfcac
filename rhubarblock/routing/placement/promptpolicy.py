"""What chooses the engines of a prompt, and may be exchanged."""

import abc

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import prompt as prompts

PLUGIN_GROUP = "prompt_policy"


class PromptPolicy(abc.ABC):
    """Chooses where a prompt is read and written."""

    plugin_group = PLUGIN_GROUP
    plugin_name = ""

    def __init__(self, tracker: jobtracker.JobTracker, data_centre: str):
        """Creates a policy over what is known of the engines.

        Args:
          tracker: what each engine has before it.
          data_centre: where the instance runs.
        """
        self._tracker = tracker
        self._data_centre = data_centre

    @abc.abstractmethod
    def choose(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ) -> prompts.Choice | None:
        """Chooses the engines of a prompt.

        Args:
          prompt: what is to be placed.
          engines: engines that may be used.
          model: what their steps cost.
          now_s: monotonic seconds.

        Returns:
          The choice, or None if no engine has room for it.
        """

    def find_start_delay(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ) -> float:
        """Returns the seconds after which a prompt had better begin.

        It is asked again after a part of them, as others come and end; 0 says
        at once, and is what a policy says that never waits.

        Args:
          prompt: what is to be placed.
          engines: engines that may be used.
          model: what their steps cost.
          now_s: monotonic seconds.
        """
        del prompt, engines, model, now_s
        return 0.0
