from rhubarblock.fleet import readpacing
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop


class Transport:
    """Records when reading was paused and resumed."""

    def __init__(self, timers, log, name):
        self._timers = timers
        self._log = log
        self._name = name

    def pause_reading(self):
        self._record("pause")

    def resume_reading(self):
        self._record("resume")

    def _record(self, action):
        now_s = round(self._timers.read_monotonic(), 3)
        self._log.append((now_s, self._name, action))


def run(*pauses, interval_s=0.02):
    """Pauses connections, given as (time, name); returns the log."""
    timers = timer_service.LoopTimers()
    log = []

    async def main():
        pacer = readpacing.ReadPacer(timers, interval_s)
        for at_s, name in pauses:
            await timers.sleep(at_s - timers.read_monotonic())
            pacer.pause(Transport(timers, log, name))
        await timers.sleep(1.0)

    virtualloop.run(main())
    return log


def test_connection_is_paused_for_the_interval():
    assert run((0.1, "a")) == [(0.1, "a", "pause"), (0.12, "a", "resume")]


def test_second_connection_is_paused_up_to_a_tick_less():
    assert run((0.0, "a"), (0.007, "b")) == [
        (0.0, "a", "pause"),
        (0.007, "b", "pause"),
        (0.02, "a", "resume"),
        (0.025, "b", "resume"),
    ]


def test_timer_stops_while_no_connection_is_paused():
    log = run((0.0, "a"), (0.5, "b"))
    assert log[2:] == [(0.5, "b", "pause"), (0.52, "b", "resume")]
