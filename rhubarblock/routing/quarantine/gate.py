"""Keeps requests that crash endpoints from crashing more of them.

Digests that were in flight when an endpoint died are suspect. A suspect runs
in one copy at a time, on an endpoint that takes no new work but suspects, one
after the other; so a second crash has one cause, and that digest goes into
quarantine for a bounded time. Crashes are told to all peers before anything
that they cut is tried again. The ways that were weighed are told in
docs/design/quarantine.md.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import random
from typing import Any

from google.protobuf import message as protobuf_message
from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import peertransport
from rhubarblock.fleet import rendezvous
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.routing.quarantine import desk as quarantinedesk
from rhubarblock.routing.quarantine import flight as quarantineflight
from rhubarblock.routing.quarantine import keeper as quarantinekeeper
from rhubarblock.routing.quarantine import quarantine_pb2
from rhubarblock.routing.quarantine import registry as quarantineregistry
from rhubarblock.routing.quarantine import wire as quarantinewire
from rhubarblock.store import store as stores

SHARE_KIND = "quarantine.share"
PERMIT_KIND = "quarantine.permit"

# One in so many endpoints is kept for suspects while there are any.
KEPT_ONE_IN = 6

_MS_PER_S = 1000

Decision = quarantineregistry.Decision


@dataclasses.dataclass(slots=True, frozen=True)
class Peer:
    """Another entry instance."""

    instance_id: str
    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineSettings:
    """Times in seconds, and numbers.

    Attributes:
      share_timeout_s: longest wait for peers to hear of a crash before what
        it cut is tried again.
      sync_s: time between two readings of the kept quarantines.
      poll_s: time between two questions for a permit.
      keep_s: time for which endpoints are kept after the last question.
      retry_after_s: when a caller is told to come back while a copy runs.
      trusted_successes: successes of a digest after which one crash does not
        make it suspect.
      start_s: time that a suspect may take to its first token before another
        one may begin beside it.
    """

    share_timeout_s: float = 0.2
    sync_s: float = 60.0
    poll_s: float = 0.1
    keep_s: float = 5.0
    retry_after_s: float = 1.0
    trusted_successes: int = 2
    start_s: float = 3.0


@dataclasses.dataclass(slots=True)
class QuarantineCounters:
    """What the quarantine counted since its start."""

    crashes: int = 0
    refused: int = 0
    isolated: int = 0
    shares: int = 0
    failed_shares: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Permit:
    """The right to run one copy of a suspect.

    Attributes:
      digest: the suspect.
      service: service of the endpoint.
      endpoint_id: where it has to run.
      desk: the instance that granted it.
    """

    digest: str
    service: str
    endpoint_id: str
    desk: Peer


class Quarantine:
    """The quarantine as one instance sees and serves it."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        store: stores.ObjectStore | None,
        instance_id: str,
        transport: peertransport.PeerTransport,
        list_peers: Callable[[], Iterable[Peer]],
        find_issuer: Callable[[str], Peer | None],
        rng: random.Random,
        settings: QuarantineSettings | None = None,
    ):
        """Creates it with an empty book.

        Args:
          timers: the timer service.
          store: where quarantines are kept, or None.
          instance_id: this instance.
          transport: calls to peers.
          list_peers: returns the other live instances.
          find_issuer: returns the live instance that holds a duty.
          rng: spreads the readings of the store.
          settings: times and numbers.
        """
        self._timers = timers
        self._instance_id = instance_id
        self._transport = transport
        self._list_peers = list_peers
        self._find_desk = find_issuer
        self._rng = rng
        self._settings = settings or QuarantineSettings()
        self._book = quarantineregistry.QuarantineRegistry()
        self._desk = quarantinedesk.PermitDesk(timers)
        self._flights = quarantineflight.FlightTable(timers)
        self._keeper = quarantinekeeper.QuarantineKeeper(
            timers, store, self._book
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._sharing: set[asyncio.Task[None]] = set()
        self.counters = QuarantineCounters()
        transport.register(SHARE_KIND, self._answer_share)
        transport.register(PERMIT_KIND, self._answer_permit)

    # What happens to requests.

    @contextlib.contextmanager
    def track(self, endpoint_ids: Iterable[str], digest: str) -> Iterator[None]:
        """Counts a request as in flight while the context is open.

        Args:
          endpoint_ids: endpoints that it runs on.
          digest: the request.

        Yields:
          Nothing.
        """
        with self._flights.track(tuple(endpoint_ids), digest):
            yield

    async def record_crash(
        self, endpoint_id: str, in_flight: Mapping[str, float] | None = None
    ) -> None:
        """Notes that an endpoint died, and tells the peers.

        It returns once every peer that can be reached knows, so that nothing
        that was cut is tried again elsewhere before that.

        Args:
          endpoint_id: the endpoint.
          in_flight: digests in flight there and their age in seconds; None
            takes those that ``track`` knows.
        """
        self.counters.crashes += 1
        ages = self._flights.find_ages(endpoint_id, in_flight)
        ages = {
            digest: age_s
            for digest, age_s in ages.items()
            if not self._flights.spend_trust(
                digest, self._settings.trusted_successes
            )
        }
        now_s = self._timers.read_wall()
        await self._spread(self._book.add_crash(endpoint_id, ages, now_s))

    def record_finished(self, digest: str) -> None:
        """Notes that a request ran to its end."""
        self._flights.count_success(digest)
        facts = self._book.clear(digest, self._timers.read_wall())
        if facts.cleared:
            self._start(self._spread(facts))

    def decide(self, digest: str) -> Decision:
        """Returns what may be done with a request."""
        return self._book.decide(digest, self._timers.read_wall())

    def check(self, digest: str) -> result.Result[None, failures.Failure]:
        """Refuses a request in quarantine: QUARANTINED, NOT_RUN."""
        if self.decide(digest) is not Decision.REFUSE:
            return result.Success(None)
        self.counters.refused += 1
        quarantine = self._book.find_quarantine(digest)
        assert quarantine is not None
        return result.Failure(
            failures.Failure(
                failures.FailureCode.QUARANTINED,
                f"this request crashed {quarantine.crashes} endpoints",
                verdicts.Verdict.NOT_RUN,
                quarantine.until_s - self._timers.read_wall(),
            )
        )

    def list_reserved(
        self, service: str, endpoint_ids: Iterable[str]
    ) -> frozenset[str]:
        """Returns the endpoints that take no new work but suspects.

        Args:
          service: service of the endpoints.
          endpoint_ids: the ones that are ready.
        """
        if not self._book.is_kept(service, self._timers.read_wall()):
            return frozenset()
        return frozenset(_choose_kept(service, endpoint_ids))

    async def acquire(
        self,
        digest: str,
        service: str,
        list_ready: Callable[[], Iterable[str]],
        wait_s: float,
        hold_s: float,
        has_room: Callable[[str], bool] = lambda endpoint_id: True,
    ) -> result.Result[Permit | None, failures.Failure]:
        """Waits until a request may run.

        Args:
          digest: the request.
          service: service of the endpoints.
          list_ready: returns the endpoints that are ready.
          wait_s: longest time to wait for other copies and suspects.
          hold_s: longest time that it then runs.
          has_room: says whether an endpoint would run it without a wait; a
            suspect that waits there would pass its probe without having run.

        Returns:
          None when it may run anywhere; a permit, to be given to ``release``
          at its end; or a failure, NOT_RUN.
        """
        end_s = self._timers.read_monotonic() + wait_s
        if self.decide(digest) is Decision.ISOLATE:
            # The most likely causes go first.
            await self._timers.sleep(self._flights.find_patience(digest))
        while True:
            checked = self.check(digest)
            if isinstance(checked, result.Failure):
                return result.Failure(checked.failure())
            if self.decide(digest) is Decision.ALLOW:
                return result.Success(None)
            kept = _choose_kept(service, list_ready())
            roomy = [name for name in kept if has_room(name)]
            permit = await self._ask(digest, service, roomy, hold_s)
            if permit is not None:
                return result.Success(permit)
            if self._timers.read_monotonic() + self._settings.poll_s > end_s:
                return result.Failure(self._refuse_copy())
            await self._timers.sleep(self._settings.poll_s)

    def note_started(self, permit: Permit) -> None:
        """Notes that a suspect gave its first token.

        Only from then on does time without a crash speak for it: it may have
        waited for memory before.
        """
        probe_s = self._flights.find_probe(permit.digest)
        self._flights.begin_probe(permit.digest, probe_s)
        request = quarantine_pb2.PermitRequest(
            service=permit.service,
            digest=quarantineregistry.shorten(permit.digest),
            probe_ms=int(probe_s * _MS_PER_S),
            started=True,
        )
        self._start(self._tell_desk(permit.desk, request))

    async def release(self, permit: Permit) -> None:
        """Gives a permit back, whatever became of the request."""
        self._flights.end_probe(permit.digest)
        request = quarantine_pb2.PermitRequest(
            service=permit.service,
            digest=quarantineregistry.shorten(permit.digest),
            release=True,
        )
        await self._tell_desk(permit.desk, request)

    async def forgive(self, digest: str) -> None:
        """Lets a digest run again, by order of an operator."""
        await self._spread(self._book.clear(digest, self._timers.read_wall()))
        await self._keeper.sync()

    def list_quarantined(self) -> list[quarantineregistry.Quarantine]:
        """Returns the quarantines in force."""
        return self._book.list_quarantined(self._timers.read_wall())

    # State for peers.

    def export_state(self) -> bytes:
        """Returns all facts, to travel along with other messages."""
        return quarantinewire.encode_facts(self._book.read_facts())

    def merge_state(self, payload: bytes) -> None:
        """Takes in the facts of a peer; bytes that are none are ignored."""
        try:
            facts = quarantinewire.decode_facts(payload)
        except protobuf_message.DecodeError:
            return
        self._book.merge(facts, self._timers.read_wall())

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["Quarantine"]:
        """Follows the kept quarantines while the context is open."""
        await self._keeper.sync()
        try:
            with self._timers.subscribe(
                self._settings.sync_s, self._keeper.sync, self._rng
            ):
                yield self
        finally:
            for task in [*self._tasks, *self._sharing]:
                task.cancel()

    # Telling the peers.

    async def _spread(self, facts: quarantineregistry.Facts) -> None:
        """Tells all peers, and waits until they know or time is up.

        It also waits for what others are told already: a crash is noted once
        for each request that it cut.
        """
        payload = quarantinewire.encode_facts(facts)
        if payload:
            for peer in self._list_peers():
                self._start(self._share(peer, payload), self._sharing)
        if facts.quarantined:
            self._start(self._keeper.sync())
        if self._sharing:
            await asyncio.wait(set(self._sharing))

    def _start(
        self,
        work: Coroutine[Any, Any, None],
        tasks: set[asyncio.Task[None]] | None = None,
    ) -> None:
        tasks = self._tasks if tasks is None else tasks
        task = asyncio.ensure_future(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def _share(self, peer: Peer, payload: bytes) -> None:
        self.counters.shares += 1
        try:
            await self._transport.call(
                peer.address,
                SHARE_KIND,
                payload,
                self._settings.share_timeout_s,
            )
        except peertransport.PeerError:
            self.counters.failed_shares += 1

    async def _answer_share(self, sender: str, payload: bytes) -> bytes:
        del sender
        self.merge_state(payload)
        return b""

    # Permits.

    async def _ask(
        self,
        digest: str,
        service: str,
        endpoint_ids: list[str],
        hold_s: float,
    ) -> Permit | None:
        desk = self._find_desk(f"quarantine/{service}")
        if desk is None:
            return None
        probe_s = self._flights.find_probe(digest)
        request = quarantine_pb2.PermitRequest(
            service=service,
            digest=quarantineregistry.shorten(digest),
            endpoint_ids=endpoint_ids,
            probe_ms=int((probe_s + self._settings.start_s) * _MS_PER_S),
            hold_ms=int(hold_s * _MS_PER_S),
        )
        try:
            answer = await self._call_desk(desk, request)
        except (peertransport.PeerError, protobuf_message.DecodeError):
            return None
        if not answer.endpoint_id:
            return None
        self.counters.isolated += 1
        self._flights.await_probe(digest)
        return Permit(digest, service, answer.endpoint_id, desk)

    async def _tell_desk(
        self, desk: Peer, request: quarantine_pb2.PermitRequest
    ) -> None:
        with contextlib.suppress(peertransport.PeerError):
            await self._call_desk(desk, request)

    async def _call_desk(
        self, desk: Peer, request: quarantine_pb2.PermitRequest
    ) -> quarantine_pb2.PermitAnswer:
        if desk.instance_id == self._instance_id:
            return await self._serve_permit(request)
        payload = await self._transport.call(
            desk.address,
            PERMIT_KIND,
            request.SerializeToString(),
            2 * self._settings.share_timeout_s,
        )
        return quarantine_pb2.PermitAnswer.FromString(payload)

    async def _answer_permit(self, sender: str, payload: bytes) -> bytes:
        del sender
        request = quarantine_pb2.PermitRequest.FromString(payload)
        answer = await self._serve_permit(request)
        return answer.SerializeToString()

    async def _serve_permit(
        self, request: quarantine_pb2.PermitRequest
    ) -> quarantine_pb2.PermitAnswer:
        if request.release:
            self._desk.release(request.service, request.digest)
            return quarantine_pb2.PermitAnswer()
        if request.started:
            self._desk.start(
                request.service, request.digest, request.probe_ms / _MS_PER_S
            )
            return quarantine_pb2.PermitAnswer()
        if self.decide(request.digest) is Decision.REFUSE:
            # The asker hears of the quarantine at its next question.
            return quarantine_pb2.PermitAnswer()
        await self._keep(request.service)
        endpoint_id = self._desk.grant(
            request.service,
            request.digest,
            request.endpoint_ids,
            request.probe_ms / _MS_PER_S,
            request.hold_ms / _MS_PER_S,
        )
        return quarantine_pb2.PermitAnswer(endpoint_id=endpoint_id or "")

    async def _keep(self, service: str) -> None:
        """Lets all instances keep endpoints free of other new work."""
        now_s = self._timers.read_wall()
        keep_s = self._settings.keep_s
        if self._book.is_kept(service, now_s + keep_s / 2):
            return
        await self._spread(self._book.keep(service, now_s + keep_s))

    def _refuse_copy(self) -> failures.Failure:
        self.counters.refused += 1
        return failures.Failure(
            failures.FailureCode.NO_ENDPOINT,
            "the request is suspected of crashing endpoints and has to wait",
            verdicts.Verdict.NOT_RUN,
            self._settings.retry_after_s,
        )


def _choose_kept(service: str, endpoint_ids: Iterable[str]) -> list[str]:
    """Chooses the endpoints for suspects; all instances choose the same."""
    names = sorted(
        endpoint_ids,
        key=lambda name: rendezvous.compute_score(
            f"quarantine/{service}", name
        ),
    )
    return names[: max(1, len(names) // KEPT_ONE_IN)]
