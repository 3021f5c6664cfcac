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


def test_what_was_served_leaves_room_for_failures():
    budget, _ = make_budget()
    assert take(budget, logging.DEBUG, "served", 50) == 4
    assert take(budget, logging.INFO, "attempt ended", 50) == 3
    assert take(budget, logging.WARNING, "request failed", 50) == 3


def test_failures_may_use_all_lines_of_a_second():
    budget, _ = make_budget()
    assert take(budget, logging.WARNING, "request failed", 50) == 10
    assert take(budget, logging.DEBUG, "served", 1) == 0


def test_each_second_has_its_own_lines():
    budget, clock = make_budget()
    take(budget, logging.WARNING, "request failed", 50)
    clock.now_s += 1.0
    assert take(budget, logging.WARNING, "request failed", 50) == 10


def test_what_was_left_out_is_told_once_and_a_second_later():
    budget, clock = make_budget()
    take(budget, logging.DEBUG, "served", 7)
    take(budget, logging.INFO, "attempt ended", 4)
    assert budget.take_left_out() == {}
    clock.now_s += 1.0
    assert budget.take_left_out() == {"served": 3, "attempt ended": 1}
    assert budget.take_left_out() == {}
