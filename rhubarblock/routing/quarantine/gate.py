"""Keeps requests that crash endpoints from crashing more of them.

Request digests that were in flight when an endpoint died are suspect. A suspect
runs in one copy at a time, on an endpoint that is reserved for suspects and
probes them one after the other. So a second crash has a single cause, and that
digest is quarantined for a limited time. A crash is broadcast to all peers
before any request that it aborted is retried. docs/design/quarantine.md
discusses the alternatives.
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
from rhubarblock.routing.quarantine import inflight as inflights
from rhubarblock.routing.quarantine import permitissuer as permitissuers
from rhubarblock.routing.quarantine import quarantine_pb2
from rhubarblock.routing.quarantine import registry as quarantineregistry
from rhubarblock.routing.quarantine import storesync as storesyncs
from rhubarblock.routing.quarantine import wire as quarantinewire
from rhubarblock.store import store as stores

SHARE_KIND = "quarantine.share"
PERMIT_KIND = "quarantine.permit"

# One of this many endpoints, but at least one, is reserved for suspects while
# there are any.
RESERVED_ONE_IN = 6

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
      share_timeout_s: longest wait for peers to receive a crash before the
        requests that it aborted are retried.
      sync_s: time between two synchronisations with the store.
      poll_s: time between two permit requests.
      reserve_s: time for which endpoints stay reserved after the last permit
        request.
      retry_after_s: time after which a caller that is refused while a copy
        runs should retry.
      trusted_successes: successes of a digest after which a single crash does
        not make it suspect.
      start_s: time that a suspect may take to its first token before another
        one may start beside it.
    """

    share_timeout_s: float = 0.2
    sync_s: float = 60.0
    poll_s: float = 0.1
    reserve_s: float = 5.0
    retry_after_s: float = 1.0
    trusted_successes: int = 2
    start_s: float = 3.0


