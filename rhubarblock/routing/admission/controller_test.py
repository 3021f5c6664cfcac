"""Decisions past saturation: who is let in, who waits, who returns when."""

import dataclasses
import random

import pytest

from rhubarblock.routing.admission import controller as controllers
from rhubarblock.routing.admission import demand as demands
from rhubarblock.routing.admission import standing as standings

SHORT = controllers.Candidate(
    service="pool",
    rank=0,
    workspace="w1",
    value=1.4,
    cost_s=0.3,
    objective_s=0.3,
    waited_s=0.0,
    left_s=10.0,
    is_returning=False,
    patience_s=2.0,
)
FREE = controllers.Outlook(0.05, 0.0, 0.1)
HARMFUL = controllers.Outlook(1.0, 0.9, 0.1)
IDLE = dataclasses.replace(HARMFUL, utilisation=0.1)
WAITED = dataclasses.replace(SHORT, waited_s=0.2)


def make_controller():
    return controllers.AdmissionController(random.Random(1))


def decide(controller, candidate=SHORT, outlook=FREE, now_s=0.0, waiting=0):
    return controller.decide(candidate, outlook, waiting, now_s)


def saturate(controller, now_s=0.0, rank=0, admitted=10, refused=10):
    demand = controller.find_demand("pool")
    for number in range(admitted + refused):
        demand.note(rank, "w2", 0.3, number < admitted, False, now_s)


def let_return(controller):
    """Lets in three returning requests a second, for which three may wait."""
    demand = controller.find_demand("pool")
    for _ in range(6):
        demand.note(0, "w3", 0.0, True, True, 0.0)


@pytest.mark.parametrize(
    "candidate, outlook, verdict",
    [
        (SHORT, FREE, controllers.Verdict.ADMIT),
        # Taking from others is refused even before the first refusal, else the
        # first moment of a surge fills all endpoints.
        (WAITED, HARMFUL, controllers.Verdict.REFUSE),
        (SHORT, HARMFUL, controllers.Verdict.WAIT),
        (SHORT, None, controllers.Verdict.WAIT),
        (WAITED, None, controllers.Verdict.REFUSE),
        # An idle service serves whatever comes.
        (WAITED, IDLE, controllers.Verdict.ADMIT),
    ],
)
def test_verdict_before_any_refusal(candidate, outlook, verdict):
    assert decide(make_controller(), candidate, outlook).verdict is verdict


def test_what_can_not_be_answered_in_its_time_is_refused_at_once():
    outlook = controllers.Outlook(0.0, 0.0, 13.0, 0.0)
    decision = decide(make_controller(), SHORT, outlook)
    assert decision.verdict is controllers.Verdict.REFUSE
    assert "in its time" in decision.reason


def test_queue_of_waiting_requests_is_bounded():
    full = controllers.MAX_WAITING
    decision = decide(make_controller(), SHORT, None, waiting=full)
    assert decision.verdict is controllers.Verdict.REFUSE


def test_late_answers_are_not_let_in_while_others_are_refused():
    # They would take the room of requests that can still be on time.
    controller = make_controller()
    late = controllers.Outlook(0.7, 0.0, 0.4)
    assert decide(controller, WAITED, late).verdict is controllers.Verdict.ADMIT
    saturate(controller, 0.2)
    decision = decide(controller, WAITED, late, 0.2)
    assert decision.verdict is controllers.Verdict.REFUSE
    assert decision.standing is standings.Standing.WITHIN_SHARE


def test_saturation_ends_some_seconds_after_the_last_refusal():
    controller = make_controller()
    saturate(controller)
    demand = controller.find_demand("pool")
    assert demand.is_saturated(0.0)
    assert not demand.is_saturated(4 * demands.DECAY_S)


def test_refusals_do_not_keep_a_service_with_room_saturated():
    # Callers that return and are refused again would do so for ever.
    controller = make_controller()
    saturate(controller)
    decision = decide(controller, WAITED, IDLE)
    assert decision.verdict is controllers.Verdict.ADMIT
    assert decision.standing is None


def test_single_request_that_finds_no_room_is_no_saturation():
    controller = make_controller()
    saturate(controller, admitted=0, refused=1)
    assert not controller.find_demand("pool").is_saturated(0.0)


def test_flooding_workspace_is_put_last_and_others_are_not():
    controller = make_controller()
    demand = controller.find_demand("pool")
    for number in range(40):
        demand.note(0, "flood", 0.3, number % 2 == 0, False, 0.0)
    for number in range(36):
        name = ("w1", "w2", "w3")[number % 3]
        demand.note(0, name, 0.3, number < 18, False, 0.0)
    flood = dataclasses.replace(SHORT, workspace="flood")
    costly = controllers.Outlook(0.1, 0.0, 0.1)
    flooded = decide(controller, flood, costly)
    assert flooded.verdict is controllers.Verdict.WAIT
    assert flooded.standing is standings.Standing.OVER_SHARE
    assert decide(controller, SHORT, costly).verdict is (
        controllers.Verdict.ADMIT
    )
    # It still gets the room that nobody else needs.
    assert decide(controller, flood, FREE).verdict is controllers.Verdict.ADMIT


