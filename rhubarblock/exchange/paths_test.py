import logging

import pytest

from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.kernel import metrics as metric_store


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def read_monotonic(self):
        return self.now_s


@pytest.fixture
def timers():
    return Clock()


@pytest.fixture
def paths(timers):
    return endpoint_paths.ServicePaths("pool", timers, metric_store.Metrics())


def test_failures_at_one_endpoint_are_no_partition(paths):
    for _ in range(5):
        paths.note_failed("10.0.0.1:80", "timeout")
    assert paths.partitioned_s is None


def test_failures_with_data_in_between_are_no_partition(paths):
    paths.note_failed("10.0.0.1:80", "timeout")
    paths.note_received()
    paths.note_failed("10.0.0.2:80", "timeout")
    assert paths.partitioned_s is None


def test_partition_is_logged_once_with_its_evidence(paths, timers, caplog):
    caplog.set_level(logging.WARNING)
    paths.note_received()
    timers.now_s += 1.5
    for number in (1, 2, 3):
        paths.note_failed(f"10.0.0.{number}:80", "timeout")
    assert paths.partitioned_s == timers.now_s
    timers.now_s += 4.0
    paths.note_received()
    assert paths.partitioned_s is None
    began, ended = caplog.records
    assert began.failed == {"10.0.0.1:80": "timeout", "10.0.0.2:80": "timeout"}
    assert began.received_age_s == 1.5
    assert ended.lasted_s == 4.0


def test_services_are_told_apart(timers):
    services = {"10.0.0.1:80": "pool", "10.0.0.2:80": "desk"}
    table = endpoint_paths.EndpointPaths(
        services.get, timers, metric_store.Metrics()
    )
    for address in services:
        table.find(address).note_failed(address, "timeout")
    assert all(table.find(a).partitioned_s is None for a in services)
