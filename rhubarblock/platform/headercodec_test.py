from multidict import CIMultiDict
import pytest

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.core import statement as statements
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.platform import headercodec
from rhubarblock.platform import names


def test_caller_fields_are_decoded():
    fields = CIMultiDict(
        {
            "x-rhubarblock-attempt-id": "q1",
            "X-Rhubarblock-Credential": "secret",
            "X-Rhubarblock-Deadline-Remaining": "1500",
            "X-Rhubarblock-Token-Count": "1460,80",
            "Last-Event-Id": "12",
        }
    )
    assert headercodec.read_caller(fields) == dialects.CallerFields(
        request_id="q1",
        key="secret",
        remaining_s=1.5,
        prompt_tokens=1460,
        answer_tokens=80,
        last_event=12,
    )


def test_missing_or_invalid_fields_have_defaults():
    assert headercodec.read_caller(
        CIMultiDict({"X-Rhubarblock-Token-Count": "many"})
    ) == dialects.CallerFields("", "", 0.0, 0, 0, -1)


@pytest.mark.parametrize(
    ("texts", "parts"),
    [
        ([], ()),
        (["5c1e07a2:800"], ()),
        (["5C1e07a2:800, 91bd3f06:410,e4402b7d:250"], ("5c1e07a2", "91bd3f06")),
        (["5c:800,91:410", "91:2,e4:250"], ("5c", "91")),
        ([f"{'a' * 33}:1,:2,,5c,e4:250"], ("5c",)),
    ],
)
def test_shared_parts_of_a_prompt_are_all_but_the_last(texts, parts):
    fields = CIMultiDict((names.PROMPT_PREFIX, text) for text in texts)
    assert headercodec.read_caller(fields).prompt_parts == parts


def test_number_of_shared_parts_is_bounded():
    text = ",".join(f"{number:x}:1" for number in range(1000))
    fields = CIMultiDict({names.PROMPT_PREFIX: text})
    parts = headercodec.read_caller(fields).prompt_parts
    assert len(parts) == dialects.MAX_PROMPT_PARTS


def test_key_and_reserved_fields_of_a_caller_are_not_forwarded():
    sent = [
        ("Accept", "x"),
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("x-rhubarblock-credential", "secret"),
        ("X-Rhubarblock-Tenant", "somebody else"),
        ("X-Rhubarblock-Target-Instance", "e9"),
        ("X-Rhubarblock-Helpers", "10.0.0.1:1"),
        ("X-Rhubarblock-Model", "m"),
        ("Transfer-Encoding", "chunked"),
    ]
    assert headercodec.filter_request_headers(sent, "close, X-Hop") == (
        exchanges.Header("Accept", "x"),
        exchanges.Header("X-Rhubarblock-Model", "m"),
    )


def test_signature_is_forwarded_and_hop_by_hop_fields_are_not():
    sent = [
        ("X-Rhubarblock-Server-Seal", "s"),
        ("Keep-Alive", "timeout=5"),
        ("Connection", "close"),
        ("Content-Length", "3"),
    ]
    assert headercodec.filter_response_headers(sent, "close") == (
        exchanges.Header("X-Rhubarblock-Server-Seal", "s"),
    )


def test_send_options_are_encoded_as_header_fields():
    options = dialects.SendOptions(
        "e1",
        0.75,
        urgency=3,
        last_event=4,
        helpers=(
            dialects.Helper("10.0.0.1:8080", "t1"),
            dialects.Helper("10.0.0.2:8080"),
        ),
    )

    class Named:
        headers = (exchanges.Header(fakes.ATTEMPT, "q1"),)
        workspace = "members"

    assert headercodec.address(Named, options) == [
        ("X-Rhubarblock-Attempt-Id", "q1"),
        ("X-Rhubarblock-Deadline-Remaining", "750"),
        ("X-Rhubarblock-Target-Instance", "e1"),
        ("X-Rhubarblock-Tenant", "members"),
        ("X-Rhubarblock-Request-Urgency", "3"),
        ("Last-Event-Id", "4"),
        ("X-Rhubarblock-Helpers", "10.0.0.1:8080/t1,10.0.0.2:8080"),
    ]


def test_only_the_not_executed_field_or_status_421_is_a_refusal():
    def is_refused(status, **fields):
        return headercodec.read_answer(status, CIMultiDict(fields)).refused

    mark = {"X-Rhubarblock-Not-Executed": "1"}
    assert is_refused(503, **mark)
    assert is_refused(421)
    assert not is_refused(503)
    assert not is_refused(429)


