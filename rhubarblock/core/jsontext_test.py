import json
import math
import sys

import pytest

from rhubarblock.core import jsontext

TOO_DEEP = 2 * sys.getrecursionlimit()


@pytest.mark.parametrize("text", [b"", b"{", b"\xff", b"[" * TOO_DEEP])
def test_invalid_text_is_a_value_error(text):
    with pytest.raises(ValueError):
        jsontext.load(text)


def nest(depth, start="[", end="]"):
    return start * depth + end * depth


@pytest.mark.parametrize(
    "deep",
    [
        nest(TOO_DEEP),
        nest(TOO_DEEP, '{"a":', "}").replace(":}", ":1}"),
        nest(TOO_DEEP, '[{"a[{":', "}]").replace(":}", ":1}"),
        nest(100_000),
    ],
)
def test_value_that_is_nested_too_deeply_leaves_the_others(deep):
    text = f'{{"items": [{{"a": "[\\"{{[", "b": {deep}, "c": [1]}}, {{}}]}}'
    items = jsontext.load_lenient(text.encode())["items"]
    assert items[0]["a"] == '["{['
    assert items[0]["c"] == [1]
    assert items[1] == {}
    json.dumps(items)


@pytest.mark.parametrize("depth", range(1, TOO_DEEP, 23))
def test_any_depth_is_decoded_and_encoded(depth):
    text = f"[{nest(depth)}, 1]".encode()
    found = jsontext.load_lenient(text)
    assert found[1] == 1
    assert jsontext.load(jsontext.dump_lenient(found)) in (found, None)


@pytest.mark.parametrize(
    "text", ["[" * TOO_DEEP, nest(TOO_DEEP)[:-1], nest(TOO_DEEP) + "]", "{"]
)
def test_text_that_is_invalid_as_a_whole_is_a_value_error(text):
    with pytest.raises(ValueError):
        jsontext.load_lenient(text.encode())


def test_long_integers_and_invalid_bytes_leave_the_others():
    text = b'[1, %b, "\xff", 2]' % (b"9" * 10_000)
    assert jsontext.load_lenient(text) == [1, math.inf, "\ufffd", 2]
