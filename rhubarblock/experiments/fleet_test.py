import pytest

from rhubarblock.experiments import fleet
from rhubarblock.kernel import virtualloop


def test_session_meets_its_bounds():
    result = virtualloop.run(fleet.measure(6, seed=1))
    assert (
        result.config_reverts,
        result.false_deaths,
        result.stale_orders_obeyed,
        result.version_change_failed_requests,
        result.version_changes_done,
        result.converged,
    ) == (0, 0, 0, 0, True, True)
    assert result.config_in_force_s.max <= 3.0
    assert result.death_known_s.max <= 3.0
    assert result.leaving_got_work_s <= 3.0


@pytest.mark.parametrize("instances", [5, 61])
def test_size_out_of_range_is_refused(instances):
    with pytest.raises(ValueError, match="6 to 60"):
        virtualloop.run(fleet.measure(instances, seed=1))
