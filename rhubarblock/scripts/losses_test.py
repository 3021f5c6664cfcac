"""Tests the causes that ``rhubarblock losses`` finds in logs."""

import json
import pathlib

from click import testing

from rhubarblock.loganalysis import causes
from rhubarblock.scripts import losses


def line(at_s, instance, message, **fields):
    return f"{at_s:9.4f} {instance} " + json.dumps(
        {"time": "x", "message": message, **fields}
    )


def placed(at_s, instance, request, endpoint, **fields):
    defaults = {
        "workspace": "w1",
        "data_centre": "osu",
        "parts": 1,
        "expected_s": 0.1,
        "since_arrival_s": 0.0,
        "engines": [],
        "prompt_tokens": 5000,
        "left_s": 10.0,
    }
    fields = {"request": request, "endpoint": endpoint, **defaults, **fields}
    return line(at_s, instance, "placed", **fields)


def served(at_s, instance, request, message="served late", **fields):
    fields = {"first_s": 0.1, "longest_pause_s": 0.05, **fields}
    return line(at_s, instance, message, request=request, **fields)


def ended(at_s, instance, request, reason, parts=1, outcome="broken"):
    return line(
        at_s,
        instance,
        "attempt ended",
        request=request,
        reason=reason,
        parts=parts,
        outcome=outcome,
        since_arrival_s=0.1,
    )


def failed(at_s, instance, request, code, reason="r", **fields):
    fields = {"verdict": "MAY_HAVE_RUN", "begun": False, **fields}
    return line(
        at_s,
        instance,
        "request failed",
        request=request,
        code=code,
        reason=reason,
        **fields,
    )


def refused_by_admission(request, reason):
    return (
        line(13.1, "i1", "admission refused", request=request, reason=reason),
        failed(13.1, "i1", request, "no_endpoint", reason, verdict="NOT_RUN"),
    )


LOG = [
    "day trouble-1 is played",
    line(0.0, "i1", "starting"),
    line(0.0, "i2", "starting"),
    # q1 is served in time; q2 fails because of its caller and is no loss.
    placed(2.0, "i1", "q1", "e1"),
    served(2.4, "i1", "q1", "served"),
    failed(2.5, "i1", "q2", "unauthenticated"),
    # The engine of q3 gets a long prompt before the first event of q3.
    placed(4.0, "i1", "q3", "e1"),
    placed(4.1, "i2", "q4", "e9", engines=["e1"], prompt_tokens=400_000),
    served(5.5, "i1", "q3", first_s=1.2),
    served(7.0, "i2", "q4", "served", first_s=2.0),
    # The engine of q5 gets a long prompt while it decodes q5.
    placed(8.0, "i1", "q5", "e2"),
    placed(8.5, "i2", "q6", "e2", prompt_tokens=50_000),
    served(9.9, "i1", "q5", longest_pause_s=0.9),
    served(9.0, "i2", "q6", "served"),
    # Engines refuse q7, a prompt in parts; q8 cannot open a connection.
    placed(10.0, "i2", "q7", "e3", engines=["e4"], parts=2),
    ended(10.1, "i2", "q7", "the endpoint refused it with 503", 2, "refused"),
    failed(10.2, "i2", "q7", "no_endpoint", verdict="NOT_RUN"),
    ended(11.0, "i2", "q8", "Connection timeout to host http://e5"),
    failed(11.1, "i2", "q8", "endpoint_failed", begun=True),
    # i3 has just started and has no configuration; that of i1 is unconfirmed.
    line(12.0, "i3", "starting"),
    failed(12.2, "i3", "q9", "platform_unavailable", verdict="NOT_RUN"),
    failed(12.3, "i1", "q10", "platform_unavailable", verdict="NOT_RUN"),
    # The rate limits of all endpoints are exhausted.
    failed(
        13.0,
        "i1",
        "q16",
        "no_endpoint",
        "the rate limits of endpoints leave no room",
        verdict="NOT_RUN",
    ),
    # All data centres with endpoints of q20 are evacuated.
    failed(
        13.1,
        "i1",
        "q20",
        "no_endpoint",
        "its data centres are evacuated",
        verdict="NOT_RUN",
    ),
    # The instance of q24 is about to stop.
    failed(
        13.1,
        "i1",
        "q24",
        "draining",
        "it may not end before this instance stops",
        verdict="NOT_RUN",
    ),
    # Admission refuses q21, q22 and q23, before any attempt.
    *refused_by_admission("q21", "it can't be answered in its time"),
    *refused_by_admission("q22", "others would lose more than it gains"),
    *refused_by_admission("q23", "no endpoint has room"),
    # The endpoint of q17 fails, and no retry is left; q18 got one earlier.
    ended(13.1, "i1", "q17", "the endpoint answered 500"),
    line(
        13.2, "i1", "retry denied", request="q17", reason="retry budget spent"
    ),
    failed(13.2, "i1", "q17", "endpoint_failed"),
    line(
        13.3, "i1", "retry denied", request="q18", reason="retry budget spent"
    ),
    ended(13.4, "i1", "q18", "the endpoint answered 500"),
    failed(13.5, "i1", "q18", "endpoint_failed"),
    # No retry is left for q19, and its caller gets the endpoint's error.
    ended(13.6, "i1", "q19", "the endpoint answered 500"),
    line(
        13.7, "i1", "retry denied", request="q19", reason="retry budget spent"
    ),
    # q11 is slower than predicted, without a visible reason; q12 is late
    # because no faster engine was available when it was placed.
    placed(14.0, "i1", "q11", "e6"),
    served(15.0, "i1", "q11", first_s=0.9),
    placed(14.0, "i1", "q12", "e7", expected_s=0.8),
    served(15.0, "i1", "q12", first_s=0.85),
    # q13 moves to another engine; the caller of q14 disconnects; q15 is lost
    # because its instance restarts.
    ended(
        16.0,
        "i1",
        "q13",
        "the engine reads for others for too long",
        1,
        "moved",
    ),
    served(16.5, "i1", "q13", "served"),
    placed(17.0, "i1", "q14", "e7", left_s=1.0),
    placed(18.0, "i2", "q15", "e7"),
    line(19.0, "i2", "starting"),
    line(30.0, "i1", "counters"),
    '  30.1 i1 {"time": "x", "mess',
]


