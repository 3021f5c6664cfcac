"""Detects whether an attempt failed because its engine crashed.

A stream may break for many reasons, and only a crash makes the requests in
flight suspects. The engine is therefore probed. It counts as crashed if it
refuses the connection, if it answers with an error, or if its start id shows a
restart. Attempts that fail at the same time share one probe.
"""

import asyncio
from collections.abc import Callable

from rhubarblock.core import failure as failures
from rhubarblock.fleet import engineclient
from rhubarblock.routing.quarantine import gate as quarantines

# Seconds to wait for an engine's reply. A timeout does not count as a crash,
# because the engine may only be paused.
PROBE_TIMEOUT_S = 0.5


class EngineCrashDetector:
    """Probes engines after failures and records their crashes."""

    __slots__ = (
        "_client",
        "_find_start_id",
        "_probes",
        "_quarantine",
    )

    def __init__(
        self,
        client: engineclient.EngineClient,
        quarantine: quarantines.Quarantine,
        find_start_id: Callable[[str], str],
    ):
        """Creates a detector.

        Args:
          client: client of the engines.
          quarantine: records the crashes.
          find_start_id: returns the start id that an engine last reported, or
            an empty string.
        """
        self._client = client
        self._quarantine = quarantine
        self._find_start_id = find_start_id
        self._probes: dict[str, asyncio.Task[None]] = {}

    async def check_endpoint(self, endpoint_id: str, address: str) -> None:
        """Probes an engine at which an attempt failed; records a crash.

        Args:
          endpoint_id: the engine.
          address: address of the engine.
        """
        task = self._probes.get(endpoint_id)
        if task is None:
            task = asyncio.ensure_future(self._probe(endpoint_id, address))
            self._probes[endpoint_id] = task
            task.add_done_callback(
                lambda _: self._probes.pop(endpoint_id, None)
            )
        await asyncio.shield(task)

    async def _probe(self, endpoint_id: str, address: str) -> None:
        if await self._has_crashed(endpoint_id, address):
            await self._quarantine.record_crash(endpoint_id)

    async def _has_crashed(self, endpoint_id: str, address: str) -> bool:
        known = self._find_start_id(endpoint_id)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                report = await self._client.fetch_load(address)
        except failures.FailureError:
            return True
        except TimeoutError:
            return False
        return bool(known) and report.start_id != known
