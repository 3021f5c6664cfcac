import random

import pytest

from rhubarblock.routing.quarantine import partregistry

BAD, SHARED, TOPIC = "s/bad", "s/5c1e", "s/91bd"


class Registry(partregistry.PartRegistry):
    """Numbers endpoints and requests."""

    def __init__(self):
        super().__init__()
        self.count = 0

    def crash(self, at_s, *prompts):
        """Records a crash under new requests with these parts."""
        self.count += 1
        requests = {
            f"r{self.count}.{number}": frozenset(parts)
            for number, parts in enumerate(prompts)
        }
        return self.add_crash(f"e{self.count}", requests, at_s)


def list_parts(registry):
    return [sorted(q.parts) for q in registry.list_quarantines()]


def test_part_of_two_crashes_is_quarantined_and_others_are_not():
    registry = Registry()
    registry.note_served([SHARED], 0.0)
    registry.crash(1.0, [SHARED, BAD], [SHARED], [SHARED, TOPIC])
    assert registry.find([SHARED, BAD]) is None
    findings = registry.crash(2.0, [SHARED], [SHARED, BAD])
    assert list_parts(registry) == [[BAD]]
    assert findings.endpoint_ids == {"e1", "e2"}
    assert registry.find(["s/other", BAD]) is not None
    assert registry.find([SHARED, TOPIC]) is None


def test_first_part_of_a_route_may_be_the_cause():
    registry = Registry()
    registry.crash(1.0, [BAD, TOPIC], [SHARED])
    registry.crash(2.0, [BAD], [SHARED, "s/x"])
    registry.note_served([SHARED], 2.1)
    registry.crash(3.0, [BAD, "s/y"], [SHARED])
    assert list_parts(registry) == [[BAD]]


def test_parts_that_always_came_together_are_refused_together_only():
    registry = Registry()
    registry.crash(1.0, [BAD, TOPIC])
    registry.crash(2.0, [BAD, TOPIC])
    assert list_parts(registry) == [[BAD, TOPIC][::-1]]
    assert registry.find([TOPIC]) is None
    assert registry.find([BAD]) is None
    registry.note_served([TOPIC], 3.0)
    assert list_parts(registry) == [[BAD]]


def test_part_in_more_requests_than_the_cause_is_not_blamed():
    registry = Registry()
    registry.crash(1.0, [BAD, TOPIC], [TOPIC])
    registry.crash(2.0, [BAD, TOPIC])
    assert list_parts(registry) == [[BAD]]


def test_cause_that_does_not_stand_out_needs_another_crash():
    registry = Registry()
    registry.crash(1.0, [BAD], [TOPIC])
    registry.crash(2.0, [BAD], [TOPIC])
    assert list_parts(registry) == []
    registry.crash(3.0, [BAD])
    assert list_parts(registry) == [[BAD]]


def test_request_that_crashes_endpoints_again_does_not_blame_its_parts():
    registry = Registry()
    for number in range(5):
        requests = {"r1": frozenset([TOPIC])}
        registry.add_crash(f"e{number}", requests, 10.0 * number)
    assert list_parts(registry) == []


def test_rack_that_fails_blames_no_part():
    registry = Registry()
    for number in range(5):
        registry.crash(1.0 + 0.01 * number, [SHARED], [SHARED, TOPIC])
    assert list_parts(registry) == []


def test_answered_part_needs_more_crashes_over_a_longer_time():
    registry = Registry()
    registry.note_served([BAD], 0.0)
    for number in range(partregistry.KNOWN_CRASHES):
        assert list_parts(registry) == []
        registry.crash(1.0 + 0.4 * number, [BAD], [SHARED])
        registry.note_served([SHARED], 1.1 + 0.4 * number)
    assert list_parts(registry) == [[BAD]]


def test_answer_on_a_quarantined_part_lifts_it_for_good():
    registry = Registry()
    registry.crash(1.0, [TOPIC])
    registry.crash(2.0, [TOPIC])
    (stale,) = registry.list_quarantines()
    cleared, lifted = registry.note_served([SHARED, TOPIC], 2.5)
    assert cleared == {TOPIC: 2.5}
    assert lifted == [stale]
    assert registry.merge_quarantine(stale) is None
    assert registry.find([TOPIC]) is None


