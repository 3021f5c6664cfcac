"""Why a request was late, refused, failed, cut or moved."""

import dataclasses
import enum

from rhubarblock.exchange import outcomes
from rhubarblock.loganalysis import lines as log_lines
from rhubarblock.loganalysis import stories

# Seconds after its start in which an instance still fills its books.
START_S = 1.0
# A first event is later than predicted from this many seconds on, and from this
# part of the prediction.
LATER_S = 0.2
LATER_PART = 0.5
# Shortest prompt, in tokens, whose reading delays others that anyone would
# notice.
READING_TOKENS = 16_000
# Codes of failures that are the caller's own.
_OF_CALLER = frozenset({"unknown_service", "unauthenticated", "body_too_large"})
_NOT_CONFIRMED = "platform_unavailable"
_NOT_RUN = "NOT_RUN"


class Kind(enum.Enum):
    """How a request fared."""

    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    MOVED = "moved"


class Cause(enum.Enum):
    """Why."""

    NO_CONNECTION = "no connection could be opened"
    ENGINE_REFUSED = "an engine refused it"
    RATE_LIMITED = "endpoints' rate limits left no room"
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


# What reasons in the log mean; the first text found in a reason counts.
_REASONS = (
    ("Cannot connect", Cause.NO_CONNECTION),
    ("Connection timeout", Cause.NO_CONNECTION),
    ("refused it", Cause.ENGINE_REFUSED),
    ("set no memory aside", Cause.ENGINE_REFUSED),
    ("no endpoint has room", Cause.ENGINE_REFUSED),
    ("rate limits of endpoints", Cause.RATE_LIMITED),
    ("ask for rest", Cause.RESTING),
    ("wanted no more requests", Cause.RESTING),
    ("reads for others", Cause.PAUSED),
    ("answered 5", Cause.ENDPOINT_FAILED),
    ("time for the request", Cause.TIME_OVER),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Loss:
    """A request that fared badly.

    Attributes:
      at_s: when it arrived.
      request: its id.
      instance: where it was.
      kind: how it fared.
      cause: why.
      band: length of its prompt.
      workspace: whose it was; empty where it was not placed.
      data_centre: of the last endpoint that it went to; empty without one.
      detail: what is known besides.
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


def judge(story: stories.Story, day: stories.Day) -> Loss | None:
    """Returns what was lost with a request, or None if it fared well.

    Args:
      story: the request.
      day: all requests.
    """
    kind = _find_kind(story, day)
    if kind is None:
        return None
    cause, detail = _find_cause(story, day)
    return Loss(
        round(story.arrived_s, 3),
        story.request,
        story.instance,
        kind,
        cause,
        name_band(story.find_tokens()),
        story.find("workspace"),
        story.find("data_centre"),
        detail,
    )


def name_band(tokens: int) -> str:
    """Returns the name of a length of prompts."""
    if not tokens:
        return "plain"
    bands = (name for most, name in outcomes.BANDS if tokens <= most)
    return next(bands, "longest")


def _find_kind(story: stories.Story, day: stories.Day) -> Kind | None:
    end = story.end
    if end is None:
        return Kind.CUT if day.lost_instance(story) else Kind.FAILED
    if end.message == stories.SERVED_LATE:
        return Kind.LATE
    if end.message == stories.SERVED:
        moved = [
            x
            for x in story.lines
            if x.fields.get("outcome") == Kind.MOVED.value
        ]
        return Kind.MOVED if moved else None
    if end.fields.get("code") in _OF_CALLER:
        return None
    if end.fields.get("begun"):
        return Kind.CUT
    is_refused = end.fields.get("verdict") == _NOT_RUN
    return Kind.REFUSED if is_refused else Kind.FAILED


def _find_cause(story: stories.Story, day: stories.Day) -> tuple[Cause, str]:
    """Returns the cause, and what is known besides."""
    end = story.end
    if end is None:
        if day.lost_instance(story):
            return Cause.INSTANCE_LOST, ""
        return Cause.CALLER_GONE, ""
    start_s = day.find_start(story.instance, story.arrived_s)
    is_new = start_s is not None and story.arrived_s - start_s < START_S
    if end.fields.get("code") == _NOT_CONFIRMED:
        if is_new or start_s is None:
            return Cause.JUST_STARTED, ""
        return Cause.NOT_CONFIRMED, ""
    attempts = story.list_attempts()
    if attempts:
        # A failure was sealed by the last attempt, lateness began with the
        # first one.
        is_failed = end.message == stories.FAILED
        return read_reason(attempts[-1 if is_failed else 0])
    if end.message == stories.FAILED:
        return read_reason(end)
    if is_new:
        return Cause.JUST_STARTED, ""
    return _explain_lateness(story, end, day)


def read_reason(line: log_lines.Line) -> tuple[Cause, str]:
    """Returns what the reason in a line means, and what is known besides."""
    reason = str(line.fields.get("reason", ""))
    found = [cause for text, cause in _REASONS if text in reason]
    cause = found[0] if found else Cause.ENDPOINT_LOST
    parts = int(line.fields.get("parts") or 1)
    if cause is Cause.ENGINE_REFUSED and parts > 1:
        return cause, f"a prompt in {parts} parts"
    return cause, reason


def _explain_lateness(
    story: stories.Story, end: log_lines.Line, day: stories.Day
) -> tuple[Cause, str]:
    """Returns why a request was late that one attempt served."""
    placed = story.list_placements()
    if not placed:
        return Cause.SLOW, ""
    expected_s = float(placed[-1].fields.get("expected_s") or 0.0)
    first_s = float(end.fields.get("first_s") or 0.0)
    since_s = float(placed[-1].fields.get("since_arrival_s") or 0.0)
    engines = stories.list_engines(placed[-1])
    begun_s = story.arrived_s + first_s
    later_s = first_s - since_s - expected_s
    if later_s > max(LATER_S, LATER_PART * expected_s):
        other = _find_reading(day, story, engines, placed[-1].at_s, begun_s)
        if other:
            return Cause.OVERTAKEN, _describe(other)
        return Cause.SLOW, f"{later_s:.2f} s later than predicted"
    pause_s = float(end.fields.get("longest_pause_s") or 0.0)
    if pause_s > first_s or pause_s > float(end.fields.get("pause_s") or 1e9):
        other = _find_reading(day, story, engines[:1], begun_s, end.at_s)
        return Cause.PAUSED, _describe(other) if other else ""
    return Cause.NO_BETTER_PLACE, f"{expected_s:.2f} s were predicted"


def _find_reading(
    day: stories.Day,
    story: stories.Story,
    engines: list[str],
    after_s: float,
    before_s: float,
) -> stories.Placement | None:
    """Returns the longest other prompt that engines got between two moments."""
    found = [
        placement
        for engine in engines
        for placement in day.list_placements(engine, after_s, before_s)
        if placement.request != story.request
        and placement.tokens >= READING_TOKENS
    ]
    return max(found, key=lambda placement: placement.tokens, default=None)


def _describe(placement: stories.Placement) -> str:
    return (
        f"by {placement.request} of {placement.tokens} tokens "
        f"in {placement.parts} parts"
    )
