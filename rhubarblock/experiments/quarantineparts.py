"""The scenario ``quarantine --cause part``: a prompt part crashes endpoints.

Entry instances run sound requests on a fleet. All through the second half,
requests with one part, no two alike, come at any instance; each endpoint
crashes soon after it has begun to answer one. Sound ones share their first
part, and some have topics that no endpoint has answered yet. Endpoints also
crash at random.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import dataclasses
import functools
import random
from typing import Any

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import listed
from rhubarblock.core import route as routes
from rhubarblock.exchange import crashes
from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.quarantine import partregistry

INSTANCES = 7
ENDPOINTS = 23
# Crashes after which no more poisoned requests may be sent, and the seconds
# until that holds everywhere.
KNOWN_CRASHES = 5
NOTICE_S = 3.0

_POISONED = "bad"
_FIRST_PARTS = 4
_TOPICS = 400
_SOUND_PER_S = 60.0
_READ_S = (0.02, 0.3)
_WRITE_S = (0.3, 2.5)
_CRASH_S = (0.01, 0.5)
_RESTART_S = 3.0
_DETECTION_S = 0.03
_PEER_DELAY_S = (0.0005, 0.006)
_REPORT_DELAY_S = 0.05
_CALLER_DELAY_S = 0.006
_OWN_DEATHS_S = 20.0
_POISON_S = 20.0
_END_S = 50.0
_ATTEMPTS = 2
_CALLER_TRIES = 2


@dataclasses.dataclass(slots=True, frozen=True)
class PartQuarantineResult:
    """Results of one run.

    Attributes:
      scenario: ``quarantine``.
      cause: ``part``.
      seed: seed of the run.
      poisoned_per_s: requests with the part in a second.
      endpoints_lost_to_poison: endpoints that crashed under the part.
      arrivals_after_fifth: requests with it that reached endpoints later than
        ``NOTICE_S`` after the fifth of these crashes.
      begun_ratio: share of the sound requests with the same first part that
        began at the first try, during the attack over before it.
      innocents_quarantined: other parts and requests in quarantine at the end.
      innocents_cut: attempts of sound requests that a crash aborted.
      refused: requests with the part that were refused before they ran.
    """

    scenario: str
    cause: str
    seed: int
    poisoned_per_s: float
    endpoints_lost_to_poison: int
    arrivals_after_fifth: int
    begun_ratio: float
    innocents_quarantined: int
    innocents_cut: int
    refused: int


class _CrashedError(Exception):
    """The endpoint crashed while it ran the request."""


class _AbandonedError(Exception):
    """The attempt was ended by the quarantine."""


class _Endpoint:
    """An endpoint that crashes under the part.

    Attributes:
      listed: its entry.
      running: callbacks that abort what it runs.
      is_alive: whether it is up.
    """

    def __init__(self, number: int, timers: timers_lib.Timers):
        self.listed = listed.ListedEndpoint(
            f"e{number}", f"10.1.0.{number}:80", "osu-hall", "pool", 8, False
        )
        self.running: list[asyncio.Future[None]] = []
        self.is_alive = True
        self._timers = timers

    def crash(self) -> None:
        self.is_alive = False
        for future in self.running:
            if not future.done():
                future.set_exception(_CrashedError())
        self._timers.call_later(_RESTART_S, self._restart)

    def _restart(self) -> None:
        self.is_alive = True


class _Peers(quarantines.QuarantinePeers):
    """Delivers announcements to the other instances after a short delay."""

    def __init__(self, run: "_Run", number: int):
        self._run = run
        self._number = number

    def announce_crash(
        self,
        endpoint_id: str,
        requests: Mapping[str, partregistry.Parts],
        served_ages: Mapping[str, float],
        ages: Mapping[str, float],
    ) -> None:
        def receive(number: int, other: quarantines.ExchangeQuarantine) -> None:
            served = other.receive_part_crash(
                endpoint_id, requests, served_ages
            )
            if served:
                self._run.peers[number].report(served)
            other.receive_request_crash(endpoint_id, ages)

        self._deliver(receive)

    def report(self, served: Mapping[str, float]) -> None:
        delay_s = self._run.rng.uniform(0.0, _REPORT_DELAY_S)
        self._run.timers.call_later(
            delay_s, lambda: self.announce_served(served)
        )

    def announce_served(self, ages: Mapping[str, float]) -> None:
        self._deliver(lambda number, other: other.receive_served(ages))

    def announce_records(self, records: quarantines.Records) -> None:
        self._deliver(lambda number, other: other.receive_records(records))

    def is_first(self, key: str) -> bool:
        return self._number == 0

    def _deliver(
        self,
        receive: Callable[[int, quarantines.ExchangeQuarantine], None],
    ) -> None:
        for number, other in enumerate(self._run.quarantines):
            if number != self._number:
                self._run.timers.call_later(
                    self._run.rng.uniform(*_PEER_DELAY_S),
                    functools.partial(receive, number, other),
                )


def measure(seed: int = 1, poisoned_per_s: float = 5.0) -> PartQuarantineResult:
    """Runs the scenario on the fake clock.

    Args:
      seed: decides arrivals, lengths, deaths and choices.
      poisoned_per_s: requests with the part in a second.
    """
    return virtualloop.run(_measure(seed, poisoned_per_s))


async def _measure(seed: int, poisoned_per_s: float) -> PartQuarantineResult:
    return await _Run(seed, poisoned_per_s).measure()


class _Run:
    """One run of the scenario."""

    def __init__(self, seed: int, poisoned_per_s: float):
        self.rng = random.Random(seed)
        self.timers = timers_lib.LoopTimers(1e9)
        self.peers: list[_Peers] = []
        self.quarantines: list[quarantines.ExchangeQuarantine] = []
        self._seed = seed
        self._poisoned_per_s = poisoned_per_s
        self._detectors = [self._start_instance(n) for n in range(INSTANCES)]
        self._endpoints = [_Endpoint(n, self.timers) for n in range(ENDPOINTS)]
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0
        self._is_attack = False
        self._poisoned: set[str] = set()
        self._crashes_s: list[float] = []
        self._arrivals_s: list[float] = []
        self._begun: dict[bool, list[bool]] = {False: [], True: []}
        self._cut = 0
        self._refused = 0

    def _start_instance(self, number: int) -> crashes.CrashDetector:
        peers = _Peers(self, number)
        quarantine = quarantines.ExchangeQuarantine(
            peers, self.timers, metric_store.Metrics()
        )
        self.peers.append(peers)
        self.quarantines.append(quarantine)
        return crashes.CrashDetector(quarantine, self.timers, self._probe)

    async def _probe(self, address: str) -> bool:
        await self.timers.sleep(_DETECTION_S)
        return any(
            endpoint.listed.address == address and not endpoint.is_alive
            for endpoint in self._endpoints
        )

    async def measure(self) -> PartQuarantineResult:
        load = [
            asyncio.ensure_future(self._send_sound()),
            asyncio.ensure_future(self._crash_at_random()),
        ]
        await self.timers.sleep(_POISON_S)
        self._is_attack = True
        load.append(asyncio.ensure_future(self._send_poisoned()))
        await self.timers.sleep(_END_S - _POISON_S)
        for task in load:
            task.cancel()
        while self._tasks:
            await asyncio.wait(self._tasks)
        return self._build_result()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_sound(self) -> None:
        while True:
            await self.timers.sleep(self.rng.expovariate(_SOUND_PER_S))
            first = f"first{self.rng.randrange(_FIRST_PARTS)}"
            # Topics are asked for unequally often.
            topic = int(_TOPICS * self.rng.random() ** 3)
            self._start(self._serve_caller((first, f"topic{topic}")))

    async def _send_poisoned(self) -> None:
        while True:
            await self.timers.sleep(self.rng.expovariate(self._poisoned_per_s))
            self._start(self._serve_caller(("first0", _POISONED)))

    async def _crash_at_random(self) -> None:
        while True:
            await self.timers.sleep(self.rng.expovariate(1 / _OWN_DEATHS_S))
            self.rng.choice(self._endpoints).crash()

    async def _serve_caller(self, parts: tuple[str, ...]) -> None:
        """Sends a request, and once more at another instance if it fails."""
        exchange = self._make_exchange(parts)
        if _POISONED in parts:
            self._poisoned.add(exchange.digest)
        is_attack = self._is_attack
        for number in range(_CALLER_TRIES):
            begun, served = await self._serve(exchange)
            if number == 0 and parts[0] == "first0" and _POISONED not in parts:
                self._begun[is_attack].append(begun)
            if served:
                return
            await self.timers.sleep(_CALLER_DELAY_S)

    def _make_exchange(self, parts: tuple[str, ...]) -> exchanges.Exchange:
        self._count += 1
        now_s = self.timers.read_monotonic()
        return exchanges.Exchange(
            request_id=f"q{self._count}",
            method="POST",
            target="/a",
            headers=(),
            body=b"",
            route=_ROUTE,
            service=_SERVICE,
            workspace="members",
            priority=0,
            arrived_s=now_s,
            deadline_s=now_s + 10.0,
            digest=f"{self._count:032x}",
            prompt_parts=parts,
        )

    async def _serve(self, exchange: exchanges.Exchange) -> tuple[bool, bool]:
        """Serves a request at an instance; returns whether it began and ended.

        It is sent to another endpoint if one crashes under it.
        """
        number = self.rng.randrange(INSTANCES)
        quarantine = self.quarantines[number]
        is_poisoned = _POISONED in exchange.prompt_parts
        begun = False
        for _ in range(_ATTEMPTS):
            try:
                quarantine.check(exchange)
            except failures.FailureError:
                self._refused += is_poisoned
                return begun, False
            try:
                await self._run_once(number, exchange)
            except _AbandonedError:
                return begun, False
            except _CrashedError:
                self._cut += not is_poisoned
                begun = True
            else:
                quarantine.note_served(exchange)
                return True, True
        return begun, False

    async def _run_once(
        self, number: int, exchange: exchanges.Exchange
    ) -> None:
        endpoint = await self._choose_endpoint()
        is_poisoned = _POISONED in exchange.prompt_parts
        if is_poisoned:
            self._arrivals_s.append(self.timers.read_monotonic())
        ended: asyncio.Future[None] = asyncio.Future()
        endpoint.running.append(ended)
        detector = self._detectors[number]
        with detector.note_running(exchange, endpoint.listed) as running:
            running.abandon = lambda: _fail(ended, _AbandonedError())
            try:
                await _wait(ended, self.rng.uniform(*_READ_S))
                running.begun_s = self.timers.read_monotonic()
                if is_poisoned:
                    await _wait(ended, self.rng.uniform(*_CRASH_S))
                    self._crash_under_poison(endpoint)
                await _wait(ended, self.rng.uniform(*_WRITE_S))
            except _CrashedError:
                await detector.find_crash(endpoint.listed, running)
                raise
            finally:
                endpoint.running.remove(ended)

    async def _choose_endpoint(self) -> _Endpoint:
        while True:
            alive = [e for e in self._endpoints if e.is_alive]
            if alive:
                pair = self.rng.sample(alive, min(2, len(alive)))
                return min(pair, key=lambda e: len(e.running))
            await self.timers.sleep(0.1)

    def _crash_under_poison(self, endpoint: _Endpoint) -> None:
        if endpoint.is_alive:
            self._crashes_s.append(self.timers.read_monotonic())
            endpoint.crash()

    def _build_result(self) -> PartQuarantineResult:
        late = 0
        if len(self._crashes_s) >= KNOWN_CRASHES:
            known_s = self._crashes_s[KNOWN_CRASHES - 1] + NOTICE_S
            late = sum(at_s > known_s for at_s in self._arrivals_s)
        innocents = set()
        for quarantine in self.quarantines:
            records = quarantine.list_records()
            innocents |= {r.digest for r in records.requests} - self._poisoned
            innocents |= {
                part
                for record in records.parts
                for part in record.parts
                if not part.endswith(_POISONED)
            }
        return PartQuarantineResult(
            scenario="quarantine",
            cause="part",
            seed=self._seed,
            poisoned_per_s=self._poisoned_per_s,
            endpoints_lost_to_poison=len(self._crashes_s),
            arrivals_after_fifth=late,
            begun_ratio=round(
                _compute_share(self._begun[True])
                / _compute_share(self._begun[False]),
                3,
            ),
            innocents_quarantined=len(innocents),
            innocents_cut=self._cut,
            refused=self._refused,
        )


_SERVICE = routes.ServiceSpec("pool", "/health", 100, None)
_ROUTE = routes.Route(
    name="r",
    host="adwoa.example",
    path_prefix="/",
    kind=routes.RouteKind.STREAMING,
    shares=(routes.ServiceShare("pool", 1.0),),
    max_attempts=_ATTEMPTS,
    timeout_s=10.0,
    objective_s=1.0,
    pause_s=1.0,
    priority=0,
    anonymous=False,
    resumable=True,
)


async def _wait(ended: "asyncio.Future[None]", length_s: float) -> None:
    """Waits, unless the attempt ends with an error before."""
    await asyncio.wait({ended}, timeout=length_s)
    if ended.done():
        ended.result()


def _fail(ended: "asyncio.Future[None]", error: Exception) -> None:
    if not ended.done():
        ended.set_exception(error)


def _compute_share(outcomes: list[bool]) -> float:
    return sum(outcomes) / max(1, len(outcomes))
