import math

from rhubarblock.exchange import durations


def test_exchange_fits_if_its_route_takes_less_than_what_is_left():
    known = durations.RouteDurations()
    assert known.fits("r-1", 0.1)
    for _ in range(100):
        known.note("r-1", 2.0)
    assert not known.fits("r-1", 2.5)
    assert known.fits("r-1", 3.5)
    assert known.fits("r-1", math.inf)
    assert known.fits("r-2", 0.1)
    # Old durations must not keep a stopping instance from serving.
    for _ in range(100):
        known.note("r-1", 0.2)
    assert known.fits("r-1", 0.5)


def test_call_that_runs_once_fits_only_if_the_longest_one_does():
    known = durations.RouteDurations()
    assert not known.fits("r-1", 9.0, is_repeatable=False)
    assert known.fits("r-1", math.inf, is_repeatable=False)
    known.note("r-1", 2.0)
    for _ in range(durations.REMEMBERED - 1):
        known.note("r-1", 0.1)
    assert known.fits("r-1", 1.9)
    assert not known.fits("r-1", 1.9, is_repeatable=False)
    assert known.fits("r-1", 2.1, is_repeatable=False)
    for _ in range(2 * durations.REMEMBERED):
        known.note("r-1", 0.1)
    assert known.fits("r-1", 1.9, is_repeatable=False)


def test_routes_that_are_gone_are_forgotten():
    known = durations.RouteDurations()
    known.note("gone", 9.0)
    for number in range(durations.MAX_ROUTES - 1):
        known.note(f"r-{number}", 1.0)
    known.note("r-0", 1.0)
    known.note("new", 1.0)
    assert known.fits("gone", 0.1)
    assert not known.fits("r-0", 0.1)
