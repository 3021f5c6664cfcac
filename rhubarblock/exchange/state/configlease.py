"""The configuration in force and its lease.

A revoked key must be refused everywhere within a bound, also by an instance
that cannot reach the store or that was frozen. So each instance holds the
configuration under a lease. The lease starts when the linearizable read that
confirmed the configuration was *sent*, on a clock that also runs while the
machine is suspended.
"""

import asyncio
from collections.abc import Callable
import time

from rhubarblock.core import route as routes

# Seconds by which the lease ends before the bound, to allow for clock drift and
# for the time between a check and the send that it permits.
MARGIN_S = 0.25


def read_boot_clock() -> float:
    """Returns seconds of a clock that also runs during a suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ConfigurationLease:
    """Holds the latest routing table and its lease."""

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
        """Creates a lease without a table.

        Args:
          revoke_s: bound in seconds for the revocation of a key.
          read_clock: clock in seconds that also runs during a suspend.
        """
        self._lease_s = revoke_s - MARGIN_S
        self._read_clock = read_clock
        self._table: routes.RoutingTable | None = None
        self._confirmed_s = float("-inf")
        self._changed = asyncio.Event()

    @property
    def table(self) -> routes.RoutingTable | None:
        """The latest table, whether or not its lease is valid."""
        return self._table

    @property
    def bounds(self) -> routes.CallerBounds:
        """Bounds on requests by the latest table; defaults without one."""
        return self._table.bounds if self._table else routes.CallerBounds()

    @property
    def version(self) -> int:
        """Version of the latest table; 0 without one."""
        return self._table.version if self._table else 0

    @property
    def age_s(self) -> float:
        """Seconds since the read that confirmed the table was sent."""
        return self._read_clock() - self._confirmed_s

    @property
    def left_s(self) -> float:
        """Seconds until the lease ends; negative once it has ended."""
        return self._lease_s - self.age_s

    def find_service(self, name: str) -> routes.ServiceSpec | None:
        """Returns a service of the latest table, even if its lease ended."""
        return self._table.services.get(name) if self._table else None

    def read_clock(self) -> float:
        """Returns the lease's clock; call it before a read is sent."""
        return self._read_clock()

    def confirm(self, version: int, sent_s: float) -> bool:
        """Extends the lease if a read found the version held here.

        Args:
          version: version that the read found.
          sent_s: the lease's clock before the read was sent.

        Returns:
          Whether the table held here has that version, so that the lease was
          extended.
        """
        if self._table is None or version != self._table.version:
            return False
        self._extend(sent_s)
        return True

    def install(
        self,
        table: routes.RoutingTable,
        sent_s: float,
        replaces: bool = False,
    ) -> bool:
        """Puts a table into force unless a newer one is in force.

        Args:
          table: the table that a read found.
          sent_s: the lease's clock before the read was sent.
          replaces: whether it replaces a table of the same version.

        Returns:
          Whether the table is new here.
        """
        if table.version < self.version:
            return False
        is_new = replaces or table.version > self.version
        if is_new:
            self._table = table
            # Confirmations of the older table don't apply to this one, but the
            # read that found it is later than they are.
        self._extend(sent_s)
        return is_new

    def find_valid(self) -> routes.RoutingTable | None:
        """Returns the table if its lease is valid now."""
        if self.left_s < 0.0:
            return None
        return self._table

    async def wait_valid(self, timeout_s: float) -> routes.RoutingTable | None:
        """Waits for a valid lease, as after a frozen process resumes.

        Returns:
          The table, or None if the lease was not renewed in time.
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

    def _extend(self, sent_s: float) -> None:
        self._confirmed_s = max(self._confirmed_s, sent_s)
        self._changed.set()
