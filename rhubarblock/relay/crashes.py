"""Finds out whether a failed attempt means that its engine died.

A stream may break for many reasons, and only the end of the engine speaks
against the requests that it had in flight. So the engine is asked: one that
refuses the connection, or that was started anew, has died. However many
attempts fail with it, it is asked once.
"""

import asyncio
from collections.abc import Callable

from rhubarblock.core import failure as failures
from rhubarblock.fleet import engineclient
from rhubarblock.routing.quarantine import gate as quarantines

# Seconds to wait for an engine's word; one that only stands still is no crash.
ASK_TIMEOUT_S = 0.5


class EngineCrashDetector:
    """Lays the deaths of engines to the requests in flight."""

    __slots__ = (
        "_asking",
        "_client",
        "_find_start",
        "_quarantine",
    )

    def __init__(
        self,
        client: engineclient.EngineClient,
        quarantine: quarantines.Quarantine,
        find_start: Callable[[str], str],
    ):
        """Creates an observer.

        Args:
          client: way to the engines.
          quarantine: takes the crashes.
          find_start: gives the start id that an engine last reported.
        """
        self._client = client
        self._quarantine = quarantine
        self._find_start = find_start
        self._asking: dict[str, asyncio.Task[None]] = {}

    async def examine(self, endpoint_id: str, address: str) -> None:
        """Asks an engine at which an attempt failed, and notes its death.

        Args:
          endpoint_id: the engine.
          address: where it is asked.
        """
        task = self._asking.get(endpoint_id)
        if task is None:
            task = asyncio.ensure_future(self._ask(endpoint_id, address))
            self._asking[endpoint_id] = task
            task.add_done_callback(
                lambda _: self._asking.pop(endpoint_id, None)
            )
        await asyncio.shield(task)

    async def _ask(self, endpoint_id: str, address: str) -> None:
        if await self._has_died(endpoint_id, address):
            await self._quarantine.record_crash(endpoint_id)

    async def _has_died(self, endpoint_id: str, address: str) -> bool:
        known = self._find_start(endpoint_id)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                report = await self._client.fetch_load(address)
        except failures.FailureError:
            return True
        except TimeoutError:
            return False
        return bool(known) and report.start_id != known
