"""HTTP pages for the load balancer's readiness checks and for metrics."""

from aiohttp import web

from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.kernel import exposition
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import era as era_lib


class StatusPages:
    """Handlers of the readiness and the metrics listener."""

    __slots__ = ("_config_lease", "_eras", "_lifecycle", "_metrics", "_timers")

    def __init__(
        self,
        lifecycle: lifecycles.InstanceLifecycle,
        config_lease: config_leases.ConfigurationLease,
        eras: era_lib.EraTracker,
        timers: timer_service.LoopTimers,
        metrics: metric_store.Metrics,
    ):
        """Creates the pages of one instance.

        Args:
          lifecycle: its lifecycle state.
          config_lease: the configuration in force and its lease.
          eras: the store's era.
          timers: timer service, for its count of wake-ups.
          metrics: counters to report.
        """
        self._lifecycle = lifecycle
        self._config_lease = config_lease
        self._eras = eras
        self._timers = timers
        self._metrics = metrics

    async def answer_readiness(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers 200 while the instance can serve new requests, else 503."""
        del request
        ready = (
            self._lifecycle.state is lifecycles.LifecycleState.READY
            and self._config_lease.find_valid() is not None
        )
        return web.Response(status=200 if ready else 503)

    async def answer_metrics(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers with all metrics in the text exposition format."""
        del request
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
