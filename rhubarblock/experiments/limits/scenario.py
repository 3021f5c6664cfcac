"""The scenario ``limits``: enforcement of limits across all instances.

One workspace offers ten times its limit, first evenly at all instances, then
at a single one. Later a data centre is partitioned from the others and
reconnected, and the coordinator of the workspace crashes. All other
workspaces offer ``load`` times their limits. Long prompts arrive at random
instances.
"""

import dataclasses
import functools
import math
import random

from returns import result

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import request as requests
from rhubarblock.experiments.limits import fleet as limitsfleet
from rhubarblock.experiments.limits import meter as limitsmeter
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.kernel import virtualloop
from rhubarblock.routing import limits as limiters
from rhubarblock.routing import limitshare

POLICIES = ("lending", "static", "alone")
INSTANCES = 7

_INSTITUTION = "adwoa"
_GREEDY = "adwoa/greedy"
_WORKSPACES = 10
_INSTITUTION_LIMITS = catalogues.Limits(600.0, 2_400_000.0, 6)
_WORKSPACE_LIMITS = catalogues.Limits(60.0, 200_000.0, 0)
_GREEDY_LOAD = 10.0
_MEDIAN_TOKENS = 3_000
_SIGMA = 0.6
_MEAN_TOKENS = _MEDIAN_TOKENS * math.exp(_SIGMA**2 / 2)
_LONG_TOKENS = 150_000
_LONG_S = 15.0
_LONG_PER_S = 0.5
_LONG_RETRIES = 3
_SAMPLE_S = 0.1
# Share of the limit at which lending to the busy instance counts as complete.
# The other instances keep some for their next requests; the rest is rounding.
_LENT_SHARE = 0.85
_NEVER_S = math.inf

# Times of the events, in seconds from the start.
_EVEN_S = 5.0
_MOVE_S = 30.0
_EVEN_AGAIN_S = 50.0
_CUT_S = 60.0
_HEAL_S = 95.0
_MOVE_AGAIN_S = 110.0
_DEATH_S = 125.0
_END_S = 150.0


@dataclasses.dataclass(slots=True, frozen=True)
class LimitsResult:
    """Results of one run; parts are fractions of the limit.

    Attributes:
      scenario: ``limits``.
      policy: one of ``POLICIES``.
      seed: seed of the run.
      load: offered load of the other workspaces, relative to their limits.
      instances: number of instances.
      admitted: requests admitted.
      refused: requests refused.
      over_use_max: largest excess over any limit in 10 s, by paid tokens.
      over_admission_max: the same with all tokens of a request counted at its
        admission.
      share_sum_max: largest sum of the shares of all instances.
      long_max: most long prompts in flight at one time.
      long_limit: limit on long prompts in flight.
      lent_s: seconds until the single busy instance has borrowed what the
        others leave.
      relent_s: the same after a crash of the coordinator, from the crash on.
      use_even: part of the limit in use with load at all instances.
      use_moved: part in use with all load at one instance.
      use_cut: part in use by both sides during the partition.
      use_death: part in use in the ten seconds after the coordinator crashed.
      messages_per_s: messages sent and received by an instance a second.
      bytes_per_s: bytes sent and received by an instance a second.
    """

    scenario: str
    policy: str
    seed: int
    load: float
    instances: int
    admitted: int
    refused: int
    over_use_max: float
    over_admission_max: float
    share_sum_max: float
    long_max: int
    long_limit: int
    lent_s: float | None
    relent_s: float | None
    use_even: float
    use_moved: float
    use_cut: float
    use_death: float
    messages_per_s: float
    bytes_per_s: float


def measure(
    seed: int = 1,
    load: float = 0.7,
    policy: str = "lending",
    instances: int = INSTANCES,
) -> LimitsResult:
    """Runs the scenario on the fake clock.

    Args:
      seed: seed of arrivals, lengths and delays.
      load: offered load of the other workspaces, relative to their limits.
      policy: one of ``POLICIES``.
      instances: number of entry instances.

    Returns:
      The measurements.
    """
    return virtualloop.run(_Run(seed, load, policy, instances).measure())


def build_catalogue() -> catalogues.Catalogue:
    """Returns a catalogue of one institution and its workspaces."""
    names = [_GREEDY]
    names += [f"adwoa/desk-{number}" for number in range(1, _WORKSPACES)]
    return catalogues.Catalogue(
        revision=1,
        institutions={
            _INSTITUTION: catalogues.Institution(
                _INSTITUTION, "operations", _INSTITUTION_LIMITS
            )
        },
        workspaces={
            name: catalogues.Workspace(
                name,
                "operations",
                _INSTITUTION,
                requests.RequestClass.STANDARD,
                _WORKSPACE_LIMITS,
            )
            for name in names
        },
    )


