"""Tests of writes whose answer is lost."""

import asyncio
from collections.abc import Callable
import random

import pytest

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import confirmedwrite
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind

FIRST = positions.Position(0, 1)


class ScriptedStore(stores.ObjectStore):
    """A store of one object with a scripted fault for each write."""

    def __init__(self, *faults: str):
        self.stored: stores.StoredObject | None = None
        self.faults = list(faults)
        self.hooks: list[Callable[[], None]] = []
        self.writes = 0
        self._revision = 0

    def put(self, value: bytes) -> stores.StoredObject:
        self._revision += 1
        version = positions.Position(0, self._revision)
        self.stored = stores.StoredObject("a/1", version, value)
        return self.stored

    async def read(self, name):
        if self.stored is None:
            raise stores.StoreError(_Kind.NOT_FOUND)
        return self.stored

    async def write(self, name, value, expected_version):
        self.writes += 1
        fault = self.faults.pop(0) if self.faults else ""
        if fault in ("unavailable", "too_large"):
            raise stores.StoreError(_Kind(fault))
        if fault == "lost before":
            raise stores.StoreError(_Kind.UNSURE)
        if fault == "hangs":
            await asyncio.sleep(1e9)
        present = self.stored.version if self.stored else positions.NOWHERE
        if present != expected_version:
            raise stores.StoreError(_Kind.CONFLICT)
        written = self.put(value)
        if fault == "lost after":
            raise stores.StoreError(_Kind.UNSURE)
        if fault == "lost after, then another writes":
            self.put(b"other")
            raise stores.StoreError(_Kind.UNSURE)
        return written

    async def list_objects(self, prefix):
        raise NotImplementedError

    async def delete(self, name, expected_version):
        raise NotImplementedError

    def watch(self, prefix, after, wait_s=None):
        raise NotImplementedError


def run_write(
    store: ScriptedStore,
    expected_version: positions.Position = positions.NOWHERE,
):
    async def main():
        writer = confirmedwrite.ConfirmingWriter(
            store, timer_service.LoopTimers(0.0), random.Random(1)
        )
        pending = confirmedwrite.PendingWrite(
            "a/1", b"mine", expected_version, lambda value: value == b"mine"
        )
        try:
            return await writer.write(pending, deadline_s=10.0)
        except stores.StoreError as error:
            return error.kind

    return virtualloop.run(main())


@pytest.mark.parametrize(
    ("faults", "writes"),
    [
        ([], 1),
        (["lost after"], 1),
        (["lost before"], 2),
        (["lost before", "lost after"], 2),
        (["unavailable", "unavailable"], 3),
    ],
)
def test_write_takes_effect_exactly_once(faults, writes) -> None:
    store = ScriptedStore(*faults)
    assert run_write(store) == stores.StoredObject("a/1", FIRST, b"mine")
    assert store.writes == writes


def test_conflict_at_the_first_try_is_raised() -> None:
    store = ScriptedStore()
    store.put(b"other")
    assert run_write(store) is _Kind.CONFLICT


def test_conflict_after_a_lost_answer_is_unsure() -> None:
    store = ScriptedStore("lost after, then another writes")
    assert run_write(store) is _Kind.UNSURE


def test_effect_that_a_stale_read_did_not_show_is_found() -> None:
    class StaleStore(ScriptedStore):
        reads = 0

        async def read(self, name):
            self.reads += 1
            if self.reads < 3:
                raise stores.StoreError(_Kind.NOT_FOUND)
            return await super().read(name)

    store = StaleStore("lost after")
    assert run_write(store) == stores.StoredObject("a/1", FIRST, b"mine")


def test_error_at_the_deadline_tells_whether_the_outcome_is_known() -> None:
    assert run_write(ScriptedStore(*["unavailable"] * 99)) is _Kind.UNAVAILABLE
    assert run_write(ScriptedStore(*["lost before"] * 99)) is _Kind.UNSURE
    assert run_write(ScriptedStore("hangs")) is _Kind.UNSURE


def test_permanent_error_is_raised_at_once() -> None:
    store = ScriptedStore("too_large")
    assert run_write(store) is _Kind.TOO_LARGE
    assert store.writes == 1


def test_delays_double_and_have_jitter() -> None:
    settings = backoffs.BackoffSettings(first_s=1.0, max_s=3.0)
    backoff = backoffs.Backoff(random.Random(1), settings)
    delays = [backoff.take_delay() for _ in range(4)]
    maxima = [1.0, 2.0, 3.0, 3.0]
    for delay, maximum in zip(delays, maxima, strict=True):
        assert maximum / 2 <= delay <= maximum
    backoff.reset()
    assert backoff.take_delay() <= 1.0
