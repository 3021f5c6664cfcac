"""What part of each limit one instance may use, and who provides it.

A limit holds for all instances together, so each works with a share of it.
Shares are integers, so that their sum is exact.
"""

import abc
import dataclasses
import math

from rhubarblock.core import catalogue as catalogues

# Share units that make up the whole rate limit, of requests and of tokens.
SHARE_UNITS = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """A part of the limits of one entry.

    Attributes:
      units: part of each rate, in ``SHARE_UNITS``.
      long_slots: long prompts that may run concurrently.
      until_s: monotonic time at which it expires.
    """

    units: int
    long_slots: int
    until_s: float = math.inf


NO_SHARE = Share(units=0, long_slots=0)


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """What one instance could use of the limits of one entry.

    Attributes:
      units: part of the rates, in ``SHARE_UNITS``.
      long_slots: long prompts that are running or were refused recently.
      long_held: long prompts that are running.
    """

    units: int = 0
    long_slots: int = 0
    long_held: int = 0


NO_DEMAND = Demand()


class ShareUser(abc.ABC):
    """Admits requests within shares."""

    @abc.abstractmethod
    def refresh_share(self, key: str) -> None:
        """Called when the share of an entry has changed."""

    @abc.abstractmethod
    def collect_demands(self) -> dict[str, Demand]:
        """Returns the demand of each entry that has limits, by key."""

    @abc.abstractmethod
    def read_long_held(self, key: str) -> int:
        """Returns the long prompts of an entry that run at this instance."""


class Shares(abc.ABC):
    """Provides the shares of one instance."""

    @abc.abstractmethod
    def attach(self, user: ShareUser) -> None:
        """Connects the user of the shares; called once."""

    @abc.abstractmethod
    def read_share(
        self, key: str, limits: catalogues.Limits, at_s: float
    ) -> Share:
        """Returns the share of an entry that applies at a given time.

        Args:
          key: name of an institution or of a workspace.
          limits: the limits of the entry.
          at_s: monotonic time; may be the past time at which a share expired,
            to get the one that followed.

        Returns:
          The share; it expires after ``at_s``.
        """

    @abc.abstractmethod
    def ask_for_more(self, key: str) -> None:
        """Called when the share of an entry was too small for a request."""


class FixedShares(Shares):
    """A constant part of every limit, for one of several equal instances."""

    __slots__ = ("_number", "_total")

    def __init__(self, total: int = 1, number: int = 0):
        """Creates the shares of one instance.

        Args:
          total: number of instances.
          number: index of this instance, from 0.
        """
        self._total = total
        self._number = number

    def attach(self, user: ShareUser) -> None:
        del user  # Fixed shares never change.

    def read_share(
        self, key: str, limits: catalogues.Limits, at_s: float
    ) -> Share:
        del key, at_s
        return divide_evenly(limits, self._total, self._number)

    def ask_for_more(self, key: str) -> None:
        del key


def divide_evenly(limits: catalogues.Limits, total: int, number: int) -> Share:
    """Returns one of equal parts; the sum of all parts is the limit.

    Args:
      limits: limits of the entry.
      total: number of parts.
      number: index of the part, from 0.
    """
    return Share(
        units=_divide_whole(SHARE_UNITS, total, number),
        long_slots=_divide_whole(limits.concurrent_long, total, number),
    )


def _divide_whole(amount: int, total: int, number: int) -> int:
    quotient, remainder = divmod(amount, total)
    return quotient + (1 if number < remainder else 0)
