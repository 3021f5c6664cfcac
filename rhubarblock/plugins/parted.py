"""The policy that places and splits prompts by the predicted engine steps."""

from rhubarblock.routing.placement import splitpolicy

__plugins__ = ("SplitPromptPolicy",)

SplitPromptPolicy = splitpolicy.SplitPromptPolicy
