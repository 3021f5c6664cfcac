import asyncio
import json
import os

import pytest

from rhubarblock.experiments.overhead import load as overheadload
from rhubarblock.experiments.overhead import measurement as overhead
from rhubarblock.experiments.overhead import source as overheadsource
from rhubarblock.experiments.overhead import sweep as overheadsweep
from rhubarblock.experiments.overhead import threads as overheadthreads

PLAN = overhead.OverheadPlan(
    requests_per_s=10.0,
    tokens_per_s=60.0,
    gap_s=0.005,
    prompt_tokens=50,
    rounds=1,
    window_s=0.5,
    settle_s=0.1,
)


def make_event(text):
    fields = {"choices": [{"text": text}]}
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


def test_all_paths_give_every_caller_its_complete_answer():
    async def main():
        async with overheadthreads.open_targets(2, PLAN.gap_s) as targets:
            return await overhead.measure(PLAN, targets)

    found = asyncio.run(main())
    for figures in (found.direct, found.present, found.earlier):
        assert figures.answers > 0
        assert figures.wrong == 0
    assert found.present.cpu_share > 0
    assert found.present.rss_mb > 0


def make_figures(cpu_share):
    tails = overhead.Tails(1.0, 2.0)
    return overhead.PathFigures(
        10, 0, tails, tails, tails, tails, 2.0, 1.0, 1.0, cpu_share, 64.0, 1.0
    )


def test_sweep_fits_the_costs_of_requests_and_tokens(monkeypatch):
    async def measure(plan, targets):
        share = 0.1 + 0.003 * plan.requests_per_s + 6e-5 * plan.tokens_per_s
        direct = overhead.DirectFigures(10, 0, None, None, 1.0)
        figures = make_figures(share), make_figures(2 * share)
        return overhead.OverheadResult("overhead", plan, None, direct, *figures)

    monkeypatch.setattr(overhead, "measure", measure)
    found = asyncio.run(overheadsweep.measure(PLAN, None))
    assert [series.name for series in found.series] == ["relay", "earlier"]
    relay, earlier = (x.fits["cpu_share"] for x in found.series)
    assert relay.slopes == pytest.approx((0.1, 0.003, 6e-5))
    assert earlier.slopes == pytest.approx((0.2, 0.006, 12e-5))


@pytest.mark.parametrize(
    "data, right",
    [
        (make_event(" 000000") + make_event(" 000001"), True),
        (make_event(" 000000 000001") + b"data: [DONE]\n\n", True),
        (make_event(" 000001") + make_event(" 000000"), False),
        (make_event(" 000000"), False),
        (b'data: {"error":{}}\n\n', False),
    ],
)
def test_text_is_right_only_if_complete_and_in_order(data, right):
    assert overheadload.is_text_correct(data, 2) is right


def test_source_numbers_its_tokens():
    assert overheadsource.make_text(3) == " 000000 000001 000002"


def test_process_meter_reads_this_process():
    meter = overhead.ProcessMeter(os.getpid())
    assert asyncio.run(meter.read_cpu()) > 0
    assert meter.read_rss() > 1.0
