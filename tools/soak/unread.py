"""Reads from logs when an instance closed new connections unread."""

import datetime
import json
import math
import time

from tools.soak import evidence as evidences

_LOGGER = "rhubarblock.daemon.intake"
_BEGIN = "connections are left unread"
# Lines after which the connections of a process are read.
_ENDS = ("connections are read again", "starting")


def read_windows(log: str) -> list[tuple[float, float]]:
    """Returns the begins and ends of these times on the clock of the soak.

    Args:
      log: the lines of all processes of one instance, in order.
    """
    offset_s = evidences.read_clock() - time.time()
    windows: list[tuple[float, float]] = []
    begin_s: float | None = None
    for line in log.splitlines():
        fields = _parse(line)
        message = fields.get("message")
        is_begin = message == _BEGIN and fields.get("logger") == _LOGGER
        if is_begin and begin_s is None:
            begin_s = _read_time(fields) + offset_s
        elif message in _ENDS and begin_s is not None:
            windows.append((begin_s, _read_time(fields) + offset_s))
            begin_s = None
    if begin_s is not None:
        windows.append((begin_s, math.inf))
    return windows


def _parse(line: str) -> dict[str, object]:
    try:
        fields = json.loads(line)
    except ValueError:
        # An end of the process within a line.
        return {}
    return fields if isinstance(fields, dict) else {}


def _read_time(fields: dict[str, object]) -> float:
    text = str(fields["time"])
    moment = datetime.datetime.strptime(text, "%Y-%m-%d %H:%M:%S,%f")
    return moment.timestamp()
