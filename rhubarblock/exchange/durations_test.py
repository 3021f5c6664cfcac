import math

from rhubarblock.exchange import durations


def test_exchange_fits_if_its_route_takes_less_than_what_is_left():
    known = durations.RouteDurations()
    assert known.fits("r-1", 10.0, 10.0 + 0.1, True)
    for _ in range(100):
        known.note("r-1", 2.0)
    assert not known.fits("r-1", 10.0, 10.0 + 2.5, True)
    assert known.fits("r-1", 10.0, 10.0 + 3.5, True)
    assert known.fits("r-1", 10.0, math.inf, True)
    assert known.fits("r-2", 10.0, 10.0 + 0.1, True)
    # Old durations must not keep a stopping instance from serving.
    for _ in range(100):
        known.note("r-1", 0.2)
    assert known.fits("r-1", 10.0, 10.0 + 0.5, True)


def test_call_that_runs_once_fits_only_if_the_longest_one_does():
    known = durations.RouteDurations()
    assert not known.fits("r-1", 10.0, 10.0 + 9.0, False)
    assert known.fits("r-1", 10.0, math.inf, False)
    known.note("r-1", 2.0)
    for _ in range(durations.REMEMBERED - 1):
        known.note("r-1", 0.1)
    assert known.fits("r-1", 10.0, 10.0 + 1.9, True)
    assert not known.fits("r-1", 10.0, 10.0 + 1.9, False)
    assert known.fits("r-1", 10.0, 10.0 + 2.1, False)
    for _ in range(2 * durations.REMEMBERED):
        known.note("r-1", 0.1)
    assert known.fits("r-1", 10.0, 10.0 + 1.9, False)


def test_call_that_runs_once_fits_only_if_those_under_way_are_no_longer():
    """The endpoint became slow after the latest call that ended."""
    known = durations.RouteDurations()
    known.note("r-1", 0.1)
    with known.track("r-1", 6.0):
        with known.track("r-1", 9.0):
            assert known.fits("r-1", 10.0, 15.0, True)
            assert not known.fits("r-1", 10.0, 15.0, False)
            assert known.fits("r-1", 10.0, 16.0, False)
            assert known.fits("r-2", 10.0, 15.0, True)
        assert not known.fits("r-1", 10.0, 15.0, False)
    assert known.fits("r-1", 10.0, 15.0, False)


def test_routes_that_are_gone_are_forgotten():
    known = durations.RouteDurations()
    known.note("gone", 9.0)
    for number in range(durations.MAX_ROUTES - 1):
        known.note(f"r-{number}", 1.0)
    known.note("r-0", 1.0)
    known.note("new", 1.0)
    assert known.fits("gone", 10.0, 10.0 + 0.1, True)
    assert not known.fits("r-0", 10.0, 10.0 + 0.1, True)
