"""The scenario ``quarantine``: a poison request that crashes endpoints.

Entry instances run many innocent requests on a fleet. One caller sends a
request that crashes every endpoint that runs it and, after each failure,
sends it again at several instances at once. Endpoints also crash at random,
whatever they run.
"""

import asyncio
import collections
from collections.abc import Coroutine
import dataclasses
import random
from typing import Any

from returns import result

from rhubarblock.experiments import quantiles
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.quarantine import gate as quarantines
from rhubarblock.standins import memorypeers

POLICIES = ("quarantine", "none")
INSTANCES = 7
ENDPOINTS = 23
BATCH = 15

_SERVICE = "rhubarb-pool"
_MEAN_RUN_S = 3.0
_LONGEST_RUN_S = 30.0
_RESTART_S = 15.0
_OWN_DEATHS_S = 60.0
_POISON_S = 20.0
_END_S = 70.0
_POISON_STARTS = 200  # Bound on poison requests; each copy counts twice.
_COPIES = 3
_MAX_ATTEMPTS = 8
_WAIT_S = 60.0
_HOLD_S = 60.0
_POLL_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineResult:
    """Results of one run.

    Attributes:
      scenario: ``quarantine``.
      policy: one of ``POLICIES``.
      seed: seed of the run.
      poisons: number of poison requests.
      endpoints_lost_to_poison: most endpoints that one of them crashed.
      own_deaths: crashes of endpoints that no poison request caused.
      innocents: innocent requests that ended.
      innocents_quarantined: innocent digests in quarantine at the end.
      innocents_failed: innocent requests that did not finish.
      innocents_cut: attempts of innocent requests that a crash aborted.
      delay_s: seconds beyond its run time that an innocent request took after
        an aborted attempt.
      detected_s: seconds from the first poison request until each poison is
        quarantined at one instance at least; None if that did not happen.
      refused: poison requests that were refused before they ran.
    """

    scenario: str
    policy: str
    seed: int
    poisons: int
    endpoints_lost_to_poison: int
    own_deaths: int
    innocents: int
    innocents_quarantined: int
    innocents_failed: int
    innocents_cut: int
    delay_s: quantiles.Quantiles
    detected_s: float | None
    refused: int


class _CrashedError(Exception):
    """The endpoint crashed while it ran the request."""


class _GoneError(Exception):
    """The endpoint of a permit crashed before the request was sent."""


class _Endpoint:
    """An endpoint that runs requests concurrently.

    Attributes:
      endpoint_id: its name.
      alive: whether it is up.
      running: requests in flight, by digest.
    """

    def __init__(self, endpoint_id: str, timers: timers_lib.Timers):
        self.endpoint_id = endpoint_id
        self.alive = True
        self.running: collections.Counter[str] = collections.Counter()
        self._timers = timers
        self._died = asyncio.Event()

    @property
    def load(self) -> int:
        return self.running.total()

    def die(self) -> None:
        if not self.alive:
            return
        self.alive = False
        self._died.set()
        self._timers.call_later(_RESTART_S, self._restart)

    def _restart(self) -> None:
        self.alive = True
        self._died = asyncio.Event()

    async def run(self, digest: str, run_s: float) -> None:
        """Runs a request, or raises ``_CrashedError``."""
        self.running[digest] += 1
        try:
            async with asyncio.timeout(run_s):
                await self._died.wait()
            raise _CrashedError
        except TimeoutError:
            return
        finally:
            self.running[digest] -= 1


def measure(
    seed: int = 1,
    policy: str = "quarantine",
    poisons: int = 1,
    own_deaths_s: float = _OWN_DEATHS_S,
) -> QuarantineResult:
    """Runs the scenario on the fake clock.

    Args:
      seed: decides arrivals, lengths, deaths and choices.
      policy: one of ``POLICIES``.
      poisons: number of poison requests, all first sent at the same time.
      own_deaths_s: mean seconds between random crashes in the fleet.

    Returns:
      The measurements.
    """
    return virtualloop.run(_measure(seed, policy, poisons, own_deaths_s))


async def _measure(
    seed: int, policy: str, poisons: int, own_deaths_s: float
) -> QuarantineResult:
    return await _Run(seed, policy, poisons, own_deaths_s).measure()


