from click.testing import CliRunner

from rhubarblock.scripts import explain

LOG = """\
day quiet-1 is played
   9.100 edge-1 {"time": "x", "message": "state changed", \
"subject": "endpoint e1", "after": "draining"}
   9.200 edge-1 {"time": "x", "message": "state changed", \
"subject": "endpoint e7", "after": "draining"}
  10.500 edge-1 {"time": "x", "message": "attempt ended", "request": "q1", \
"endpoint": "e1", "outcome": "broken", "reason": "the endpoint kept silent"}
  10.400 edge-2 {"time": "x", "message": "attempt ended", "request": "q2", \
"endpoint": "e1", "reason": "other"}
  10.900 edge-1 {"time": "x", "message": "request failed", "request": "q1", \
"code": "endpoint_failed", "reason": "the answer was cut"}
"""


def run(request_id, tmp_path, text=LOG):
    path = tmp_path / "all.log"
    path.write_text(text)
    return CliRunner().invoke(explain.explain_command, [request_id, str(path)])


def test_trace_is_sorted_by_time_and_ends_with_the_cause(tmp_path):
    result = run("q1", tmp_path)
    assert result.exit_code == 0
    assert result.output.splitlines() == [
        "     9.100 edge-1               state changed: "
        "subject=endpoint e1 after=draining",
        "    10.500 edge-1               attempt ended: request=q1 endpoint=e1 "
        "outcome=broken reason=the endpoint kept silent",
        "    10.900 edge-1               request failed: request=q1 "
        "code=endpoint_failed reason=the answer was cut",
        "cause: the endpoint kept silent; then the answer was cut",
    ]


def test_request_without_log_lines_is_an_error(tmp_path):
    result = run("q9", tmp_path)
    assert result.exit_code == 1
    assert "no line names request q9" in result.output


def test_lines_without_instance_take_it_from_the_file_name(tmp_path):
    text = (
        '{"time": "2026-01-01 09:00:01,500", "message": "served late", '
        '"request": "q3", "first_s": 0.5, "expected_s": 0.1, '
        '"longest_pause_s": 0.2}\n'
    )
    result = run("q3", tmp_path, text)
    assert result.output.splitlines()[-1] == (
        "cause: first after 0.5 s (0.1 s were predicted), longest pause 0.2 s"
    )
    assert " all " in result.output


def test_cause_of_a_served_request_is_no_failure(tmp_path):
    text = (
        '1.0 edge-1 {"message": "placed", "request": "q4", "endpoint": "e1"}\n'
        '1.2 edge-1 {"message": "served", "request": "q4", "endpoint": "e1", '
        '"first_s": 0.15}\n'
    )
    result = run("q4", tmp_path, text)
    assert result.output.splitlines()[-1] == (
        "cause: served in time, first after 0.15 s"
    )


def test_placements_are_not_reported_as_causes(tmp_path):
    text = (
        '1.0 edge-1 {"message": "placed", "request": "q5", "endpoint": "e1"}\n'
        '1.2 edge-1 {"message": "attempt ended", "request": "q5", '
        '"reason": "the endpoint kept silent"}\n'
        '1.3 edge-1 {"message": "placed", "request": "q5", "endpoint": "e2"}\n'
    )
    result = run("q5", tmp_path, text)
    assert result.output.splitlines()[-1] == "cause: the endpoint kept silent"


def test_denied_retry_is_reported_as_a_cause(tmp_path):
    text = (
        '1.0 edge-1 {"message": "placed", "request": "q6", "endpoint": "e1"}\n'
        '1.2 edge-1 {"message": "attempt ended", "request": "q6", '
        '"reason": "the endpoint answered 500"}\n'
        '1.3 edge-1 {"message": "retry denied", "request": "q6", '
        '"reason": "retry budget spent"}\n'
    )
    result = run("q6", tmp_path, text)
    assert result.output.splitlines()[-1] == (
        "cause: the endpoint answered 500; then retry budget spent"
    )


def test_refusal_by_admission_is_shown_with_its_inputs(tmp_path):
    reason = '"reason": "others would lose more than it gains"}'
    text = (
        '1.0 edge-1 {"message": "admission refused", "request": "q7", '
        f'"rank": 1, "cost": 0.4, {reason}\n'
        '1.0 edge-1 {"message": "request failed", "request": "q7", '
        f'"code": "no_endpoint", {reason}\n'
    )
    lines = run("q7", tmp_path, text).output.splitlines()
    assert "admission refused" in lines[0]
    assert "cost=0.4" in lines[0]
    assert lines[-1] == "cause: others would lose more than it gains"
