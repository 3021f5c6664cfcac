import asyncio
import dataclasses
import random

import pytest
from returns import result

from rhubarblock.catalogue import archive as archives
from rhubarblock.catalogue import audit
from rhubarblock.catalogue import changes
from rhubarblock.catalogue import codec
from rhubarblock.catalogue import diff
from rhubarblock.catalogue import fakestore_test as fakestore
from rhubarblock.catalogue import samples_test as samples
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers
from rhubarblock.kernel import virtualloop

WALL_S = 1_770_000_000.0  # 2026-02-02, in seconds since the epoch.
ADMIN = changes.Actor("admin")
FAULT = fakestore.InjectedFault
CODE = failures.FailureCode


class Harness:
    """A fake store and the change services of two instances."""

    def __init__(self):
        clock = timers.LoopTimers(wall_offset_s=WALL_S)
        self.clock = clock
        self.store = fakestore.FakeStore()
        self.known = 0
        self.accepted = []
        self.service = changes.ChangeService(
            self.store,
            clock,
            lambda: self.known,
            lambda catalogue: self.accepted.append(catalogue.revision),
        )
        self.other = changes.ChangeService(self.store, clock)

    async def apply_first(self):
        return await self.apply(0, samples.parse(), "c1")

    async def apply(self, revision, proposed, change_id, **options):
        service = options.pop("service", self.service)
        actor = options.pop("actor", ADMIN)
        return await service.apply(
            changes.ChangeRequest(
                change_id, actor, "because", revision, proposed, **options
            )
        )


def run(scenario):
    async def main():
        return await scenario(Harness())

    return virtualloop.run(main())


def change_owner(owner):
    return samples.edit(("owner = Docks", f"owner = {owner}"))


def get_code(outcome):
    return outcome.failure().failure.code


def test_change_and_audit_record_are_written_as_one_object():
    async def scenario(harness):
        outcome = await harness.apply_first()
        return outcome.unwrap(), harness.store.objects, harness.accepted

    outcome, objects, accepted = run(scenario)
    assert outcome.revision == 1
    assert outcome.applied
    assert accepted == [1]
    assert list(objects) == ["catalogue/current"]
    value = objects["catalogue/current"].value
    assert codec.decode(value) == dataclasses.replace(
        samples.parse(), revision=1
    )
    assert codec.decode_attached_record(value) == audit.AuditRecord(
        "c1",
        audit.Action.APPLY,
        "admin",
        WALL_S + 0.002,  # The store was read once: two delays of 1 ms.
        "because",
        1,
        tuple(diff.compare(catalogues.Catalogue(), samples.parse())),
    )


def test_next_change_archives_previous_revision_and_record():
    async def scenario(harness):
        await harness.apply_first()
        await harness.apply(1, change_owner("Second"), "c2")
        records = await harness.service.archive.list_records()
        return sorted(harness.store.objects), [r.change_id for r in records]

    assert run(scenario) == (
        ["audit/0001", "catalogue-history/0001", "catalogue/current"],
        ["c2", "c1"],
    )


def test_change_of_outdated_revision_is_a_conflict_with_both_sides():
    async def scenario(harness):
        await harness.apply_first()
        await harness.apply(
            1, change_owner("Theirs"), "c2", service=harness.other
        )
        return await harness.apply(1, change_owner("Yours"), "c3")

    outcome = run(scenario)
    assert get_code(outcome) is CODE.REVISION_CONFLICT
    conflict = outcome.failure().conflict
    assert conflict.revision == 2
    assert conflict.record.change_id == "c2"
    heading = "~ [workspace hofbauer/docks]\n    owner: Docks -> "
    assert diff.format_changes(conflict.theirs) == heading + "Theirs\n"
    assert diff.format_changes(conflict.yours) == heading + "Yours\n"


def test_only_one_of_two_concurrent_changes_is_accepted():
    async def scenario(harness):
        await harness.apply_first()
        return await asyncio.gather(
            harness.apply(1, change_owner("A"), "a"),
            harness.apply(1, change_owner("B"), "b", service=harness.other),
        )

    first, second = run(scenario)
    assert first.unwrap().revision == 2
    assert get_code(second) is CODE.REVISION_CONFLICT
    assert second.failure().failure.verdict is verdicts.Verdict.NOT_RUN


@pytest.mark.parametrize(
    "write_faults",
    [
        [FAULT.LOSE_ANSWER],
        [FAULT.LOSE_REQUEST],
        [FAULT.REFUSE],
        [FAULT.REFUSE, FAULT.LOSE_ANSWER],
        [FAULT.LOSE_REQUEST, FAULT.LOSE_REQUEST, FAULT.LOSE_ANSWER],
    ],
)
def test_failed_write_is_retried_and_applied_once(write_faults):
    async def scenario(harness):
        harness.store.write_faults = write_faults
        outcome = await harness.apply_first()
        return outcome.unwrap().revision, harness.store.objects

    revision, objects = run(scenario)
    assert revision == 1
    value = objects["catalogue/current"].value
    assert codec.decode_attached_record(value).change_id == "c1"


