import random

import pytest

from rhubarblock.routing.quarantine import registry as quarantineregistry
from rhubarblock.routing.quarantine import wire as quarantinewire

ALLOW = quarantineregistry.Decision.ALLOW
ISOLATE = quarantineregistry.Decision.ISOLATE
REFUSE = quarantineregistry.Decision.REFUSE


def decide_all(book, now_s, digests="pxyz"):
    return [book.decide(digest, now_s) for digest in digests]


def test_young_requests_are_suspect_after_a_crash_and_old_ones_are_not():
    book = quarantineregistry.QuarantineRegistry()
    assert decide_all(book, 0.0) == [ALLOW] * 4
    book.add_crash("e1", {"p": 0.1, "x": 1.5, "y": 9.0}, 0.0)
    assert decide_all(book, 1.0) == [ISOLATE, ISOLATE, ALLOW, ALLOW]


def test_old_requests_are_suspect_after_two_crashes():
    book = quarantineregistry.QuarantineRegistry()
    book.add_crash("e1", {"p": 9.0, "x": 9.0}, 0.0)
    book.add_crash("e2", {"p": 9.0, "y": 9.0}, 10.0)
    assert decide_all(book, 10.0) == [ISOLATE, ALLOW, ALLOW, ALLOW]


def test_a_second_crash_has_one_cause_and_frees_its_neighbours():
    book = quarantineregistry.QuarantineRegistry()
    book.add_crash("e1", {"p": 0.1, "x": 0.1, "y": 0.1}, 0.0)
    news = book.add_crash("e2", {"p": 0.0, "z": 0.1}, 10.0)
    assert decide_all(book, 10.0) == [REFUSE, ALLOW, ALLOW, ALLOW]
    assert news.quarantined == [quarantineregistry.Quarantine("p", 10.0, 2)]


def test_two_suspects_in_one_crash_are_not_told_apart():
    book = quarantineregistry.QuarantineRegistry()
    book.add_crash("e1", {"p": 0.1, "x": 0.1}, 0.0)
    book.add_crash("e2", {"p": 0.1, "x": 0.1}, 10.0)
    assert decide_all(book, 10.0) == [ISOLATE, ISOLATE, ALLOW, ALLOW]
    book.add_crash("e3", {"p": 0.0}, 20.0)
    assert decide_all(book, 20.0) == [REFUSE, ALLOW, ALLOW, ALLOW]


def test_a_digest_that_ran_to_its_end_is_clear():
    book = quarantineregistry.QuarantineRegistry()
    book.add_crash("e1", {"p": 0.1, "x": 0.1}, 0.0)
    book.clear("x", 5.0)
    assert decide_all(book, 5.0) == [ISOLATE, ALLOW, ALLOW, ALLOW]
    book.add_crash("e2", {"x": 0.1}, 10.0)
    assert decide_all(book, 10.0) == [ISOLATE, ISOLATE, ALLOW, ALLOW]


def test_one_crash_seen_by_two_instances_counts_once():
    book = quarantineregistry.QuarantineRegistry()
    book.add_crash("e1", {"p": 0.1}, 0.0)
    book.add_crash("e1", {"p": 0.1}, 1.5)
    assert book.decide("p", 2.0) is ISOLATE
    book.add_crash("e1", {"p": 0.1}, 4.0)
    assert book.decide("p", 4.0) is REFUSE


def test_the_loss_of_many_endpoints_makes_nobody_suspect():
    book = quarantineregistry.QuarantineRegistry()
    for name, digest in (("e1", "x"), ("e2", "y"), ("e3", "z")):
        book.add_crash(name, {digest: 0.1}, 0.5)
    assert decide_all(book, 1.0) == [ALLOW] * 4


def test_a_digest_in_flight_at_several_of_many_lost_endpoints_is_the_cause():
    book = quarantineregistry.QuarantineRegistry()
    for name, digest in (("e1", "x"), ("e2", "y"), ("e3", "z")):
        book.add_crash(name, {digest: 0.1, "p": 0.1}, 0.5)
    assert decide_all(book, 1.0) == [REFUSE, ALLOW, ALLOW, ALLOW]


def test_suspicion_and_quarantine_lapse():
    book = quarantineregistry.QuarantineRegistry()
    book.add_crash("e1", {"p": 0.1, "x": 0.1}, 0.0)
    assert book.decide("x", 299.0) is ISOLATE
    assert book.decide("x", 300.0) is ALLOW
    book.add_crash("e2", {"p": 0.1}, 10.0)
    assert book.decide("p", 3609.0) is REFUSE
    assert book.decide("p", 3610.0) is ALLOW


def test_an_operator_lets_a_digest_go():
    book = quarantineregistry.QuarantineRegistry()
    book.add_crash("e1", {"p": 0.1}, 0.0)
    book.add_crash("e2", {"p": 0.1}, 10.0)
    before = book.read_facts()
    book.clear("p", 20.0)
    assert book.decide("p", 20.0) is ALLOW
    book.merge(before, 21.0)
    assert book.decide("p", 21.0) is ALLOW


def test_the_book_is_bounded():
    book = quarantineregistry.QuarantineRegistry()
    many = {f"d{number}": 0.1 for number in range(1000)}
    for number in range(200):
        book.add_crash(f"e{number}", {"p": 9.0, **many}, float(number))
    facts = book.read_facts()
    assert len(facts.crashes) == quarantineregistry.MAX_CRASHES
    assert len(facts.crashes[0].young) == quarantineregistry.MAX_DIGESTS
    size = len(quarantinewire.encode_facts(facts))
    assert size < 1_000_000


@pytest.mark.parametrize("seed", range(20))
def test_books_that_exchanged_their_facts_judge_the_same(seed):
    rng = random.Random(seed)
    heard = []
    for number in range(12):
        ages = {d: rng.choice((0.1, 9.0)) for d in rng.sample("pqrstxyz", 3)}
        source = quarantineregistry.QuarantineRegistry()
        source.add_crash(f"e{rng.randrange(4)}", ages, 3.0 * number)
        heard.append(quarantinewire.encode_facts(source.read_facts()))
    books = [quarantineregistry.QuarantineRegistry() for _ in range(2)]
    for book in books:
        rng.shuffle(heard)
        for payload in heard:
            book.merge(quarantinewire.decode_facts(payload), 40.0)
    for book, other in (books, reversed(books)):
        payload = quarantinewire.encode_facts(other.read_facts())
        book.merge(quarantinewire.decode_facts(payload), 40.0)
    decisions = [decide_all(book, 40.0, "pqrstxyz") for book in books]
    assert decisions[0] == decisions[1]


def test_digests_are_shortened_to_one_form():
    digest = "ab" * 32
    assert quarantineregistry.shorten(digest) == "ab" * 16
    assert quarantineregistry.shorten("ab" * 16) == "ab" * 16
    assert quarantineregistry.shorten("p") == "p"
    assert len(quarantineregistry.shorten("no hex digits" * 9)) == 32
