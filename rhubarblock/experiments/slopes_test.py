import pytest

from rhubarblock.experiments import slopes


def make_points(*sizes):
    return [{"instances": float(n), "entries": float(e)} for n, e in sizes]


def test_fit_recovers_an_exact_line():
    points = make_points((1, 0), (2, 0), (3, 0), (4, 0))
    fit = slopes.fit_line(("1", "instances"), points, [5.0, 7.0, 9.0, 11.0])
    assert fit.slopes == pytest.approx((3.0, 2.0))
    assert fit.errors == pytest.approx((0.0, 0.0), abs=1e-9)
    assert fit.r_squared == 1.0
    assert fit.predict({"instances": 100.0}) == pytest.approx(203.0)


def test_fit_recovers_the_slope_of_a_product_of_factors():
    points = make_points((1, 1), (1, 5), (4, 1), (4, 5))
    values = [2.0 + 0.5 * p["instances"] * p["entries"] for p in points]
    fit = slopes.fit_line(("1", "instances*entries"), points, values)
    assert fit.find_slope("instances*entries") == pytest.approx(0.5)


def test_errors_are_standard_errors_of_the_slopes():
    points = make_points((0, 0), (1, 0), (2, 0), (3, 0))
    fit = slopes.fit_line(("1", "instances"), points, [0.0, 1.2, 1.8, 3.0])
    # The residuals are -0.06, 0.18, -0.18 and 0.06, so the variance is
    # 0.072 / 2; divided by the spread of the sizes, 5, that is 0.0072.
    assert fit.find_slope("instances") == pytest.approx(0.96)
    assert fit.errors[1] == pytest.approx(0.0072**0.5)
    sizes = {"instances": 10.0}
    bound = fit.errors[0] + 10.0 * fit.errors[1]
    assert fit.predict_error(sizes) == pytest.approx(bound)


def test_constant_values_have_r_squared_of_one():
    points = make_points((1, 0), (2, 0), (3, 0), (4, 0))
    fit = slopes.fit_line(("1", "instances"), points, [0.1] * 4)
    assert fit.r_squared == 1.0


def test_too_few_points_to_estimate_errors_are_refused():
    with pytest.raises(ValueError, match="2 points for 2 terms"):
        slopes.fit_line(("1", "instances"), make_points((1, 0), (2, 0)), [1, 2])
