import asyncio

from rhubarblock.core import attempt as attempts
from rhubarblock.kernel import timers
from rhubarblock.kernel import virtualloop
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.engine import weights as engineweights


def make_order(*models, adapters=()):
    return attempts.Order(1, 1, "both", models, adapters)


def run(body, bytes_per_s=8e9):
    async def main():
        clock = timers.LoopTimers(wall_offset_s=0.0)
        store = engineweights.WeightStore(clock, bytes_per_s)
        sets = [
            engineweights.ModelSet(
                enginesettings.EngineSettings(), clock, store, lambda: None
            )
            for _ in range(2)
        ]
        return await body(clock, store, *sets)

    return virtualloop.run(main())


def test_a_load_takes_at_least_its_minimum_time():
    async def body(clock, store, models, _):
        models.apply(make_order("new@1", adapters=("fine",)))
        found = []
        for moment_s in (2.1, 19.9, 20.1):
            await clock.sleep(moment_s - clock.read_monotonic())
            found.append((models.models, models.adapters))
        return found

    assert run(body) == [
        ((), ("fine",)),
        ((), ("fine",)),
        (("new@1",), ("fine",)),
    ]


def test_engines_share_the_rate_of_the_weight_store():
    async def body(clock, store, first, second):
        # Each read takes 160 s; the second one waits for the first.
        first.apply(make_order("new@1"))
        await asyncio.sleep(0)
        second.apply(make_order("new@1"))
        await clock.sleep(160.5)
        early = first.models, second.models
        await clock.sleep(160.0)
        return early, second.models, store.reads, store.bytes_read

    early, late, reads, size = run(body, bytes_per_s=1e8)
    assert (early, late) == ((("new@1",), ()), ("new@1",))
    assert (reads, size) == (2, 32_000_000_000)


def test_a_repeated_order_loads_nothing_twice():
    async def body(clock, store, models, _):
        for _ in range(2):
            models.apply(make_order("default@1", "new@1"))
            await clock.sleep(15.0)
        models.apply(make_order("default@1", "new@1"))
        return models.models, store.reads

    assert run(body) == (("default@1", "new@1"), 1)


def test_a_later_order_without_the_model_cancels_its_load():
    async def body(clock, store, models, _):
        models.apply(make_order("default@1", "new@1"))
        await clock.sleep(5.0)
        models.apply(make_order("default@1"))
        await clock.sleep(60.0)
        return models.models

    assert run(body) == ("default@1",)


def test_a_name_resolves_to_its_loaded_version():
    async def body(clock, store, models, _):
        names = ("default", "default@1", "default@2", "def")
        return [models.find_version(name) for name in names]

    assert run(body) == ["default@1", "default@1", None, None]
