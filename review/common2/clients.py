"""Clients that send one request at a time on a connection that they keep."""

import asyncio
import contextlib
import itertools

from common2 import record as records
from common2 import wire

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"

_numbers = itertools.count(1)


class Client:
    """One client at one instance.

    Attributes:
      answers: attempt, time of sending, and status; 0 for a closed connection.
    """

    def __init__(self, ip: str, port: int, record: records.Record):
        self.answers: list[tuple[str, float, int]] = []
        self._address = ip, port
        self._record = record
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        method: str,
        path: str,
        deadline_s: float,
        body: bytes = b"",
        key: str = KEY,
        others: dict[str, str] | None = None,
    ) -> wire.Message | None:
        """Sends a request; returns its answer, None without one."""
        attempt = f"a{next(_numbers):06d}"
        fields = {
            "Host": HOST,
            "X-Rhubarblock-Attempt-Id": attempt,
            "X-Rhubarblock-Deadline-Remaining": str(round(deadline_s * 1e3)),
            "X-Rhubarblock-Credential": key,
            **(others or {}),
        }
        sent_s = self._record.now_s()
        self._record.note(f"client sends {method} {path} as {attempt}")
        answer = None
        with contextlib.suppress(OSError, wire.BrokenError, TimeoutError):
            async with asyncio.timeout(deadline_s + 1.0):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *self._address
                    )
                data = wire.encode(f"{method} {path} HTTP/1.1", fields, body)
                self._writer.write(data)
                answer = await wire.read_message(self._reader)
        status = answer.status if answer and answer.is_whole else 0
        self.answers.append((attempt, sent_s, status))
        self._record.note(f"client gets {status} to {attempt}")
        if not status or answer.fields.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def ask_stream(
        self,
        path: str,
        tokens: int,
        deadline_s: float,
        shared: str = "5c1e07a2:40",
        others: dict[str, str] | None = None,
    ) -> wire.Message | None:
        """Sends a prompt; returns the whole stream, None without one."""
        own = f"{next(_numbers):x}:{tokens - 40}"
        fields = {
            "X-Rhubarblock-Model": "m",
            "X-Rhubarblock-Token-Count": f"{tokens},600",
            "X-Rhubarblock-Prompt-Prefix": f"{shared},{own}",
            **(others or {}),
        }
        body = b"p" * 1200
        return await self.ask("POST", path, deadline_s, body, others=fields)

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None