class _Run:
    """One run of the scenario."""

    def __init__(self, seed: int, load: float, policy: str, instances: int):
        self._seed = seed
        self._load = load
        self._policy = policy
        self._rng = random.Random(seed)
        self._timers = timers_lib.LoopTimers(0.0)
        self._catalogue = build_catalogue()
        self._limits = limiters.list_limited_entries(self._catalogue)
        self._fleet = limitsfleet.LimitsFleet(
            self._timers, self._catalogue, self._rng, instances, policy
        )
        self._meters = {
            key: limitsmeter.UseMeter(limits.tokens_per_s)
            for key, limits in self._limits.items()
        }
        self._request_meters = {
            key: limitsmeter.UseMeter(limits.requests_per_s)
            for key, limits in self._limits.items()
        }
        # Unpaid tokens and requests of crashed instances; they stay unpaid.
        self._unpaid_tokens_of_dead = dict.fromkeys(self._limits, 0.0)
        self._unpaid_requests_of_dead = dict.fromkeys(self._limits, 0.0)
        self._busy_node: limitsfleet.Node | None = None
        self._admitted = 0
        self._refused = 0
        self._share_sum_max = 0.0
        self._long_now = 0
        self._long_max = 0
        self._lent_s = _NEVER_S
        self._relent_s = _NEVER_S

    async def measure(self) -> LimitsResult:
        async with self._fleet.run():
            await self._timers.sleep(_EVEN_S)
            for step_s, step in (
                (_MOVE_S, self._move_load),
                (_EVEN_AGAIN_S, self._spread_load),
                (_CUT_S, self._cut_data_centre),
                (_HEAL_S, self._heal),
                (_MOVE_AGAIN_S, self._move_load),
                (_DEATH_S, self._kill_coordinator),
                (_END_S, self._spread_load),
            ):
                await self._run_until(step_s)
                await step()
        return self._build_result()

    async def _move_load(self) -> None:
        """Sends the greedy workspace's entire load to one instance."""
        self._busy_node = self._fleet.live_nodes[1]

    async def _spread_load(self) -> None:
        self._busy_node = None

    async def _cut_data_centre(self) -> None:
        self._fleet.cut(limitsfleet.DATA_CENTRES[0])

    async def _heal(self) -> None:
        self._fleet.heal()

    async def _kill_coordinator(self) -> None:
        if self._policy != "lending":
            return
        node = self._fleet.find_coordinator(_GREEDY)
        if node is self._busy_node:
            self._busy_node = self._fleet.live_nodes[2]
        # Its requests end with it, so their unpaid tokens are never paid.
        for key in self._unpaid_tokens_of_dead:
            self._unpaid_tokens_of_dead[key] += node.limiter.read_unpaid_tokens(
                key
            )
            self._unpaid_requests_of_dead[key] += (
                node.limiter.read_unpaid_requests(key)
            )
        await self._fleet.kill(node)

    async def _run_until(self, end_s: float) -> None:
        while self._timers.read_monotonic() < end_s:
            self._send_requests()
            await self._timers.sleep(_SAMPLE_S)
            self._sample()

    def _send_requests(self) -> None:
        for key in self._limits:
            if key == _INSTITUTION:
                continue
            load = _GREEDY_LOAD if key == _GREEDY else self._load
            rate = load * _WORKSPACE_LIMITS.tokens_per_s / _MEAN_TOKENS
            for _ in range(self._draw_poisson(rate * _SAMPLE_S)):
                self._timers.call_later(
                    self._rng.random() * _SAMPLE_S,
                    functools.partial(self._send, key),
                )
        if self._rng.random() < _LONG_PER_S * _SAMPLE_S:
            self._send_long(_LONG_RETRIES)

    def _draw_poisson(self, mean: float) -> int:
        """Draws from a Poisson distribution."""
        number = 0
        elapsed = self._rng.expovariate(1.0)
        while elapsed < mean:
            number += 1
            elapsed += self._rng.expovariate(1.0)
        return number

    def _choose_node(self, key: str) -> limitsfleet.Node:
        if key == _GREEDY and self._busy_node is not None:
            return self._busy_node
        return self._rng.choice(self._fleet.live_nodes)

    def _send(self, key: str) -> None:
        tokens = int(self._rng.lognormvariate(math.log(_MEDIAN_TOKENS), _SIGMA))
        self._admit(self._choose_node(key), key, tokens, False)

    def _send_long(self, retries: int) -> None:
        """Sends a long prompt and retries it if it is refused."""
        node = self._rng.choice(self._fleet.live_nodes)
        ticket = self._admit(node, "adwoa/desk-1", _LONG_TOKENS, True)
        if ticket is None:
            if retries:
                self._timers.call_later(
                    limiters.LENDING_RETRY_S,
                    lambda: self._send_long(retries - 1),
                )
            return
        self._long_now += 1
        self._long_max = max(self._long_max, self._long_now)
        self._timers.call_later(_LONG_S, lambda: self._end_long(ticket))

    def _end_long(self, ticket: limiters.Ticket) -> None:
        self._long_now -= 1
        ticket.close()

    def _admit(
        self, node: limitsfleet.Node, key: str, tokens: int, long: bool
    ) -> limiters.Ticket | None:
        answer = node.limiter.admit(
            _INSTITUTION,
            key,
            requests.RequestClass.STANDARD,
            tokens,
            long,
        )
        if not isinstance(answer, result.Success):
            self._refused += 1
            return None
        self._admitted += 1
        for name in (_INSTITUTION, key):
            self._meters[name].admitted += tokens
            self._request_meters[name].admitted += 1
        ticket = answer.unwrap()
        if not long:
            ticket.close()
        return ticket

    def _sample(self) -> None:
        now_s = self._timers.read_monotonic()
        nodes = self._fleet.live_nodes
        for key in self._limits:
            tokens = self._unpaid_tokens_of_dead[key]
            number = self._unpaid_requests_of_dead[key]
            for node in nodes:
                tokens += node.limiter.read_unpaid_tokens(key)
                number += node.limiter.read_unpaid_requests(key)
            self._meters[key].sample(now_s, tokens)
            self._request_meters[key].sample(now_s, number)
        self._sample_shares(now_s)

    def _sample_shares(self, now_s: float) -> None:
        if self._policy != "lending":
            return
        for key in self._limits:
            total = sum(
                self._read_units(node, key, now_s)
                for node in self._fleet.live_nodes
            )
            part = total / limitshare.SHARE_UNITS
            self._share_sum_max = max(self._share_sum_max, part)
        if self._busy_node is None:
            return
        units = self._read_units(self._busy_node, _GREEDY, now_s)
        # The share of a crashed instance is freed only after the run.
        part = len(self._fleet.live_nodes) / len(self._fleet.nodes)
        if units < _LENT_SHARE * part * limitshare.SHARE_UNITS:
            return
        if now_s < _EVEN_AGAIN_S:
            self._lent_s = min(self._lent_s, now_s - _MOVE_S)
        if now_s > _DEATH_S + limitsfleet.CRASH_DETECTION_S:
            self._relent_s = min(self._relent_s, now_s - _DEATH_S)

    def _read_units(
        self, node: limitsfleet.Node, key: str, now_s: float
    ) -> int:
        assert node.lender is not None
        return node.lender.read_share(key, self._limits[key], now_s).units

    def _build_result(self) -> LimitsResult:
        meters = [*self._meters.values(), *self._request_meters.values()]
        greedy = self._meters[_GREEDY]
        messages, size = self._sum_traffic()
        return LimitsResult(
            scenario="limits",
            policy=self._policy,
            seed=self._seed,
            load=self._load,
            instances=len(self._fleet.nodes),
            admitted=self._admitted,
            refused=self._refused,
            over_use_max=round(max(m.compute_over_use() for m in meters), 4),
            over_admission_max=round(
                max(m.compute_over_admission() for m in meters), 4
            ),
            share_sum_max=round(self._share_sum_max, 6),
            long_max=self._long_max,
            long_limit=_INSTITUTION_LIMITS.concurrent_long,
            lent_s=_round_time(self._lent_s),
            relent_s=_round_time(self._relent_s),
            use_even=round(greedy.compute_use(_EVEN_S + 5, _MOVE_S), 3),
            use_moved=round(greedy.compute_use(_MOVE_S + 5, _EVEN_AGAIN_S), 3),
            use_cut=round(greedy.compute_use(_CUT_S + 10, _HEAL_S), 3),
            use_death=round(greedy.compute_use(_DEATH_S, _DEATH_S + 10), 3),
            messages_per_s=round(messages, 2),
            bytes_per_s=round(size, 1),
        )

    def _sum_traffic(self) -> tuple[float, float]:
        """Returns the mean messages and bytes of an instance a second."""
        if self._policy != "lending":
            return 0.0, 0.0
        traffics = [
            self._fleet.network.traffic(node.member.address)
            for node in self._fleet.live_nodes
        ]
        seconds = _END_S * len(traffics)
        messages = sum(t.messages_sent + t.messages_received for t in traffics)
        size = sum(t.bytes_sent + t.bytes_received for t in traffics)
        return messages / seconds, size / seconds


def _round_time(seconds: float) -> float | None:
    return None if math.isinf(seconds) else round(seconds, 2)