@pytest.mark.parametrize("text", ["0", "1", "0.2", "12.5", " 7 ", "007", "3."])
def test_limit_of_an_endpoint_is_a_plain_decimal_number(text):
    fields = CIMultiDict({"server-limit": text})
    assert headercodec.read_limit(fields) == ratelimits.StatedLimit(float(text))


@pytest.mark.parametrize(
    "text", ["", "-1", "1e3", "nan", "inf", "1,5", "0x5", "9" * 13, "soon"]
)
def test_limit_that_is_no_decimal_number_is_unreadable(text):
    fields = CIMultiDict({"Server-Limit": text})
    assert headercodec.read_limit(fields).per_s is None
    assert headercodec.read_limit(fields).unreadable == (text or "(empty)")


def test_repeated_limit_must_have_equal_values():
    same = CIMultiDict([("Server-Limit", "2"), ("server-limit", "2")])
    assert headercodec.read_limit(same).per_s == 2.0
    other = CIMultiDict([("Server-Limit", "2"), ("server-limit", "3")])
    assert headercodec.read_limit(other).unreadable == "2, 3"


def test_response_without_endpoint_fields_states_nothing():
    answer = headercodec.read_answer(
        200, CIMultiDict({"x-rhubarblock-attempt-id": "q"})
    )
    assert answer.statement is statements.NOTHING


def read_cooldown(status, *texts):
    fields = CIMultiDict([(names.RETRY_AFTER, t) for t in texts])
    return headercodec.read_statement(status, fields).cooldown


@pytest.mark.parametrize(
    "text, length_s",
    [
        ("3", 3.0),
        ("0", 0.0),
        ("0.25", 0.25),
        (" 2 ", 2.0),
        ("9" * 12, 1e12 - 1),
    ],
)
def test_cooldown_is_read_in_seconds(text, length_s):
    assert read_cooldown(503, text) == statements.StatedCooldown(length_s)


@pytest.mark.parametrize(
    "text", ["-1", "soon", "1e3", "nan", "Thu, 03 Dec 2026 10:00:00 GMT", ""]
)
def test_cooldown_that_is_no_number_of_seconds_is_unreadable(text):
    cooldown = read_cooldown(503, text)
    assert cooldown == statements.StatedCooldown(None, text or "(empty)")


def test_longest_of_several_cooldowns_counts():
    assert read_cooldown(503, "2", "3") == statements.StatedCooldown(3.0)
    assert read_cooldown(503, "2", "soon") == statements.StatedCooldown(
        2.0, "soon"
    )


@pytest.mark.parametrize(
    "status, is_read",
    [(503, True), (429, True), (200, False), (421, False), (500, False)],
)
def test_cooldown_is_read_only_if_the_request_is_rejected(status, is_read):
    assert (read_cooldown(status, "3").length_s is not None) == is_read


@pytest.mark.parametrize(
    "texts, is_leaving",
    [(["1"], True), (["1", "1"], True), ([], False), (["0"], False)],
)
def test_leaving_is_read_from_responses_of_any_status(texts, is_leaving):
    fields = CIMultiDict([(names.LEAVING, t) for t in texts])
    for status in (200, 500, 503):
        assert (
            headercodec.read_statement(status, fields).is_leaving == is_leaving
        )
    assert headercodec.read_statement(421, fields) is statements.NOTHING


def test_unknown_fields_about_an_endpoint_are_listed():
    fields = CIMultiDict(
        {
            names.SEAL: "s",
            names.LEAVING: "1",
            "Server-Mood": "sour",
            "x-rhubarblock-colour": "red",
            "Server": "engine",
            "Content-Type": "text/plain",
        }
    )
    statement = headercodec.read_statement(200, fields)
    assert statement.unknown == ("Server-Mood", "x-rhubarblock-colour")


@pytest.mark.parametrize(
    ("texts", "remaining_s"),
    [
        (["1500"], 1.5),
        (["0"], 0.0),
        (["0", "1500"], 1.5),
        ([], None),
        (["soon"], None),
        (["-1"], None),
        (["0", "x"], None),
    ],
)
def test_remaining_cold_time_is_read_from_any_response(texts, remaining_s):
    fields = CIMultiDict([(names.COLD_REMAINING, t) for t in texts])
    for status in (200, 503):
        statement = headercodec.read_statement(status, fields)
        assert statement.cold_remaining_s == remaining_s
        assert not statement.unknown
    # The address belongs to another endpoint, which the response describes.
    assert headercodec.read_statement(421, fields) is statements.NOTHING
