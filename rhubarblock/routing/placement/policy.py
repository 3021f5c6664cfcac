"""Interface of the placement policies.

A policy is a plug-in of the group ``policy``. It decides from a query and a
load table and keeps no state of its own, so the same policy works at a
coordinator, which knows every grant, and at an instance that decides alone.
"""

import abc

from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable

PLUGIN_GROUP = "policy"


class Policy(abc.ABC):
    """Chooses endpoints for prompts."""

    plugin_group = PLUGIN_GROUP
    plugin_name = ""
    # Whether admission and queue order depend on prompt lengths.
    uses_lengths = True

    def __init__(self, weight_ttft: float = 0.5):
        """Creates the policy.

        Args:
          weight_ttft: weight from 0 to 1 of the time to first token across all
            lengths; the rest is the weight of the slowdown of short requests.
        """
        self.weight_ttft = weight_ttft

    @abc.abstractmethod
    def choose(
        self,
        query: placements.PlacementQuery,
        table: loadtable.LoadTable,
        now_s: float,
    ) -> placements.Placement | None:
        """Chooses endpoints; returns None if none has room at present."""

    @abc.abstractmethod
    def needs_coordinator(self, query: placements.PlacementQuery) -> bool:
        """Says whether the coordinator of the pool has to be asked."""

    @abc.abstractmethod
    def is_short(self, prompt_tokens: int) -> bool:
        """Says whether a prompt belongs in the lane of short prompts."""