@dataclasses.dataclass(slots=True)
class QuarantineCounters:
    """Counters of the quarantine since its start."""

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
      issuer: the instance that granted it.
    """

    digest: str
    service: str
    endpoint_id: str
    issuer: Peer


class Quarantine:
    """The quarantine of one instance, and its handlers for peers' calls."""

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
        """Creates the quarantine with an empty registry.

        Args:
          timers: the timer service.
          store: where quarantines are persisted, or None.
          instance_id: this instance.
          transport: calls to peers.
          list_peers: returns the other live instances.
          find_issuer: returns the live instance that issues the permits of a
            service; its argument names the service as ``quarantine/service``.
          rng: spreads the synchronisations with the store.
          settings: times and numbers.
        """
        self._timers = timers
        self._instance_id = instance_id
        self._transport = transport
        self._list_peers = list_peers
        self._find_issuer = find_issuer
        self._rng = rng
        self._settings = settings or QuarantineSettings()
        self._registry = quarantineregistry.QuarantineRegistry()
        self._issuer = permitissuers.PermitIssuer(timers)
        self._in_flight = inflights.InFlightTable(timers)
        self._store_sync = storesyncs.QuarantineSync(
            timers, store, self._registry
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._broadcasts: set[asyncio.Task[None]] = set()
        self.counters = QuarantineCounters()
        transport.register(SHARE_KIND, self._handle_facts)
        transport.register(PERMIT_KIND, self._handle_permit)

    # Handling of requests.

    @contextlib.contextmanager
    def track(self, endpoint_ids: Iterable[str], digest: str) -> Iterator[None]:
        """Counts a request as in flight while the context is open.

        Args:
          endpoint_ids: endpoints that it runs on.
          digest: digest of the request.

        Yields:
          Nothing.
        """
        with self._in_flight.track(tuple(endpoint_ids), digest):
            yield

    async def record_crash(
        self, endpoint_id: str, in_flight: Mapping[str, float] | None = None
    ) -> None:
        """Records that an endpoint died and notifies the peers.

        Returns once every reachable peer knows, so that no aborted request is
        retried elsewhere before that.

        Args:
          endpoint_id: the endpoint.
          in_flight: digests in flight there and their ages in seconds; None for
            those that ``track`` knows.
        """
        self.counters.crashes += 1
        ages = self._in_flight.find_ages(endpoint_id, in_flight)
        ages = {
            digest: age_s
            for digest, age_s in ages.items()
            if not self._in_flight.consume_successes(
                digest, self._settings.trusted_successes
            )
        }
        now_s = self._timers.read_wall()
        await self._broadcast(
            self._registry.add_crash(endpoint_id, ages, now_s)
        )

    def record_finished(self, digest: str) -> None:
        """Records that a request ran to completion."""
        self._in_flight.count_success(digest)
        facts = self._registry.clear(digest, self._timers.read_wall())
        if facts.cleared:
            self._start(self._broadcast(facts))

    def decide(self, digest: str) -> Decision:
        """Returns how a request may be handled."""
        return self._registry.decide(digest, self._timers.read_wall())

    def check(self, digest: str) -> result.Result[None, failures.Failure]:
        """Refuses a request in quarantine with QUARANTINED and NOT_RUN."""
        if self.decide(digest) is not Decision.REFUSE:
            return result.Success(None)
        self.counters.refused += 1
        quarantine = self._registry.find_quarantine(digest)
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
        """Returns the endpoints that accept no new requests except suspects.

        Args:
          service: service of the endpoints.
          endpoint_ids: the endpoints that are ready.
        """
        if not self._registry.is_reserved(service, self._timers.read_wall()):
            return frozenset()
        return frozenset(_choose_reserved(service, endpoint_ids))

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
          digest: digest of the request.
          service: service of the endpoints.
          list_ready: returns the endpoints that are ready.
          wait_s: longest wait for other copies and suspects, in seconds.
          hold_s: longest time that the request then runs, in seconds.
          has_room: says whether an endpoint would run it without a wait; a
            suspect that waits there occupies the endpoint without being probed.

        Returns:
          None if it may run anywhere; a permit, to be passed to ``release`` at
          its end; or a failure with NOT_RUN.
        """
        end_s = self._timers.read_monotonic() + wait_s
        if self.decide(digest) is Decision.ISOLATE:
            # Lets the most likely causes start first.
            await self._timers.sleep(self._in_flight.find_start_delay(digest))
        while True:
            checked = self.check(digest)
            if isinstance(checked, result.Failure):
                return result.Failure(checked.failure())
            if self.decide(digest) is Decision.ALLOW:
                return result.Success(None)
            reserved = _choose_reserved(service, list_ready())
            available = [name for name in reserved if has_room(name)]
            permit = await self._request_permit(
                digest, service, available, hold_s
            )
            if permit is not None:
                return result.Success(permit)
            if self._timers.read_monotonic() + self._settings.poll_s > end_s:
                return result.Failure(self._make_refusal())
            await self._timers.sleep(self._settings.poll_s)

    def note_started(self, permit: Permit) -> None:
        """Records that a suspect produced its first token.

        Its probe counts only from then on, as it may have waited for memory
        before.
        """
        probe_s = self._in_flight.find_probe(permit.digest)
        self._in_flight.begin_probe(permit.digest, probe_s)
        request = quarantine_pb2.PermitRequest(
            service=permit.service,
            digest=quarantineregistry.shorten(permit.digest),
            probe_ms=int(probe_s * _MS_PER_S),
            started=True,
        )
        self._start(self._notify_issuer(permit.issuer, request))

    async def release(self, permit: Permit) -> None:
        """Releases a permit, whatever the result of the request."""
        self._in_flight.end_probe(permit.digest)
        request = quarantine_pb2.PermitRequest(
            service=permit.service,
            digest=quarantineregistry.shorten(permit.digest),
            release=True,
        )
        await self._notify_issuer(permit.issuer, request)

    async def clear(self, digest: str) -> None:
        """Ends the quarantine and the suspicion of a digest for an operator."""
        await self._broadcast(
            self._registry.clear(digest, self._timers.read_wall())
        )
        await self._store_sync.sync()

    def list_quarantined(self) -> list[quarantineregistry.QuarantineRecord]:
        """Returns the quarantines in force."""
        return self._registry.list_quarantined(self._timers.read_wall())

    # State exchanged with peers.

    def export_state(self) -> bytes:
        """Returns all facts encoded, to be sent within other messages."""
        return quarantinewire.encode_facts(self._registry.read_facts())

    def merge_state(self, payload: bytes) -> None:
        """Merges the facts of a peer; invalid bytes are ignored."""
        try:
            facts = quarantinewire.decode_facts(payload)
        except protobuf_message.DecodeError:
            return
        self._registry.merge(facts, self._timers.read_wall())

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["Quarantine"]:
        """Synchronises with the store regularly while the context is open."""
        await self._store_sync.sync()
        try:
            with self._timers.subscribe(
                self._settings.sync_s, self._store_sync.sync, self._rng
            ):
                yield self
        finally:
            for task in [*self._tasks, *self._broadcasts]:
                task.cancel()

    # Broadcasts to peers.

    async def _broadcast(self, facts: quarantineregistry.Facts) -> None:
        """Sends facts to all peers; waits for their answers or the timeout.

        Waits for earlier broadcasts as well: a crash is recorded once for each
        request that it aborted.
        """
        payload = quarantinewire.encode_facts(facts)
        if payload:
            for peer in self._list_peers():
                self._start(self._send_facts(peer, payload), self._broadcasts)
        if facts.quarantined:
            self._start(self._store_sync.sync())
        if self._broadcasts:
            await asyncio.wait(set(self._broadcasts))

    def _start(
        self,
        work: Coroutine[Any, Any, None],
        tasks: set[asyncio.Task[None]] | None = None,
    ) -> None:
        tasks = self._tasks if tasks is None else tasks
        task = asyncio.ensure_future(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def _send_facts(self, peer: Peer, payload: bytes) -> None:
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

    async def _handle_facts(self, sender: str, payload: bytes) -> bytes:
        del sender
        self.merge_state(payload)
        return b""

    # Permits.

    async def _request_permit(
        self,
        digest: str,
        service: str,
        endpoint_ids: list[str],
        hold_s: float,
    ) -> Permit | None:
        issuer = self._find_issuer(f"quarantine/{service}")
        if issuer is None:
            return None
        probe_s = self._in_flight.find_probe(digest)
        request = quarantine_pb2.PermitRequest(
            service=service,
            digest=quarantineregistry.shorten(digest),
            endpoint_ids=endpoint_ids,
            probe_ms=int((probe_s + self._settings.start_s) * _MS_PER_S),
            hold_ms=int(hold_s * _MS_PER_S),
        )
        try:
            answer = await self._call_issuer(issuer, request)
        except (peertransport.PeerError, protobuf_message.DecodeError):
            return None
        if not answer.endpoint_id:
            return None
        self.counters.isolated += 1
        self._in_flight.await_probe(digest)
        return Permit(digest, service, answer.endpoint_id, issuer)

    async def _notify_issuer(
        self, issuer: Peer, request: quarantine_pb2.PermitRequest
    ) -> None:
        with contextlib.suppress(peertransport.PeerError):
            await self._call_issuer(issuer, request)

    async def _call_issuer(
        self, issuer: Peer, request: quarantine_pb2.PermitRequest
    ) -> quarantine_pb2.PermitAnswer:
        if issuer.instance_id == self._instance_id:
            return await self._serve_permit(request)
        payload = await self._transport.call(
            issuer.address,
            PERMIT_KIND,
            request.SerializeToString(),
            2 * self._settings.share_timeout_s,
        )
        return quarantine_pb2.PermitAnswer.FromString(payload)

    async def _handle_permit(self, sender: str, payload: bytes) -> bytes:
        del sender
        request = quarantine_pb2.PermitRequest.FromString(payload)
        answer = await self._serve_permit(request)
        return answer.SerializeToString()

    async def _serve_permit(
        self, request: quarantine_pb2.PermitRequest
    ) -> quarantine_pb2.PermitAnswer:
        if request.release:
            self._issuer.release(request.service, request.digest)
            return quarantine_pb2.PermitAnswer()
        if request.started:
            self._issuer.start(
                request.service, request.digest, request.probe_ms / _MS_PER_S
            )
            return quarantine_pb2.PermitAnswer()
        if self.decide(request.digest) is Decision.REFUSE:
            # The requester refuses it at its next attempt, when it knows the
            # quarantine as well.
            return quarantine_pb2.PermitAnswer()
        await self._reserve(request.service)
        endpoint_id = self._issuer.grant(
            request.service,
            request.digest,
            request.endpoint_ids,
            request.probe_ms / _MS_PER_S,
            request.hold_ms / _MS_PER_S,
        )
        return quarantine_pb2.PermitAnswer(endpoint_id=endpoint_id or "")

    async def _reserve(self, service: str) -> None:
        """Makes all instances reserve endpoints for suspects."""
        now_s = self._timers.read_wall()
        reserve_s = self._settings.reserve_s
        if self._registry.is_reserved(service, now_s + reserve_s / 2):
            return
        await self._broadcast(
            self._registry.reserve(service, now_s + reserve_s)
        )

    def _make_refusal(self) -> failures.Failure:
        self.counters.refused += 1
        return failures.Failure(
            failures.FailureCode.NO_ENDPOINT,
            "the request is suspected of crashing endpoints and has to wait",
            verdicts.Verdict.NOT_RUN,
            self._settings.retry_after_s,
        )


def _choose_reserved(service: str, endpoint_ids: Iterable[str]) -> list[str]:
    """Chooses the endpoints for suspects, the same ones at all instances."""
    names = sorted(
        endpoint_ids,
        key=lambda name: rendezvous.compute_score(
            f"quarantine/{service}", name
        ),
    )
    return names[: max(1, len(names) // RESERVED_ONE_IN)]
