import asyncio

import pytest
import transitions

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import virtualloop


def test_hooks_receive_every_change_of_state():
    lifecycle = lifecycles.InstanceLifecycle()
    seen = []
    lifecycle.add_hook(lambda before, after: seen.append((before, after)))
    lifecycle.mark_ready()
    lifecycle.start_drain()
    lifecycle.start_drain()
    lifecycle.mark_stopped()
    state = lifecycles.LifecycleState
    assert seen == [
        (state.STARTING, state.READY),
        (state.READY, state.DRAINING),
        (state.DRAINING, state.STOPPED),
    ]


def test_a_drained_instance_does_not_become_ready_again():
    lifecycle = lifecycles.InstanceLifecycle()
    lifecycle.start_drain()
    with pytest.raises(transitions.MachineError):
        lifecycle.mark_ready()


@pytest.mark.parametrize(
    ("trigger", "code"),
    [
        (None, failures.FailureCode.NO_ENDPOINT),
        ("start_drain", failures.FailureCode.DRAINING),
        ("mark_stopped", failures.FailureCode.DRAINING),
    ],
)
def test_only_a_ready_instance_begins_requests(trigger, code):
    lifecycle = lifecycles.InstanceLifecycle()
    if trigger:
        getattr(lifecycle, trigger)()
    with (
        pytest.raises(failures.FailureError) as caught,
        lifecycle.begin_request(),
    ):
        pytest.fail("the request began")
    assert caught.value.failure.code is code
    assert caught.value.failure.verdict is verdicts.Verdict.NOT_RUN
    assert lifecycle.in_flight == 0


def test_drain_waits_for_the_last_request():
    async def main():
        lifecycle = lifecycles.InstanceLifecycle()
        lifecycle.mark_ready()
        ended = []

        async def serve(seconds):
            with lifecycle.begin_request():
                await asyncio.sleep(seconds)
            ended.append(seconds)

        tasks = [asyncio.create_task(serve(s)) for s in (1, 5)]
        await asyncio.sleep(0)
        in_time = await lifecycle.drain(2)
        ended_by_deadline = list(ended)
        finished = await lifecycle.drain(10)
        await asyncio.gather(*tasks)
        return in_time, ended_by_deadline, finished, ended

    assert virtualloop.run(main()) == (False, [1], True, [1, 5])
