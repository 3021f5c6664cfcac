"""The policy that places and splits prompts by the predicted engine steps."""

from rhubarblock.routing.placement import parting

__plugins__ = ("Parter",)

Parter = parting.Parter