class _Run:
    """One run of the scenario."""

    def __init__(
        self, seed: int, policy: str, poisons: int, own_deaths_s: float
    ):
        self._own_deaths_s = own_deaths_s
        self._seed = seed
        self._policy = policy
        self._rng = random.Random(seed)
        self._timers = timers_lib.LoopTimers(1e9)
        self._network = memorypeers.MemoryPeerNetwork(self._rng)
        self._endpoints = [
            _Endpoint(f"{_SERVICE}-{number}", self._timers)
            for number in range(ENDPOINTS)
        ]
        self._peers = [
            quarantines.Peer(f"entry-{number}", f"10.0.0.{number}:7000")
            for number in range(INSTANCES)
        ]
        self._quarantines = [self._create(peer) for peer in self._peers]
        self._poisons = [f"{n:032x}" for n in range(1, poisons + 1)]
        self._starts = dict.fromkeys(self._poisons, 0)
        self._killed: dict[str, set[str]] = collections.defaultdict(set)
        self._kills = collections.Counter[str]()
        self._tasks: set[asyncio.Task[None]] = set()
        self._own_deaths = 0
        self._innocents = 0
        self._failed = 0
        self._cut = 0
        self._refused = 0
        self._delays: list[float] = []
        self._detected_s: float | None = None

    async def measure(self) -> QuarantineResult:
        arrivals = asyncio.ensure_future(self._send_innocents())
        deaths = asyncio.ensure_future(self._crash_endpoints())
        await self._timers.sleep(_POISON_S)
        for poison in self._poisons:
            self._start(self._send_poison(poison, 0))
        await self._timers.sleep(_END_S - _POISON_S)
        arrivals.cancel()
        deaths.cancel()
        while self._tasks:
            await asyncio.wait(self._tasks)
        return self._build_result()

    def _create(self, peer: quarantines.Peer) -> quarantines.Quarantine:
        return quarantines.Quarantine(
            self._timers,
            None,
            peer.instance_id,
            self._network.join(peer.address, peer.instance_id),
            lambda: [other for other in self._peers if other is not peer],
            lambda duty: self._peers[0],
            self._rng,
        )

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Load and faults.

    async def _send_innocents(self) -> None:
        rate = ENDPOINTS * BATCH / _MEAN_RUN_S
        number = 0
        while True:
            await self._timers.sleep(self._rng.expovariate(rate))
            number += 1
            digest = f"{number + 2**64:032x}"
            self._start(self._send_innocent(digest))

    async def _send_innocent(self, digest: str) -> None:
        run_s = min(self._rng.expovariate(1 / _MEAN_RUN_S), _LONGEST_RUN_S)
        begun_s = self._timers.read_monotonic()
        attempts = await self._serve(self._pick_number(), digest, run_s)
        self._innocents += 1
        if not attempts:
            self._failed += 1
        elif attempts > 1:
            taken_s = self._timers.read_monotonic() - begun_s
            self._delays.append(taken_s - run_s)

    async def _crash_endpoints(self) -> None:
        """Crashes random endpoints at random times."""
        while True:
            await self._timers.sleep(
                self._rng.expovariate(1 / self._own_deaths_s)
            )
            self._rng.choice(self._endpoints).die()
            self._own_deaths += 1

    async def _send_poison(self, digest: str, number: int) -> None:
        """Sends a poison request, then copies of it at other instances."""
        self._starts[digest] += 1
        await self._serve(number, digest, _LONGEST_RUN_S)
        for _ in range(_COPIES):
            if self._starts[digest] < _POISON_STARTS:
                self._start(self._send_poison(digest, self._pick_number()))
                self._starts[digest] += 1

    def _pick_number(self) -> int:
        return self._rng.randrange(INSTANCES)

    # A minimal relay: permits, attempts and retries.

    async def _serve(self, number: int, digest: str, run_s: float) -> int:
        """Runs a request; returns the attempts it took, 0 if it failed."""
        quarantine = self._quarantines[number]
        left_s = run_s
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            acquired = await self._acquire(quarantine, digest)
            if not isinstance(acquired, result.Success):
                self._record_refusal(digest)
                return 0
            permit = acquired.unwrap()
            begun_s = self._timers.read_monotonic()
            try:
                await self._run_once(number, digest, permit, left_s)
                quarantine.record_finished(digest)
                return attempt
            except _GoneError:
                continue
            except _CrashedError:
                # The next attempt resumes the stream and runs the rest.
                left_s -= self._timers.read_monotonic() - begun_s
            finally:
                if permit is not None:
                    await quarantine.release(permit)
        return 0

    async def _acquire(
        self, quarantine: quarantines.Quarantine, digest: str
    ) -> result.Result[quarantines.Permit | None, object]:
        if self._policy == "none":
            return result.Success(None)
        return await quarantine.acquire(
            digest, _SERVICE, self._list_ready, _WAIT_S, _HOLD_S
        )

    def _list_ready(self) -> list[str]:
        return [e.endpoint_id for e in self._endpoints if e.alive]

    async def _run_once(
        self,
        number: int,
        digest: str,
        permit: quarantines.Permit | None,
        run_s: float,
    ) -> None:
        quarantine = self._quarantines[number]
        endpoint = await self._choose_endpoint(quarantine, permit)
        if permit is not None:
            quarantine.note_started(permit)
        if digest in self._starts:
            self._timers.call_later(
                self._rng.uniform(0.01, 0.5),
                lambda: self._kill(endpoint, digest),
            )
        try:
            with quarantine.track([endpoint.endpoint_id], digest):
                await endpoint.run(digest, run_s)
        except _CrashedError:
            if digest not in self._starts:
                self._cut += 1
            if self._policy != "none":
                await quarantine.record_crash(endpoint.endpoint_id)
                self._record_detection()
            raise

    async def _choose_endpoint(
        self,
        quarantine: quarantines.Quarantine,
        permit: quarantines.Permit | None,
    ) -> _Endpoint:
        usable: list[_Endpoint] = []
        while not usable:
            usable = self._list_usable(quarantine, permit)
            if not usable:
                await self._timers.sleep(_POLL_S)
        # Instances choose concurrently, which is modelled by taking the less
        # loaded of two random endpoints.
        pair = self._rng.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda e: e.load)

    def _list_usable(
        self,
        quarantine: quarantines.Quarantine,
        permit: quarantines.Permit | None,
    ) -> list[_Endpoint]:
        ready = [e for e in self._endpoints if e.alive]
        if permit is not None:
            chosen = [e for e in ready if e.endpoint_id == permit.endpoint_id]
            if not chosen:
                raise _GoneError
            return chosen
        reserved = quarantine.list_reserved(_SERVICE, self._list_ready())
        return [e for e in ready if e.endpoint_id not in reserved]

    def _kill(self, endpoint: _Endpoint, digest: str) -> None:
        """Crashes an endpoint that still runs a poison request."""
        if endpoint.alive and endpoint.running[digest]:
            self._kills[digest] += 1
            endpoint.die()

    def _record_refusal(self, digest: str) -> None:
        if digest in self._starts:
            self._refused += 1

    def _record_detection(self) -> None:
        if self._detected_s is None and all(
            any(self._decide(quarantine, p) for quarantine in self._quarantines)
            for p in self._poisons
        ):
            now_s = self._timers.read_monotonic()
            self._detected_s = now_s - _POISON_S

    def _decide(self, quarantine: quarantines.Quarantine, digest: str) -> bool:
        return quarantine.decide(digest) is quarantines.Decision.REFUSE

    def _build_result(self) -> QuarantineResult:
        quarantined = {
            entry.digest
            for quarantine in self._quarantines
            for entry in quarantine.list_quarantined()
        }
        detected_s = self._detected_s
        return QuarantineResult(
            scenario="quarantine",
            policy=self._policy,
            seed=self._seed,
            poisons=len(self._poisons),
            endpoints_lost_to_poison=max(self._kills.values(), default=0),
            own_deaths=self._own_deaths,
            innocents=self._innocents,
            innocents_quarantined=len(quarantined - set(self._poisons)),
            innocents_failed=self._failed,
            innocents_cut=self._cut,
            delay_s=quantiles.summarise(self._delays, 2),
            detected_s=None if detected_s is None else round(detected_s, 3),
            refused=self._refused,
        )
