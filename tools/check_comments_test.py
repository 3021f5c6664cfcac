"""Tests of the check of comments."""

import pathlib

from tools import check_comments

SOURCE = '''\
"""Places prompts: 0.954 instead of 0.997 were in time."""

# Seconds between two looks.
LOOK_S = 0.5
# Halves the waits (engine model, two plays).
PART = 0.5


def place():
    """Returns a place; 29 prompts within 31 ms."""
    return "0.954 instead of 0.997"  # not a comment's figure
'''


def test_figures_of_runs_are_found_in_comments_and_docstrings(monkeypatch):
    path = check_comments.ROOT / "x.py"
    monkeypatch.setattr(pathlib.Path, "read_text", lambda self: SOURCE)
    assert check_comments.find_faults(path) == [
        "x.py:5: holds a figure of a run: "
        "# Halves the waits (engine model, two plays).",
        "x.py:1: holds a figure of a run: "
        "Places prompts: 0.954 instead of 0.997 were in time.",
    ]
