"""Which endpoints one instance limits because they are cold."""

import asyncio
import dataclasses

from rhubarblock.core import route as routes
from rhubarblock.exchange import coldstarts
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange.state import directory as directories
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.endpointlimits import messages

SERVICE = routes.ServiceSpec("desk", "/", 0, None, 15.0, 4.0)
ENTRY = dataclasses.replace(fakes.make_endpoint(1), born_ms=1)


class Peers(fakes.NoPeers):
    def __init__(self):
        self.reports = []

    def broadcast_report(self, report):
        self.reports.append(report.cold)


class Instance:
    def __init__(self):
        self.timers = timer_service.LoopTimers()
        self.directory = directories.Directory(self.timers)
        self.limits = fakes.make_limits(self.timers)
        self.peers = self.limits._peers = Peers()
        self.metrics = metric_store.Metrics()
        self.services = {"desk": SERVICE}
        self.cold = coldstarts.ColdStarts(
            self.directory,
            self.limits,
            lambda name: self.services.get(name),
            lambda endpoint_id: True,
            self.timers,
            self.metrics,
        )
        self.directory.on_listed = self.cold.note_listed
        self.directory.on_return = self.cold.note_return
        self.directory.replace([ENTRY])

    @property
    def rate(self):
        return self.limits.find_rate("e1")

    def restart(self):
        self.directory.update(dataclasses.replace(ENTRY, born_ms=2))

    def answer(self, left_s=None):
        self.cold.note_answer("e1", left_s, self.timers.read_monotonic())


def run(step):
    async def main():
        return await step(Instance())

    return virtualloop.run(main())


def test_restarted_endpoint_is_limited_for_its_time(caplog):
    caplog.set_level("INFO")

    async def step(instance):
        assert instance.rate is None
        instance.restart()
        seen = [instance.rate]
        await asyncio.sleep(14.9)
        seen.append(instance.rate)
        await asyncio.sleep(0.4)
        seen.append(instance.rate)
        counts = [
            instance.metrics.snapshot()[name]
            for name in ("cold.begun", "cold.ended")
        ]
        return seen, counts, instance.peers.reports

    # All instances see the list, so it is not reported.
    assert run(step) == ([4.0, 4.0, None], [1, 1], [])
    lines = [
        record
        for record in caplog.records
        if record.name == coldstarts.__name__
    ]
    assert [line.getMessage() for line in lines] == [
        "endpoint counts as cold",
        "endpoint does not count as cold any more",
    ]
    assert (lines[0].cause, lines[0].left_s) == ("later start", 15.0)
    assert lines[1].reason == "time over"


def test_answers_without_the_field_and_without_a_limit_do_not_end_it():
    async def step(instance):
        instance.restart()
        await asyncio.sleep(1.0)
        instance.answer()
        return instance.rate

    assert run(step) == 4.0


def test_answer_that_says_warm_ends_it_for_the_peers_too():
    async def step(instance):
        instance.restart()
        await asyncio.sleep(1.0)
        instance.answer(0.0)
        await asyncio.sleep(1.0)
        return instance.rate, instance.peers.reports

    rate, reports = run(step)
    assert rate is None
    # Sent again, as a datagram may be lost.
    assert len(reports) == 2
    assert all(report.left_s <= 0.0 for report in reports)


def test_endpoint_that_is_reached_again_is_cold_and_reported():
    async def step(instance):
        instance.cold.note_broken("e1")
        await asyncio.sleep(2.0)
        before = instance.rate
        instance.answer()
        return before, instance.rate, instance.peers.reports

    before, after, reports = run(step)
    assert (before, after) == (None, 4.0)
    assert [report.is_observed for report in reports] == [True]


def test_endpoints_of_a_returned_data_centre_are_cold():
    async def step(instance):
        instance.directory.on_return("elsewhere")
        before = instance.rate
        instance.directory.on_return(ENTRY.data_centre)
        return before, instance.rate

    assert run(step) == (None, 4.0)


def test_list_may_arrive_before_the_configuration():
    async def step(instance):
        instance.services.clear()
        instance.restart()
        before = instance.rate
        instance.services["desk"] = SERVICE
        await asyncio.sleep(0.3)
        return before, instance.rate

    assert run(step) == (None, 4.0)


def test_service_without_a_cold_rate_is_not_limited():
    async def step(instance):
        instance.services["desk"] = fakes.SERVICE
        instance.restart()
        return instance.rate

    assert run(step) is None


def test_report_of_a_peer_limits_and_its_observed_end_does_not():
    async def step(instance):
        seen = []
        await asyncio.sleep(5.0)
        for begun_age_s, left_s, is_observed in (
            (1.0, 9.0, True),
            # Time that is over elsewhere is not over here.
            (11.0, -0.1, False),
            (0.0, -0.1, True),
        ):
            report = messages.ColdReport(begun_age_s, left_s, is_observed)
            instance.cold.receive("e1", report)
            seen.append(instance.rate)
            await asyncio.sleep(1.0)
        return seen

    assert run(step) == [4.0, 4.0, None]


def test_unlisted_endpoints_are_forgotten():
    async def step(instance):
        instance.restart()
        instance.cold.keep_only(set())
        await asyncio.sleep(1.0)
        return instance.cold.is_cold("e1")

    assert not run(step)