def test_lost_response_is_resolved_after_another_change_followed():
    async def scenario(harness):
        async def replace(name):
            await harness.apply(
                1, change_owner("Next"), "c2", service=harness.other
            )

        harness.store.write_faults = [FAULT.LOSE_ANSWER]
        # The second read is the one that reads back the unconfirmed write.
        reads = iter([None, replace])

        async def hook(name):
            next_hook = next(reads)
            if next_hook is None:
                harness.store.before_read = hook
            else:
                await next_hook(name)

        harness.store.before_read = hook
        return await harness.apply_first(), harness.store.objects

    outcome, objects = run(scenario)
    assert outcome.unwrap().revision == 1
    value = objects["catalogue/current"].value
    assert codec.decode_attached_record(value).change_id == "c2"


def test_change_with_unknown_outcome_can_be_retried():
    async def scenario(harness):
        lost = [FAULT.LOSE_REQUEST] * changes.COMMIT_ATTEMPTS
        harness.store.write_faults = lost
        unknown = await harness.apply_first()
        again = await harness.apply_first()
        third = await harness.apply_first()
        return unknown, again, third

    unknown, again, third = run(scenario)
    assert get_code(unknown) is CODE.OUTCOME_UNKNOWN
    failure = unknown.failure().failure
    assert failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert again.unwrap().revision == 1
    assert third == again


def test_change_is_refused_as_not_run_while_platform_is_down():
    async def scenario(harness):
        harness.store.is_down = True
        return await harness.apply_first()

    outcome = run(scenario)
    assert get_code(outcome) is CODE.PLATFORM_UNAVAILABLE
    assert outcome.failure().failure.verdict is verdicts.Verdict.NOT_RUN


def test_change_that_fails_before_commit_leaves_no_audit_record():
    async def scenario(harness):
        await harness.apply_first()
        # Both archive writes succeed; every write of the catalogue fails.
        refusals = [FAULT.REFUSE] * changes.COMMIT_ATTEMPTS
        harness.store.write_faults = [None, None, *refusals]
        failed = await harness.apply(1, change_owner("Dead"), "c2")
        applied = await harness.apply(1, change_owner("Alive"), "c3")
        records = await harness.service.archive.list_records()
        return get_code(failed), applied, [r.change_id for r in records]

    code, applied, ids = run(scenario)
    assert code is CODE.PLATFORM_UNAVAILABLE
    assert applied.unwrap().revision == 2
    assert ids == ["c3", "c1"]


def test_stale_revision_from_platform_is_rejected():
    async def scenario(harness):
        await harness.apply_first()
        harness.known = 2
        return await harness.apply(1, change_owner("Late"), "c2")

    failure = run(scenario).failure().failure
    assert failure.message == (
        "nothing was changed: the platform answered with revision 1, but 2 "
        "is in force"
    )


def test_dry_run_writes_nothing():
    async def scenario(harness):
        await harness.apply_first()
        before = dict(harness.store.objects)
        outcome = await harness.apply(
            1, change_owner("Dry"), "c2", dry_run=True
        )
        return outcome.unwrap(), before == harness.store.objects

    outcome, unchanged = run(scenario)
    assert not outcome.applied
    assert len(outcome.changes) == 1
    assert unchanged


def test_change_refusal_lists_all_errors():
    async def scenario(harness):
        await harness.apply_first()
        return await harness.apply(
            1,
            samples.remove_sections("institution adwoa", "model reader"),
            "c2",
        )

    refusal = run(scenario).failure()
    assert refusal.failure.code is CODE.INVALID_CATALOGUE
    assert [str(error) for error in refusal.errors] == [
        "[institution adwoa] cannot be removed: its contract runs until "
        "2029-12-31",
        "[institution adwoa] cannot be removed: still named by credential "
        "adwoa-op, credential claims, workspace adwoa/claims",
        "[model reader] cannot be removed: still named by workspace "
        "adwoa/claims",
        "[workspace adwoa/claims] unknown institution 'adwoa' (allowed: "
        "hofbauer)",
        "[workspace adwoa/claims] models: unknown model 'reader' (allowed: "
        "none yet)",
        "[credential adwoa-op] institution: unknown institution 'adwoa' "
        "(allowed: hofbauer)",
    ]


def test_catalogue_above_object_size_limit_is_refused():
    async def scenario(harness):
        place = catalogues.Place("osu", "x" * 1_100_000, "accra")
        huge = dataclasses.replace(samples.parse(), places={"osu": place})
        return await harness.apply(0, huge, "c1")

    assert get_code(run(scenario)) is CODE.INVALID_CATALOGUE


def make_rollback(revision, target, actor=ADMIN):
    return changes.RollbackRequest("r1", actor, "back", revision, target)


