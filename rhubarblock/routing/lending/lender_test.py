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
    """Calls handlers directly; ``down`` holds addresses that do not answer."""

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


class Bench:
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
            lambda duty: lending.Coordinator(
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
        """Sends twenty requests a second to one instance."""
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
        bench = Bench()
        async with contextlib.AsyncExitStack() as stack:
            for name in sorted(bench.holders):
                await bench.start(stack, name)
            await check(bench, stack)

    virtualloop.run(main())


def test_instances_that_start_together_soon_have_equal_shares():
    async def check(bench, stack):
        # Only the last one to start has all others' word already.
        assert [s.units for s in bench.read_shares().values()] == [
            0,
            0,
            333_333,
        ]
        await bench.clock.sleep(3.0)
        assert [s.units for s in bench.read_shares().values()] == [333_333] * 3
        slots = [s.long_slots for s in bench.read_shares().values()]
        assert sum(slots) == 2

    run(check)


def test_unused_share_is_lent_and_taken_back():
    async def check(bench, stack):
        await bench.clock.sleep(3.0)
        await bench.load("b", 4.0)
        assert bench.read_shares()["b"].units > 900_000
        await bench.load("c", 5.0)
        shares = bench.read_shares()
        assert shares["c"].units > 900_000
        assert shares["b"].units < 50_000

    run(check)


def test_a_slot_is_lent_and_comes_back_after_its_prompt():
    async def check(bench, stack):
        await bench.clock.sleep(3.0)
        shares = bench.read_shares()
        name = min(shares, key=lambda name: shares[name].long_slots)
        limiter = bench.nodes[name][0]

        def admit():
            return limiter.admit(
                "adwoa", "adwoa/desk", requests.RequestClass.BATCH, 1, True
            ).value_or(None)

        tickets = []
        for _ in range(12):
            tickets += [ticket for ticket in [admit()] if ticket]
            await bench.clock.sleep(0.5)
        assert len(tickets) == 2
        for ticket in tickets:
            ticket.close()
        await bench.clock.sleep(8.0)
        assert [s.long_slots for s in bench.read_shares().values()] == [
            share.long_slots for share in shares.values()
        ]

    run(check)


def test_an_instance_that_is_cut_off_has_its_own_share_again():
    async def check(bench, stack):
        await bench.clock.sleep(3.0)
        await bench.load("b", 4.0)
        bench.network.down = {"c"}
        await bench.load("b", 2.0)
        assert bench.read_shares()["c"].units < 50_000
        await bench.load("b", 6.0)
        assert bench.read_shares()["c"].units == 333_333
        assert 600_000 < bench.read_shares()["b"].units <= 666_667

    run(check)


def test_a_new_coordinator_lends_again_and_never_too_much():
    async def check(bench, stack):
        await bench.clock.sleep(3.0)
        await bench.load("b", 4.0)
        bench.network.down = {"a"}
        bench.coordinator = "c"
        await bench.load("b", 10.0)
        shares = bench.read_shares()
        assert shares["a"].units == 333_333
        assert shares["b"].units > 600_000

    run(check)


def test_a_paused_instance_does_not_go_on_with_its_share():
    async def check(bench, stack):
        await bench.clock.sleep(3.0)
        limiter, lender = bench.nodes["b"]
        entry = CATALOGUE.institutions["adwoa"].limits
        share = lender.read_share("adwoa", entry, 3.0)
        assert share.units == 333_333
        later = lender.read_share("adwoa", entry, share.until_s)
        assert later == limitshare.NO_SHARE

    run(check)


def test_a_replacement_waits_until_the_others_left_it_room():
    async def check(bench, stack):
        await bench.clock.sleep(3.0)
        await bench.start(stack, "d")
        assert bench.read_shares()["d"].units == 0
        await bench.clock.sleep(3.0)
        assert bench.read_shares()["d"].units == 0
        bench.holders = frozenset("abcd")
        await bench.clock.sleep(4.0)
        assert [s.units for s in bench.read_shares().values()] == [250_000] * 4

    run(check)
