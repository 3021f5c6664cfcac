import io
import json
import logging

from rhubarblock.kernel import linebudget
from rhubarblock.kernel import logs
from rhubarblock.kernel import logwriter


def read_lines(stream):
    documents = [json.loads(line) for line in stream.getvalue().splitlines()]
    for document in documents:
        assert document.pop("time")
    return documents


def test_a_change_of_state_is_one_json_line():
    stream = io.StringIO()
    root = logs.configure("info", stream)
    logger = logging.getLogger("rhubarblock.sample")
    logger.debug("not written")
    logs.log_state_change(logger, "endpoint e1", "ready", "suspect", misses=3)
    root.handlers[0].close()
    assert read_lines(stream) == [
        {
            "level": "INFO",
            "logger": "rhubarblock.sample",
            "message": "state changed",
            "subject": "endpoint e1",
            "before": "ready",
            "after": "suspect",
            "misses": 3,
        }
    ]


def test_lines_over_the_budget_are_dropped_and_counted():
    stream = io.StringIO()
    now_s = [0.0]
    writer = logwriter.LogWriter(logwriter.make_write(stream))
    budget = linebudget.LineBudget(lambda: now_s[0], lines_per_s=5)
    handler = logs.BoundedHandler(writer, budget)
    logger = logging.Logger("rhubarblock.sample")
    logger.addHandler(handler)
    for _ in range(9):
        logger.debug("served")
    logger.warning("request failed")
    now_s[0] = 1.0
    logger.info("store regained")
    handler.close()
    written = [(d["message"], d.get("by_message")) for d in read_lines(stream)]
    assert written == [
        ("served", None),
        ("served", None),
        ("request failed", None),
        ("lines left out", {"served": 7}),
        ("store regained", None),
    ]
