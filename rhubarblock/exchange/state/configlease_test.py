import asyncio
import itertools

from rhubarblock.core import route as routes
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.kernel import virtualloop


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def make_table(version, keys=("k",)):
    workspace = routes.Workspace("members", None)
    return routes.RoutingTable(
        version,
        routes.RouteIndex(),
        {},
        dict.fromkeys(keys, workspace),
        routes.CallerBounds(),
    )


def make_config_lease():
    clock = Clock()
    return config_leases.ConfigurationLease(5.0, clock), clock


def test_lease_starts_when_the_read_is_sent():
    config_lease, clock = make_config_lease()
    sent_s = config_lease.read_clock()
    clock.now_s = 3.0
    config_lease.install(make_table(1), sent_s)
    assert config_lease.find_valid() is not None
    clock.now_s = 4.7
    assert config_lease.find_valid() is not None
    clock.now_s = 4.8
    assert config_lease.find_valid() is None


def test_lease_is_invalid_after_a_freeze():
    config_lease, clock = make_config_lease()
    config_lease.install(make_table(1), 0.0)
    clock.now_s = 9.0
    assert config_lease.find_valid() is None


def test_lease_expires_without_reads_and_a_read_renews_it():
    config_lease, clock = make_config_lease()
    config_lease.install(make_table(1), 0.0)
    clock.now_s = 6.0
    assert config_lease.find_valid() is None
    config_lease.install(make_table(2, keys=()), 6.0)
    table = config_lease.find_valid()
    assert table.version == 2
    assert table.keys == {}


def test_older_table_neither_reverts_nor_extends_the_lease():
    config_lease, clock = make_config_lease()
    config_lease.install(make_table(2), 0.0)
    clock.now_s = 4.9
    assert not config_lease.install(make_table(1), 4.9)
    assert config_lease.version == 2
    assert config_lease.find_valid() is None


def test_confirmation_of_another_version_does_not_extend_the_lease():
    config_lease, clock = make_config_lease()
    config_lease.install(make_table(2), 0.0)
    clock.now_s = 4.0
    assert not config_lease.confirm(3, 4.0)
    assert config_lease.confirm(2, 4.0)
    clock.now_s = 8.0
    assert config_lease.find_valid() is not None


def test_late_answer_does_not_shorten_the_lease():
    config_lease, clock = make_config_lease()
    config_lease.install(make_table(1), 3.0)
    config_lease.install(make_table(1), 1.0)
    clock.now_s = 7.0
    assert config_lease.find_valid() is not None


def test_request_waits_for_the_lease_after_a_freeze():
    async def main():
        clock = Clock()
        config_lease = config_leases.ConfigurationLease(5.0, clock)
        config_lease.install(make_table(1), 0.0)
        clock.now_s = 9.0
        waiting = asyncio.ensure_future(config_lease.wait_valid(0.3))
        await asyncio.sleep(0.1)
        config_lease.install(make_table(1), 9.0)
        found = await waiting
        missing = config_leases.ConfigurationLease(5.0, clock)
        return found.version, await missing.wait_valid(0.3)

    assert virtualloop.run(main()) == (1, None)


def test_revoked_key_is_unusable_after_the_bound_in_any_order_of_events():
    """Explores every order of events in a small model of the lease.

    The store acknowledges the revocation of a key at some second. Reads are
    answered at once, late or not at all, and the instance may be frozen for a
    while. Time advances in whole seconds.
    """
    reads = ("none", "quick", "late")
    longest_s = 16
    checked = 0
    for removed_s in range(1, 8):
        for plan in itertools.product(reads, repeat=4):
            for frozen_s in (0, 3, 6):
                checked += simulate(removed_s, plan, frozen_s, longest_s)
    assert checked > 5_000


def simulate(removed_s, plan, frozen_s, longest_s):
    """Simulates one order of events and returns the number of checks."""
    config_lease, clock = make_config_lease()
    config_lease.install(make_table(1), 0.0)
    answers = {}
    checks = 0
    for second in range(longest_s):
        clock.now_s = float(second)
        if frozen_s and 4 <= second < 4 + frozen_s:
            continue
        for sent_s, table in answers.pop(second, []):
            config_lease.install(table, sent_s)
        # Answers that arrived during the freeze are processed when it ends.
        for moment in [m for m in answers if m < second]:
            for sent_s, table in answers.pop(moment):
                config_lease.install(table, sent_s)
        step = plan[second // 4] if second % 4 == 0 else "none"
        if step != "none":
            is_removed = second >= removed_s
            table = make_table(2, ()) if is_removed else make_table(1)
            delay = 0 if step == "quick" else 3
            answers.setdefault(second + delay, []).append((second, table))
            if delay == 0:
                for sent_s, found in answers.pop(second):
                    config_lease.install(found, sent_s)
        checks += 1
        table = config_lease.find_valid()
        if table is not None and second > removed_s + 5:
            assert "k" not in table.keys, (removed_s, plan, frozen_s, second)
    return checks
