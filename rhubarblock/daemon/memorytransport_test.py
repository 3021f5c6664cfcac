"""A transport without sockets, for tests on the virtual clock."""

import asyncio


class MemoryTransport(asyncio.Transport):
    """The instance's end of a connection, which delivers bytes immediately.

    Attributes:
      sent: bytes that the instance sent.
      unread: bytes received while the instance had paused reading.
      closed: set once the connection is closed.
    """

    def __init__(self, protocol):
        super().__init__()
        self._protocol = protocol
        self.unread = b""
        self._is_paused = False
        self.sent = b""
        self.closed = asyncio.Event()
        protocol.connection_made(self)

    def receive(self, data):
        """Delivers bytes, unless the instance closed or paused reading."""
        if self.is_closing():
            return
        if self._is_paused:
            self.unread += data
            return
        self._protocol.data_received(data)

    def write(self, data):
        if not self.is_closing():
            self.sent += bytes(data)

    def is_closing(self):
        return self.closed.is_set()

    def close(self):
        if not self.is_closing():
            self.closed.set()
            loop = asyncio.get_running_loop()
            loop.call_soon(self._protocol.connection_lost, None)

    abort = close

    def pause_reading(self):
        self._is_paused = True

    def resume_reading(self):
        self._is_paused = False
        data, self.unread = self.unread, b""
        if data:
            self.receive(data)

    def get_write_buffer_size(self):
        return 0
