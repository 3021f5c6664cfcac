"""Classifies requests that were late, refused, failed, cut or moved."""

import dataclasses
import enum

from rhubarblock.exchange import outcomes
from rhubarblock.loganalysis import lines as log_lines
from rhubarblock.loganalysis import requesttraces

# Seconds after its start in which an instance still loads configuration and
# endpoint state.
STARTUP_S = 1.0
# A first event counts as later than predicted if the delay exceeds both this
# many seconds and this share of the prediction.
MIN_EXCESS_S = 0.2
MIN_EXCESS_RATIO = 0.5
# Shortest prompt, in tokens, whose prefill delays other requests noticeably.
MIN_BLOCKING_TOKENS = 16_000
# Failure codes for errors of the caller, which are not counted as losses.
_CALLER_ERROR_CODES = frozenset(
    {"unknown_service", "unauthenticated", "body_too_large"}
)
_NOT_CONFIRMED_CODE = "platform_unavailable"
_NOT_RUN_VERDICT = "NOT_RUN"


class Kind(enum.Enum):
    """How a request was lost.

    LATE: it was served, but its first event or a pause took too long.
    REFUSED: it failed, and the verdict is that it did not run.
    FAILED: it failed without a response, or its end is not logged.
    CUT: its response was interrupted, or its instance was lost.
    MOVED: it was served in time, but an earlier attempt was abandoned because
      its endpoint was busy.
    """

    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    MOVED = "moved"


class Cause(enum.Enum):
    """Why a request was lost.

    NOT_AT_HOME: no endpoint was in the home regions of route and workspace.
    NO_MEMORY: the instance had no memory free for the body or the answer.
    SLOW_CALLER: the caller read its answer too slowly.
    TOO_LATE: admission refused it, as no endpoint could begin it in its time.
    SATURATED: admission refused it, as its placement would cost too much.
    PARTITIONED: neither the instance nor a peer reached an endpoint, or the
      path was lost while the request was under way.
    CRASHING: it, or a part of its prompt, is quarantined for the endpoints that
      crashed under it.
    NO_ROOM: no endpoint had room for it; it may have waited for one.
    RATE_LIMITED: the endpoints' rate limits were exhausted.
    STOPPING: the instance was about to stop and might have cut it.
    EVACUATED: the operator evacuated the data centre of the endpoint.
    MAYBE_COLD: endpoints had got as much as a cold one survives.
    RESTING: the endpoints were in a cool-down that they had asked for.
    OVERTAKEN: the prefill of a later prompt on the same engines delayed the
      first event.
    PAUSED: the prefill of another prompt on the same engine interrupted the
      decode.
    SLOW: the first event was later than predicted, without a visible reason.
    NO_BETTER_PLACE: the delay was predicted; no faster engine was available.
    NOT_CONFIRMED: the instance had no configuration with a valid lease.
    CALLER_GONE: the caller disconnected, or the end of the request is not
      logged.
    RETRY_BUDGET_SPENT: an attempt failed, and no retry was left.
    """

    NO_CONNECTION = "no connection could be opened"
    ENGINE_REFUSED = "an engine refused it"
    NOT_AT_HOME = "no endpoint in its home regions"
    NO_MEMORY = "the instance had no memory free"
    SLOW_CALLER = "the caller read too slowly"
    TOO_LATE = "it could not be answered in its time"
    SATURATED = "others would have lost more than it gained"
    PARTITIONED = "the instance was partitioned from the endpoints"
    CRASHING = "it or a part of its prompt crashed endpoints"
    NO_ROOM = "no endpoint had room"
    RATE_LIMITED = "endpoints' rate limits left no room"
    STOPPING = "the instance was about to stop"
    EVACUATED = "its data centre was evacuated"
    MAYBE_COLD = "endpoints that may be cold had no room"
    RESTING = "endpoints wanted no more requests"
    OVERTAKEN = "overtaken by later reading"
    PAUSED = "paused by other reading"
    SLOW = "slower than predicted"
    NO_BETTER_PLACE = "no better place when it came"
    NOT_CONFIRMED = "no confirmed configuration"
    ENDPOINT_LOST = "the endpoint was lost"
    ENDPOINT_FAILED = "the endpoint failed"
    INSTANCE_LOST = "the instance was lost"
    JUST_STARTED = "the instance had just started"
    CALLER_GONE = "the caller left, or no line tells the end"
    TIME_OVER = "its time was over"
    RETRY_BUDGET_SPENT = "retry budget spent"


