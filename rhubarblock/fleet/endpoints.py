"""The endpoints that an entry instance may send work to.

What is known comes from the platform's list, which lags, from the engines'
load reports, from the answers to requests, from peers and from orders. What
an endpoint shows itself goes before the list: one that refuses new work gets
none, although the list still has it.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.fleet import endpointlife
from rhubarblock.fleet import holddown
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import instances

_State = endpoints.EndpointState
_Code = failures.FailureCode

# Failures that speak against the endpoint and not against the request or the
# load: an overloaded endpoint that refuses is not a broken one.
_COUNTED_CODES = frozenset(
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
    """Numbers of the endpoint table.

    Attributes:
      hold_down: times for which a failed endpoint is held back.
      panic_share: share of the endpoints of a service that are held back at
        once, above which the failures are not laid to each endpoint alone.
      recent_s: age in seconds up to which a success or a load report shows
        that an endpoint is worth trying all the same.
      report_lag_s: time after an answer that refused new work, in which load
        reports may still be older than it.
      list_lag_s: time after a sign that an endpoint leaves, after which a list
        that still shows it as staying is believed again.
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
    """An endpoint that may get work.

    Attributes:
      endpoint: its identity.
      state: its state.
      report: its latest load report, None for a plain service.
      reported_s: when that report arrived, in seconds of the monotonic clock.
      probation: whether it failed before and has not served again since; it
        should get little until it has.
    """

    endpoint: endpoints.Endpoint
    state: endpoints.EndpointState
    report: endpoints.LoadReport | None
    reported_s: float
    probation: bool


class _Entry:
    """What is known of one endpoint."""

    __slots__ = (
        "endpoint",
        "lifecycle",
        "hold_down",
        "report",
        "reported_s",
        "seen_s",
        "refused_s",
    )

    def __init__(
        self, endpoint: endpoints.Endpoint, settings: EndpointSettings
    ):
        self.endpoint = endpoint
        self.lifecycle = endpointlife.EndpointLife(endpoint.endpoint_id)
        self.hold_down = holddown.HoldDown(settings.hold_down)
        self.report: endpoints.LoadReport | None = None
        self.reported_s = float("-inf")
        self.seen_s = float("-inf")
        self.refused_s = float("-inf")

    @property
    def is_open(self) -> bool:
        """Whether it takes new work at all."""
        return self.lifecycle.state not in _CLOSED_STATES

    @property
    def was_seen_since(self) -> bool:
        """Whether it showed a sign of life after its latest failure."""
        return self.seen_s > self.hold_down.failed_s

    def serves(self, model: str) -> bool:
        """Says whether a model is loaded; the empty name asks for none."""
        if not model:
            return True
        if self.report is None:
            return False
        return any(
            loaded.partition("@")[0] == model for loaded in self.report.models
        )


