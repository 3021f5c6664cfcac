from rhubarblock.experiments import quarantine


def test_quarantine_stops_a_poison_after_two_crashes_and_spares_innocents():
    figures = quarantine.measure(seed=1)
    assert figures.endpoints_lost_to_poison == 2
    assert figures.innocents_quarantined == 0
    assert figures.innocents_failed == 0
    assert figures.innocents > 5000


def test_poison_crashes_many_endpoints_without_quarantine():
    figures = quarantine.measure(seed=1, policy="none")
    assert figures.endpoints_lost_to_poison > 20
