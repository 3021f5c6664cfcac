"""Strategies for choosing the instances to probe.

The choice determines how soon a death is detected and what detection costs:
docs/design/membership.md compares the two strategies.
"""

import abc
import random

from rhubarblock.fleet import rendezvous
from rhubarblock.fleet.membership import member as members

_RING_KEY = "membership/ring"


class ProbePlan(abc.ABC):
    """Strategy for choosing the instances to probe in one period."""

    @abc.abstractmethod
    def choose_subjects(
        self, own_id: str, candidates: list[members.Member]
    ) -> list[members.Member]:
        """Returns the instances to probe in this period.

        Args:
          own_id: id of the probing instance.
          candidates: live instances of its data centre, including itself.
        """


class RingPlan(ProbePlan):
    """Probes the successors on a ring that all instances compute alike.

    Each instance is probed by a fixed number of others in every period, which
    bounds the time until a death is detected.
    """

    __slots__ = ("_successors", "_randoms", "_rng")

    def __init__(self, successors: int, randoms: int, rng: random.Random):
        """Creates a plan.

        Args:
          successors: instances to probe along the ring.
          randoms: additional instances chosen at random, which spread updates
            across the ring.
          rng: chooses the random ones.
        """
        self._successors = successors
        self._randoms = randoms
        self._rng = rng

    def choose_subjects(
        self, own_id: str, candidates: list[members.Member]
    ) -> list[members.Member]:
        ring = sorted(candidates, key=_ring_position)
        ids = [member.instance_id for member in ring]
        if own_id not in ids:
            return []
        start = ids.index(own_id) + 1
        ahead = ring[start:] + ring[: start - 1]
        rest = ahead[self._successors :]
        drawn = self._rng.sample(rest, min(self._randoms, len(rest)))
        return ahead[: self._successors] + drawn


class RandomPlan(ProbePlan):
    """Probes all instances in an order shuffled for each round (SWIM)."""

    __slots__ = ("_per_period", "_queue", "_rng")

    def __init__(self, per_period: int, rng: random.Random):
        """Creates a plan.

        Args:
          per_period: instances to probe in each period.
          rng: shuffles the order.
        """
        self._per_period = per_period
        self._queue: list[str] = []
        self._rng = rng

    def choose_subjects(
        self, own_id: str, candidates: list[members.Member]
    ) -> list[members.Member]:
        others = {
            member.instance_id: member
            for member in candidates
            if member.instance_id != own_id
        }
        chosen: dict[str, members.Member] = {}
        for _ in range(2 * len(others)):
            if len(chosen) >= min(self._per_period, len(others)):
                break
            if not self._queue:
                self._queue = self._rng.sample(sorted(others), len(others))
            instance_id = self._queue.pop()
            if instance_id in others:
                chosen[instance_id] = others[instance_id]
        return list(chosen.values())


def _ring_position(member: members.Member) -> tuple[int, str]:
    score = rendezvous.compute_score(_RING_KEY, member.instance_id)
    return score, member.instance_id
