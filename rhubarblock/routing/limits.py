"""Admits requests within the limits of their institution and workspace.

The limits hold for all instances together; this instance works with the share
that ``routing.lending`` obtains for it. docs/design/limits.md explains how
excess use is counted.
"""

from collections.abc import Callable
import dataclasses
import math

from returns import result

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.routing import limitentry
from rhubarblock.routing import limitshare

# Seconds after which a caller should retry if the wait depends on other
# instances: two lending rounds.
LENDING_RETRY_S = 2.0
# Waits below this, in seconds, are rounding errors.
_NO_WAIT_S = 1e-6

CatalogueProvider = Callable[[], catalogues.Catalogue]


@dataclasses.dataclass(slots=True)
class LimitCounters:
    """Counters of the limiter since its start.

    Attributes:
      admitted: requests admitted.
      delayed: admitted requests that are held back for a while.
      refused: requests refused, by the key of the entry that refused.
    """

    admitted: int = 0
    delayed: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)


class Ticket:
    """The right of one request to run; closed when the request ends.

    Attributes:
      delay_s: seconds for which the request must be held back.
    """

    __slots__ = ("_closed", "_entries", "_long", "delay_s")

    def __init__(
        self,
        entries: list[limitentry.EntryLimiter],
        long: bool,
        delay_s: float,
    ):
        self._entries = entries
        self._long = long
        self._closed = False
        self.delay_s = delay_s

    def close(self, unused_tokens: int = 0) -> None:
        """Frees the slot of a long prompt; further calls have no effect.

        Args:
          unused_tokens: tokens that were charged but never computed, such as
            output that the model did not generate.
        """
        if self._closed:
            return
        self._closed = True
        for entry in self._entries:
            entry.release(unused_tokens, self._long)


