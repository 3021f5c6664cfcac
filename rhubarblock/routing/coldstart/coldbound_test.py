import pytest

from rhubarblock.core import route as routes
from rhubarblock.routing.coldstart import coldbound

BOUND = coldbound.ColdBound(1.5, 5.0)


@pytest.mark.parametrize(
    ("per_s", "reached", "bound", "allowed"),
    [
        (1.0, 1.0, 6.5, 5),
        (26.0, 1.0, 44.0, 39),
        (200.0, 1.0, 305.0, 274),
        # Each side of a partition has its own part.
        (26.0, 0.5, 44.0, 19),
        # An endpoint is never unused for good.
        (1.0, 0.01, 6.5, 1),
    ],
)
def test_allowed_number_stays_below_the_bound(per_s, reached, bound, allowed):
    service = routes.ServiceSpec("desk", "/", 0, None, 15.0, per_s)
    assert BOUND.compute(service) == bound
    assert BOUND.compute_allowed(service, reached) == allowed


def test_wait_ends_when_the_window_has_room():
    assert coldbound.predict_room([0.9, 0.2], 3) == 0.0
    assert round(coldbound.predict_room([0.2, 0.75], 2), 3) == 0.35
    assert round(coldbound.predict_room([0.5, 0.75, 0.25], 2), 3) == 0.6
