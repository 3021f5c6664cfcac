"""Tests of the estimated engine loads and of the ledger on top of them."""

import dataclasses

import pytest

from rhubarblock.core import endpoint as endpoints
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.plugins import length_aware
from rhubarblock.routing import ledger as ledgers
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable

_RATE = loadtable.PRIOR_PREFILL_RATE
_REMAINING = loadtable.MIN_REMAINING_TOKENS


def make_table(
    *names: str, kv_tokens: int = 400_000, roles: str = ""
) -> loadtable.LoadTable:
    """Returns a table of engines; ``roles`` has one letter for each."""
    table = loadtable.LoadTable(lag_s=0.5)
    table.set_endpoints(
        [
            endpoints.Endpoint(
                name,
                f"{name}:1",
                "osu-hall",
                "pool",
                endpoints.EndpointKind.ENGINE,
            )
            for name in names
        ],
        kv_tokens,
    )
    letters = {"p": endpoints.Role.PREFILL, "d": endpoints.Role.DECODE}
    for load, letter in zip(table.list_all(), roles, strict=False):
        load.role = letters.get(letter, endpoints.Role.BOTH)
    for load in table.list_all():
        load.models = ("reader@v1",)
    return table


def make_report(name, prefill=0, kv=0, decoding=0, **fields):
    values = {
        "endpoint_id": name,
        "measured_s": 0.0,
        "sequence": 1,
        "start_id": "s",
        "role": endpoints.Role.BOTH,
        "models": ("reader@v1",),
        "running": 0,
        "decoding": decoding,
        "waiting": 0,
        "prefill_tokens": prefill,
        "kv_capacity": 400_000,
        "kv_used": kv,
    }
    return endpoints.LoadReport(**values | fields)


def make_query(tokens=1_000, output=100, **fields):
    values = {"slack_s": 10.0, **fields}
    return placements.PlacementQuery(
        "r", "pool", "reader", tokens, output, **values
    )


def make_grant(name="g", tokens=10_000, priority=10, granted_s=0.0):
    return loadtable.Grant(name, "a", priority, tokens, tokens, True, granted_s)


def test_grants_shrink_by_priority_as_they_are_prefilled():
    table = make_table("a")
    table.add(make_grant("long", 36_000, 36))
    table.add(make_grant("short", 3_600, 3))
    load = table.find("a")
    assert load.estimate_backlog(20, 0.0) == loadtable.Backlog(3_600, 1)
    # In 0.2 s the engine computes 7,200 tokens, the short prompt first.
    later = load.estimate_backlog(36, 0.2)
    assert later == loadtable.Backlog(
        _REMAINING + 36_000 - (7_200 - 3_600 + _REMAINING), 0
    )
    table.end_prefill("short", "a")
    table.remove("long", "a")
    assert load.estimate_backlog(36, 0.2) == loadtable.Backlog(0.0, 0)
    assert load.count_decodes() == 1
    assert load.estimate_free_kv() == 400_000 - 3_600


def test_own_grants_are_subtracted_from_a_report():
    table = make_table("a")
    table.add(make_grant("old", 10_000, granted_s=0.0))
    table.add(make_grant("new", 20_000, granted_s=0.9))
    report = make_report("a", prefill=60_000, kv=50_000, decoding=4)
    table.take_report(report, 1.0)
    load = table.find("a")
    # The report was measured at 0.5 s, so it includes only the old grant.
    assert load.other_kv == 50_000 - 10_000
    assert load.other_decodes == 4 - 1
    before = load.estimate_backlog(0, 1.0).before
    assert before == load.other_prefill - 0.5 * _RATE


def test_expired_report_is_ignored():
    table = make_table("a")
    table.take_report(make_report("a", prefill=10_000_000), 1.0)
    load = table.find("a")
    lifetime_s = loadtable.REPORT_LIFETIME_S
    assert load.estimate_backlog(0, 0.4 + lifetime_s).before > 0
    assert load.estimate_backlog(0, 0.6 + lifetime_s).before == 0.0


def test_engine_that_is_listed_again_keeps_its_grants():
    table = make_table("a", "b")
    table.add(make_grant())
    kept = [table.find("b").endpoint]
    table.set_endpoints(kept, 1)
    assert [x.endpoint.endpoint_id for x in table.list_usable()] == ["b"]
    table.set_endpoints([table.find("a").endpoint, *kept], 1)
    assert list(table.find("a").grants) == ["g"]
    table.take_report(make_report("unknown"), 1.0)
    known = table.list_loads("pool", "reader")
    assert [x.endpoint.endpoint_id for x in known] == ["a", "b"]


def test_engine_serves_only_what_it_reported_last():
    table = make_table("a")
    assert table.list_loads("pool", "writer") == []
    table.take_report(make_report("a", models=("writer@v2",)), 1.0)
    assert table.list_loads("pool", "reader") == []
    assert table.list_loads("pool", "writer") == [table.find("a")]
    assert table.list_loads("other", "writer") == []


_GROUP = placements.Placement(
    "c", "c", 900, (placements.Segment("a", 300), placements.Segment("b", 600))
)
_HANDED = placements.Placement("a", "b", 1)


@pytest.mark.parametrize(
    ("placement", "expected"),
    [
        (_HANDED, {"a": (1_000, False), "b": (1_000, True)}),
        (_GROUP, {"a": (300, False), "b": (300, False), "c": (400, True)}),
    ],
)
def test_ledger_counts_each_engine_of_a_placement_once(placement, expected):
    async def main():
        table = make_table("a", "b", "c")
        timers = timer_service.LoopTimers(0.0)
        ledger = ledgers.Ledger(table, length_aware.LengthAwarePolicy(), timers)

        def read():
            return {
                load.endpoint.endpoint_id: (grant.kv_tokens, grant.decodes)
                for load in table.list_all()
                for grant in load.grants.values()
            }

        seen = []
        for end in (
            lambda: ledger.release("g"),
            lambda: ledger.release_owner("entry-1"),
            ledger.collect_expired,
        ):
            query = make_query(900, 100, slack_s=3.0)
            ledger.adopt("g", query, placement, "entry-1")
            ledger.release("other")
            ledger.release_owner("entry-2")
            ledger.end_prefill("g")
            seen.append(read())
            await timers.sleep(3.0 + ledgers.GRACE_S)
            assert read() == seen[-1]
            await timers.sleep(0.1)
            end()
            assert read() == {}
        return seen

    assert virtualloop.run(main()) == [expected] * 3


def test_replaced_engine_takes_its_new_address():
    table = make_table("a")
    before = table.find("a").endpoint
    moved = dataclasses.replace(before, address="10.9.9.9:8000")
    table.set_endpoints([moved], 1)
    assert table.find("a").endpoint == moved
