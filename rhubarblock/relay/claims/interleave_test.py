"""Model checks two instances that use the same idempotency key.

Every call to the platform, the service or the other instance stops at a gate. A
schedule decides which call continues next, whether its reply is lost, whether
it takes effect late, whether a read is stale, and when time passes while both
instances are paused. All schedules up to a number of faults, or of switches
between the instances, are run on the production code; longer ones are sampled.

The second half weakens the protocol in one place at a time and requires that
the same search finds a double run, which shows that the search can detect one.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import random
from unittest import mock

import pytest
from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import position as positions
from rhubarblock.core import request as requests
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import peertransport
from rhubarblock.fleet import serviceclient
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.relay import servicecalls
from rhubarblock.relay.claims import head as claimhead
from rhubarblock.relay.claims import index as claimindex
from rhubarblock.relay.claims import ledger as claims
from rhubarblock.relay.claims import ops as claimops
from rhubarblock.relay.claims import row as claimrow
from rhubarblock.relay.claims import seal as claimseal
from rhubarblock.relay.claims import settings as claimsettings
from rhubarblock.relay.claims import shard as claimshard
from rhubarblock.relay.claims import table as claimtable
from rhubarblock.standins import service_test
from rhubarblock.standins.platform import state as platformstate
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind

# Waits are zero, so that time only passes where a schedule decides so.
SETTINGS = claimsettings.ClaimSettings(
    shards=1,
    batch_window_s=0.0,
    finish_window_s=0.0,
    writes_per_s=1e9,
    poll_s=10.0,
    backoff=backoffs.BackoffSettings(0.0, 0.0),
)
SEALING = dataclasses.replace(SETTINGS, seal_bytes=1)
NO_WAIT = servicecalls.CallSettings(backoff=backoffs.BackoffSettings(0.0, 0.0))
HOUR_S = 3600.0
# Loop iterations without a ready callback after which all tasks are blocked.
QUIET_ITERATIONS = 3


@dataclasses.dataclass(eq=False)
class Step:
    """A call that waits at the gate.

    Attributes:
      label: client and description of the call.
      act: carries out the call.
      act_stale: carries out a read on the state before the last write; None
        for all other calls.
      lost: error that the client gets if the reply is lost.
      done: resolved with the reply.
    """

    label: str
    act: Callable[[], object]
    act_stale: Callable[[], object] | None
    lost: Exception
    done: asyncio.Future

    @property
    def client(self) -> str:
        return self.label[0]

    def fail(self, error: Exception) -> None:
        if not self.done.done():
            self.done.set_exception(error)


@dataclasses.dataclass
class Plan:
    """The bounds and the starting state of a search.

    Attributes:
      settings: settings of both ledgers.
      faults: most faults: lost replies, delayed writes and stale reads.
      pauses: most pauses, in which time passes and no call continues.
      resends: how often a caller sends its call again after a failure.
      pause_s: length of a pause in seconds.
      switches: how often the schedule may preempt an instance that could
        continue.
      forwarding: whether instance B forwards its claims to A.
      keys: idempotency keys of the two callers.
      ran_before: where the row of an earlier run of ``k1`` is: ``head``,
        ``segment``, ``segments`` if there is a second segment, or empty if
        there was no run.
    """

    settings: claimsettings.ClaimSettings = SETTINGS
    faults: int = 1
    pauses: int = 1
    resends: int = 0
    pause_s: float = HOUR_S
    switches: int = 1000
    forwarding: bool = False
    keys: tuple[str, str] = ("k1", "k1")
    ran_before: str = ""


class Simulation:
    """One run of a schedule: platform state, gate and remaining faults."""

    def __init__(self, plan: Plan):
        self.state = platformstate.PlatformState(events_limit=1000)
        self.replaced: dict[str, stores.StoredObject | None] = {}
        self.state.add_listener(self.note_replaced)
        self.state.write(
            "claims/layout", b'{"shards": 1}', positions.NOWHERE, 0.0
        )
        self.steps: list[Step] = []
        self.late: list[Step] = []
        self.runs: list[tuple[str, str]] = []
        self.faults = plan.faults
        self.pauses = plan.pauses
        if plan.ran_before:
            self.add_earlier_run(plan.ran_before)

    def note_replaced(self, event: platformstate.Event) -> None:
        self.replaced[event.after.name] = event.before

    def add_earlier_run(self, place: str) -> None:
        row = claimrow.ClaimRow(
            key_digest=claimrow.digest_key("adwoa", "k1"),
            body_digest="d1",
            claim_id="X.1",
            attempt_id="X0",
            state=claimrow.RowState.DONE,
            claimed_wall_s=1e6,
            until_wall_s=1e6,
            answer=claimrow.RowAnswer(200, "text/plain", b"run of k1", ""),
        )
        table = claimtable.ClaimTable()
        if place == "head":
            table.put_row(row)
        else:
            self.add_segment(table, "s1", row)
        if place == "segments":
            other = dataclasses.replace(row, key_digest="00" * 16)
            self.add_segment(table, "s2", other)
        self.state.write("claims/0000", table.encode(), positions.NOWHERE, 0.0)
        self.runs.append(("k1", "X0/1"))

    def add_segment(self, table, segment_id: str, row) -> None:
        table.segments.append(claimtable.Segment(segment_id, 1e6, 9))
        keys = claimtable.encode_keys([row])
        self.state.write(
            f"claimkeys/{segment_id}", keys, positions.NOWHERE, 0.0
        )
        rows = claimtable.encode_rows([row])
        self.state.write(
            f"claimrows/{segment_id}", rows, positions.NOWHERE, 0.0
        )

    async def pass_gate(self, label: str, act, act_stale=None, lost=None):
        lost = lost or stores.StoreError(_Kind.UNSURE)
        step = Step(label, act, act_stale, lost, asyncio.Future())
        self.steps.append(step)
        return await step.done

    def list_options(self) -> list[tuple[str, Callable[[], None]]]:
        options = []
        for step in self.steps:
            options.append((step.label, lambda s=step: self.perform_step(s)))
        for step in self.late:
            label = f"{step.label} arrives late"
            options.append((label, lambda s=step: self.deliver_late(s)))
        for step in self.steps if self.faults else []:
            if step.act_stale is not None:
                label = f"{step.label} stale"
                options.append((label, lambda s=step: self.serve_stale(s)))
                continue
            for how in ("after", "before", "late"):
                label = f"{step.label} lost {how}"
                options.append(
                    (label, lambda s=step, h=how: self.lose_answer(s, h))
                )
        return options

    def perform_step(self, step: Step) -> None:
        self.perform(step, step.act)

    def serve_stale(self, step: Step) -> None:
        self.faults -= 1
        self.perform(step, step.act_stale)

    def perform(self, step: Step, act: Callable[[], object]) -> None:
        self.steps.remove(step)
        try:
            outcome = act()
        except stores.StoreError as error:
            step.fail(error)
        else:
            # The client may have given up in the meantime.
            if not step.done.done():
                step.done.set_result(outcome)

    def lose_answer(self, step: Step, how: str) -> None:
        """Fails a step; it took effect before, does so late, or never does."""
        self.steps.remove(step)
        self.faults -= 1
        if how == "after":
            with contextlib.suppress(stores.StoreError):
                step.act()
        if how == "late":
            self.late.append(step)
        step.fail(step.lost)

    def deliver_late(self, step: Step) -> None:
        self.late.remove(step)
        with contextlib.suppress(stores.StoreError):
            step.act()


class GatedStore(stores.ObjectStore):
    """The platform for one instance, behind the gate."""

    def __init__(self, simulation: Simulation, client: str):
        self._simulation = simulation
        self._client = client

    async def read(self, name):
        state = self._simulation.state

        def serve(found):
            if found is None:
                raise stores.StoreError(_Kind.NOT_FOUND)
            return found

        def act_stale():
            found = state.find(name)
            return serve(self._simulation.replaced[name] if found else None)

        def act():
            return serve(state.find(name))

        if name == "claims/layout":
            return act()
        label = f"{self._client} read {name}"
        return await self._simulation.pass_gate(label, act, act_stale)

    async def write(self, name, value, expected_version):
        return await self._simulation.pass_gate(
            f"{self._client} write {name}",
            lambda: self._simulation.state.write(
                name, value, expected_version, 0.0
            ),
        )

    async def delete(self, name, expected_version):
        return await self._simulation.pass_gate(
            f"{self._client} delete {name}",
            lambda: self._simulation.state.delete(name, expected_version, 0.0),
        )

    async def list_objects(self, prefix):
        raise NotImplementedError

    def watch(self, prefix, after, wait_s=None):
        raise NotImplementedError


class GatedService(serviceclient.ServiceClient):
    """A service behind the gate; it runs every call it receives."""

    def __init__(self, simulation: Simulation, client: str):
        self._simulation = simulation
        self._client = client

    async def send(self, address, call, attempt_id):
        def act():
            key = call.idempotency_key
            self._simulation.runs.append((key, attempt_id))
            return requests.ServiceAnswer(200, f"run of {key}".encode())

        lost = failures.Failure(
            failures.FailureCode.ENDPOINT_FAILED,
            "lost",
            verdicts.Verdict.MAY_HAVE_RUN,
        )
        return await self._simulation.pass_gate(
            f"{self._client} send", act, lost=failures.FailureError(lost)
        )


class GatedPeers(peertransport.PeerTransport):
    """Calls between the instances, behind the gate."""

    def __init__(self, simulation: Simulation, client: str):
        self._simulation = simulation
        self._client = client
        self.others: list[GatedPeers] = []
        self.handler = None

    def register(self, kind, handler):
        self.handler = handler

    async def call(self, address, kind, payload, timeout_s):
        [other] = self.others
        lost = peertransport.PeerError("lost")

        def act():
            task = asyncio.ensure_future(other.handler(self._client, payload))
            task.add_done_callback(lambda t: t.cancelled() or t.exception())
            return task

        try:
            async with asyncio.timeout(timeout_s):
                label = f"{self._client} call"
                answer = await self._simulation.pass_gate(label, act, lost=lost)
                return await asyncio.shield(answer)
        except Exception as error:
            raise peertransport.PeerError(str(error)) from error


def make_callers(
    simulation: Simulation, plan: Plan
) -> list[servicecalls.ServiceCaller]:
    timers = timer_service.LoopTimers(wall_offset_s=1e6)
    callers = []
    peers = {client: GatedPeers(simulation, client) for client in "AB"}
    peers["A"].others = [peers["B"]]
    peers["B"].others = [peers["A"]]
    for number, client in enumerate("AB"):
        # With forwarding, A coordinates the shard.
        coordinator = "A" if client == "B" and plan.forwarding else None
        ledger = claims.ClaimLedger(
            GatedStore(simulation, client),
            timers,
            client,
            random.Random(number),
            plan.settings,
            peers[client],
            lambda duty, coordinator=coordinator: coordinator,
        )
        callers.append(
            servicecalls.ServiceCaller(
                ledger,
                GatedService(simulation, client),
                lambda call, failed: "desk:1",
                timers,
                random.Random(number),
                NO_WAIT,
            )
        )
    return callers


@dataclasses.dataclass
class Trace:
    """The steps of one schedule and the fault that they led to.

    Attributes:
      labels: the steps taken.
      widths: number of options at each step.
      fault: description of the fault, or empty.
    """

    labels: list[str]
    widths: list[int]
    fault: str = ""


async def send_and_resend(callers, first: int, plan: Plan, outcomes) -> None:
    """Acts as a caller that sends a call again after a failure."""
    now_s = asyncio.get_running_loop().time
    for number in range(1 + plan.resends):
        call = service_test.make_call(
            request_id=f"{'AB'[first]}{number}",
            key=plan.keys[first],
            deadline_s=now_s() + 30.0,
        )
        caller = callers[(first + number) % 2]
        outcome = await caller.call(call)
        outcomes.append((call.request_id, outcome))
        if isinstance(outcome, result.Success):
            return


async def run_until_blocked() -> None:
    """Runs the loop until all tasks wait for time or for the gate."""
    loop = asyncio.get_running_loop()
    quiet_iterations = 0
    while quiet_iterations < QUIET_ITERATIONS:
        await asyncio.sleep(0)
        quiet_iterations = 0 if loop._ready else quiet_iterations + 1


async def run_schedule(plan: Plan, choose: Callable[[int], int]) -> Trace:
    simulation = Simulation(plan)
    trace = Trace([], [])
    outcomes: list = []
    callers = make_callers(simulation, plan)
    clients = [
        asyncio.ensure_future(send_and_resend(callers, n, plan, outcomes))
        for n in (0, 1)
    ]
    last = ""
    switches = plan.switches
    while True:
        await run_until_blocked()
        if all(client.done() for client in clients):
            break
        if not simulation.steps:
            await asyncio.sleep(5.0)
            continue
        options = simulation.list_options()
        continuing = [o for o in options if o[0][0] == last]
        if continuing and switches == 0:
            options = continuing
        width = len(options) + (simulation.pauses > 0)
        choice = choose(width)
        trace.widths.append(width)
        if choice < len(options):
            label, act = options[choice]
            if continuing and label[0] != last:
                switches -= 1
            last = label[0]
            trace.labels.append(label)
            act()
            continue
        trace.labels.append("a pause")
        simulation.pauses -= 1
        await asyncio.sleep(plan.pause_s)
    await finish_all(simulation)
    trace.fault = find_fault(simulation, outcomes)
    for client in clients:
        client.result()
    for caller in callers:
        caller.close()
        caller._claims.close()
    await run_until_blocked()
    return trace


async def finish_all(simulation: Simulation) -> None:
    """Completes all outstanding calls, the late writes first."""
    while simulation.late:
        simulation.deliver_late(simulation.late[0])
    for _ in range(100):
        await run_until_blocked()
        if not simulation.steps:
            return
        simulation.perform_step(simulation.steps[0])


def find_fault(simulation: Simulation, outcomes) -> str:
    """Describes a double run or a wrong NOT_RUN verdict; empty if none."""
    keys = [key for key, _ in simulation.runs]
    if len(keys) > len(set(keys)):
        return f"double run: {simulation.runs}"
    ran = {attempt_id.split("/")[0] for _, attempt_id in simulation.runs}
    for request_id, outcome in outcomes:
        if isinstance(outcome, result.Success):
            continue
        verdict = outcome.failure().verdict
        if verdict is verdicts.Verdict.NOT_RUN and request_id in ran:
            return f"{request_id} was reported as NOT_RUN but ran"
    return ""


def search_all(plan: Plan, limit: int) -> Iterator[Trace]:
    """Runs every schedule, depth first."""
    prefix: list[int] = []
    for _ in range(limit):
        path = iter(prefix)
        trace = virtualloop.run(
            run_schedule(plan, lambda width, path=path: next(path, 0))
        )
        yield trace
        prefix += [0] * (len(trace.widths) - len(prefix))
        while prefix and prefix[-1] + 1 >= trace.widths[len(prefix) - 1]:
            prefix.pop()
        if not prefix:
            return
        prefix[-1] += 1
    raise AssertionError(f"more than {limit} schedules")


def search_sample(plan: Plan, count: int, seed: int) -> Iterator[Trace]:
    """Runs schedules drawn at random."""
    rng = random.Random(seed)
    for _ in range(count):
        yield virtualloop.run(run_schedule(plan, rng.randrange))


def count_without_fault(traces: Iterator[Trace]) -> int:
    count = 0
    for trace in traces:
        assert not trace.fault, "\n".join([trace.fault, *trace.labels])
        count += 1
    return count


def find_double_run(traces: Iterator[Trace]) -> Trace | None:
    for trace in traces:
        if trace.fault.startswith("double run"):
            return trace
    return None


def test_no_double_run_with_one_fault_and_an_hour_of_pause() -> None:
    assert count_without_fault(search_all(Plan(), limit=9999)) > 1000


def test_no_double_run_with_forwarding() -> None:
    plan = Plan(faults=1, pauses=0, switches=1, forwarding=True)
    assert count_without_fault(search_all(plan, limit=9999)) > 100


# The pause reaches the timeout of forwarded claims, but not the deadline of the
# call.
SAMPLED_FORWARDING = Plan(
    faults=2, pauses=3, pause_s=1.0, resends=2, forwarding=True
)


def test_no_double_run_in_sampled_schedules_with_forwarding() -> None:
    traces = search_sample(SAMPLED_FORWARDING, 500, seed=4)
    assert count_without_fault(traces) == 500


@pytest.mark.parametrize("sole_writer_commits", [0, 2])
def test_no_double_run_in_sampled_schedules_with_resends(
    sole_writer_commits,
) -> None:
    plan = Plan(faults=3, pauses=2, resends=2)
    with mock.patch.object(
        claimshard, "SOLE_WRITER_COMMITS", sole_writer_commits
    ):
        assert count_without_fault(search_sample(plan, 500, seed=1)) == 500


# The claim of one caller fills the head. The row of the other caller's key is
# moved to a segment while it is being looked up.
SEALED_MEANWHILE = Plan(
    settings=SEALING,
    faults=0,
    pauses=0,
    switches=2,
    keys=("k1", "k2"),
    ran_before="head",
)
# The segment with the key is merged with another while the key is looked up.
MERGED = dataclasses.replace(
    SEALED_MEANWHILE, settings=SETTINGS, ran_before="segments", switches=1
)
SEALED_BEFORE = Plan(faults=1, pauses=0, ran_before="segment")


@pytest.fixture(autouse=True)
def merge_early():
    with mock.patch.object(claimseal, "MERGE_COUNT", 2):
        yield


def test_no_double_run_with_sealing() -> None:
    assert count_without_fault(search_all(SEALED_MEANWHILE, limit=9999)) > 100
    assert count_without_fault(search_all(SEALED_BEFORE, limit=9999)) > 100
    assert count_without_fault(search_all(MERGED, limit=9999)) > 100


@pytest.mark.parametrize("place", ["head", "segments"])
@pytest.mark.parametrize("sole_writer_commits", [0, 2])
def test_no_double_run_in_sampled_schedules_with_sealing(
    sole_writer_commits, place
) -> None:
    plan = dataclasses.replace(
        SEALED_MEANWHILE if place == "head" else MERGED,
        faults=2,
        pauses=1,
        resends=1,
        switches=1000,
    )
    with mock.patch.object(
        claimshard, "SOLE_WRITER_COMMITS", sole_writer_commits
    ):
        assert count_without_fault(search_sample(plan, 500, seed=2)) == 500


def weaken_conditional_write():
    """The head is written unconditionally."""

    async def write(self, name, value, expected_version):
        def act():
            found = self._simulation.state.find(name)
            version = found.version if found else positions.NOWHERE
            return self._simulation.state.write(name, value, version, 0.0)

        return await self._simulation.pass_gate(
            f"{self._client} write {name}", act
        )

    return mock.patch.object(GatedStore, "write", write)


def weaken_lost_write_handling():
    """A write that failed or lost its reply is taken for a success."""
    original = claimhead.HeadObject.write

    async def write(self, table, value):
        with contextlib.suppress(stores.StoreError):
            await original(self, table, value)

    return mock.patch.object(claimhead.HeadObject, "write", write)


def weaken_claims_to_leases():
    """A claim older than a minute may be taken over, as if it were a lease."""
    original = claimops.Claim.apply

    def apply(self, table, current):
        if current is not None and (
            current.state is claimrow.RowState.CLAIMED
            and self.row.claimed_wall_s - current.claimed_wall_s > 60.0
        ):
            current = None
        original(self, table, current)

    return mock.patch.object(claimops.Claim, "apply", apply)


def weaken_claim_id_uniqueness():
    """All claims have the same id."""
    original = claims.ClaimLedger._make_row

    def make_row(self, *args):
        return dataclasses.replace(original(self, *args), claim_id="same")

    return mock.patch.object(claims.ClaimLedger, "_make_row", make_row)


def weaken_release_by_key():
    """A release removes the row of a key whatever its claim id."""

    def apply(self, table, current):
        table.changed = True
        if self.key_digest in table.lines:
            table.remove_row(self.key_digest)

    return mock.patch.object(claimops.Release, "apply", apply)


def weaken_release_of_sent_calls():
    """A key is released although its call may have run."""

    async def use_claim(self, call, claim):
        attempted = await self._attempt(call)
        if isinstance(attempted, result.Failure):
            await self._release(claim)
        return attempted

    return mock.patch.object(
        servicecalls.ServiceCaller, "_use_claim", use_claim
    )


def weaken_verdict_check():
    """A call is retried although it may have run."""

    async def may_retry(self, call, failure, number, backoff):
        return number < 2

    return mock.patch.object(
        servicecalls.ServiceCaller, "_may_retry", may_retry
    )


def weaken_abandoned_claims():
    """A claim that was not confirmed in time is used as if it were granted."""
    original = claims.ClaimLedger._try_claim

    async def try_claim(self, row, deadline_s):
        found = await original(self, row, deadline_s)
        return row if isinstance(found, failures.Failure) else found

    return mock.patch.object(claims.ClaimLedger, "_try_claim", try_claim)


def weaken_forwarded_claims():
    """A coordinator releases a claim whose sender has given up."""
    return mock.patch.object(
        claimops.ForwardedClaim,
        "make_release",
        claimops.Claim.make_release,
    )


def weaken_segment_lookup():
    """Sealed segments are not searched for keys."""

    async def find(self, segments, key_digest):
        return None

    return mock.patch.object(claimindex.SegmentIndex, "find", find)


def weaken_missing_segment_check():
    """A segment whose keys a stale read does not find counts as empty."""
    original = claimindex.SegmentIndex._load_one

    async def load_one(self, segment_id):
        try:
            await original(self, segment_id)
        except stores.StoreError:
            self._keys[segment_id] = b""

    return mock.patch.object(claimindex.SegmentIndex, "_load_one", load_one)


def weaken_sealing_order():
    """Rows are removed from the head before their segment is listed."""
    original = claimseal.Sealer._begin_segment

    def begin_segment(self, table):
        for row in self._find_rows_to_seal(table):
            table.remove_row(row.key_digest)
        return original(self, table)

    return mock.patch.object(claimseal.Sealer, "_begin_segment", begin_segment)


def weaken_merge_inputs():
    """A merge leaves out the rows of its first segment."""
    original = claimseal.Sealer._read_segments

    async def read_segments(self, sources):
        return await original(self, sources[1:])

    return mock.patch.object(claimseal.Sealer, "_read_segments", read_segments)


def weaken_retention():
    """Claims expire at once."""

    def find_expiry(self):
        return self._read_wall() + 1.0

    return mock.patch.object(claimseal.Sealer, "_find_expiry", find_expiry)


SAMPLED = Plan(faults=2, pauses=1, resends=2)


@pytest.mark.parametrize(
    ("weaken", "plan"),
    [
        (weaken_conditional_write, Plan(faults=0, pauses=0)),
        (weaken_lost_write_handling, Plan(faults=1, pauses=0)),
        (weaken_claims_to_leases, SAMPLED),
        (weaken_claim_id_uniqueness, Plan(faults=0, pauses=0)),
        (weaken_release_by_key, SAMPLED),
        (weaken_release_of_sent_calls, SAMPLED),
        (weaken_verdict_check, Plan(faults=1, pauses=0)),
        (weaken_abandoned_claims, SAMPLED),
        (weaken_forwarded_claims, SAMPLED_FORWARDING),
        (weaken_segment_lookup, SEALED_MEANWHILE),
        (weaken_missing_segment_check, SEALED_BEFORE),
        (weaken_sealing_order, SEALED_MEANWHILE),
        (weaken_merge_inputs, MERGED),
        (weaken_retention, SEALED_MEANWHILE),
    ],
)
def test_search_detects_each_weakened_protocol(weaken, plan) -> None:
    with weaken():
        if plan.resends:
            trace = find_double_run(search_sample(plan, 3000, seed=3))
        else:
            trace = find_double_run(search_all(plan, limit=20_000))
    assert trace is not None
