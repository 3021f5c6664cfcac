"""Tests of how much of a limit a coordinator grants."""

import random

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing.endpointlimits import coordinator as coordinators
from rhubarblock.routing.endpointlimits import limittable as limittables
from rhubarblock.routing.endpointlimits import messages

USERS = 4
RATE = 8.0


class Peers(fakes.NoPeers):
    def count_users(self, endpoint_id):
        return USERS


def make_coordinator(rate=RATE):
    metrics = metric_store.Metrics()
    table = limittables.LimitTable(metrics)
    table.note_answer("e1", ratelimits.StatedLimit(rate), 0.0, 0.0)
    coordinator = coordinators.PermitCoordinator(
        table, Peers(), random.Random(1), metrics
    )
    return table, coordinator


def ask(coordinator, peer, now_s, wanted=0, free_in_s=0.0):
    report = messages.LimitReport("e1", RATE, 1.0, 1.0)
    request = messages.PermitRequest(report, wanted, free_in_s, 1.0)
    return coordinator.grant(peer, request, now_s)


def count_granted(coordinator, peers, from_s, until_s):
    """Returns the permits a second granted to peers that all ask."""
    granted = 0
    for step in range(int(10 * from_s), int(10 * until_s)):
        for peer in peers:
            grant = ask(coordinator, peer, step / 10.0, 16)
            granted += grant.count
    return granted / (until_s - from_s)


def test_whole_limit_is_granted_when_all_users_ask():
    _, coordinator = make_coordinator()
    peers = [f"p{n}" for n in range(USERS)]
    assert 7.5 <= count_granted(coordinator, peers, 0.0, 10.0) <= 9.0


def test_only_pledged_shares_are_granted():
    _, coordinator = make_coordinator()
    assert 1.9 <= count_granted(coordinator, ["p1"], 0.0, 10.0) <= 2.3


def test_pledges_expire_and_count_only_once_they_are_free():
    _, coordinator = make_coordinator()
    ask(coordinator, "p1", 0.0)
    ask(coordinator, "p2", 0.0, free_in_s=3.0)
    state = coordinator._states["e1"]
    counts = [state.count_pledged(at_s) for at_s in (0.0, 2.9, 3.0, 7.9, 8.0)]
    assert counts == [1, 1, 2, 2, 0]


def test_pledge_that_is_not_free_yet_grants_nothing():
    _, coordinator = make_coordinator()
    grant = ask(coordinator, "p1", 0.0, 5, free_in_s=3.0)
    assert (grant.count, grant.retry_after_s) == (0, 3.0)


def test_peers_without_a_permit_retry_at_different_times():
    _, coordinator = make_coordinator(1.0)
    peers = [f"p{n}" for n in range(USERS)]
    grants = [ask(coordinator, peer, 0.0, 1) for peer in peers]
    again = [grant.retry_after_s for grant in grants if not grant.count]
    assert len(set(again)) == len(again) >= 2


def test_endpoint_with_a_limit_of_zero_is_still_probed():
    _, coordinator = make_coordinator(0.0)
    peers = [f"p{n}" for n in range(USERS)]
    assert 0.08 <= count_granted(coordinator, peers, 0.0, 60.0) <= 0.12


def test_limit_that_ended_grants_nothing():
    table, coordinator = make_coordinator()
    table.note_answer("e1", ratelimits.NO_STATED_LIMIT, 1.0, 2.0)
    assert ask(coordinator, "p1", 3.0, 1) is None


def test_pledges_count_before_the_coordinator_knows_the_cold_limit():
    """The list may tell some instances later than others."""
    metrics = metric_store.Metrics()
    table = limittables.LimitTable(metrics)
    coordinator = coordinators.PermitCoordinator(
        table, Peers(), random.Random(1), metrics
    )
    cold = messages.ColdReport(1.0, 10.0)
    report = messages.LimitReport("e1", None, 1e9, 1e9, cold)
    request = messages.PermitRequest(report, 1, 0.0, 1.0)
    assert coordinator.grant("p1", request, 0.0) is None
    assert coordinator.grant("p1", request, 0.0, RATE) is not None
    # Its share of the rate: one permit in half a second.
    assert coordinator.grant("p1", request, 0.5, RATE).count == 1
    coordinator.keep_only(set())
    assert coordinator.grant("p1", request, 0.5) is None
