import pytest

from rhubarblock.core import attempt as attempts
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import enginewire

ATTEMPT = attempts.Attempt(
    attempt_id="r/1",
    owner="entry/1",
    model="m",
    prompt="hé",
    prompt_tokens=7,
    prefix_blocks=("b0",),
    digest="d",
    max_tokens=3,
    resume_from=1,
    priority=-2,
    export=True,
    sources=(attempts.KvSource("a:1", "r/0", 5),),
    segment_end=6,
    windowed=True,
)

ATTEMPT_JSON = (
    rb'{"attempt_id":"r/1","owner":"entry/1","model":"m","prompt":"h\u00e9",'
    rb'"prompt_tokens":7,"prefix_blocks":["b0"],"digest":"d","max_tokens":3,'
    rb'"resume_from":1,"priority":-2,"export":true,"sources":[{"address":'
    rb'"a:1","handle":"r/0","tokens":5}],"segment_end":6,"windowed":true}'
)

REPORT = endpoints.LoadReport(
    endpoint_id="e",
    measured_s=1.5,
    sequence=2,
    start_id="s",
    role=endpoints.Role.DECODE,
    models=("m@1",),
    running=1,
    decoding=2,
    waiting=3,
    prefill_tokens=4,
    kv_capacity=5,
    kv_used=6,
    attempts=("r/1",),
    draining=True,
    fence=7,
)


def test_attempt_round_trips():
    assert enginewire.encode_attempt(ATTEMPT) == ATTEMPT_JSON
    assert enginewire.parse_attempt(ATTEMPT_JSON) == ATTEMPT


def test_orders_reports_and_cache_events_round_trip():
    order = attempts.Order(3, 4, "both", ("m@1",), ("fine",), True)
    events = [attempts.CacheEvent(1, "b", True)]

    assert enginewire.parse_order(enginewire.encode_order(order)) == order
    assert enginewire.parse_load(enginewire.encode_load(REPORT)) == REPORT
    body = enginewire.encode_cache_events(events)
    assert enginewire.parse_cache_events(body) == events


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b"[]", "the body is not a JSON object"),
        (b"{", "the body is not a JSON object"),
        (b"{}", "attempt_id must be of type str"),
    ],
)
def test_malformed_attempt_is_rejected_with_a_reason(body, message):
    with pytest.raises(failures.FailureError) as caught:
        enginewire.parse_attempt(body)

    assert caught.value.failure == failures.Failure(
        failures.FailureCode.BAD_REQUEST, message
    )


@pytest.mark.parametrize(
    ("right", "wrong", "message"),
    [
        (b'"max_tokens":3', b'"max_tokens":true', "max_tokens must be of"),
        (b'["b0"]', b'"b0"', "prefix_blocks must be of type list"),
        (b'["b0"]', b"[[]]", "prefix_blocks must hold strings"),
        (b'"tokens":5', b'"tokens":"5"', "tokens must be of type int"),
    ],
)
def test_field_of_wrong_type_is_named_in_the_error(right, wrong, message):
    body = ATTEMPT_JSON.replace(right, wrong)
    with pytest.raises(failures.FailureError) as caught:
        enginewire.parse_attempt(body)

    assert message in caught.value.failure.message


def test_failure_round_trips():
    failure = failures.Failure(
        failures.FailureCode.DRAINING, "no", verdicts.Verdict.NOT_RUN
    )
    body = enginewire.encode_failure(failure)

    assert body == (
        b'{"error":{"code":"draining","message":"no","verdict":"NOT_RUN"}}'
    )
    assert enginewire.parse_failure(body) == failure


@pytest.mark.parametrize("body", [b"", b"<html>", b"[]", b'{"error":{}}'])
def test_unexplained_error_means_may_have_run(body):
    failure = enginewire.parse_failure(body)

    assert failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert failure.code is failures.FailureCode.ENDPOINT_FAILED


def test_token_and_end_events_are_parsed():
    token = (
        b'data: {"id":"r","attempt":"r/1","offset":4,"choices":[{"index":0,'
        b'"text":" 012345","logprobs":null,"finish_reason":null}]}'
    )
    end = (
        b'data: {"id":"r","attempt":"r/1","offset":5,"choices":[{"index":0,'
        b'"text":"","finish_reason":"length"}],"usage":{'
        b'"prompt_tokens_details":{"cached_tokens":512}}}'
    )

    assert enginewire.parse_event(token) == attempts.Chunk(
        "r/1", 4, 1, " 012345"
    )
    assert enginewire.parse_event(end) == attempts.Chunk(
        "r/1", 5, 0, "", True, "length", 512
    )
    assert enginewire.parse_event(b"data: [DONE]") is None


@pytest.mark.parametrize("event", [b"data: {}", b"data: x", b"", b"data: 1"])
def test_malformed_event_raises(event):
    with pytest.raises(ValueError):
        enginewire.parse_event(event)


def test_malformed_report_raises():
    for parse in (enginewire.parse_load, enginewire.parse_cache_events):
        with pytest.raises(ValueError):
            parse(b'{"x":1}')