def test_less_urgent_kind_is_put_last_while_it_is_served_more_often():
    controller = make_controller()
    saturate(controller, rank=0, admitted=4, refused=16)
    saturate(controller, rank=2, admitted=15, refused=5)
    demand = controller.find_demand("pool")

    def find(rank):
        return standings.find_standing(demand, rank, "w1", 0.0)

    assert find(0) is standings.Standing.WITHIN_SHARE
    assert find(2) is standings.Standing.OVERTAKING


@pytest.mark.parametrize(
    "waited_s, utilisation, verdict",
    [
        (0.0, 0.45, controllers.Verdict.ADMIT),
        # New requests need what is left of a nearly full service.
        (0.0, 0.55, controllers.Verdict.WAIT),
        # A second refusal may be the caller's last one.
        (0.9, 0.55, controllers.Verdict.ADMIT),
        (0.9, 0.7, controllers.Verdict.WAIT),
        (1.1, 0.7, controllers.Verdict.REFUSE),
    ],
)
def test_returning_request_waits_for_room_that_is_left(
    waited_s, utilisation, verdict
):
    controller = make_controller()
    saturate(controller)
    let_return(controller)
    returning = dataclasses.replace(
        SHORT, is_returning=True, waited_s=waited_s, left_s=10.0 - waited_s
    )
    # It is late already, which must not count against it.
    late = controllers.Outlook(1.2, 0.0, 0.1, utilisation)
    assert decide(controller, returning, late).verdict is verdict


@pytest.mark.parametrize(
    "waiting, verdict",
    [(2, controllers.Verdict.WAIT), (3, controllers.Verdict.REFUSE)],
)
def test_no_more_returning_requests_wait_than_are_let_in(waiting, verdict):
    # A caller that is refused after a long wait has lost its time.
    controller = make_controller()
    saturate(controller)
    returning = dataclasses.replace(SHORT, is_returning=True)
    full = dataclasses.replace(FREE, utilisation=0.9)
    assert decide(controller, returning, full).verdict is (
        controllers.Verdict.REFUSE
    )
    let_return(controller)
    decision = decide(controller, returning, full, waiting=waiting)
    assert decision.verdict is verdict


def test_returning_request_is_not_sent_after_its_caller_gave_up():
    controller = make_controller()
    saturate(controller)
    let_return(controller)
    returning = dataclasses.replace(WAITED, is_returning=True)
    late = controllers.Outlook(1.2, 0.0, 1.9, 0.6)
    assert decide(controller, returning, late).verdict is (
        controllers.Verdict.WAIT
    )


def test_returning_request_without_time_is_decided():
    # It has no time to wait for, which must not end in an error.
    controller = make_controller()
    saturate(controller)
    returning = dataclasses.replace(SHORT, is_returning=True, left_s=0.0)
    at_once = controllers.Outlook(0.0, 0.0, 0.0, 0.9)
    assert decide(controller, returning, at_once).verdict is (
        controllers.Verdict.REFUSE
    )


def test_returning_request_takes_nothing_from_others():
    controller = make_controller()
    saturate(controller)
    let_return(controller)
    returning = dataclasses.replace(WAITED, is_returning=True)
    harmful = dataclasses.replace(HARMFUL, utilisation=0.5)
    decision = decide(controller, returning, harmful)
    assert decision.verdict is controllers.Verdict.WAIT


def test_summary_of_a_peer_counts_once_and_expires():
    # A summary that comes twice must not count its share twice.
    demand = demands.ServiceDemand()
    peer = demands.ServiceDemand()
    for _ in range(10):
        peer.note(0, "w1", 0.3, False, False, 0.0)
    for _ in range(2):
        demand.receive("peer", peer.summarise(0.0), 0.0)
    assert demand._sum(0.0).ranks[0].requests.offered == pytest.approx(10.0)
    assert demand.is_saturated(0.0)
    assert not demand.is_saturated(demands.SUMMARY_TTL_S + 0.1)


def test_summary_holds_a_bounded_number_of_workspaces():
    demand = demands.ServiceDemand()
    for number in range(200):
        demand.note(0, f"w{number}", float(number), True, False, 0.0)
    workspaces = demand.summarise(0.0)[0].workspaces
    assert len(workspaces) == demands.MAX_WORKSPACES
    assert "w199" in workspaces


def test_refused_callers_are_spread_over_the_spare_capacity():
    controller = make_controller()
    demand = controller.find_demand("pool")
    for _ in range(20):
        demand.note(0, "w1", 0.3, True, False, 0.0)
    # A quarter of the admitted rate was used by callers that returned.
    for _ in range(8):
        demand.note(0, "w1", 0.3, True, True, 0.0)
    times = [decide(controller, WAITED, None).retry_after_s for _ in range(4)]
    assert times == sorted(times)
    assert times[-1] - times[0] > 0.5
    assert all(0.5 <= after_s <= 10.0 / 3 for after_s in times)


def test_callers_return_late_but_in_their_time_without_spare_capacity():
    controller = make_controller()
    saturate(controller, admitted=1, refused=30)
    brief = dataclasses.replace(WAITED, left_s=1.2)
    for _ in range(20):
        after_s = decide(controller, WAITED, None).retry_after_s
        assert 1.0 < after_s <= 10.0 / 3
        assert decide(controller, brief, None).retry_after_s <= 0.4
