"""The configuration in force, and how long it may be trusted.

A key that was taken away must be refused everywhere within a bound, also by an
instance that can't reach the store or that stood still. So each instance
holds the configuration under a lease: it counts from the moment at which a
linearizable read was *sent* that confirmed it, on a clock that goes on while
the machine is suspended.
"""

import asyncio
from collections.abc import Callable
import time

from rhubarblock.core import route as routes

# Seconds by which the lease ends before the bound, for the drift of clocks
# and the time between a check and the send that it allows.
MARGIN_S = 0.25


def read_boot_clock() -> float:
    """Returns seconds of a clock that goes on while a machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ConfigurationLease:
    """Holds the newest routing table and its lease."""

    __slots__ = (
        "_changed",
        "_confirmed_s",
        "_lease_s",
        "_read_clock",
        "_table",
    )

    def __init__(
        self,
        revoke_s: float,
        read_clock: Callable[[], float] = read_boot_clock,
    ):
        """Starts without a table.

        Args:
          revoke_s: bound in seconds for the removal of a key.
          read_clock: clock in seconds that never stands still.
        """
        self._lease_s = revoke_s - MARGIN_S
        self._read_clock = read_clock
        self._table: routes.RoutingTable | None = None
        self._confirmed_s = float("-inf")
        self._changed = asyncio.Event()

    @property
    def table(self) -> routes.RoutingTable | None:
        """The newest table, whether or not its lease holds."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the newest table; 0 without one."""
        return self._table.version if self._table else 0

    @property
    def age_s(self) -> float:
        """Seconds since the read that confirmed the table was sent."""
        return self._read_clock() - self._confirmed_s

    def read_clock(self) -> float:
        """Returns the lease's clock, to be noted before a read is sent."""
        return self._read_clock()

    def confirm(self, version: int, asked_s: float) -> bool:
        """Takes in that a read sent at a moment found a certain version.

        Args:
          version: version that the read found.
          asked_s: the lease's clock before the read was sent.

        Returns:
          Whether the table held here is of that version, so that the lease
          could be extended.
        """
        if self._table is None or version != self._table.version:
            return False
        self._extend(asked_s)
        return True

    def install(
        self,
        table: routes.RoutingTable,
        asked_s: float,
        replaces: bool = False,
    ) -> bool:
        """Puts a table in force unless a newer one is.

        Args:
          table: a table that a read found.
          asked_s: the lease's clock before the read was sent.
          replaces: whether it replaces one of the same version.

        Returns:
          Whether the table is new here.
        """
        if table.version < self.version:
            return False
        is_new = replaces or table.version > self.version
        if is_new:
            self._table = table
            # The older table's confirmations say nothing of this one, but
            # the read that brought it is younger than they are.
        self._extend(asked_s)
        return is_new

    def find_valid(self) -> routes.RoutingTable | None:
        """Returns the table if its lease holds at this moment."""
        if self.age_s > self._lease_s:
            return None
        return self._table

    async def wait_valid(self, timeout_s: float) -> routes.RoutingTable | None:
        """Waits a while for the lease, as after a freeze.

        Returns:
          The table, or None if the lease did not come back in time.
        """
        table = self.find_valid()
        if table is not None:
            return table
        try:
            async with asyncio.timeout(timeout_s):
                while table is None:
                    self._changed.clear()
                    await self._changed.wait()
                    table = self.find_valid()
        except TimeoutError:
            return None
        return table

    def _extend(self, asked_s: float) -> None:
        self._confirmed_s = max(self._confirmed_s, asked_s)
        self._changed.set()
