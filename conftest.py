"""Lets tests fail that KNOWN-RED.txt lists, and prints them.

Each line of the file names a test by its id, a command with its seed, what was
seen and the open issue, parted by bars. A listed test that passes is an error,
so that the line goes together with the fault.
"""

import gc
import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def read_known():
    """Returns the lines of the list by the ids of their tests."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line]
    known = {line.split("|")[0].strip(): line for line in lines}
    if "" in known:
        raise pytest.UsageError(f"{KNOWN_RED.name}: a line names no test")
    return known


def pytest_collection_modifyitems(items):
    known = read_known()
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(reason=known[item.nodeid], strict=True)
            )


def pytest_collection_finish():
    """Keeps the collected tests out of later garbage collections.

    With thousands of tests, a full collection pauses the process for more than
    0.1 s, which tests on the real clock can't tell from a stalled instance.
    """
    gc.collect()
    gc.freeze()


def pytest_terminal_summary(terminalreporter):
    for line in read_known().values():
        terminalreporter.write_line(f"known red: {line}")
