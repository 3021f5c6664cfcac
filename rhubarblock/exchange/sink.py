"""Interface that receives the answer to an exchange."""

import abc

from rhubarblock.core import exchange as exchanges


class Sink(abc.ABC):
    """The caller's side of an exchange."""

    @property
    @abc.abstractmethod
    def begun(self) -> bool:
        """Whether the status and headers were sent to the caller."""

    @abc.abstractmethod
    async def begin(
        self,
        status: int,
        headers: tuple[exchanges.Header, ...],
        length: int | None,
    ) -> None:
        """Sends the status and headers of the answer.

        Args:
          status: HTTP status.
          headers: header fields of the endpoint's answer.
          length: length of the body in bytes, or None if unknown.
        """

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Sends a piece of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Ends the answer as a complete one."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Closes the connection, so that the answer can't look complete."""

    def abort(self) -> None:
        """Cuts the answer and discards what the caller has not received."""
        self.cut()

    def fits(self, size: int) -> bool:
        """Returns whether a piece can be written without waiting.

        Args:
          size: length of the piece in bytes.
        """
        del size
        return True

    async def reserve(self, size: int) -> bool:
        """Reserves memory for a piece of an answer that is buffered.

        Args:
          size: length of the piece in bytes.

        Returns:
          Whether the piece may be held.
        """
        del size
        return True

    async def send_whole(
        self, status: int, headers: tuple[exchanges.Header, ...], body: bytes
    ) -> None:
        """Sends an answer whose body was buffered."""
        await self.begin(status, headers, len(body))
        await self.write(body)
        await self.finish()
