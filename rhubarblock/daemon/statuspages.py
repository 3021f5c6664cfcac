"""HTTP pages for the load balancer's readiness checks, metrics and status."""

from aiohttp import web

from rhubarblock.admin import status as statuses
from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.exchange.state import evacuationreplica
from rhubarblock.exchange.state import isolation as isolations
from rhubarblock.kernel import exposition
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.settings import exchange as settings_lib
from rhubarblock.store import era as era_lib

# Path on the metrics listener at which ``rhubarblock status`` asks, as in the
# administration API of the product's own deployments.
STATUS_PATH = "/admin/v1/status"


class StatusPages:
    """Handlers of the readiness and the metrics listener."""

    __slots__ = (
        "_config_lease",
        "_eras",
        "_evacuations",
        "_isolation",
        "_lifecycle",
        "_metrics",
        "_quarantine",
        "_settings",
        "_timers",
    )

    def __init__(
        self,
        settings: settings_lib.ExchangeSettings,
        lifecycle: lifecycles.InstanceLifecycle,
        config_lease: config_leases.ConfigurationLease,
        eras: era_lib.EraTracker,
        timers: timer_service.LoopTimers,
        metrics: metric_store.Metrics,
        isolation: isolations.Isolation,
        evacuations: evacuationreplica.EvacuationReplica | None = None,
        quarantine: quarantines.ExchangeQuarantine | None = None,
    ):
        """Creates the pages of one instance.

        Args:
          settings: name and place of the instance.
          lifecycle: its lifecycle state.
          config_lease: the configuration in force and its lease.
          eras: the store's era.
          timers: timer service, for its count of wake-ups.
          metrics: counters to report.
          isolation: whether the instance is isolated.
          evacuations: the evacuated data centres, None without evacuations.
          quarantine: what crashes endpoints, None without it.
        """
        self._quarantine = quarantine
        self._settings = settings
        self._evacuations = evacuations
        self._lifecycle = lifecycle
        self._config_lease = config_lease
        self._eras = eras
        self._timers = timers
        self._metrics = metrics
        self._isolation = isolation

    async def answer_readiness(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers 200 while the instance can serve new requests, else 503.

        An isolated one serves until its lease ends, which load balancers have
        to know before.
        """
        del request
        ready = (
            self._lifecycle.state is lifecycles.LifecycleState.READY
            and not self._isolation.is_isolated
            and self._config_lease.find_valid() is not None
        )
        return web.Response(status=200 if ready else 503)

    async def answer_metrics(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers with all metrics in the text exposition format.

        Answers with the status as JSON at ``STATUS_PATH``.
        """
        if request.path == STATUS_PATH:
            return web.json_response(
                statuses.build_document(self._describe_status())
            )
        if self._evacuations is not None:
            self._metrics.gauge(
                "evacuations.in_force", len(self._evacuations.describe())
            )
        for name, value in (
            ("exchange.in_flight", self._lifecycle.in_flight),
            ("timers.wakeups", self._timers.wakeups),
            ("configuration.version", self._config_lease.version),
            ("configuration.age_s", self._config_lease.age_s),
            ("store.era", self._eras.current),
        ):
            self._metrics.gauge(name, value)
        return web.Response(
            body=exposition.render(self._metrics),
            headers={"Content-Type": exposition.CONTENT_TYPE},
        )

    def _describe_status(self) -> statuses.FleetStatus:
        """Returns the status of this instance and of what it knows."""
        evacuated = self._evacuations.describe() if self._evacuations else {}
        return statuses.FleetStatus(
            self._settings.instance_id,
            self._config_lease.version,
            instances=(
                statuses.InstanceStatus(
                    self._settings.instance_id,
                    self._settings.data_centre,
                    self._lifecycle.state.value,
                    self._config_lease.version,
                    self._lifecycle.in_flight,
                ),
            ),
            quarantines=tuple(
                statuses.QuarantineStatus(name, "", crashes, round(left_s, 1))
                for name, crashes, left_s in (
                    self._quarantine.describe() if self._quarantine else ()
                )
            ),
            evacuations=tuple(
                statuses.EvacuationStatus(name, age_s)
                for name, age_s in evacuated.items()
            ),
        )