class Limiter(limitshare.ShareUser):
    """Checks every request of one instance against all its limits."""

    __slots__ = ("_catalogue", "_entries", "_shares", "_timers", "counters")

    def __init__(
        self,
        timers: timers_lib.Timers,
        catalogue_provider: CatalogueProvider,
        shares: limitshare.Shares,
    ):
        """Creates the limiter and attaches it to its shares.

        Args:
          timers: the timer service.
          catalogue_provider: returns the catalogue in force.
          shares: this instance's part of each limit.
        """
        self._timers = timers
        self._catalogue = catalogue_provider
        self._shares = shares
        self._entries: dict[str, limitentry.EntryLimiter] = {}
        self.counters = LimitCounters()
        shares.attach(self)

    def admit(
        self,
        institution: str,
        workspace: str,
        request_class: requests.RequestClass,
        tokens: int,
        long: bool,
        max_delay_s: float = 0.0,
    ) -> result.Result[Ticket, failures.Failure]:
        """Admits a request within all limits, or charges none of them.

        Args:
          institution: name of the institution.
          workspace: name of the workspace, ``institution/name``.
          request_class: urgency class, named in a refusal.
          tokens: prompt tokens plus the largest number of output tokens.
          long: whether the prompt is over the long threshold.
          max_delay_s: longest time for which the request may be held back
            before it runs; the ticket contains the actual delay.

        Returns:
          A ticket, or LIMIT_EXCEEDED with the seconds after which the limit
          that refused can admit a request if no other one is admitted first.
        """
        now_s = self._timers.read_monotonic()
        catalogue = self._catalogue()
        institution_entry = catalogue.institutions.get(institution)
        workspace_entry = catalogue.workspaces.get(workspace)
        if institution_entry is None or workspace_entry is None:
            return result.Failure(_refuse_unknown(workspace))
        entries = self._find_entries(
            (institution, institution_entry.limits),
            (workspace, workspace_entry.limits),
            now_s,
        )
        wait_s = 0.0
        for entry in entries:
            entry_wait_s = entry.find_wait(now_s, long)
            if entry_wait_s > wait_s:
                wait_s = entry_wait_s
        if wait_s > _NO_WAIT_S and wait_s > max_delay_s:
            return result.Failure(
                self._refuse(entries, request_class, tokens, long, max_delay_s)
            )
        for entry in entries:
            entry.charge(tokens, long, now_s)
        self.counters.admitted += 1
        if wait_s > _NO_WAIT_S:
            self.counters.delayed += 1
            return result.Success(Ticket(entries, long, wait_s))
        return result.Success(Ticket(entries, long, 0.0))

    def refresh_share(self, key: str) -> None:
        entry = self._entries.get(key)
        if entry is not None:
            entry.refresh_share(self._timers.read_monotonic())

    def collect_demands(self) -> dict[str, limitshare.Demand]:
        now_s = self._timers.read_monotonic()
        catalogue = self._catalogue()
        listed = list_limited_entries(catalogue)
        for key in [key for key in self._entries if key not in listed]:
            del self._entries[key]
        return {
            key: self._find_entry(key, limits, now_s).measure_demand(now_s)
            for key, limits in listed.items()
        }

    def read_unpaid_tokens(self, key: str) -> float:
        """Returns the tokens that an entry has admitted and not paid yet."""
        entry = self._entries.get(key)
        if entry is None:
            return 0.0
        entry.settle(self._timers.read_monotonic())
        return entry.unpaid_tokens

    def read_unpaid_requests(self, key: str) -> float:
        """Returns the requests that an entry has admitted and not paid yet."""
        entry = self._entries.get(key)
        if entry is None:
            return 0.0
        entry.settle(self._timers.read_monotonic())
        return entry.unpaid_requests

    def read_long_held(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.long_held if entry else 0

    def _find_entries(
        self,
        institution: tuple[str, catalogues.Limits],
        workspace: tuple[str, catalogues.Limits],
        now_s: float,
    ) -> list[limitentry.EntryLimiter]:
        return [
            self._find_entry(key, limits, now_s)
            for key, limits in (institution, workspace)
            if is_limited(limits)
        ]

    def _find_entry(
        self, key: str, limits: catalogues.Limits, now_s: float
    ) -> limitentry.EntryLimiter:
        entry = self._entries.get(key)
        if entry is None:
            entry = limitentry.EntryLimiter(key, limits, self._shares, now_s)
            self._entries[key] = entry
        elif entry.limits is not limits:
            entry.change_limits(limits, now_s)
        return entry

    def _refuse(
        self,
        entries: list[limitentry.EntryLimiter],
        request_class: requests.RequestClass,
        tokens: int,
        long: bool,
        max_delay_s: float,
    ) -> failures.Failure:
        """Counts a refusal, only at the entries that caused it."""
        now_s = self._timers.read_monotonic()
        worst = entries[0]
        worst_s = 0.0
        for entry in entries:
            wait_s = entry.find_wait(now_s, long)
            if wait_s > max(max_delay_s, _NO_WAIT_S):
                entry.count_refused(tokens, long, now_s)
                self._shares.ask_for_more(entry.key)
            if wait_s > worst_s:
                worst, worst_s = entry, wait_s
        refused = self.counters.refused
        refused[worst.key] = refused.get(worst.key, 0) + 1
        retry_after_s = LENDING_RETRY_S if math.isinf(worst_s) else worst_s
        return failures.Failure(
            failures.FailureCode.LIMIT_EXCEEDED,
            f"{worst.key} is at its limit ({request_class.value})",
            verdicts.Verdict.NOT_RUN,
            retry_after_s,
        )


def is_limited(limits: catalogues.Limits) -> bool:
    """Says whether any limit is set."""
    return bool(
        limits.requests_per_s or limits.tokens_per_s or limits.concurrent_long
    )


def list_limited_entries(
    catalogue: catalogues.Catalogue,
) -> dict[str, catalogues.Limits]:
    """Returns the limits of each entry that has any, by its name."""
    everything = {
        **{i.name: i.limits for i in catalogue.institutions.values()},
        **{w.name: w.limits for w in catalogue.workspaces.values()},
    }
    return {
        key: limits for key, limits in everything.items() if is_limited(limits)
    }


def _refuse_unknown(workspace: str) -> failures.Failure:
    return failures.Failure(
        failures.FailureCode.UNKNOWN_WORKSPACE,
        f"no workspace {workspace} in the catalogue",
    )
