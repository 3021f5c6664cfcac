"""Prompts placed, and parted, by what the next passes of engines will last."""

from rhubarblock.routing import parting

__plugins__ = ("Parter",)

Parter = parting.Parter
