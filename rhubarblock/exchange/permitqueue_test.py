"""Round-robin order of workspaces that wait for permits."""

import contextlib

from rhubarblock.exchange import permitqueue


def simulate(waiting, turns):
    """Lets waiting requests proceed one at a time; returns their workspaces."""
    queue = permitqueue.PermitQueue()
    order = []
    with contextlib.ExitStack() as stack:
        for workspace, count in waiting.items():
            for _ in range(count):
                stack.enter_context(queue.wait("desk", workspace))
        for _ in range(turns):
            names = [w for w in waiting if queue.is_next("desk", w)]
            queue.note_passed("desk", names[0])
            order.append(names[0])
    return order


def test_workspaces_take_turns_however_many_requests_they_have():
    assert simulate({"a": 50, "b": 1, "c": 2}, 6) == ["a", "b", "c"] * 2


def test_workspace_that_waits_alone_is_always_next():
    assert simulate({"a": 3}, 3) == ["a"] * 3


def test_other_services_and_departed_workspaces_do_not_block():
    queue = permitqueue.PermitQueue()
    with queue.wait("desk", "a"):
        queue.note_passed("desk", "a")
        assert queue.is_next("desk", "a")
        with queue.wait("pool", "b"):
            assert queue.is_next("desk", "a")
        with queue.wait("desk", "b"):
            assert not queue.is_next("desk", "a")
            assert queue.is_next("desk", "b")
        assert queue.is_next("desk", "a")
