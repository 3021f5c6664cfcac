import contextlib
import random

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import request as requests
from rhubarblock.fleet import peertransport
from rhubarblock.kernel import timers
from rhubarblock.kernel import virtualloop
from rhubarblock.routing import limits
from rhubarblock.routing import limitshare
from rhubarblock.routing.lending import lender as lending

CATALOGUE = catalogues.Catalogue(
    revision=1,
    institutions={
        "adwoa": catalogues.Institution(
            "adwoa", "o", catalogues.Limits(10.0, 0.0, 2)
        )
    },
    workspaces={
        "adwoa/desk": catalogues.Workspace(
            "adwoa/desk",
            "o",
            "adwoa",
            requests.RequestClass.BATCH,
            catalogues.Limits(),
        )
    },
)


class Network:
    """Calls handlers directly; addresses in ``down`` do not answer."""

    def __init__(self):
        self.transports = {}
        self.down = set()


class DirectTransport(peertransport.PeerTransport):
    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.handlers = {}
        network.transports[address] = self

    def register(self, kind, handler):
        self.handlers[kind] = handler

    async def call(self, address, kind, payload, timeout_s):
        if self.network.down & {address, self.address}:
            raise peertransport.PeerError("down")
        target = self.network.transports.get(address)
        if target is None:
            raise peertransport.PeerError("not there")
        return await target.handlers[kind](self.address, payload)


class Harness:
    """Instances a, b and c; the coordinator is ``coordinator``."""

    def __init__(self):
        self.clock = timers.LoopTimers(0.0)
        self.network = Network()
        self.coordinator = "a"
        self.holders = frozenset("abc")
        self.nodes = {}

    async def start(self, stack, name, incarnation=1):
        lender = lending.Lender(
            self.clock,
            DirectTransport(self.network, name),
            name,
            incarnation,
            lambda shard: lending.Coordinator(
                self.coordinator, self.coordinator
            ),
            lambda: self.holders,
            lambda: CATALOGUE,
            random.Random(name),
        )
        limiter = limits.Limiter(self.clock, lambda: CATALOGUE, lender)
        self.nodes[name] = limiter, lender
        await stack.enter_async_context(lender.run())

    def read_shares(self):
        now_s = self.clock.read_monotonic()
        entry = CATALOGUE.institutions["adwoa"].limits
        return {
            name: lender.read_share("adwoa", entry, now_s)
            for name, (_, lender) in self.nodes.items()
        }

    def sum_units(self):
        return sum(share.units for share in self.read_shares().values())

    async def load(self, name, seconds, check=None):
        """Sends 20 requests a second to an instance; checks the share sum."""
        for _ in range(int(seconds * 20)):
            self.nodes[name][0].admit(
                "adwoa", "adwoa/desk", requests.RequestClass.BATCH, 1, False
            )
            await self.clock.sleep(0.05)
            assert self.sum_units() <= limitshare.SHARE_UNITS
            if check is not None:
                check()


def run(check):
    async def main():
        harness = Harness()
        async with contextlib.AsyncExitStack() as stack:
            for name in sorted(harness.holders):
                await harness.start(stack, name)
            await check(harness, stack)

    virtualloop.run(main())


def test_instances_that_start_together_get_equal_shares():
    async def check(harness, stack):
        # Only the last instance to start is confirmed by all others already.
        assert [s.units for s in harness.read_shares().values()] == [
            0,
            0,
            333_333,
        ]
        await harness.clock.sleep(3.0)
        assert [s.units for s in harness.read_shares().values()] == [
            333_333
        ] * 3
        slots = [s.long_slots for s in harness.read_shares().values()]
        assert sum(slots) == 2

    run(check)


def test_unused_share_is_lent_and_returned():
    async def check(harness, stack):
        await harness.clock.sleep(3.0)
        await harness.load("b", 4.0)
        assert harness.read_shares()["b"].units > 900_000
        await harness.load("c", 5.0)
        shares = harness.read_shares()
        assert shares["c"].units > 900_000
        assert shares["b"].units < 50_000

    run(check)


def test_a_slot_is_lent_and_returned_after_its_prompt():
    async def check(harness, stack):
        await harness.clock.sleep(3.0)
        shares = harness.read_shares()
        name = min(shares, key=lambda name: shares[name].long_slots)
        limiter = harness.nodes[name][0]

        def admit():
            return limiter.admit(
                "adwoa", "adwoa/desk", requests.RequestClass.BATCH, 1, True
            ).value_or(None)

        tickets = []
        for _ in range(12):
            tickets += [ticket for ticket in [admit()] if ticket]
            await harness.clock.sleep(0.5)
        assert len(tickets) == 2
        for ticket in tickets:
            ticket.close()
        await harness.clock.sleep(8.0)
        assert [s.long_slots for s in harness.read_shares().values()] == [
            share.long_slots for share in shares.values()
        ]

    run(check)


def test_a_partitioned_instance_gets_its_static_share_back():
    async def check(harness, stack):
        await harness.clock.sleep(3.0)
        await harness.load("b", 4.0)
        harness.network.down = {"c"}
        await harness.load("b", 2.0)
        assert harness.read_shares()["c"].units < 50_000
        await harness.load("b", 6.0)
        assert harness.read_shares()["c"].units == 333_333
        assert 600_000 < harness.read_shares()["b"].units <= 666_667

    run(check)


def test_a_new_coordinator_lends_without_exceeding_the_limit():
    async def check(harness, stack):
        await harness.clock.sleep(3.0)
        await harness.load("b", 4.0)
        harness.network.down = {"a"}
        harness.coordinator = "c"
        await harness.load("b", 10.0)
        shares = harness.read_shares()
        assert shares["a"].units == 333_333
        assert shares["b"].units > 600_000

    run(check)


def test_a_paused_instance_stops_using_its_share():
    async def check(harness, stack):
        await harness.clock.sleep(3.0)
        limiter, lender = harness.nodes["b"]
        entry = CATALOGUE.institutions["adwoa"].limits
        share = lender.read_share("adwoa", entry, 3.0)
        assert share.units == 333_333
        later = lender.read_share("adwoa", entry, share.until_s)
        assert later == limitshare.NO_SHARE

    run(check)


def test_a_replacement_waits_until_the_others_left_room():
    async def check(harness, stack):
        await harness.clock.sleep(3.0)
        await harness.start(stack, "d")
        assert harness.read_shares()["d"].units == 0
        await harness.clock.sleep(3.0)
        assert harness.read_shares()["d"].units == 0
        harness.holders = frozenset("abcd")
        await harness.clock.sleep(4.0)
        assert [s.units for s in harness.read_shares().values()] == [
            250_000
        ] * 4

    run(check)
