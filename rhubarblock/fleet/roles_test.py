import pytest

from rhubarblock.fleet import roles


@pytest.mark.parametrize(
    ("engines", "prefill", "decode", "planned"),
    [
        (14, 0.0, 0.0, 0),
        # One side has less load than one engine can take: every engine does
        # both.
        (14, 300_000.0, 100.0, 0),
        (14, 20_000.0, 600.0, 0),
        # The load needs 10 prefill and 3 decode engines.
        (14, 280_000.0, 510.0, 3),
        (3, 280_000.0, 510.0, 0),
        # Neither side is left without an engine.
        (4, 2_800_000.0, 200.0, 1),
    ],
)
def test_split_follows_the_load(engines, prefill, decode, planned):
    demand = roles.Demand(prefill, decode)
    assert roles.plan_roles(engines, demand) == planned


def test_kv_memory_demand_adds_decode_engines():
    demand = roles.Demand(56_000.0, 100.0, kv_tokens=560_000.0)
    assert roles.plan_roles(8, demand) == 4


@pytest.mark.parametrize(
    ("engines", "share", "planned"),
    [(10, 0.0, 0), (10, 0.3, 3), (10, 0.01, 1), (10, 1.0, 9), (1, 0.5, 0)],
)
def test_fixed_split_follows_the_share(engines, share, planned):
    assert roles.plan_fixed_roles(engines, share) == planned