def run(tmp_path, *options, lines=LOG):
    path = tmp_path / "all.log"
    path.write_text("\n".join(lines) + "\n")
    result = testing.CliRunner().invoke(
        losses.losses_command, [str(path), *options]
    )
    assert result.exit_code == 0, result.output
    return result.output


def test_each_cause_is_counted(tmp_path):
    summary = json.loads(run(tmp_path, "--json"))
    assert summary["by_cause"] == {
        "cut: no connection could be opened": 1,
        "cut: the instance was lost": 1,
        "failed: retry budget spent": 2,
        "failed: the caller left, or no line tells the end": 1,
        "failed: the endpoint failed": 1,
        "late: no better place when it came": 1,
        "late: overtaken by later reading": 1,
        "late: paused by other reading": 1,
        "late: slower than predicted": 1,
        "moved: paused by other reading": 1,
        "refused: an engine refused it": 1,
        "refused: endpoints' rate limits left no room": 1,
        "refused: it could not be answered in its time": 1,
        "refused: its data centre was evacuated": 1,
        "refused: no confirmed configuration": 1,
        "refused: no endpoint had room": 1,
        "refused: the instance was about to stop": 1,
        "refused: others would have lost more than it gained": 1,
        "refused: the instance had just started": 1,
    }
    assert (summary["requests"], summary["skipped"]) == (24, 2)


def test_order_of_the_log_files_does_not_matter(tmp_path):
    by_instance = sorted(LOG, key=lambda text: "i2" in text)
    assert run(tmp_path, lines=by_instance) == run(tmp_path)


def test_chart_has_a_bar_for_each_cause_of_a_window(tmp_path):
    picture = tmp_path / "day.svg"
    run(tmp_path, "--picture", str(picture))
    text = picture.read_text()
    assert text.startswith("<svg ") and text.endswith("</svg>\n")
    assert "<title>4 s: overtaken by later reading</title>" in text


def test_logs_without_requests_are_reported(tmp_path):
    assert run(tmp_path, lines=["day quiet-1 is played"]).startswith(
        "0 requests, 0 fared badly, 1 lines passed over\n"
    )


def test_causes_in_a_recorded_log_are_found(tmp_path):
    # The log was recorded while a configuration with many routes was broadcast
    # as a whole over slow links, and while prompts in parts were placed on
    # engines without free KV memory.
    text = pathlib.Path(causes.__file__).with_name("testdata")
    lines = (text / "configuration-storm.log").read_text().splitlines()
    summary = json.loads(run(tmp_path, "--json", lines=lines))
    assert summary["no_connection"] == {"edge-tema-hall-10": 3}
    assert summary["attempts"]["an engine refused it, in parts"] == 10
    assert "an engine refused it, whole" not in summary["attempts"]
    assert summary["by_cause"]["refused: an engine refused it"] == 2
    assert summary["by_cause"]["refused: no confirmed configuration"] == 6
