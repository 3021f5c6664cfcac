"""Table of the endpoints that an entry instance may send requests to.

The sources are the platform's list, which lags, the engines' load reports, the
outcome of requests, notices from peers and operators' orders. What an endpoint
reports itself takes precedence over the list: one that refuses new requests
gets none, even while it is still listed.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.fleet import endpointstate
from rhubarblock.fleet import holddown
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import instances

_State = endpoints.EndpointState
_Code = failures.FailureCode

# Failures that count against the endpoint. Those caused by the request or by
# overload do not: an endpoint that sheds load is not broken.
_ENDPOINT_FAULT_CODES = frozenset(
    {_Code.ENDPOINT_FAILED, _Code.STREAM_CUT, _Code.NO_ENDPOINT}
)
_KINDS = {
    instances.InstanceKind.ENGINE: endpoints.EndpointKind.ENGINE,
    instances.InstanceKind.SERVICE: endpoints.EndpointKind.SERVICE,
}
_CLOSED_STATES = frozenset({_State.DRAINING, _State.LEAVING, _State.GONE})

# Called with an endpoint id and its state before and after.
StateCallback = Callable[
    [str, endpoints.EndpointState, endpoints.EndpointState], None
]


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointSettings:
    """Settings of the endpoint table.

    Attributes:
      hold_down: hold-down times of failed endpoints.
      panic_share: share of a service's endpoints in hold-down above which the
        failures are assumed to have a common cause, and endpoints that were
        seen since their failure are used despite their hold-down. Also the
        share of endpoints missing from a list above which the list is doubted.
      recent_s: age in seconds up to which a success or load report counts as
        recent. Endpoints seen recently are tried if all are in hold-down, and
        are kept if the list drops most of a service.
      report_lag_s: seconds after a refusal during which load reports may still
        be older than the refusal.
      list_lag_s: seconds after a sign that an endpoint is leaving, during which
        a list that shows it as staying is ignored.
    """

    hold_down: holddown.HoldDownSettings = dataclasses.field(
        default_factory=holddown.HoldDownSettings
    )
    panic_share: float = 0.5
    recent_s: float = 10.0
    report_lag_s: float = 1.5
    list_lag_s: float = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointView:
    """Snapshot of one endpoint.

    Attributes:
      endpoint: its identity.
      state: its state.
      report: its latest load report; None for a plain service.
      reported_s: when that report arrived, in seconds of the monotonic clock.
      probation: whether it failed and has not served a request since; until it
        does it should get few requests.
    """

    endpoint: endpoints.Endpoint
    state: endpoints.EndpointState
    report: endpoints.LoadReport | None
    reported_s: float
    probation: bool


class _Entry:
    """Mutable state of one endpoint."""

    __slots__ = (
        "endpoint",
        "state_machine",
        "hold_down",
        "report",
        "reported_s",
        "last_seen_s",
        "refused_s",
    )

    def __init__(
        self, endpoint: endpoints.Endpoint, settings: EndpointSettings
    ):
        self.endpoint = endpoint
        self.state_machine = endpointstate.EndpointStateMachine(
            endpoint.endpoint_id
        )
        self.hold_down = holddown.HoldDown(settings.hold_down)
        self.report: endpoints.LoadReport | None = None
        self.reported_s = float("-inf")
        self.last_seen_s = float("-inf")
        self.refused_s = float("-inf")

    @property
    def is_open(self) -> bool:
        """Whether it takes new requests at all."""
        return self.state_machine.state not in _CLOSED_STATES

    @property
    def was_seen_after_failure(self) -> bool:
        """Whether a success or load report followed its latest failure."""
        return self.last_seen_s > self.hold_down.failed_s

    def serves(self, model: str) -> bool:
        """Returns whether a model is loaded; an empty name always matches."""
        if not model:
            return True
        if self.report is None:
            return False
        return any(
            loaded.partition("@")[0] == model for loaded in self.report.models
        )


class EndpointTable:
    """All known endpoints, by id."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        settings: EndpointSettings | None = None,
    ):
        """Creates an empty table.

        Args:
          timers: the timer service.
          settings: settings of the table.
        """
        self._timers = timers
        self._settings = settings or EndpointSettings()
        self._entries: dict[str, _Entry] = {}
        self._drained: set[str] = set()
        self._callbacks: list[StateCallback] = []
        self._refusal_callbacks: list[Callable[[str], None]] = []
        # Cached results of ``usable``, cleared when a state changes.
        self._usable: dict[tuple[str, str], list[EndpointView]] = {}
        self._usable_until_s = float("-inf")

    def subscribe(self, callback: StateCallback) -> None:
        """Calls back on each change of state; there is no unsubscribe."""
        self._callbacks.append(callback)

    def subscribe_refusals(self, callback: Callable[[str], None]) -> None:
        """Calls back when an open endpoint refuses a request from here."""
        self._refusal_callbacks.append(callback)

    def update_from_list(
        self, listed: Iterable[instances.ListedInstance]
    ) -> None:
        """Updates the table from the platform's list.

        Args:
          listed: the whole list; entry instances in it are ignored.
        """
        present: set[str] = set()
        for entry in listed:
            if entry.kind in _KINDS:
                present.add(entry.instance_id)
                self._apply_listed(entry)
        for service in {e.endpoint.service for e in self._entries.values()}:
            self._remove_missing(service, present)
        self._usable.clear()

    def record_success(self, endpoint_id: str) -> None:
        """Records that an endpoint answered a request."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return
        entry.last_seen_s = self._timers.read_monotonic()
        state = entry.state_machine.state
        if state is _State.READY:
            return
        if state is _State.KNOWN and entry.report is None:
            self._transition(entry, entry.state_machine.become_ready)
        elif state is _State.SUSPECT and not self._is_held(entry):
            self._transition(entry, entry.state_machine.recover)

    def record_failure(
        self, endpoint_id: str, failure: failures.Failure
    ) -> None:
        """Records that a request to an endpoint, or a check of it, failed."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return
        if failure.code is _Code.DRAINING:
            is_new = entry.is_open
            self._record_refusal(entry)
            for callback in self._refusal_callbacks if is_new else ():
                callback(endpoint_id)
        elif failure.code in _ENDPOINT_FAULT_CODES:
            entry.hold_down.record_failure(self._timers.read_monotonic())
            self._transition(entry, entry.state_machine.suspect)
            self._usable.clear()

    def record_load(self, report: endpoints.LoadReport) -> None:
        """Records the load report of an engine unless it is outdated."""
        entry = self._entries.get(report.endpoint_id)
        if entry is None:
            return
        before = entry.report
        if before is not None and before.start_id == report.start_id:
            if report.sequence <= before.sequence:
                return
        elif before is not None:
            entry.refused_s = float("-inf")
            self._transition(entry, entry.state_machine.restart)
        entry.report = report
        entry.last_seen_s = entry.reported_s = self._timers.read_monotonic()
        self._apply_report(entry, report)
        if before is None or before.models != report.models:
            self._usable.clear()
        if entry.state_machine.state is _State.SUSPECT:
            self._usable.clear()

    def mark_draining(self, endpoint_id: str) -> None:
        """Applies an operator's order to drain an endpoint."""
        self._drained.add(endpoint_id)
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            self._transition(entry, entry.state_machine.drain)

    def end_draining(self, endpoint_id: str) -> None:
        """Applies an operator's order to end a drain."""
        self._drained.discard(endpoint_id)
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            self._transition(entry, entry.state_machine.end_drain)

    def is_drained(self, endpoint_id: str) -> bool:
        """Returns whether an operator's drain order is in effect."""
        return endpoint_id in self._drained

    def mark_leaving(self, endpoint_id: str) -> None:
        """Records a peer's notice that an endpoint refuses new requests."""
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            self._record_refusal(entry)

    def read_state(self, endpoint_id: str) -> endpoints.EndpointState:
        """Returns the state of an endpoint; GONE if it is unknown."""
        entry = self._entries.get(endpoint_id)
        return entry.state_machine.state if entry else _State.GONE

    def find_report(self, endpoint_id: str) -> endpoints.LoadReport | None:
        """Returns the latest load report of an engine, or None."""
        entry = self._entries.get(endpoint_id)
        return entry.report if entry else None

    def list_views(self) -> list[EndpointView]:
        """Returns every known endpoint, usable or not."""
        return [self._make_view(entry) for entry in self._entries.values()]

    def usable(self, service: str, model: str = "") -> list[EndpointView]:
        """Returns the endpoints that may get new requests.

        Args:
          service: name of a service in the catalogue.
          model: model that must be loaded; empty for a plain service.

        Returns:
          The endpoints, including those on probation.
        """
        now_s = self._timers.read_monotonic()
        if now_s >= self._usable_until_s:
            self._usable.clear()
        key = (service, model)
        views = self._usable.get(key)
        if views is None:
            if not self._usable:
                self._usable_until_s = self._find_next_expiry(now_s)
            views = self._usable[key] = self._find_usable(service, model)
        return list(views)

    # Platform list.

    def _apply_listed(self, listed: instances.ListedInstance) -> None:
        endpoint = endpoints.Endpoint(
            listed.instance_id,
            listed.address,
            listed.data_centre,
            listed.service,
            _KINDS[listed.kind],
        )
        entry = self._entries.get(listed.instance_id)
        if entry is None:
            entry = _Entry(endpoint, self._settings)
            self._entries[listed.instance_id] = entry
        entry.endpoint = endpoint
        if endpoint.endpoint_id in self._drained:
            self._transition(entry, entry.state_machine.drain)
        now_s = self._timers.read_monotonic()
        if listed.leaving:
            entry.refused_s = now_s
            self._transition(entry, entry.state_machine.leave)
            return
        is_lag_over = now_s - entry.refused_s > self._settings.list_lag_s
        if is_lag_over and entry.state_machine.state is _State.LEAVING:
            self._transition(entry, entry.state_machine.restart)

    def _record_refusal(self, entry: _Entry) -> None:
        """Records that an endpoint itself refuses new requests.

        An engine's load reports show when it accepts requests again. A plain
        service has no load reports and counts as leaving.
        """
        entry.refused_s = self._timers.read_monotonic()
        if entry.endpoint.kind is endpoints.EndpointKind.ENGINE:
            self._transition(entry, entry.state_machine.drain)
        else:
            self._transition(entry, entry.state_machine.leave)

    def _remove_missing(self, service: str, present: set[str]) -> None:
        entries = self._list_entries(service)
        missing = [
            entry
            for entry in entries
            if entry.endpoint.endpoint_id not in present
        ]
        # A list that drops most of a service at once is probably wrong about
        # endpoints that were seen recently.
        is_doubtful = len(missing) > self._settings.panic_share * len(entries)
        for entry in missing:
            if not (
                is_doubtful and entry.is_open and self._was_seen_recently(entry)
            ):
                self._transition(entry, entry.state_machine.vanish)
                del self._entries[entry.endpoint.endpoint_id]

    # Load reports.

    def _apply_report(
        self, entry: _Entry, report: endpoints.LoadReport
    ) -> None:
        age_s = self._timers.read_monotonic() - entry.refused_s
        may_be_outdated = age_s < self._settings.report_lag_s
        is_drained = report.endpoint_id in self._drained
        if report.draining or is_drained:
            self._transition(entry, entry.state_machine.drain)
        elif not may_be_outdated:
            self._transition(entry, entry.state_machine.end_drain)
        if report.models:
            self._transition(entry, entry.state_machine.become_ready)
        else:
            self._transition(entry, entry.state_machine.start_loading)

    # Usable endpoints.

    def _find_usable(self, service: str, model: str) -> list[EndpointView]:
        eligible = [
            entry
            for entry in self._list_entries(service)
            if entry.is_open and self._can_serve(entry, model)
        ]
        candidates = [entry for entry in eligible if not self._is_held(entry)]
        held = len(eligible) - len(candidates)
        if held > self._settings.panic_share * len(eligible):
            # Failures of so large a share have a common cause. Endpoints seen
            # after their failure are used, since those that never failed could
            # not carry the load.
            candidates = [
                entry
                for entry in eligible
                if not self._is_held(entry) or entry.was_seen_after_failure
            ]
        if not candidates:
            candidates = [
                entry for entry in eligible if self._was_seen_recently(entry)
            ]
        return [self._make_view(entry) for entry in candidates or eligible]

    def _can_serve(self, entry: _Entry, model: str) -> bool:
        if entry.endpoint.kind is endpoints.EndpointKind.SERVICE:
            return True
        return (
            entry.serves(model)
            and entry.state_machine.state is not _State.LOADING
        )

    def _list_entries(self, service: str) -> list[_Entry]:
        return [
            entry
            for entry in self._entries.values()
            if entry.endpoint.service == service
        ]

    def _is_held(self, entry: _Entry) -> bool:
        return entry.hold_down.is_held(self._timers.read_monotonic())

    def _was_seen_recently(self, entry: _Entry) -> bool:
        now_s = self._timers.read_monotonic()
        return now_s - entry.last_seen_s <= self._settings.recent_s

    def _find_next_expiry(self, now_s: float) -> float:
        """Returns the time at which cached results of ``usable`` expire.

        That is when the next hold-down ends or the next sign of an endpoint is
        no longer recent, but after ``recent_s`` at the latest.
        """
        ends_s = [now_s + self._settings.recent_s]
        for entry in self._entries.values():
            ends_s.append(entry.hold_down.until_s)
            ends_s.append(entry.last_seen_s + self._settings.recent_s)
        return min(end_s for end_s in ends_s if end_s > now_s)

    def _make_view(self, entry: _Entry) -> EndpointView:
        return EndpointView(
            entry.endpoint,
            entry.state_machine.state,
            entry.report,
            entry.reported_s,
            entry.state_machine.state is _State.SUSPECT,
        )

    def _transition(
        self, entry: _Entry, transition: Callable[[], bool]
    ) -> None:
        before = entry.state_machine.state
        if not transition():
            return
        self._usable.clear()
        for callback in self._callbacks:
            callback(
                entry.endpoint.endpoint_id, before, entry.state_machine.state
            )
