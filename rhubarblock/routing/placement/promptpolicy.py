"""Interface of the prompt policies, which choose the engines of a prompt.

A prompt policy is a plug-in of the group ``prompt_policy``.
"""

import abc

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import prompt as prompts

PLUGIN_GROUP = "prompt_policy"


class PromptPolicy(abc.ABC):
    """Chooses the engines that prefill and decode a prompt."""

    plugin_group = PLUGIN_GROUP
    plugin_name = ""

    def __init__(self, tracker: jobtracker.JobTracker, data_centre: str):
        """Creates a policy.

        Args:
          tracker: the jobs that are placed on each engine.
          data_centre: where this instance runs.
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
          prompt: the prompt to place.
          engines: engines that may be used.
          model: cost model of the engines.
          now_s: current time in monotonic seconds.

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
        """Returns the seconds by which a prompt's start should be deferred.

        Callers ask again before that time is over, as other jobs start and end
        meanwhile. 0 means to start now; a policy that never defers returns 0.

        Args:
          prompt: the prompt to place.
          engines: engines that may be used.
          model: cost model of the engines.
          now_s: current time in monotonic seconds.
        """
        del prompt, engines, model, now_s
        return 0.0
