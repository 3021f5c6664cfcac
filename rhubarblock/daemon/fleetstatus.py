"""Status and drains of the fleet for the administration API."""

from typing import TYPE_CHECKING

from rhubarblock.admin import draining
from rhubarblock.admin import status as statuses
from rhubarblock.core import failure as failures
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.routing import limits as limiters

if TYPE_CHECKING:
    from rhubarblock.daemon import instance as instances


class InstanceStatusSource(statuses.StatusSource):
    """The state of the fleet as one instance sees it."""

    __slots__ = ("_instance",)

    def __init__(self, instance: "instances.Instance"):
        self._instance = instance

    async def collect_status(self) -> statuses.FleetStatus:
        instance = self._instance
        return statuses.FleetStatus(
            instance_id=instance.identity.instance_id,
            revision=instance.catalogue.get_revision(),
            instances=self._list_instances(),
            endpoints=tuple(
                self._describe_endpoint(view)
                for view in instance.endpoints.states.list_views()
            ),
            limits=self._list_limits(),
            quarantines=self._list_quarantines(),
            drains=self._list_drains(),
        )

    def _list_instances(self) -> tuple[statuses.InstanceStatus, ...]:
        own = self._instance.identity.instance_id
        found = []
        for member in self._instance.membership.list_live_instances():
            state = member.state.name.lower()
            revision = member.revision
            in_flight = None
            if member.instance_id == own:
                state = self._instance.lifecycle.state.value
                revision = self._instance.catalogue.get_revision()
                in_flight = self._instance.lifecycle.in_flight
            found.append(
                statuses.InstanceStatus(
                    member.instance_id,
                    member.data_centre,
                    state,
                    revision,
                    in_flight,
                )
            )
        return tuple(found)

    def _describe_endpoint(
        self, view: endpointtables.EndpointView
    ) -> statuses.EndpointStatus:
        endpoint = view.endpoint
        report = view.report
        if report is None:
            return statuses.EndpointStatus(
                endpoint.endpoint_id,
                endpoint.service,
                endpoint.data_centre,
                view.state.value,
            )
        return statuses.EndpointStatus(
            endpoint_id=endpoint.endpoint_id,
            service=endpoint.service,
            data_centre=endpoint.data_centre,
            state=view.state.value,
            role=report.role.value,
            models=report.models,
            running=report.running,
            waiting=report.waiting,
            kv_used=report.kv_used,
            kv_capacity=report.kv_capacity,
        )

    def _list_limits(self) -> tuple[statuses.LimitStatus, ...]:
        """Returns the limits of long prompts, which are counted locally."""
        limiter = self._instance.limiter
        return tuple(
            statuses.LimitStatus(
                owner=key,
                limit="concurrent_long",
                allowed=limits.concurrent_long,
                used=limiter.read_long_held(key),
            )
            for key, limits in limiters.list_limited_entries(
                self._instance.catalogue.get()
            ).items()
            if limits.concurrent_long
        )

    def _list_quarantines(self) -> tuple[statuses.QuarantineStatus, ...]:
        now_s = self._instance.clients.timers.read_wall()
        return tuple(
            statuses.QuarantineStatus(
                digest=entry.digest,
                institution="",
                crashes=entry.crashes,
                ends_in_s=round(entry.until_s - now_s, 1),
            )
            for entry in self._instance.quarantine.list_quarantined()
        )

    def _list_drains(self) -> tuple[statuses.DrainStatus, ...]:
        return tuple(
            self._describe_drain(name)
            for name in self._instance.endpoint_notices.list_drained()
        )

    def _describe_drain(self, name: str) -> statuses.DrainStatus:
        reports = {
            view.endpoint.endpoint_id: view.report
            for view in self._instance.endpoints.states.list_views()
        }
        report = reports.get(name)
        running = report.running + report.waiting if report else None
        state = "draining" if running else "drained"
        return statuses.DrainStatus("endpoint", name, state, running)


class InstanceDrainControl(draining.DrainControl):
    """Drains endpoints on all instances, or the answering instance itself."""

    __slots__ = ("_instance",)

    def __init__(self, instance: "instances.Instance"):
        self._instance = instance

    async def start_drain(
        self, target: draining.DrainTarget
    ) -> statuses.DrainStatus:
        if target.kind is draining.DrainKind.ENDPOINT:
            return await self._drain_endpoints(target, [target.name])
        if target.kind is draining.DrainKind.DATA_CENTRE:
            return await self._drain_endpoints(
                target, self._list_endpoints(target.name)
            )
        return self._drain_self(target)

    async def _drain_endpoints(
        self, target: draining.DrainTarget, names: list[str]
    ) -> statuses.DrainStatus:
        views = {
            view.endpoint.endpoint_id: view
            for view in self._instance.endpoints.states.list_views()
        }
        if not names or any(name not in views for name in names):
            raise _make_bad_request(
                f"{target} has no endpoint that is known here"
            )
        in_flight = 0
        for name in names:
            await self._instance.endpoint_notices.order_drain(name, True)
            report = views[name].report
            in_flight += report.running + report.waiting if report else 0
        state = "draining" if in_flight else "drained"
        return statuses.DrainStatus(
            target.kind.value, target.name, state, in_flight
        )

    def _list_endpoints(self, data_centre: str) -> list[str]:
        return [
            view.endpoint.endpoint_id
            for view in self._instance.endpoints.states.list_views()
            if view.endpoint.data_centre == data_centre
        ]

    def _drain_self(self, target: draining.DrainTarget) -> statuses.DrainStatus:
        own = self._instance.identity.instance_id
        if target.name != own:
            raise _make_bad_request(
                f"ask instance {target.name} itself; this is {own}"
            )
        lifecycle = self._instance.lifecycle
        lifecycle.start_drain()
        state = "draining" if lifecycle.in_flight else "drained"
        return statuses.DrainStatus("instance", own, state, lifecycle.in_flight)


def _make_bad_request(message: str) -> failures.FailureError:
    return failures.FailureError(
        failures.Failure(failures.FailureCode.BAD_REQUEST, message)
    )
