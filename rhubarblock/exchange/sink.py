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
