"""Connections that are taken, and those that are closed unread."""

import asyncio
import contextlib

from rhubarblock.daemon import connections
from rhubarblock.daemon import intake as intakes
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import looplag
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop

LATE_S = 1.0


class RecordingRegistry(connections.Registry):
    """Counts how often idle connections are closed."""

    def __init__(self):
        super().__init__()
        self.times = 0

    def close_idle(self):
        self.times += 1


class Instance:
    """The parts around an intake.

    Attributes:
      is_isolated: whether other instances are better off.
      can_serve: whether requests can be served.
    """

    def __init__(self):
        self.is_isolated = False
        self.can_serve = True
        self._requests = contextlib.ExitStack()
        timers = timer_service.LoopTimers()
        self.metrics = metric_store.Metrics()
        self.lifecycle = lifecycles.InstanceLifecycle()
        self.lag = looplag.LoopLag(timers, self.metrics)
        self.intake = intakes.Intake(
            self.lifecycle,
            self.lag,
            timers,
            self.metrics,
            lambda: self.is_isolated,
            lambda: self.can_serve,
        )

    def begin_requests(self, count):
        """Begins requests that do not end."""
        for _ in range(count):
            self._requests.enter_context(self.lifecycle.track_request())

    async def measure(self, delay_s, times=looplag.SAMPLES):
        for _ in range(times):
            await asyncio.sleep(looplag.INTERVAL_S)
            self.lag.note(delay_s)


def run(step):
    async def main():
        return await step(Instance())

    return virtualloop.run(main())


def test_instance_that_is_behind_takes_one_connection_now_and_then():
    # Otherwise it counts as ready and nobody can connect.
    async def step(instance):
        instance.begin_requests(50)
        await instance.measure(LATE_S)
        taken = 0
        for _ in range(100):
            await asyncio.sleep(0.05)
            taken += instance.intake.take_connection()
        return taken, instance.metrics.counts

    taken, counts = run(step)
    # One every longest pause, rounded up to the next try.
    assert taken >= 5.0 / (intakes.LONGEST_PAUSE_S + 0.06)
    assert taken <= 5.0 / intakes.LONGEST_PAUSE_S
    assert counts["connections.taken"] == taken
    assert counts["connections.unread.processor"] == 100 - taken


def test_connections_that_a_loop_far_behind_has_not_read_are_counted():
    async def step(instance):
        registry = instance.intake.registry
        for _ in range(50):
            registry.note_accepted(object())
        for _ in range(looplag.SAMPLES):
            await asyncio.sleep(5.0)
            instance.lag.note(4.9)
        behind = registry.count_fresh(), instance.intake.refusal
        await instance.measure(0.0, connections.FRESH_PERIODS)
        return behind, registry.count_fresh()

    assert run(step) == ((50, intakes.Refusal.PROCESSOR), 0)


def test_one_long_pass_of_the_loop_limits_nothing():
    async def step(instance):
        instance.begin_requests(50)
        await instance.measure(LATE_S, looplag.SAMPLES - 1)
        return instance.intake.take_connection(), instance.intake.refusal

    assert run(step) == (True, None)


def test_isolated_instance_serves_until_it_can_not():
    async def step(instance):
        closed = instance.intake.registry = RecordingRegistry()
        instance.is_isolated = True
        await instance.measure(0.0)
        before = instance.intake.take_connection(), closed.times
        instance.can_serve = False
        await instance.measure(0.0)
        return (
            before,
            instance.intake.take_connection(),
            closed.times,
            instance.lifecycle.closes_connections,
        )

    assert run(step) == ((True, 0), False, 1, True)


def test_instance_that_is_no_worse_than_others_answers():
    async def step(instance):
        instance.can_serve = False
        await instance.measure(0.0)
        return instance.intake.take_connection()

    assert run(step)
