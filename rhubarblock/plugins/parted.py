"""Prompts placed, and parted, by what the next passes of engines will last."""

from rhubarblock.routing.placement import parting

__plugins__ = ("Parter",)

Parter = parting.Parter
