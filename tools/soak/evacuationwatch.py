"""Checks that instances send nothing to endpoints of evacuated data centres."""

import asyncio
from collections.abc import Sequence
import math

from rhubarblock.platform import names
from tools.soak import cooldownwatch
from tools.soak import evidence as evidences
from tools.soak import fleet
from tools.soak import proxy as proxies
from tools.soak import ratewatch
from tools.soak import store as stores

# Seconds after the acknowledged write in which an evacuation must be in force.
EVACUATE_S = fleet.EVACUATE_MS / 1e3
# Seconds between two observations of who is in touch with the store; less than
# the shortest fault.
OBSERVE_S = 0.1


class EvacuationWatch:
    """When each process must know each evacuation, and arrivals after that.

    The time counts from the acknowledged write, and anew from each moment at
    which the process was out of touch: it was frozen, the proxy of its store
    was broken, or the store was down or lacked the object. A process that must
    know an evacuation must not forget it when it gets out of touch later.
    """

    def __init__(self, store: stores.SoakStore, evidence: evidences.Evidence):
        self._store = store
        self._evidence = evidence
        self._written_s: dict[str, float] = {}
        # By data centre and process id.
        self._due_s: dict[tuple[str, int], float] = {}
        self._first_seen_s: dict[int, float] = {}
        self._reported: set[tuple[str, int]] = set()

    @property
    def data_centres(self) -> set[str]:
        """The data centres whose evacuation was written and not removed."""
        return set(self._written_s)

    def note_written(self, data_centre: str) -> None:
        """Records that the store acknowledged an evacuation."""
        now_s = evidences.read_clock()
        self._written_s[data_centre] = now_s
        for key, due_s in self._due_s.items():
            if key[0] == data_centre and now_s < due_s:
                self._due_s[key] = now_s + EVACUATE_S

    def note_removed(self, data_centre: str) -> None:
        """Records that an evacuation is about to be removed."""
        self._written_s.pop(data_centre, None)
        self._due_s = {
            key: due_s
            for key, due_s in self._due_s.items()
            if key[0] != data_centre
        }

    async def run(
        self,
        instances: Sequence[fleet.SoakInstance],
        store_proxies: Sequence[proxies.SoakProxy],
    ) -> None:
        """Observes the instances and the proxies of their store, in order."""
        while True:
            for instance, proxy in zip(instances, store_proxies, strict=True):
                if instance.process_id:
                    self.observe(instance.process_id, proxy)
            await asyncio.sleep(OBSERVE_S)

    def observe(self, process_id: int, proxy: proxies.SoakProxy) -> None:
        """Records whether a process is in touch with the store."""
        now_s = evidences.read_clock()
        first_seen_s = self._first_seen_s.setdefault(process_id, now_s)
        is_frozen = self._evidence.disturbed_s.get(process_id) == math.inf
        is_cut_off = is_frozen or proxy.mode or self._store.is_down
        listed = self._store.list_names(names.EVACUATION_KIND)
        for data_centre, written_s in self._written_s.items():
            key = (data_centre, process_id)
            due_s = self._due_s.setdefault(key, written_s + EVACUATE_S)
            is_missing = names.EVACUATION_KIND + data_centre not in listed
            is_new = now_s < max(due_s, first_seen_s + EVACUATE_S)
            if is_new and (is_cut_off or is_missing):
                self._due_s[key] = now_s + EVACUATE_S

    def check_arrival(
        self,
        request_id: str,
        endpoint_id: str,
        data_centre: str,
        proxy: proxies.SoakProxy,
    ) -> None:
        """Checks that a request may arrive.

        Args:
          request_id: its id.
          endpoint_id: the endpoint that it reached.
          data_centre: that of the endpoint.
          proxy: that of the endpoint; requests that it held back are exempt.
        """
        sent = self._evidence.sent.get(request_id)
        if sent is None:
            return
        key = (data_centre, sent.process_id)
        now_s = evidences.read_clock()
        late_s = now_s - self._due_s.get(key, math.inf)
        if (
            late_s <= cooldownwatch.IN_FLIGHT_S
            or proxy.was_broken_since(now_s - ratewatch.BACKLOG_S)
            or key in self._reported
        ):
            return
        self._reported.add(key)
        self._evidence.violations.append(
            f"{request_id} of process {sent.process_id} reached {endpoint_id} "
            f"{late_s:.2f} s after the evacuation of {data_centre} had to be "
            f"in force, {now_s - self._written_s[data_centre]:.2f} s after the "
            "write"
        )
