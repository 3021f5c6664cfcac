from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.fleet import roleplan
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.kernel import virtualloop

BOTH = endpoints.Role.BOTH
DECODE = endpoints.Role.DECODE


def report(number, prefill_tokens, decoding):
    return endpoints.LoadReport(
        f"e{number}",
        0.0,
        1,
        "s",
        BOTH,
        ("m@1",),
        decoding,
        decoding,
        0,
        prefill_tokens,
        400_000,
        0,
    )


def run(share, loads):
    """Returns the number of decode engines at the end of each load phase.

    Args:
      share: decode share of the service.
      loads: load phases as seconds, prefill tokens and decodes per engine.
    """

    async def main():
        timers = timers_lib.LoopTimers(wall_offset_s=0.0)
        planner = roleplan.RolePlanner(timers)
        service = catalogues.Service(
            "pool", "ops", endpoints.EndpointKind.ENGINE, decode_share=share
        )
        counts = []
        for seconds, prefill_tokens, decoding in loads:
            reports = [report(n, prefill_tokens, decoding) for n in range(8)]
            for _ in range(2 * seconds):
                planner.update(service, reports)
                await timers.sleep(0.5)
            chosen = [planner.choose_role(f"e{n}") for n in range(8)]
            counts.append(chosen.count(DECODE))
        return counts

    return virtualloop.run(main())


def test_fixed_share_applies_at_once():
    assert run(0.25, [(1, 0, 0)]) == [2]
    assert run(0.0, [(1, 0, 0)]) == [0]


def test_split_needs_sustained_load():
    busy = (28_000, 50)
    assert run(-1.0, [(20, *busy), (60, *busy)]) == [0, 2]


def test_short_peak_changes_nothing():
    busy = (28_000, 50)
    assert run(-1.0, [(20, *busy), (60, 0, 0), (20, *busy)]) == [0, 0, 0]


def test_split_ends_with_the_load():
    busy = (28_000, 50)
    assert run(-1.0, [(120, *busy), (200, 0, 0)])[-1] == 0
