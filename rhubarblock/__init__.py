"""Rhubarblock: a serving layer for language-model prompts of unlike lengths.

The library holds all behaviour; the daemons under ``rhubarblock.scripts`` only
read settings, build the parts and wait for a signal.
"""

__version__ = "0.1.0"