def test_part_is_suspect_from_a_crash_until_an_answer():
    registry = Registry()
    registry.crash(1.0, [SHARED, TOPIC])
    assert registry.list_suspects() == {SHARED, TOPIC}
    registry.merge_served({SHARED: 0.5})
    assert registry.list_suspects() == {SHARED, TOPIC}
    assert registry.note_served([SHARED], 1.5) == ({SHARED: 1.5}, [])
    assert registry.list_suspects() == {TOPIC}
    assert registry.note_served([SHARED], 1.6) == ({}, [])
    registry.crash(2.0, [SHARED])
    assert registry.list_suspects() == {SHARED, TOPIC}


def test_crash_under_a_quarantined_part_is_explained_at_once():
    registry = Registry()
    registry.crash(1.0, [BAD])
    registry.crash(2.0, [BAD])
    findings = registry.crash(2.5, [BAD, "s/x"], [TOPIC])
    assert findings.found == []
    assert [q.parts for q in findings.renewed] == [{BAD}]
    assert registry.is_explained("e3", 2.6)
    assert registry.list_suspects() == frozenset()


def test_two_causes_at_the_same_time_are_both_found():
    registry = Registry()
    for number in range(2):
        registry.crash(1.0 + number, [BAD], [SHARED])
        registry.note_served([SHARED], 1.2 + number)
        registry.crash(1.5 + number, [TOPIC], [SHARED])
        registry.note_served([SHARED], 1.7 + number)
    assert list_parts(registry) == [[BAD], [TOPIC]]


def test_one_crash_that_two_instances_report_counts_once():
    registry = Registry()
    registry.add_crash("e1", {"r1": frozenset([BAD])}, 1.0)
    registry.add_crash("e1", {"r2": frozenset([BAD])}, 1.5)
    assert list_parts(registry) == []
    registry.add_crash("e1", {"r3": frozenset([BAD])}, 4.0)
    assert list_parts(registry) == [[BAD]]


def test_trial_is_due_later_after_each_one_that_fails():
    registry = Registry()
    registry.crash(1.0, [BAD])
    registry.crash(2.0, [BAD])
    (quarantine,) = registry.list_quarantines()
    assert quarantine.trial_due_s == 2.0 + partregistry.TRIAL_S
    registry.begin_trial(quarantine, 4000.0)
    registry.crash(4000.2, [BAD])
    assert quarantine.trial_due_s == 4000.0 + 2 * partregistry.TRIAL_S
    assert quarantine.crashes == 3


def test_quarantine_is_forgotten_a_day_after_its_last_request():
    registry = Registry()
    registry.crash(1.0, [BAD])
    registry.crash(2.0, [BAD])
    registry.find([BAD]).refused_s = 5000.0
    assert registry.remove_idle(2.0 + partregistry.IDLE_S) == []
    registry.remove_idle(5000.0 + partregistry.IDLE_S)
    assert list_parts(registry) == []


def test_registry_is_bounded_and_keeps_true_quarantines():
    registry = Registry()
    registry.crash(1.0, [BAD])
    registry.crash(2.0, [BAD])
    for number in range(20_000):
        registry.note_served([f"s/{number}"], 3.0)
    for number in range(500):
        parts = [f"s/{number}.{n}" for n in range(64)]
        registry.crash(
            4.0 + number, *[[f"{p}.{k}" for p in parts] for k in "xyzab"]
        )
    assert registry.find([BAD]) is not None
    assert len(registry._served) == partregistry.MAX_SERVED
    assert len(registry._crashes) == partregistry.MAX_CRASHES
    sizes = [sum(map(len, c.requests.values())) for c in registry._crashes]
    assert max(sizes) <= partregistry.MAX_PARTS_OF_CRASH


@pytest.mark.parametrize("seed", range(20))
def test_order_of_arrival_does_not_change_what_is_blamed(seed):
    rng = random.Random(seed)
    facts = []
    for number in range(6):
        requests = {f"r{number}": frozenset([SHARED, BAD])}
        requests |= {
            f"i{number}.{n}": frozenset([SHARED, rng.choice("abcdef")])
            for n in range(3)
        }
        for digest, parts in requests.items():
            facts.append((f"e{number}", {digest: parts}))
    found = set()
    for _ in range(3):
        rng.shuffle(facts)
        registry = partregistry.PartRegistry()
        registry.note_served([SHARED, *"abcdef"], 0.0)
        at_s = 0.0
        for endpoint_id, requests in facts:
            at_s += 0.05
            registry.add_crash(endpoint_id, requests, at_s)
        found.add(tuple(map(tuple, list_parts(registry))))
    assert found == {((BAD,),)}
