import logging

from rhubarblock.kernel import linebudget


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def make_budget(lines_per_s=10):
    clock = Clock()
    return linebudget.LineBudget(clock, lines_per_s), clock


def take(budget, level, message, times):
    return sum(budget.take(level, message) for _ in range(times))


def test_lower_levels_leave_lines_for_failures():
    budget, _ = make_budget()
    assert take(budget, logging.DEBUG, "served", 50) == 4
    assert take(budget, logging.INFO, "attempt ended", 50) == 3
    assert take(budget, logging.WARNING, "request failed", 50) == 3


def test_failures_may_use_all_lines_of_a_second():
    budget, _ = make_budget()
    assert take(budget, logging.WARNING, "request failed", 50) == 10
    assert take(budget, logging.DEBUG, "served", 1) == 0


def test_budget_is_renewed_each_second():
    budget, clock = make_budget()
    take(budget, logging.WARNING, "request failed", 50)
    clock.now_s += 1.0
    assert take(budget, logging.WARNING, "request failed", 50) == 10


def test_dropped_lines_are_reported_once_in_the_next_second():
    budget, clock = make_budget()
    take(budget, logging.DEBUG, "served", 7)
    take(budget, logging.INFO, "attempt ended", 4)
    assert budget.take_dropped() == {}
    clock.now_s += 1.0
    assert budget.take_dropped() == {"served": 3, "attempt ended": 1}
    assert budget.take_dropped() == {}
