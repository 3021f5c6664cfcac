import random

import pytest

from rhubarblock.core import verdict as verdicts
from rhubarblock.relay import backoff


class HighestRandom(random.Random):
    def uniform(self, a, b):
        return b


def test_ceiling_doubles_up_to_the_maximum():
    waits = backoff.Backoff(HighestRandom())
    drawn = [waits.draw_wait(n, 0.0, 100.0) for n in (1, 2, 3, 7, 10_000)]
    assert drawn == [0.02, 0.04, 0.08, 1.0, 1.0]


def test_waits_have_full_jitter():
    waits = backoff.Backoff(random.Random(1))
    drawn = [waits.draw_wait(7, 0.0, 100.0) for _ in range(1000)]
    assert 0.0 <= min(drawn) < 0.01
    assert 0.99 < max(drawn) <= 1.0


def test_no_wait_ends_after_the_deadline():
    waits = backoff.Backoff(HighestRandom())
    assert waits.draw_wait(7, 10.0, 11.0) is None
    assert waits.draw_wait(7, 10.0, 11.1) == 1.0


@pytest.mark.parametrize("verdict", list(verdicts.Verdict))
def test_attempt_that_may_have_run_is_retried_only_if_idempotent(verdict):
    assert backoff.may_retry(verdict, idempotent=True)
    assert backoff.may_retry(verdict, idempotent=False) == (
        verdict is verdicts.Verdict.NOT_RUN
    )
