"""Fake providers of the administration API, shared by tests."""

from rhubarblock.admin import api
from rhubarblock.admin import draining
from rhubarblock.admin import status as statuses
from rhubarblock.catalogue import changes
from rhubarblock.catalogue import fakestore_test as fakestore
from rhubarblock.catalogue import samples_test as samples
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import failure as failures
from rhubarblock.kernel import timers

WALL_S = 1_770_000_000.0  # 2026-02-02T02:40:00+00:00

STATUS = statuses.FleetStatus(
    "osu-1",
    3,
    instances=(
        statuses.InstanceStatus("osu-1", "osu-hall", "ready", 3, 12),
        statuses.InstanceStatus("tema-1", "tema-hall", "ready", 2, None, 0.25),
    ),
    endpoints=(
        statuses.EndpointStatus(
            "pool-1", "pool", "osu-hall", "ready", "both", ("reader@v1",), 2
        ),
    ),
    limits=(
        statuses.LimitStatus("adwoa", "tokens_per_s", 1000.0, 250.5),
        statuses.LimitStatus("hofbauer/docks", "tokens_per_s", 10.0, 1.0),
    ),
    quarantines=(statuses.QuarantineStatus("d1", "hofbauer", 2, 60.0),),
)


class FixedStatus(statuses.StatusSource):
    async def collect_status(self):
        return STATUS


class RecordingDrains(draining.DrainControl):
    def __init__(self):
        self.targets = []

    async def start_drain(self, target):
        if target.name == "nowhere":
            failure = failures.Failure(
                failures.FailureCode.NO_ENDPOINT, f"unknown {target}"
            )
            raise failures.FailureError(failure)
        self.targets.append(str(target))
        return statuses.DrainStatus(
            target.kind.value, target.name, "draining", 4
        )


class FixedWallClock(timers.LoopTimers):
    def read_wall(self):
        return WALL_S


class FakeParts:
    """The administration API on a store in memory.

    Attributes:
      store: the store, which can be made unavailable.
      drains: records the drains that were started.
      in_force: catalogue in force.
      app: the HTTP application.
    """

    def __init__(self):
        self.store = fakestore.FakeStore()
        self.drains = RecordingDrains()
        self.in_force = catalogues.Catalogue()
        clock = FixedWallClock()
        self.app = api.create_app(
            api.AdminParts(
                changes.ChangeService(
                    self.store, clock, on_accepted=self._accept
                ),
                clock,
                lambda: self.in_force,
                FixedStatus(),
                self.drains,
                samples.digest("boot"),
            )
        )

    def _accept(self, catalogue):
        self.in_force = catalogue
