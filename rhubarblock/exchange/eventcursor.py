"""Splits a stream into complete events and tracks the last one.

A broken stream may end in the middle of an event. Only complete events are
forwarded, so another endpoint can resume after the last of them.
"""

_END = b"\n\n"
_ID = b"id:"


class EventCursor:
    """Position in a stream of events.

    Attributes:
      last_event: number of the last complete event, or -1 before the first.
    """

    __slots__ = ("_partial", "last_event")

    def __init__(self, last_event: int = -1):
        """Starts after the last event that the caller has."""
        self.last_event = last_event
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Bytes of the incomplete event that are buffered."""
        return len(self._partial)

    def discard_partial_event(self) -> None:
        """Drops the start of an event that another endpoint sends again."""
        self._partial = b""

    def take(self, data: bytes) -> bytes:
        """Returns the events that these bytes complete.

        Args:
          data: the next bytes of the stream.
        """
        self._partial += data.replace(b"\r\n", b"\n") if b"\r" in data else data
        whole, end, rest = self._partial.rpartition(_END)
        if not end:
            return b""
        self._partial = rest
        events = whole + end
        self._note_last(events)
        return events

    def _note_last(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(_ID):
                number = line[len(_ID) :].strip()
                if number.isdigit():
                    self.last_event = int(number)
                    return
