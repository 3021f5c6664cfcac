import json

from rhubarblock.core import attempt as attempts
from rhubarblock.relay import events


def test_event_of_raw_json_text_equals_the_encoded_event():
    text = ' "quoted" ü\n'
    raw = json.dumps(text)[1:-1].encode()
    chunk = attempts.Chunk("r/1", 0, 2, text, raw=raw)
    start = events.make_chunk_event_start("r", 1_800_000_000, "claim-reader")

    assert start + raw + events.CHUNK_EVENT_END == events.format_event(
        events.describe_chunk("r", 1_800_000_000, "claim-reader", chunk)
    )
