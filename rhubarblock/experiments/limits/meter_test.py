from rhubarblock.experiments.limits import meter as limitsmeter


def test_over_use_is_that_of_the_worst_window():
    meter = limitsmeter.UseMeter(10.0)
    for second in range(31):
        meter.sample(float(second), 0.0)
        meter.admitted += 12.0 if 5 <= second < 25 else 8.0
    assert round(meter.compute_over_use(), 6) == 0.2
    assert round(meter.compute_use(25.0, 30.0), 6) == 0.8


def test_unpaid_tokens_count_as_use_only_when_paid():
    meter = limitsmeter.UseMeter(10.0)
    meter.admitted = 300.0
    for second in range(31):
        meter.sample(float(second), 300.0 - 10.0 * second)
    assert round(meter.compute_over_use(), 6) == 0.0
    meter.admitted += 50.0
    meter.sample(31.0, 50.0)
    assert round(meter.compute_over_admission(), 6) == 0.0


def test_over_admission_counts_all_tokens_at_admission():
    meter = limitsmeter.UseMeter(10.0)
    meter.sample(0.0, 0.0)
    meter.admitted = 150.0
    meter.sample(0.1, 150.0)
    assert round(meter.compute_over_admission(), 6) == 0.5
    assert meter.compute_over_use() == 0.0
