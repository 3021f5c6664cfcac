"""Cuts a stream into whole events and knows the last one passed on.

A broken stream may end in the middle of an event. Only whole events are passed
on, so another endpoint can go on after the last of them.
"""

_END = b"\n\n"
_ID = b"id:"


class EventCursor:
    """Place in a stream of events.

    Attributes:
      last_event: number of the last whole event, or -1 before the first.
    """

    __slots__ = ("_rest", "last_event")

    def __init__(self, last_event: int = -1):
        """Starts after an event that the caller has already."""
        self.last_event = last_event
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether the stream stands within an event."""
        return bool(self._rest)

    def start_again(self) -> None:
        """Drops the begin of an event that another endpoint sends whole."""
        self._rest = b""

    def take(self, data: bytes) -> bytes:
        """Returns the whole events that end within some bytes.

        Args:
          data: the next bytes of the stream.
        """
        self._rest += data.replace(b"\r\n", b"\n") if b"\r" in data else data
        whole, end, rest = self._rest.rpartition(_END)
        if not end:
            return b""
        self._rest = rest
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