class EndpointTable:
    """Every endpoint that is known, by its id."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        settings: EndpointSettings | None = None,
    ):
        """Creates an empty table.

        Args:
          timers: the timer service.
          settings: numbers.
        """
        self._timers = timers
        self._settings = settings or EndpointSettings()
        self._entries: dict[str, _Entry] = {}
        self._drained: set[str] = set()
        self._callbacks: list[StateCallback] = []
        self._refusal_callbacks: list[Callable[[str], None]] = []
        self._usable: dict[tuple[str, str], list[EndpointView]] = {}
        self._usable_until_s = float("-inf")

    def subscribe(self, callback: StateCallback) -> None:
        """Calls back with each change of state, as long as the table lives."""
        self._callbacks.append(callback)

    def subscribe_refusals(self, callback: Callable[[str], None]) -> None:
        """Calls back with each endpoint that refuses new work to us first."""
        self._refusal_callbacks.append(callback)

    def update_from_list(
        self, listed: Iterable[instances.ListedInstance]
    ) -> None:
        """Takes in the platform's list.

        Args:
          listed: the whole list; entry instances in it are passed over.
        """
        present: set[str] = set()
        for entry in listed:
            if entry.kind in _KINDS:
                present.add(entry.instance_id)
                self._take_listed(entry)
        for service in {e.endpoint.service for e in self._entries.values()}:
            self._drop_missing(service, present)
        self._usable.clear()

    def record_success(self, endpoint_id: str) -> None:
        """Notes that an endpoint answered a request."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return
        entry.seen_s = self._timers.read_monotonic()
        state = entry.lifecycle.state
        if state is _State.READY:
            return
        if state is _State.KNOWN and entry.report is None:
            self._step(entry, entry.lifecycle.become_ready)
        elif state is _State.SUSPECT and not self._is_held(entry):
            self._step(entry, entry.lifecycle.recover)

    def record_failure(
        self, endpoint_id: str, failure: failures.Failure
    ) -> None:
        """Notes that a request to an endpoint, or a look at it, failed."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return
        if failure.code is _Code.DRAINING:
            is_news = entry.is_open
            self._refuse(entry)
            for callback in self._refusal_callbacks if is_news else ():
                callback(endpoint_id)
        elif failure.code in _COUNTED_CODES:
            entry.hold_down.record_failure(self._timers.read_monotonic())
            self._step(entry, entry.lifecycle.suspect)
            self._usable.clear()

    def record_load(self, report: endpoints.LoadReport) -> None:
        """Takes in the load report of an engine."""
        entry = self._entries.get(report.endpoint_id)
        if entry is None:
            return
        before = entry.report
        if before is not None and before.start_id == report.start_id:
            if report.sequence <= before.sequence:
                return
        elif before is not None:
            entry.refused_s = float("-inf")
            self._step(entry, entry.lifecycle.restart)
        entry.report = report
        entry.seen_s = entry.reported_s = self._timers.read_monotonic()
        self._follow_report(entry, report)
        if before is None or before.models != report.models:
            self._usable.clear()
        if entry.lifecycle.state is _State.SUSPECT:
            self._usable.clear()

    def mark_draining(self, endpoint_id: str) -> None:
        """Notes an operator's order that an endpoint gets no new work."""
        self._drained.add(endpoint_id)
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            self._step(entry, entry.lifecycle.drain)

    def end_draining(self, endpoint_id: str) -> None:
        """Notes that the order to drain was taken back."""
        self._drained.discard(endpoint_id)
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            self._step(entry, entry.lifecycle.end_drain)

    def is_drained(self, endpoint_id: str) -> bool:
        """Says whether an operator's order to drain is in force."""
        return endpoint_id in self._drained

    def mark_leaving(self, endpoint_id: str) -> None:
        """Notes that an endpoint is about to stop, as a peer has seen."""
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            self._refuse(entry)

    def read_state(self, endpoint_id: str) -> endpoints.EndpointState:
        """Returns the state of an endpoint; GONE for one that is unknown."""
        entry = self._entries.get(endpoint_id)
        return entry.lifecycle.state if entry else _State.GONE

    def find_report(self, endpoint_id: str) -> endpoints.LoadReport | None:
        """Returns the latest load report of an engine, if there is one."""
        entry = self._entries.get(endpoint_id)
        return entry.report if entry else None

    def list_views(self) -> list[EndpointView]:
        """Returns every endpoint known, whether or not it may get work."""
        return [self._view(entry) for entry in self._entries.values()]

    def usable(self, service: str, model: str = "") -> list[EndpointView]:
        """Returns the endpoints that may get new work.

        Args:
          service: service of the catalogue.
          model: model that must be loaded; empty for a plain service.

        Returns:
          The endpoints; those on probation carry a mark.
        """
        now_s = self._timers.read_monotonic()
        if now_s >= self._usable_until_s:
            self._usable.clear()
        key = (service, model)
        views = self._usable.get(key)
        if views is None:
            if not self._usable:
                self._usable_until_s = self._find_next_end(now_s)
            views = self._usable[key] = self._find_usable(service, model)
        return list(views)

    # The list.

    def _take_listed(self, listed: instances.ListedInstance) -> None:
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
            self._step(entry, entry.lifecycle.drain)
        now_s = self._timers.read_monotonic()
        if listed.leaving:
            entry.refused_s = now_s
            self._step(entry, entry.lifecycle.leave)
            return
        is_old = now_s - entry.refused_s > self._settings.list_lag_s
        if is_old and entry.lifecycle.state is _State.LEAVING:
            self._step(entry, entry.lifecycle.restart)

    def _refuse(self, entry: _Entry) -> None:
        """Notes that an endpoint itself refuses new work.

        An engine says in its load reports when that is over; a plain service
        has none, and counts as leaving.
        """
        entry.refused_s = self._timers.read_monotonic()
        if entry.endpoint.kind is endpoints.EndpointKind.ENGINE:
            self._step(entry, entry.lifecycle.drain)
        else:
            self._step(entry, entry.lifecycle.leave)

    def _drop_missing(self, service: str, present: set[str]) -> None:
        entries = self._list_entries(service)
        missing = [
            entry
            for entry in entries
            if entry.endpoint.endpoint_id not in present
        ]
        # A list that lost most of a service at once is more likely wrong than
        # right about those that show signs of life.
        doubtful = len(missing) > self._settings.panic_share * len(entries)
        for entry in missing:
            if not (doubtful and entry.is_open and self._is_recent(entry)):
                self._step(entry, entry.lifecycle.vanish)
                del self._entries[entry.endpoint.endpoint_id]

    # Load reports.

    def _follow_report(
        self, entry: _Entry, report: endpoints.LoadReport
    ) -> None:
        age_s = self._timers.read_monotonic() - entry.refused_s
        in_doubt = age_s < self._settings.report_lag_s
        is_drained = report.endpoint_id in self._drained
        if report.draining or is_drained:
            self._step(entry, entry.lifecycle.drain)
        elif not in_doubt:
            self._step(entry, entry.lifecycle.end_drain)
        if report.models:
            self._step(entry, entry.lifecycle.become_ready)
        else:
            self._step(entry, entry.lifecycle.start_loading)

    # What may get work.

    def _find_usable(self, service: str, model: str) -> list[EndpointView]:
        able = [
            entry
            for entry in self._list_entries(service)
            if entry.is_open and self._can_serve(entry, model)
        ]
        free = [entry for entry in able if not self._is_held(entry)]
        held = len(able) - len(free)
        if held > self._settings.panic_share * len(able):
            # So many do not fail each for itself. Those that showed a sign of
            # life since are tried, as the rest could not carry the load.
            free = [
                entry
                for entry in able
                if not self._is_held(entry) or entry.was_seen_since
            ]
        if not free:
            free = [entry for entry in able if self._is_recent(entry)]
        return [self._view(entry) for entry in free or able]

    def _can_serve(self, entry: _Entry, model: str) -> bool:
        if entry.endpoint.kind is endpoints.EndpointKind.SERVICE:
            return True
        return (
            entry.serves(model) and entry.lifecycle.state is not _State.LOADING
        )

    def _list_entries(self, service: str) -> list[_Entry]:
        return [
            entry
            for entry in self._entries.values()
            if entry.endpoint.service == service
        ]

    def _is_held(self, entry: _Entry) -> bool:
        return entry.hold_down.is_held(self._timers.read_monotonic())

    def _is_recent(self, entry: _Entry) -> bool:
        now_s = self._timers.read_monotonic()
        return now_s - entry.seen_s <= self._settings.recent_s

    def _find_next_end(self, now_s: float) -> float:
        """Returns when the next hold-down or recent sign of life ends."""
        ends_s = [now_s + self._settings.recent_s]
        for entry in self._entries.values():
            ends_s.append(entry.hold_down.until_s)
            ends_s.append(entry.seen_s + self._settings.recent_s)
        return min(end_s for end_s in ends_s if end_s > now_s)

    def _view(self, entry: _Entry) -> EndpointView:
        return EndpointView(
            entry.endpoint,
            entry.lifecycle.state,
            entry.report,
            entry.reported_s,
            entry.lifecycle.state is _State.SUSPECT,
        )

    def _step(self, entry: _Entry, step: Callable[[], bool]) -> None:
        before = entry.lifecycle.state
        if not step():
            return
        self._usable.clear()
        for callback in self._callbacks:
            callback(entry.endpoint.endpoint_id, before, entry.lifecycle.state)
