import random

import pytest

from rhubarblock.routing.quarantine import registry as quarantineregistry
from rhubarblock.routing.quarantine import wire as quarantinewire

ALLOW = quarantineregistry.Decision.ALLOW
ISOLATE = quarantineregistry.Decision.ISOLATE
REFUSE = quarantineregistry.Decision.REFUSE


def decide_all(registry, now_s, digests="pxyz"):
    return [registry.decide(digest, now_s) for digest in digests]


def test_young_requests_are_suspect_after_a_crash_and_old_ones_are_not():
    registry = quarantineregistry.QuarantineRegistry()
    assert decide_all(registry, 0.0) == [ALLOW] * 4
    registry.add_crash("e1", {"p": 0.1, "x": 1.5, "y": 9.0}, 0.0)
    assert decide_all(registry, 1.0) == [ISOLATE, ISOLATE, ALLOW, ALLOW]


def test_old_requests_are_suspect_after_two_crashes():
    registry = quarantineregistry.QuarantineRegistry()
    registry.add_crash("e1", {"p": 9.0, "x": 9.0}, 0.0)
    registry.add_crash("e2", {"p": 9.0, "y": 9.0}, 10.0)
    assert decide_all(registry, 10.0) == [ISOLATE, ALLOW, ALLOW, ALLOW]


def test_a_second_crash_identifies_the_cause_and_clears_the_others():
    registry = quarantineregistry.QuarantineRegistry()
    registry.add_crash("e1", {"p": 0.1, "x": 0.1, "y": 0.1}, 0.0)
    changes = registry.add_crash("e2", {"p": 0.0, "z": 0.1}, 10.0)
    assert decide_all(registry, 10.0) == [REFUSE, ALLOW, ALLOW, ALLOW]
    assert changes.quarantined == [
        quarantineregistry.QuarantineRecord("p", 10.0, 2)
    ]


def test_two_suspects_in_the_same_crashes_stay_suspects():
    registry = quarantineregistry.QuarantineRegistry()
    registry.add_crash("e1", {"p": 0.1, "x": 0.1}, 0.0)
    registry.add_crash("e2", {"p": 0.1, "x": 0.1}, 10.0)
    assert decide_all(registry, 10.0) == [ISOLATE, ISOLATE, ALLOW, ALLOW]
    registry.add_crash("e3", {"p": 0.0}, 20.0)
    assert decide_all(registry, 20.0) == [REFUSE, ALLOW, ALLOW, ALLOW]


def test_a_digest_that_ran_to_completion_is_cleared():
    registry = quarantineregistry.QuarantineRegistry()
    registry.add_crash("e1", {"p": 0.1, "x": 0.1}, 0.0)
    registry.clear("x", 5.0)
    assert decide_all(registry, 5.0) == [ISOLATE, ALLOW, ALLOW, ALLOW]
    registry.add_crash("e2", {"x": 0.1}, 10.0)
    assert decide_all(registry, 10.0) == [ISOLATE, ISOLATE, ALLOW, ALLOW]


def test_one_crash_seen_by_two_instances_counts_once():
    registry = quarantineregistry.QuarantineRegistry()
    registry.add_crash("e1", {"p": 0.1}, 0.0)
    registry.add_crash("e1", {"p": 0.1}, 1.5)
    assert registry.decide("p", 2.0) is ISOLATE
    registry.add_crash("e1", {"p": 0.1}, 4.0)
    assert registry.decide("p", 4.0) is REFUSE


def test_a_mass_failure_makes_no_request_suspect():
    registry = quarantineregistry.QuarantineRegistry()
    for name, digest in (("e1", "x"), ("e2", "y"), ("e3", "z")):
        registry.add_crash(name, {digest: 0.1}, 0.5)
    assert decide_all(registry, 1.0) == [ALLOW] * 4


def test_a_digest_at_several_endpoints_of_a_mass_failure_is_the_cause():
    registry = quarantineregistry.QuarantineRegistry()
    for name, digest in (("e1", "x"), ("e2", "y"), ("e3", "z")):
        registry.add_crash(name, {digest: 0.1, "p": 0.1}, 0.5)
    assert decide_all(registry, 1.0) == [REFUSE, ALLOW, ALLOW, ALLOW]


def test_suspicion_and_quarantine_expire():
    registry = quarantineregistry.QuarantineRegistry()
    registry.add_crash("e1", {"p": 0.1, "x": 0.1}, 0.0)
    assert registry.decide("x", 299.0) is ISOLATE
    assert registry.decide("x", 300.0) is ALLOW
    registry.add_crash("e2", {"p": 0.1}, 10.0)
    assert registry.decide("p", 3609.0) is REFUSE
    assert registry.decide("p", 3610.0) is ALLOW


def test_a_cleared_digest_stays_cleared_after_old_facts_arrive():
    registry = quarantineregistry.QuarantineRegistry()
    registry.add_crash("e1", {"p": 0.1}, 0.0)
    registry.add_crash("e2", {"p": 0.1}, 10.0)
    before = registry.read_facts()
    registry.clear("p", 20.0)
    assert registry.decide("p", 20.0) is ALLOW
    registry.merge(before, 21.0)
    assert registry.decide("p", 21.0) is ALLOW


def test_the_registry_is_bounded():
    registry = quarantineregistry.QuarantineRegistry()
    many = {f"d{number}": 0.1 for number in range(1000)}
    for number in range(200):
        registry.add_crash(f"e{number}", {"p": 9.0, **many}, float(number))
    facts = registry.read_facts()
    assert len(facts.crashes) == quarantineregistry.MAX_CRASHES
    assert len(facts.crashes[0].young) == quarantineregistry.MAX_DIGESTS
    size = len(quarantinewire.encode_facts(facts))
    assert size < 1_000_000


@pytest.mark.parametrize("seed", range(20))
def test_registries_that_exchanged_their_facts_decide_the_same(seed):
    rng = random.Random(seed)
    payloads = []
    for number in range(12):
        ages = {d: rng.choice((0.1, 9.0)) for d in rng.sample("pqrstxyz", 3)}
        source = quarantineregistry.QuarantineRegistry()
        source.add_crash(f"e{rng.randrange(4)}", ages, 3.0 * number)
        payloads.append(quarantinewire.encode_facts(source.read_facts()))
    registries = [quarantineregistry.QuarantineRegistry() for _ in range(2)]
    for registry in registries:
        rng.shuffle(payloads)
        for payload in payloads:
            registry.merge(quarantinewire.decode_facts(payload), 40.0)
    for registry, other in (registries, reversed(registries)):
        payload = quarantinewire.encode_facts(other.read_facts())
        registry.merge(quarantinewire.decode_facts(payload), 40.0)
    decisions = [
        decide_all(registry, 40.0, "pqrstxyz") for registry in registries
    ]
    assert decisions[0] == decisions[1]


def test_digests_are_shortened_to_one_form():
    digest = "ab" * 32
    assert quarantineregistry.shorten(digest) == "ab" * 16
    assert quarantineregistry.shorten("ab" * 16) == "ab" * 16
    assert quarantineregistry.shorten("p") == "p"
    assert len(quarantineregistry.shorten("no hex digits" * 9)) == 32
