import json

import hypothesis
from hypothesis import strategies
import pytest

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.fleet import tokenevents

ATTEMPT = attempts.Attempt("r/1", "entry/1", "m", "", 7, (), "d", 9)
USAGE = {"prompt_tokens_details": {"cached_tokens": 5}}


def make_event(offset, text, attempt="r/1", finish=None, ascii_only=True):
    """Returns an event as specified in docs/standins.md."""
    fields = {
        "id": attempt.rpartition("/")[0],
        "attempt": attempt,
        "offset": offset,
        "object": "text_completion",
        "created": 1_800_000_000,
        "model": "m",
        "choices": [
            {
                "index": 0,
                "text": text,
                "logprobs": None,
                "finish_reason": finish,
            }
        ],
    }
    if finish:
        fields["usage"] = USAGE
    data = json.dumps(
        fields, separators=(",", ":"), ensure_ascii=ascii_only
    ).encode()
    return b"data: " + data + b"\n\n"


def read(*events, attempt=ATTEMPT):
    return tokenevents.JoiningReader(attempt).read(b"".join(events))


def test_consecutive_tokens_are_joined():
    chunks = read(make_event(0, " a"), make_event(1, " b"), make_event(2, "c"))
    assert chunks == [attempts.Chunk("r/1", 0, 3, " a bc")]
    assert chunks[0].raw == b" a bc"


def test_offsets_continue_across_blocks():
    reader = tokenevents.JoiningReader(ATTEMPT)
    assert reader.read(make_event(0, "a"))[0].index == 0
    assert reader.read(make_event(1, "b"))[0].index == 1


def test_resumed_answer_starts_at_its_first_token():
    resumed = attempts.Attempt(
        "r/2", "entry/1", "m", "", 7, (), "d", 9, resume_from=4
    )
    events = (make_event(4, "a", "r/2"), make_event(5, "b", "r/2"))
    assert read(*events, attempt=resumed) == [attempts.Chunk("r/2", 4, 2, "ab")]


def test_repeated_token_is_a_separate_chunk():
    assert read(make_event(0, "a"), make_event(0, "a"), make_event(1, "b")) == [
        attempts.Chunk("r/1", 0, 1, "a"),
        attempts.Chunk("r/1", 0, 1, "a"),
        attempts.Chunk("r/1", 1, 1, "b"),
    ]


def test_tokens_after_a_gap_are_not_joined():
    chunks = read(make_event(0, "a"), make_event(2, "c"), make_event(3, "d"))
    assert [(x.index, x.count) for x in chunks] == [(0, 1), (2, 1), (3, 1)]


def test_event_of_another_attempt_keeps_its_id():
    chunks = read(make_event(0, "x", "q/1"), make_event(0, "a"))
    assert chunks == [
        attempts.Chunk("q/1", 0, 1, "x"),
        attempts.Chunk("r/1", 0, 1, "a"),
    ]


def test_end_event_is_parsed():
    end = make_event(1, "b", finish="length")
    assert read(make_event(0, "a"), end, b"data: [DONE]\n\n") == [
        attempts.Chunk("r/1", 0, 1, "a"),
        attempts.Chunk("r/1", 1, 1, "b", True, "length", 5),
    ]


def test_escaped_text_is_kept_as_raw():
    (chunk,) = read(make_event(0, 'say "ü"\n'))
    assert chunk.text == 'say "ü"\n'
    assert chunk.raw == b'say \\"\\u00fc\\"\\n'


def test_surrogate_halves_in_two_tokens_are_joined():
    first, second = make_event(0, "\ud83d"), make_event(1, "\ude00")
    assert read(first, second)[0].text == "\U0001f600"


@pytest.mark.parametrize(
    "event",
    [
        b"data: nonsense\n\n",
        make_event(0, "a").replace(b'"a"', b'"a\xff"'),
        make_event(0, "a").replace(b'"a"', b'"a\x01"'),
        make_event(0, "a").replace(b'"a"', b'"\\q"'),
    ],
)
def test_malformed_token_event_raises(event):
    with pytest.raises(ValueError):
        read(event)


def test_error_event_raises():
    event = (
        b'data: {"error":{"code":"endpoint_failed","message":"m",'
        b'"verdict":"MAY_HAVE_RUN"}}\n\n'
    )
    with pytest.raises(failures.FailureError):
        read(event)


@hypothesis.given(
    strategies.lists(
        strategies.text(
            strategies.characters(exclude_categories=("Cs",)), min_size=1
        ),
        min_size=1,
        max_size=6,
    ),
    strategies.booleans(),
    strategies.integers(0, 6),
)
def test_both_readers_return_the_same_text(texts, ascii_only, cut):
    events = [
        make_event(number, text, ascii_only=ascii_only)
        for number, text in enumerate(texts)
    ]
    blocks = [b"".join(events[:cut]), b"".join(events[cut:])]
    joining = tokenevents.JoiningReader(ATTEMPT)
    joined = [chunk for block in blocks for chunk in joining.read(block)]
    parsed = tokenevents.ParsingReader().read(b"".join(events))

    assert "".join(x.text for x in joined) == "".join(x.text for x in parsed)
    assert sum(x.count for x in joined) == len(parsed)
    raw = b"".join(x.raw for x in joined)
    assert json.loads(b'"%b"' % raw) == "".join(texts)
