import pytest

from rhubarblock.httpclient import answerhead

OK = b"HTTP/1.1 200 OK\r\n"
_Head = answerhead.AnswerHead


@pytest.mark.parametrize(
    ("head", "decoded"),
    [
        (OK, _Head(200, None, False)),
        (OK + b"Content-Length: 12\r\n", _Head(200, 12, False)),
        (OK + b"A: b\r\ncontent-length:\t0 \r\n", _Head(200, 0, False)),
        (OK + b"Transfer-Encoding: Chunked\r\n", _Head(200, None, True)),
        (OK + b"X-Content-Length: x\r\n", _Head(200, None, False)),
        (OK + b"A: Content-Length: 3\r\n", _Head(200, None, False)),
        (b"HTTP/1.1 103 Hints\r\n", _Head(103, None, False)),
        (
            b"HTTP/1.1 204 None\r\nContent-Length: 0\r\n",
            _Head(204, 0, False),
        ),
        (
            b"HTTP/1.1 304 Same\r\nContent-Length: 7\r\n",
            _Head(304, 7, False),
        ),
    ],
)
def test_valid_head_is_decoded(head, decoded):
    assert answerhead.decode(head + b"\r\n") == decoded
    for size in range(len(head)):
        answerhead.check_start(head[:size])


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 000 OK\r\n",
        b"HTTP/1.1 600 OK\r\n",
        b"HTTP/1.1 20 OK\r\n",
        b"HTTP/1.1 2000 OK\r\n",
        b"HTTP/2.0 200 OK\r\n",
        b"\r\n" + OK,
        OK + b"A : b\r\n",
        OK + b" A: b\r\n",
        OK + b"A: b\r\n c\r\n",
        OK + b"A\x00: b\r\n",
        OK + b"A: b\x1f\r\n",
        OK + b"A\r\n",
    ],
)
def test_invalid_line_is_noticed_before_the_head_is_complete(head):
    with pytest.raises(answerhead.InvalidHeadError):
        answerhead.decode(head + b"\r\n")
    with pytest.raises(answerhead.InvalidHeadError):
        answerhead.check_start(head)


@pytest.mark.parametrize("data", [b"h", b"HTTP/2", b"HTTP/1.1 200 OK\nA"])
def test_start_of_a_line_that_is_invalid_is_noticed(data):
    with pytest.raises(answerhead.InvalidHeadError):
        answerhead.check_start(data)


@pytest.mark.parametrize(
    ("head", "message"),
    [
        (b"HTTP/1.1 101 Other\r\n", "it switches the protocol"),
        (
            OK + b"Content-Length: 1\r\nContent-Length: 1\r\n",
            "the length is stated twice",
        ),
        (
            OK + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
            "the length is stated twice",
        ),
        (OK + b"Content-Length: 1,1\r\n", "the length is invalid"),
        (
            OK + b"Transfer-Encoding: gzip, chunked\r\n",
            "the transfer coding is invalid",
        ),
        (
            b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
            "the transfer coding is invalid",
        ),
        (
            b"HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n",
            "the transfer coding is invalid",
        ),
        (
            b"HTTP/1.1 204 None\r\nContent-Length: 1\r\n",
            "the status allows no body",
        ),
    ],
)
def test_invalid_head_is_refused(head, message):
    with pytest.raises(answerhead.InvalidHeadError) as raised:
        answerhead.decode(head + b"\r\n")
    assert str(raised.value) == message
