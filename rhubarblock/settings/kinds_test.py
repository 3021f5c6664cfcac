import pytest
from returns import result

from rhubarblock.settings import kinds

ADDRESS = kinds.Address("10.0.0.1", 80)


@pytest.mark.parametrize(
    ("kind", "text", "value"),
    [
        (kinds.Text(), "Fleet team", "Fleet team"),
        (kinds.Name(parts=2), "adwoa/case-files", "adwoa/case-files"),
        (kinds.Number(0, 1), "0.5", 0.5),
        (kinds.Number(), "3", 3.0),
        (kinds.Integer(-1), "-1", -1),
        (kinds.Flag(), "yes", True),
        (kinds.HostPort(), "10.0.0.1:80", ADDRESS),
        (kinds.HostPort(), "[::1]:0", kinds.Address("::1", 0)),
        (kinds.HostPort(empty=True), "", None),
        (kinds.Items(kinds.Name()), "a, b", ("a", "b")),
        (kinds.Url(), "http://10.0.0.1:7000", "http://10.0.0.1:7000"),
        (kinds.Date(), "2029-12-31", "2029-12-31"),
    ],
)
def test_parsed_values_format_to_the_same_text(kind, text, value):
    assert kind.read(text) == result.Success(value)
    assert kind.format(value) == text


@pytest.mark.parametrize(
    ("kind", "text", "message"),
    [
        (kinds.Text(), "", "is empty"),
        (kinds.Text(), "a\nb", "has more than one line"),
        (kinds.Text(), "a\x00b", "has characters that cannot be printed"),
        (kinds.Name(), "-a", "'-a' is not a name"),
        (kinds.Name(parts=2), "a", "'a' is not a name"),
        (kinds.Number(), "nan", "'nan' is not a finite number"),
        (kinds.Number(0, 1), "2", "2 is out of range"),
        (kinds.Integer(), "1.5", "'1.5' is not a whole number"),
        (kinds.Integer(), "-1", "-1 is out of range"),
        (kinds.Flag(), "true", "'true' is neither yes nor no"),
        (kinds.HostPort(), "localhost:80", "'localhost:80' is not IP:port"),
        (kinds.HostPort(), "10.0.0.1", "'10.0.0.1' is not IP:port"),
        (kinds.HostPort(least_port=1), "10.0.0.1:0", "port 0 is out of range"),
        (kinds.Url(), "ftp://x", "'ftp://x' is not an HTTP address"),
        (kinds.Url(), "http://[", "Invalid IPv6 URL"),
        (kinds.Digest(), "ABC", "is not a SHA-256 digest"),
        (kinds.Date(), "2029-02-30", "'2029-02-30' is not a day"),
    ],
)
def test_invalid_values_are_rejected(kind, text, message):
    assert kind.read(text) == result.Failure(message)
