"""Tests of the predicted durations and of admission by them."""

import pytest
from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.routing.admission import deadline as admissions
from rhubarblock.routing.placement import predictor as predictors


def make_request(tokens=36_000, output=100, deadline_s=10.0):
    return requests.PromptRequest(
        "r",
        "adwoa",
        "adwoa/claims",
        "reader",
        requests.RequestClass.INTERACTIVE,
        tokens,
        output,
        deadline_s,
        "d",
    )


def observe(predictor, ratio, times):
    for _ in range(times):
        nominal_s = predictors.nominal_start(36_000)
        predictor.observe_first_token("reader", 36_000, ratio * nominal_s)
        predictor.observe_decode("reader", 99, ratio * 0.99)


def test_prediction_follows_the_observed_mean_and_deviation():
    predictor = predictors.Predictor()
    first = predictor.bound_total("reader", 36_000, 100)
    observe(predictor, 3.0, 200)
    steady = predictor.bound_total("reader", 36_000, 100)
    for _ in range(100):
        observe(predictor, 1.0, 1)
        observe(predictor, 5.0, 1)
    spread = predictor.bound_total("reader", 36_000, 100)
    nominal = predictors.nominal_start(36_000) + 1.0
    assert first == pytest.approx(1.75 * nominal)
    assert steady == pytest.approx(3.0 * nominal, rel=0.01)
    # The mean is the same; three mean deviations of 2 are added to it.
    assert spread == pytest.approx(9.0 * nominal, rel=0.05)


def test_models_are_predicted_apart_and_a_single_token_is_ignored():
    predictor = predictors.Predictor()
    before = predictor.bound_total("other", 1_000, 10)
    observe(predictor, 9.0, 50)
    predictor.observe_decode("other", 0, 0.0)
    assert predictor.bound_total("other", 1_000, 10) == before


def test_only_what_can_end_in_time_is_admitted():
    admission = admissions.Admission(predictors.Predictor(), admits_all=False)
    request = make_request(deadline_s=10.0)
    bound_s = 1.75 * (predictors.nominal_start(36_000) + 1.0)
    admitted = admission.check(request, 2.0, 1.0)
    assert admitted == result.Success(pytest.approx(10.0 - bound_s))
    refused = admission.check(request, 8.0, 1.25).failure()
    assert refused == failures.Failure(
        failures.FailureCode.DEADLINE_UNREACHABLE,
        "predicted to end 2.77 s after the deadline",
        retry_after_s=2.8,
    )


def test_admission_without_prediction_admits_up_to_the_deadline():
    admission = admissions.Admission(predictors.Predictor(), admits_all=True)
    assert admission.check(make_request(), 9.9, 0.0) == result.Success(10.0)
    assert isinstance(
        admission.check(make_request(), 10.1, 0.0), result.Failure
    )
