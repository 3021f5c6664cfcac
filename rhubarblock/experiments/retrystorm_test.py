from rhubarblock.experiments import retrystorm


def test_retry_budget_bounds_amplification_while_half_of_the_endpoints_fail():
    figures = retrystorm.measure(seed=1)
    assert figures.amplification < 1.2
    assert figures.answered_after > 0.99


def test_unlimited_retries_amplify_the_load():
    figures = retrystorm.measure(seed=1, policy="unlimited")
    assert figures.amplification > 3.0
