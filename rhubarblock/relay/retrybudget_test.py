from rhubarblock.kernel import timers
from rhubarblock.kernel import virtualloop
from rhubarblock.relay import retrybudget


def spend_all(budget):
    spent = 0
    while budget.try_spend():
        spent += 1
    return spent


def test_budget_is_a_share_of_the_successes_in_the_window():
    async def main():
        clock = timers.LoopTimers(0.0)
        budget = retrybudget.RetryBudget(clock)
        for _ in range(50):
            budget.record_success()
        spent = []
        for _ in range(4):
            spent.append(spend_all(budget))
            await clock.sleep(1.0)
        # First the successes leave the window, then the retries.
        await clock.sleep(5.9)
        spent.append(spend_all(budget))
        await clock.sleep(0.1)
        spent.append(spend_all(budget))
        await clock.sleep(1.0)
        spent.append(spend_all(budget))
        return spent

    assert virtualloop.run(main()) == [10, 10, 0, 0, 0, 0, 10]


def test_one_slot_spends_only_a_share_of_the_budget():
    async def main():
        clock = timers.LoopTimers(0.0)
        budget = retrybudget.RetryBudget(clock)
        for _ in range(450):
            budget.record_success()
        spent = []
        for _ in range(9):
            spent.append(spend_all(budget))
            await clock.sleep(1.0)
        return spent

    assert virtualloop.run(main()) == [15, 15, 15, 15, 15, 15, 10, 0, 0]


def test_floor_is_available_in_each_window_without_successes():
    async def main():
        clock = timers.LoopTimers(0.0)
        budget = retrybudget.RetryBudget(clock)
        spent = []
        for _ in range(3):
            spent.append(spend_all(budget))
            await clock.sleep(5.0)
        return spent

    assert virtualloop.run(main()) == [10, 0, 10]
