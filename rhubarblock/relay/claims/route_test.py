"""Tests of claims that are forwarded to the coordinator of their shard."""

import asyncio
import random

import pytest
from returns import result

from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.relay.claims import ledger as claims
from rhubarblock.relay.claims import ops as claimops
from rhubarblock.relay.claims import row as claimrow
from rhubarblock.relay.claims import wire as claimwire
from rhubarblock.standins import memorypeers
from rhubarblock.standins.platform import store as platform

ROW = claimrow.ClaimRow(
    key_digest="00ff" * 8,
    body_digest="d1",
    claim_id="c1",
    attempt_id="r1",
    state=claimrow.RowState.DONE,
    claimed_wall_s=1.5,
    until_wall_s=2.5,
    answer=claimrow.RowAnswer(200, "text/plain", b"\xff", "a1"),
)


class Fleet:
    """Three ledgers; the first one coordinates all shards."""

    def __init__(self):
        self.timers = timer_service.LoopTimers(0.0)
        self.store = platform.MemoryStore(self.timers, random.Random(1))
        self.network = memorypeers.MemoryPeerNetwork(random.Random(2))
        self.connections = []
        self.ledgers = []
        for number in range(3):
            connection = self.store.connect(f"i{number}")
            peers = self.network.join(f"peer:{number}", f"i{number}")
            ledger = claims.ClaimLedger(
                connection,
                self.timers,
                f"i{number}",
                random.Random(number),
                peers=peers,
                find_coordinator=(lambda duty: "peer:0") if number else None,
            )
            self.connections.append(connection)
            self.ledgers.append(ledger)

    async def claim(self, number: int, key: str) -> str:
        deadline_s = self.timers.read_monotonic() + 30.0
        outcome = await self.ledgers[number].claim(
            "adwoa", key, "d1", "r1", deadline_s
        )
        if not isinstance(outcome, result.Success):
            return outcome.failure().code.value
        granted = outcome.unwrap()
        if isinstance(granted, claims.StoredAnswer):
            return "kept"
        await self.ledgers[number].finish_unknown(granted)
        return "granted"


def test_only_the_coordinator_writes() -> None:
    async def main() -> None:
        fleet = Fleet()
        assert await fleet.claim(1, "k1") == "granted"
        assert await fleet.claim(2, "k1") == "outcome_unknown"
        assert await fleet.claim(0, "k1") == "outcome_unknown"
        assert await fleet.claim(2, "k2") == "granted"
        writes = [ledger.counters["commit.written"] for ledger in fleet.ledgers]
        assert writes[0] > 0
        assert writes[1:] == [0, 0]

    virtualloop.run(main())


def test_concurrent_claims_share_writes() -> None:
    async def main() -> None:
        fleet = Fleet()
        assert await fleet.claim(1, "k0") == "granted"
        before = fleet.store.counters["write"]
        seen = await asyncio.gather(
            *[fleet.claim(1 + n % 2, f"k{n}") for n in range(1, 81)]
        )
        assert set(seen) == {"granted"}
        assert fleet.store.counters["write"] - before < 80

    virtualloop.run(main())


@pytest.mark.parametrize("fault", ["dead", "paused", "cut from the platform"])
def test_instances_write_claims_themselves_if_the_coordinator_fails(
    fault,
) -> None:
    async def main() -> None:
        fleet = Fleet()
        assert await fleet.claim(1, "k1") == "granted"
        if fault == "dead":
            fleet.network.remove("peer:0")
        elif fault == "paused":
            fleet.network.pause("peer:0")
        else:
            fleet.connections[0].cut_off()
        seen = await asyncio.gather(fleet.claim(1, "k2"), fleet.claim(2, "k2"))
        assert sorted(seen) == ["granted", "outcome_unknown"]
        assert await fleet.claim(2, "k1") == "outcome_unknown"

    virtualloop.run(main())


def test_claim_written_late_by_the_coordinator_is_granted_once() -> None:
    async def main() -> None:
        fleet = Fleet()
        assert await fleet.claim(1, "k1") == "granted"
        fleet.connections[0].cut_off()
        assert await fleet.claim(1, "k2") == "granted"
        fleet.connections[0].join()
        await asyncio.sleep(60)
        assert await fleet.claim(2, "k2") == "outcome_unknown"
        assert await fleet.claim(0, "k2") == "outcome_unknown"

    virtualloop.run(main())


def test_operations_survive_encoding() -> None:
    async def main() -> None:
        sent = [
            claimops.Claim(ROW),
            claimops.Lookup("aa" * 16),
            claimops.Finish("bb" * 16, "c2", ROW.state, ROW.answer),
            claimops.Finish("bb" * 16, "c2", ROW.state, None),
            claimops.Release("cc" * 16, "c3"),
        ]
        message = claimwire.encode_batch(claimwire.Batch(sent, 0.5))
        batch = claimwire.decode_batch(message)
        assert batch.left_s == 0.5
        claim, lookup, finish, bare, release = batch.operations
        assert isinstance(claim, claimops.ForwardedClaim)
        assert claim.row == ROW
        assert isinstance(lookup, claimops.Lookup)
        assert lookup.key_digest == "aa" * 16
        assert isinstance(finish, claimops.Finish)
        assert (finish.claim_id, finish.state) == ("c2", ROW.state)
        assert finish.answer == ROW.answer
        assert isinstance(bare, claimops.Finish) and bare.answer is None
        assert isinstance(release, claimops.Release)
        assert release.claim_id == "c3"

    virtualloop.run(main())


def test_found_rows_survive_encoding() -> None:
    message = claimwire.encode_found([ROW, None])
    assert claimwire.decode_found(message) == [ROW, None]
