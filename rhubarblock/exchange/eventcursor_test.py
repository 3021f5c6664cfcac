from rhubarblock.exchange import eventcursor


def test_only_complete_events_are_forwarded():
    cursor = eventcursor.EventCursor()
    assert cursor.take(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert cursor.last_event == 1
    assert cursor.has_partial_event
    assert cursor.take(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert cursor.last_event == 2
    assert not cursor.has_partial_event


def test_partial_event_is_dropped_before_another_endpoint_repeats_it():
    cursor = eventcursor.EventCursor()
    cursor.take(b"id: 1\ndata: a\n\nid: 2\nda")
    cursor.discard_partial_event()
    assert cursor.take(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_cursor_starts_after_the_last_event_of_the_caller():
    assert eventcursor.EventCursor(12).last_event == 12


def test_last_of_several_events_counts():
    cursor = eventcursor.EventCursor()
    cursor.take(b"id: 3\ndata: a\n\nid: 4\ndata: b\n\n")
    assert cursor.last_event == 4


def test_events_may_arrive_byte_by_byte():
    cursor = eventcursor.EventCursor()
    pieces = [cursor.take(bytes([b])) for b in b"id: 7\ndata: a\n\n"]
    assert b"".join(pieces) == b"id: 7\ndata: a\n\n"
    assert cursor.last_event == 7
