"""Interface of the placement policies.

A policy is a plug-in of the group ``policy``. It sees a query and a load
table, decides, and keeps no state of its own, so that the same policy serves
at a coordinator, which knows every grant, and at an instance on its own.
"""

import abc

from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable

PLUGIN_GROUP = "policy"


class Policy(abc.ABC):
    """Chooses endpoints for prompts."""

    plugin_group = PLUGIN_GROUP
    plugin_name = ""
    # Whether lengths decide on admission and on the order of the queue.
    uses_lengths = True

    def __init__(self, weight_ttft: float = 0.5):
        """Creates the policy.

        Args:
          weight_ttft: from 0 to 1, the weight of time to first token across
            lengths against the slowdown of short requests.
        """
        self.weight_ttft = weight_ttft

    @abc.abstractmethod
    def choose(
        self,
        query: placements.PlacementQuery,
        table: loadtable.LoadTable,
        now_s: float,
    ) -> placements.Placement | None:
        """Chooses endpoints, or None when nothing has room at present."""

    @abc.abstractmethod
    def needs_coordinator(self, query: placements.PlacementQuery) -> bool:
        """Says whether the coordinator of the engines has to be asked."""

    @abc.abstractmethod
    def is_short(self, prompt_tokens: int) -> bool:
        """Says whether a prompt belongs into the lane of short ones."""
