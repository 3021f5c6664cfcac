"""Tests of the claim cost measurement."""

from rhubarblock.experiments import claimcost


def test_object_per_claim_costs_three_writes() -> None:
    cost = claimcost.measure(claimcost.CostPlan("object", 10.0, seconds=5.0))
    assert (cost.claims, cost.writes_per_claim) == (50, 3.0)
    assert (cost.refused, cost.unrecorded, cost.double_runs) == (0, 0, 0)


def test_coordinator_batches_claims_into_shared_writes() -> None:
    cost = claimcost.measure(claimcost.CostPlan("forward", 300.0, seconds=5.0))
    assert cost.writes_per_claim < 1.0
    assert (cost.refused, cost.double_runs) == (0, 0)


def test_only_leases_let_a_paused_holder_cause_double_runs() -> None:
    doubles = {
        way: claimcost.measure(
            claimcost.CostPlan(way, 2.0, seconds=10.0, pause_share=0.5)
        ).double_runs
        for way in ("forward", "group", "object", "lease")
    }
    assert doubles.pop("lease") > 0
    assert set(doubles.values()) == {0}


def test_same_seed_gives_the_same_figures() -> None:
    plan = claimcost.CostPlan("forward", 10.0, seconds=5.0)
    assert claimcost.measure(plan) == claimcost.measure(plan)
