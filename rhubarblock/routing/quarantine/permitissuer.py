"""Lets one copy of a suspect run at a time, isolated until it is probed.

One instance issues the permits of a service. If two instances do so for a
while, a suspect may run twice at once: that may cost an endpoint, but it breaks
no guarantee.
"""

from collections.abc import Iterable
import dataclasses

from rhubarblock.kernel import timers as timers_lib


@dataclasses.dataclass(slots=True, frozen=True)
class _Permit:
    endpoint_id: str
    probed_s: float
    until_s: float


class PermitIssuer:
    """Issues the permits for the suspects of all services."""

    __slots__ = ("_permits", "_timers")

    def __init__(self, timers: timers_lib.Timers):
        self._timers = timers
        self._permits: dict[tuple[str, str], _Permit] = {}

    def grant(
        self,
        service: str,
        digest: str,
        endpoint_ids: Iterable[str],
        probe_s: float,
        hold_s: float,
    ) -> str | None:
        """Grants a permit if no copy runs and an endpoint is free to probe it.

        Args:
          service: service of the endpoints.
          digest: the suspect.
          endpoint_ids: where it may run, the preferred endpoint first.
          probe_s: seconds for which no other suspect may start there if this
            one never starts; see ``start``.
          hold_s: seconds after which the permit expires.

        Returns:
          Where it may run, or None if it has to wait.
        """
        now_s = self._timers.read_monotonic()
        self._permits = {
            key: permit
            for key, permit in self._permits.items()
            if now_s < permit.until_s
        }
        if (service, digest) in self._permits:
            return None
        taken = {
            permit.endpoint_id
            for (name, _), permit in self._permits.items()
            if name == service and now_s < permit.probed_s
        }
        for endpoint_id in endpoint_ids:
            if endpoint_id not in taken:
                self._permits[service, digest] = _Permit(
                    endpoint_id, now_s + probe_s, now_s + hold_s
                )
                return endpoint_id
        return None

    def start(self, service: str, digest: str, probe_s: float) -> None:
        """Records that a copy has started, which fixes the end of its probe."""
        permit = self._permits.get((service, digest))
        if permit is not None:
            now_s = self._timers.read_monotonic()
            self._permits[service, digest] = dataclasses.replace(
                permit, probed_s=now_s + probe_s
            )

    def release(self, service: str, digest: str) -> None:
        """Ends a permit."""
        self._permits.pop((service, digest), None)
