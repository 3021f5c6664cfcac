import logging

import pytest

from rhubarblock.core import listed
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


def make_table(timers):
    endpoints = [
        *(make_endpoint("pool", f"10.0.0.{n}:80", "osu") for n in (1, 2, 3)),
        make_endpoint("desk", "10.1.0.1:80", "tema"),
        make_endpoint("desk", "10.1.0.2:80", "tema"),
        make_endpoint("desk", "10.1.0.3:80", "osu"),
    ]
    return endpoint_paths.EndpointPaths(
        {e.address: e for e in endpoints}.get,
        lambda service: [e for e in endpoints if e.service == service],
        timers,
        metric_store.Metrics(),
    )


def make_endpoint(service, address, data_centre):
    return listed.ListedEndpoint(
        address, address, data_centre, service, 8, False
    )


@pytest.fixture
def paths(timers):
    return make_table(timers).find_service("pool")


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
    assert paths.partitioned_s is not None
    paths.note_opened("10.0.0.3:80")
    assert paths.partitioned_s is None
    began, ended = caplog.records
    assert began.failed == {"10.0.0.1:80": "timeout", "10.0.0.2:80": "timeout"}
    assert began.received_age_s == 1.5
    assert ended.lasted_s == 4.0


def test_kept_connections_from_before_a_partition_are_not_trusted(
    paths, timers
):
    paths.note_received()
    assert not paths.distrusts(timers.now_s)
    partition(paths)
    assert paths.distrusts(timers.now_s)
    assert not paths.distrusts(timers.now_s + 0.1)
    paths.note_opened("10.0.0.1:80")
    assert not paths.distrusts(timers.now_s)


def test_peers_are_asked_at_once_while_the_path_is_lost(paths, timers):
    assert not paths.is_suspect("10.0.0.1:80")
    paths.note_detoured("10.0.0.1:80")
    assert paths.is_suspect("10.0.0.1:80")
    assert not paths.is_suspect("10.0.0.2:80")
    timers.now_s += endpoint_paths.LOST_S
    assert not paths.is_suspect("10.0.0.1:80")


def test_peers_are_not_asked_again_for_an_endpoint_that_none_reached(
    paths, timers
):
    paths.note_failed("10.0.0.1:80", "refused")
    assert not paths.may_detour("10.0.0.1:80")
    assert paths.may_detour("10.0.0.2:80")
    timers.now_s += endpoint_paths.UNREACHABLE_S
    assert paths.may_detour("10.0.0.1:80")
    partition(paths)
    assert paths.may_detour("10.0.0.1:80")


def test_few_requests_are_tried_while_nothing_is_reached(paths, timers):
    assert all(paths.begin_try() for _ in range(5))
    paths.note_detoured("10.0.0.3:80")
    partition(paths)
    assert not paths.begin_try()
    timers.now_s += endpoint_paths.TRIAL_S
    assert [paths.begin_try() for _ in range(2)] == [True, False]
    paths.note_detoured("10.0.0.3:80")
    assert all(paths.begin_try() for _ in range(5))


def test_failures_for_peers_refuse_no_request_here(paths, timers):
    for number in (1, 2):
        paths.note_direct_failure(f"10.0.0.{number}:80", "refused")
    assert paths.partitioned_s is not None
    assert paths.begin_try()
    # Peers are refused at once only while the last failure is fresh.
    assert paths.is_lost()
    timers.now_s += endpoint_paths.TRIAL_S
    assert not paths.is_lost()


def test_state_of_endpoints_that_are_gone_is_dropped(paths, timers):
    for number in range(3 * endpoint_paths.MAX_STATES):
        timers.now_s += endpoint_paths.LOST_S / 10
        paths.note_detoured(f"10.0.{number}.1:80")
        paths.note_opened("10.0.0.2:80")
    assert len(paths._lost_until_s) <= endpoint_paths.MAX_STATES


def partition(paths):
    for number in range(endpoint_paths.PARTITION_ENDPOINTS):
        paths.note_failed(f"10.0.0.{number + 1}:80", "timeout")


def test_services_are_told_apart(timers):
    table = make_table(timers)
    addresses = ("10.0.0.1:80", "10.1.0.1:80")
    for address in addresses:
        table.find(address).note_failed(address, "timeout")
    assert all(table.find(a).partitioned_s is None for a in addresses)


def test_data_centre_out_of_reach_is_no_partition(timers):
    paths = make_table(timers).find_service("desk")
    # Both endpoints of the far data centre, but not the near one.
    paths.note_failed("10.1.0.1:80", "timeout")
    paths.note_failed("10.1.0.2:80", "timeout")
    assert paths.partitioned_s is None
    assert paths.begin_try()
    paths.note_failed("10.1.0.3:80", "timeout")
    assert paths.partitioned_s is not None
    assert not paths.begin_try()


def test_failures_at_endpoints_that_are_gone_are_no_partition(timers):
    paths = make_table(timers).find_service("gone")
    partition(paths)
    assert paths.partitioned_s is None
    assert paths.begin_try()


def test_paths_to_other_data_centres_are_surveyed(timers):
    table = make_table(timers)
    desk = table.find_service("desk")
    assert desk.list_elsewhere("10.1.0.1:80") == ["10.1.0.3:80"]
    assert desk.list_elsewhere("10.1.0.3:80") == ["10.1.0.1:80"]
    pool = table.find_service("pool")
    assert pool.list_elsewhere("10.0.0.1:80") == ["10.0.0.2:80"]
