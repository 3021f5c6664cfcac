import pytest

from rhubarblock.experiments import quarantineparts


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("poisoned_per_s", [0.1, 2.0, 10.0])
def test_part_that_crashes_endpoints_stops_for_good_and_spares_the_sound(
    poisoned_per_s, seed
):
    figures = quarantineparts.measure(seed, poisoned_per_s)
    assert figures.endpoints_lost_to_poison <= quarantineparts.KNOWN_CRASHES
    assert figures.arrivals_after_fifth <= 3
    assert figures.begun_ratio >= 1 / 2
    assert figures.innocents_quarantined == 0