# Causes by a substring of the logged reason; the first match counts. The texts
# cover the log messages of all builds.
_CAUSES_BY_REASON = (
    ("Cannot connect", Cause.NO_CONNECTION),
    ("Connection timeout", Cause.NO_CONNECTION),
    ("refused it", Cause.ENGINE_REFUSED),
    ("set no memory aside", Cause.ENGINE_REFUSED),
    ("home regions", Cause.NOT_AT_HOME),
    ("no memory is free", Cause.NO_MEMORY),
    ("caller read too slowly", Cause.SLOW_CALLER),
    ("answered in its time", Cause.TOO_LATE),
    ("others would lose more", Cause.SATURATED),
    ("of its service is reached", Cause.PARTITIONED),
    ("path to the endpoint was lost", Cause.PARTITIONED),
    ("this one crash", Cause.CRASHING),
    ("no endpoint has room", Cause.NO_ROOM),
    ("rate limits of endpoints", Cause.RATE_LIMITED),
    ("before this instance stops", Cause.STOPPING),
    ("evacuated", Cause.EVACUATED),
    ("endpoints that may be cold", Cause.MAYBE_COLD),
    ("ask for rest", Cause.RESTING),
    ("wanted no more requests", Cause.RESTING),
    ("reads for others", Cause.PAUSED),
    ("answered 5", Cause.ENDPOINT_FAILED),
    ("time for the request", Cause.TIME_OVER),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Loss:
    """A request that was late, refused, failed, cut or moved.

    Attributes:
      at_s: arrival time in seconds, on the clock of the log.
      request: id of the request.
      instance: instance that received the request.
      kind: how the request was lost.
      cause: why the request was lost.
      band: band of the prompt's length.
      workspace: workspace of the caller; empty if the request was not placed.
      data_centre: data centre of the last endpoint that the request was sent
        to; empty if there was none.
      detail: additional information for people, or empty.
    """

    at_s: float
    request: str
    instance: str
    kind: Kind
    cause: Cause
    band: str
    workspace: str
    data_centre: str
    detail: str


def classify(
    trace: requesttraces.RequestTrace, index: requesttraces.LogIndex
) -> Loss | None:
    """Returns the loss of a request, or None if there is none.

    There is none if the request was served in time by its first placement, or
    if it failed because of an error of its caller.

    Args:
      trace: log lines of the request.
      index: all requests in the logs.
    """
    kind = _find_kind(trace, index)
    if kind is None:
        return None
    cause, detail = _find_cause(trace, index)
    return Loss(
        round(trace.arrived_s, 3),
        trace.request,
        trace.instance,
        kind,
        cause,
        name_band(trace.find_prompt_tokens()),
        trace.find("workspace"),
        trace.find("data_centre"),
        detail,
    )


def name_band(tokens: int) -> str:
    """Returns the band of a prompt length in tokens; "plain" for 0."""
    if not tokens:
        return "plain"
    bands = (name for most, name in outcomes.BANDS if tokens <= most)
    return next(bands, "longest")


def _find_kind(
    trace: requesttraces.RequestTrace, index: requesttraces.LogIndex
) -> Kind | None:
    end = trace.end
    if end is None:
        return Kind.CUT if index.has_lost_instance(trace) else Kind.FAILED
    if end.message == requesttraces.SERVED_LATE:
        return Kind.LATE
    if end.message == requesttraces.SERVED:
        moved = [
            x
            for x in trace.lines
            if x.fields.get("outcome") == Kind.MOVED.value
        ]
        return Kind.MOVED if moved else None
    if end.fields.get("code") in _CALLER_ERROR_CODES:
        return None
    if end.fields.get("begun"):
        return Kind.CUT
    is_refused = end.fields.get("verdict") == _NOT_RUN_VERDICT
    return Kind.REFUSED if is_refused else Kind.FAILED


def _find_cause(
    trace: requesttraces.RequestTrace, index: requesttraces.LogIndex
) -> tuple[Cause, str]:
    """Returns the cause and a detail text."""
    end = trace.end
    if end is None:
        if index.has_lost_instance(trace):
            return Cause.INSTANCE_LOST, ""
        if not trace.has_ended_by_denial():
            return Cause.CALLER_GONE, ""
        return _describe_denial(trace)
    start_s = index.find_last_start(trace.instance, trace.arrived_s)
    is_starting = start_s is not None and trace.arrived_s - start_s < STARTUP_S
    if end.fields.get("code") == _NOT_CONFIRMED_CODE:
        if is_starting or start_s is None:
            return Cause.JUST_STARTED, ""
        return Cause.NOT_CONFIRMED, ""
    attempts = trace.list_failed_attempts()
    if trace.has_ended_by_denial():
        return _describe_denial(trace)
    if attempts:
        # The last attempt decides a failure; the first failed attempt causes
        # the delay of a request that was served late.
        is_failed = end.message == requesttraces.FAILED
        return parse_reason(attempts[-1 if is_failed else 0])
    if end.message == requesttraces.FAILED:
        return parse_reason(end)
    if is_starting:
        return Cause.JUST_STARTED, ""
    return _find_lateness_cause(trace, end, index)


def _describe_denial(trace: requesttraces.RequestTrace) -> tuple[Cause, str]:
    """Returns the cause of a denied retry, and why the last attempt failed."""
    attempts = trace.list_failed_attempts()
    detail = parse_reason(attempts[-1])[0].value if attempts else ""
    return Cause.RETRY_BUDGET_SPENT, detail


def parse_reason(line: log_lines.Line) -> tuple[Cause, str]:
    """Returns the cause of the reason in a log line, and a detail text."""
    reason = str(line.fields.get("reason", ""))
    found = [cause for text, cause in _CAUSES_BY_REASON if text in reason]
    cause = found[0] if found else Cause.ENDPOINT_LOST
    parts = int(line.fields.get("parts") or 1)
    if cause is Cause.ENGINE_REFUSED and parts > 1:
        return cause, f"a prompt in {parts} parts"
    return cause, reason


def _find_lateness_cause(
    trace: requesttraces.RequestTrace,
    end: log_lines.Line,
    index: requesttraces.LogIndex,
) -> tuple[Cause, str]:
    """Returns why a request was served late although no attempt failed."""
    placed = trace.list_placement_lines()
    if not placed:
        return Cause.SLOW, ""
    expected_s = float(placed[-1].fields.get("expected_s") or 0.0)
    first_s = float(end.fields.get("first_s") or 0.0)
    placed_after_s = float(placed[-1].fields.get("since_arrival_s") or 0.0)
    engines = requesttraces.list_engines(placed[-1])
    first_event_s = trace.arrived_s + first_s
    excess_s = first_s - placed_after_s - expected_s
    if excess_s > max(MIN_EXCESS_S, MIN_EXCESS_RATIO * expected_s):
        prefill = _find_longest_prefill(
            index, trace, engines, placed[-1].at_s, first_event_s
        )
        if prefill:
            return Cause.OVERTAKEN, _describe(prefill)
        return Cause.SLOW, f"{excess_s:.2f} s later than predicted"
    pause_s = float(end.fields.get("longest_pause_s") or 0.0)
    if pause_s > first_s or pause_s > float(end.fields.get("pause_s") or 1e9):
        prefill = _find_longest_prefill(
            index, trace, engines[:1], first_event_s, end.at_s
        )
        return Cause.PAUSED, _describe(prefill) if prefill else ""
    return Cause.NO_BETTER_PLACE, f"{expected_s:.2f} s were predicted"


def _find_longest_prefill(
    index: requesttraces.LogIndex,
    trace: requesttraces.RequestTrace,
    engines: list[str],
    after_s: float,
    before_s: float,
) -> requesttraces.Placement | None:
    """Returns the longest other prompt placed on engines in a time range."""
    found = [
        placement
        for engine in engines
        for placement in index.list_placements(engine, after_s, before_s)
        if placement.request != trace.request
        and placement.tokens >= MIN_BLOCKING_TOKENS
    ]
    return max(found, key=lambda placement: placement.tokens, default=None)


def _describe(placement: requesttraces.Placement) -> str:
    return (
        f"by {placement.request} of {placement.tokens} tokens "
        f"in {placement.parts} parts"
    )
