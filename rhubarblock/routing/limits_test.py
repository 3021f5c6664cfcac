import pytest
from returns import result

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers
from rhubarblock.kernel import virtualloop
from rhubarblock.routing import limits
from rhubarblock.routing import limitshare

BATCH = requests.RequestClass.BATCH


def make_catalogue(institution, workspace):
    return catalogues.Catalogue(
        revision=1,
        institutions={
            "adwoa": catalogues.Institution("adwoa", "o", institution)
        },
        workspaces={
            "adwoa/desk": catalogues.Workspace(
                "adwoa/desk", "o", "adwoa", BATCH, workspace
            )
        },
    )


class Harness:
    """A limiter on a fake clock."""

    def __init__(self, institution=None, workspace=None, shares=None):
        self.catalogue = make_catalogue(
            institution or catalogues.Limits(), workspace or catalogues.Limits()
        )
        self.clock = timers.LoopTimers(0.0)
        self.limiter = limits.Limiter(
            self.clock,
            lambda: self.catalogue,
            shares or limitshare.FixedShares(),
        )

    def admit(self, tokens=1, long=False, max_delay_s=0.0):
        return self.limiter.admit(
            "adwoa", "adwoa/desk", BATCH, tokens, long, max_delay_s
        )

    def is_admitted(self, *arguments):
        return isinstance(self.admit(*arguments), result.Success)


def run(check):
    async def main():
        await check()

    virtualloop.run(main())


def test_refusal_contains_the_time_until_the_next_admission():
    async def check():
        harness = Harness(catalogues.Limits(requests_per_s=2))
        assert harness.is_admitted()
        refusal = harness.admit().failure()
        assert refusal == failures.Failure(
            failures.FailureCode.LIMIT_EXCEEDED,
            "adwoa is at its limit (batch)",
            verdicts.Verdict.NOT_RUN,
            0.5,
        )
        await harness.clock.sleep(0.49)
        assert not harness.is_admitted()
        await harness.clock.sleep(0.01)
        assert harness.is_admitted()

    run(check)


def test_a_refusal_by_one_limit_charges_no_other():
    async def check():
        harness = Harness(
            catalogues.Limits(tokens_per_s=100),
            catalogues.Limits(requests_per_s=1),
        )
        assert harness.is_admitted(100)
        for _ in range(5):
            assert not harness.is_admitted(1000)
        assert harness.limiter.read_unpaid_tokens("adwoa") == 100

    run(check)


def test_debt_of_a_large_prompt_is_paid_before_the_next_one():
    async def check():
        harness = Harness(workspace=catalogues.Limits(tokens_per_s=1000))
        assert harness.is_admitted(5000)
        assert harness.admit().failure().retry_after_s == 5.0
        await harness.clock.sleep(5.0)
        assert harness.is_admitted()

    run(check)


def test_a_long_prompt_leaves_half_of_the_rate_to_short_ones():
    async def check():
        harness = Harness(catalogues.Limits(tokens_per_s=1000))
        assert harness.is_admitted(10_000, True)
        admitted = 0
        for _ in range(100):
            await harness.clock.sleep(0.1)
            admitted += harness.is_admitted(100)
        assert admitted == 51
        assert not harness.is_admitted(10_000, True)
        await harness.clock.sleep(10.0)
        assert harness.is_admitted(10_000, True)

    run(check)


def test_slots_of_long_prompts_are_freed_once():
    async def check():
        harness = Harness(catalogues.Limits(concurrent_long=1))
        ticket = harness.admit(1, True).unwrap()
        refusal = harness.admit(1, True).failure()
        assert refusal.retry_after_s == limits.LENDING_RETRY_S
        assert harness.is_admitted(1, False)
        ticket.close()
        ticket.close()
        assert harness.is_admitted(1, True)
        assert not harness.is_admitted(1, True)

    run(check)


def test_unused_tokens_are_refunded():
    async def check():
        harness = Harness(catalogues.Limits(tokens_per_s=100))
        harness.admit(1000).unwrap().close(unused_tokens=900)
        assert harness.admit().failure().retry_after_s == 1.0

    run(check)


def test_a_request_may_be_held_back_instead_of_refused():
    async def check():
        harness = Harness(catalogues.Limits(requests_per_s=2))
        delays = [
            harness.admit(1, False, 1.0).map(lambda ticket: ticket.delay_s)
            for _ in range(4)
        ]
        assert [delay.value_or(None) for delay in delays] == [
            0.0,
            0.5,
            1.0,
            None,
        ]

    run(check)


def test_new_limits_apply_at_once():
    async def check():
        harness = Harness(catalogues.Limits(requests_per_s=1))
        assert harness.is_admitted()
        harness.catalogue = make_catalogue(
            catalogues.Limits(requests_per_s=10), catalogues.Limits()
        )
        assert harness.admit().failure().retry_after_s == pytest.approx(0.1)

    run(check)


def test_unknown_workspaces_are_refused_and_unlimited_ones_are_not():
    async def check():
        harness = Harness()
        assert all(harness.is_admitted(10**9, True) for _ in range(100))
        answer = harness.limiter.admit("adwoa", "adwoa/x", BATCH, 1, False)
        assert answer.failure().code is failures.FailureCode.UNKNOWN_WORKSPACE

    run(check)


class ExpiringShares(limitshare.FixedShares):
    """The whole limit for three seconds, a tenth of it after that."""

    def read_share(self, key, entry_limits, at_s):
        if at_s < 3.0:
            return limitshare.Share(limitshare.SHARE_UNITS, 0, 3.0)
        return limitshare.Share(limitshare.SHARE_UNITS // 10, 0)


def test_a_share_expires_although_nothing_ran_at_that_moment():
    async def check():
        harness = Harness(
            catalogues.Limits(tokens_per_s=100), shares=ExpiringShares()
        )
        assert harness.is_admitted(1000)
        await harness.clock.sleep(10.0)
        assert harness.limiter.read_unpaid_tokens("adwoa") == pytest.approx(630)

    run(check)


def test_demand_includes_refused_requests():
    async def check():
        harness = Harness(
            catalogues.Limits(tokens_per_s=1000, concurrent_long=3),
            shares=limitshare.FixedShares(total=4, number=3),
        )
        harness.limiter.collect_demands()
        assert not harness.is_admitted(1, True)
        for _ in range(4):
            harness.admit(100)
        await harness.clock.sleep(1.0)
        demand = harness.limiter.collect_demands()["adwoa"]
        assert demand == limitshare.Demand(
            units=501_250, long_slots=1, long_held=0
        )

    run(check)