def test_rollback_creates_a_new_revision():
    async def scenario(harness):
        await harness.apply_first()
        await harness.apply(1, change_owner("Wrong"), "c2")
        outcome = await harness.service.roll_back(make_rollback(2, 1))
        current = await harness.service.archive.read_current()
        return outcome.unwrap(), current

    outcome, current = run(scenario)
    assert outcome.revision == 3
    assert current.record.action is audit.Action.ROLLBACK
    assert current.record.target == "1"
    assert current.catalogue == dataclasses.replace(samples.parse(), revision=3)


def test_operator_rollback_restores_only_own_institution():
    async def scenario(harness):
        await harness.apply_first()
        changed = samples.edit(
            ("owner = Docks", "owner = Wrong"),
            ("owner = Claims desk", "owner = New claims desk"),
            ("version = v1", "version = v2"),
        )
        await harness.apply(1, changed, "c2")
        actor = changes.Actor("hofbauer-op", "hofbauer")
        await harness.service.roll_back(make_rollback(2, 1, actor))
        current = await harness.service.archive.read_current()
        return current.catalogue

    catalogue = run(scenario)
    assert catalogue.revision == 3
    assert catalogue.workspaces["hofbauer/docks"].owner == "Docks"
    assert catalogue.workspaces["adwoa/claims"].owner == "New claims desk"
    assert catalogue.models["reader"].version == "v2"


def test_rings_bound_the_number_of_stored_objects(monkeypatch):
    monkeypatch.setattr(archives, "AUDIT_SLOTS", 4)
    monkeypatch.setattr(archives, "HISTORY_SLOTS", 2)

    async def scenario(harness):
        await harness.apply_first()
        for revision in range(1, 9):
            await harness.apply(
                revision, change_owner(f"R{revision}"), f"c{revision + 1}"
            )
        records = await harness.service.archive.list_records()
        unavailable = await harness.service.roll_back(make_rollback(9, 6))
        late = await harness.apply(1, change_owner("Late"), "c99")
        return (
            len(harness.store.objects),
            [r.revision for r in records],
            unavailable,
            late,
        )

    count, revisions, unavailable, late = run(scenario)
    assert count == 1 + 4 + 2
    assert revisions == [9, 8, 7, 6, 5]
    assert unavailable.failure().failure.message == "revision 6 is not kept"
    # The record of revision 2 was overwritten, so revision 2 may have been
    # created by this change.
    assert late.failure().failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert late.failure().conflict.theirs is None


def test_new_action_record_overwrites_the_oldest_slot(monkeypatch):
    monkeypatch.setattr(archives, "ACTION_SLOTS", 2)

    async def scenario(harness):
        archive = harness.service.archive
        for number in (1, 2, 3, 3):
            record = audit.AuditRecord(
                f"d{number}", audit.Action.DRAIN, "admin", number, "why", 0
            )
            await archive.add_action_record(record)
        return [r.change_id for r in await archive.list_records()]

    assert run(scenario) == ["d3", "d2"]


@pytest.mark.parametrize("seed", range(40))
def test_every_accepted_change_has_an_audit_record(seed):
    """Two instances change the catalogue while writes fail at random."""

    async def scenario(harness):
        rng = random.Random(seed)
        harness.store.draw_delay = rng.random
        choices = [None, None, *FAULT]
        outcomes = {}

        async def operate(service, name):
            for number in range(6):
                current = codec.decode_revision(
                    harness.store.objects["catalogue/current"].value
                )
                harness.store.write_faults = rng.choices(choices, k=4)
                change_id = f"{name}{number}"
                outcomes[change_id] = await harness.apply(
                    current, change_owner(change_id), change_id, service=service
                )
                await harness.clock.sleep(rng.random())

        await harness.apply_first()
        await asyncio.gather(
            operate(harness.service, "a"), operate(harness.other, "b")
        )
        return outcomes, await harness.service.archive.list_records()

    outcomes, records = run(scenario)
    ids = [record.change_id for record in records]
    assert [r.revision for r in records] == list(range(len(ids), 0, -1))
    assert len(set(ids)) == len(ids)
    for change_id, outcome in outcomes.items():
        if isinstance(outcome, result.Success):
            assert change_id in ids
        elif outcome.failure().failure.verdict is verdicts.Verdict.NOT_RUN:
            assert change_id not in ids


def test_late_archive_write_does_not_overwrite_a_newer_revision(monkeypatch):
    monkeypatch.setattr(archives, "AUDIT_SLOTS", 2)

    async def scenario(harness):
        await harness.apply_first()
        archive = harness.service.archive
        first = await archive.read_current()
        for revision in (1, 2, 3):
            await harness.apply(
                revision, change_owner(f"R{revision}"), f"c{revision + 1}"
            )
        await archive.store_revision(first)
        return (await archive.read_record(3)).change_id

    assert run(scenario) == "c3"
