"""In-memory instances that send to one endpoint that turns cold."""

from collections.abc import Callable
import dataclasses
import random

from rhubarblock.core import listed as lists
from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.core import route as routes
from rhubarblock.exchange import coldroom
from rhubarblock.exchange import coldstarts
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.state import directory as directories
from rhubarblock.experiments.endpointlimits import fleet as fleets
from rhubarblock.experiments.endpointlimits import gates
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.coldstart import coldbound
from rhubarblock.routing.coldstart import recentcounts

ENDPOINT = fleets.ENDPOINT
BOUND = coldbound.ColdBound(1.5, 5.0)
# Length in seconds of the window that the bound of a cold endpoint is for.
WINDOW_S = recentcounts.BOUND_S


class ColdInstance:
    """What one instance knows of the endpoint.

    Attributes:
      directory: its list of endpoints.
      cold_starts: the endpoints that it knows to be cold.
      placed: what it and its peers sent.
      room: its bound for endpoints that may be cold.
      metrics: counters of its cold periods.
    """

    def __init__(
        self,
        limits: endpointlimits.EndpointLimits,
        service: routes.ServiceSpec,
        find_reached: Callable[[], float],
        timers: timer_service.Timers,
        seed: str,
    ):
        """Creates an instance that has no list yet.

        Args:
          limits: the rate limits that it knows.
          service: the service of the endpoint.
          find_reached: returns the part of the instances that it hears.
          timers: the clock.
          seed: seed of its random choices.
        """
        self.directory = directories.Directory(timers)
        self.metrics = metric_store.Metrics()
        self.cold_starts = coldstarts.ColdStarts(
            self.directory,
            limits,
            lambda name: service,
            lambda endpoint_id: True,
            timers,
            self.metrics,
        )
        limits.on_cold_report = self.cold_starts.receive
        self.directory.on_restart = limits.forget
        self.directory.on_listed = self.cold_starts.note_listed
        self.directory.on_return = self.cold_starts.note_return
        self.placed = recentcounts.RecentCounts()
        self.room = coldroom.ColdRoom(
            BOUND,
            self.placed,
            lambda endpoint_id: find_reached(),
            limits.count_users,
            timers,
            random.Random(seed),
        )


class ColdGate(gates.PermitGate):
    """The product's policy: permits, and a bound on what may be cold."""

    def __init__(
        self,
        fleet: "ColdFleet",
        name: str,
        limits: endpointlimits.EndpointLimits,
    ):
        """Creates the gate of the instance with a name."""
        super().__init__(limits, ENDPOINT)
        self._fleet = fleet
        self._name = name

    def try_pass(self, request_id: str, within_s: float) -> bool:
        fleet = self._fleet
        room = fleet.instances[self._name].room
        if not room.select(fleet.service, [ENDPOINT]):
            return False
        if not super().try_pass(request_id, within_s):
            return False
        fleet.announce_placed(self._name)
        return True


class ColdFleet(fleets.LimitFleet):
    """Instances that send to one endpoint, which states no limit.

    Attributes:
      service: the service of the endpoint.
      instances: what each instance knows, by its name.
      entry: the endpoint's entry as it was last listed.
      cut_s: when the present partition began, in monotonic seconds.
    """

    def __init__(
        self,
        count: int,
        cold_per_s: float,
        cold_start_s: float,
        policy: str = fleets.PERMITS,
        seed: int = 1,
    ):
        """Creates instances whose first list has the endpoint, warm.

        Args:
          count: number of instances.
          cold_per_s: requests a second that the cold endpoint handles.
          cold_start_s: seconds for which it is cold after a start.
          policy: one of ``fleet.POLICIES``.
          seed: seed of the arrivals.
        """
        self.service = routes.ServiceSpec(
            ENDPOINT.service, "/", 0, None, cold_start_s, cold_per_s
        )
        self.instances: dict[str, ColdInstance] = {}
        self.cut_s = 0.0
        self._paused: set[str] = set()
        self.entry = dataclasses.replace(ENDPOINT, born_ms=1)
        super().__init__(count, ratelimits.NO_STATED_LIMIT, policy, seed)
        for instance in self.instances.values():
            instance.directory.replace([self.entry])

    @property
    def bound(self) -> float:
        """Most requests in any second that the cold endpoint may get."""
        return BOUND.compute(self.service)

    def restart(
        self, delay_s: float = 0.0, left_s: float | None = None
    ) -> None:
        """Starts the endpoint again under its id.

        Args:
          delay_s: seconds until the last instance receives the list; the others
            receive it evenly before.
          left_s: cold time that the entry states, in seconds, or None.
        """
        self.entry = dataclasses.replace(
            self.entry,
            born_ms=self.entry.born_ms + 1,
            cold_remaining_s=left_s,
        )
        for number, name in enumerate(self.instances, 1):
            at_s = delay_s * number / len(self.instances)
            self._deliver(name, self.entry, at_s)

    def announce_placed(self, name: str) -> None:
        """Counts a request at an instance and, a little later, at its peers."""
        now_s = self.timers.read_monotonic()
        endpoint_id = ENDPOINT.endpoint_id
        self.instances[name].placed.note(endpoint_id, now_s)
        peers = [
            instance
            for peer, instance in self.instances.items()
            if peer != name and self.can_reach(name, peer)
        ]

        def arrive() -> None:
            for peer in peers:
                at_s = self.timers.read_monotonic()
                peer.placed.note(endpoint_id, at_s)

        self.timers.call_later(fleets.LATENCY_S, arrive)

    def list_cold(self) -> list[str]:
        """Returns the names of the instances that know it to be cold."""
        return [
            name
            for name, instance in self.instances.items()
            if instance.cold_starts.is_cold(ENDPOINT.endpoint_id)
        ]

    def pause_list(self, name: str) -> None:
        """Keeps changes of the list from an instance."""
        self._paused.add(name)

    def resume_list(self, name: str) -> None:
        """Lets an instance read the list again, first of all."""
        self._paused.discard(name)
        self.instances[name].directory.update(self.entry)

    def replace_instance(self, name: str) -> None:
        """Starts an instance again, which reads the list first of all."""
        self.limits[name] = self._make_limits(name)
        self._gates[name] = self._make_gate(name, fleets.PERMITS)
        self.instances[name].directory.replace([self.entry])

    def cut_in_halves(self) -> None:
        """Partitions the instances into halves."""
        names = list(self.instances)
        half = len(names) // 2
        self.partitions = [set(names[:half]), set(names[half:])]
        self.cut_s = self.timers.read_monotonic()

    def _find_reached(self, name: str) -> float:
        """Returns the part of the instances that one hears, after a delay."""
        if self.timers.read_monotonic() - self.cut_s < peer_table.ALIVE_S:
            return 1.0
        reached = sum(self.can_reach(peer, name) for peer in self.instances)
        return reached / len(self.instances)

    def _deliver(
        self, name: str, entry: lists.ListedEndpoint, delay_s: float
    ) -> None:
        def arrive() -> None:
            if name not in self._paused:
                self.instances[name].directory.update(entry)

        if delay_s <= 0.0:
            arrive()
        else:
            self.timers.call_later(delay_s, arrive)

    def _make_gate(self, name: str, policy: str) -> gates.Gate:
        self.instances[name] = ColdInstance(
            self.limits[name],
            self.service,
            lambda: self._find_reached(name),
            self.timers,
            f"{self._seed} {name} room",
        )
        if policy == fleets.PERMITS:
            return ColdGate(self, name, self.limits[name])
        return super()._make_gate(name, policy)
