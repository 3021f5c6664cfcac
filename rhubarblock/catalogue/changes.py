"""Validates, commits and audits changes of the catalogue.

The object ``catalogue/current`` holds the catalogue and the audit record of
the change that created it, so one conditional write commits both or neither.
Before a revision is replaced, it and its record are copied to the archive. If
the instance crashes between the copy and the write, the next change repeats the
copy. A write that got no response is read back; the change id in the record
shows whether the write took effect.
"""

from collections.abc import Callable
import dataclasses
import datetime

from returns import result

from rhubarblock.catalogue import archive as archives
from rhubarblock.catalogue import audit
from rhubarblock.catalogue import codec
from rhubarblock.catalogue import diff
from rhubarblock.catalogue import faults
from rhubarblock.catalogue import scope
from rhubarblock.catalogue import validation
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores

# Attempts to write a change and, if the outcome is unknown, to read it back.
COMMIT_ATTEMPTS = 6
# Backoff in seconds before the second attempt; it grows linearly.
COMMIT_PAUSE_S = 0.2
# Retry-After in seconds if the platform is unavailable or does not confirm.
RETRY_AFTER_S = 5.0

_Code = failures.FailureCode
_Kind = stores.StoreErrorKind
# Store errors that mean that a write did not take effect.
_NO_EFFECT_KINDS = (_Kind.UNAVAILABLE, _Kind.RATE_LIMITED)


@dataclasses.dataclass(slots=True, frozen=True)
class Actor:
    """The operator or administrator who requests a change.

    Attributes:
      name: name of the credential.
      institution: institution of an operator; empty for an administrator.
    """

    name: str
    institution: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeRequest:
    """A requested change of the catalogue.

    Attributes:
      change_id: unique id and idempotency key: a retry uses the same id, and
        the change takes effect once.
      actor: who requests the change.
      why: the reason, for the audit trail.
      revision: revision that the change is based on; a conflict is reported if
        another revision is in force.
      proposed: the proposed catalogue.
      dry_run: whether to validate only.
    """

    change_id: str
    actor: Actor
    why: str
    revision: int
    proposed: catalogues.Catalogue
    dry_run: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class RollbackRequest:
    """A request to restore an older revision's content as a new revision.

    Attributes:
      change_id: as in ``ChangeRequest``.
      actor: who requests the rollback.
      why: the reason, for the audit trail.
      revision: revision that the operator expects to be in force.
      target: revision whose content is restored.
      dry_run: whether to validate only.
    """

    change_id: str
    actor: Actor
    why: str
    revision: int
    target: int
    dry_run: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeOutcome:
    """The result of a valid change.

    Attributes:
      change_id: id of the change.
      revision: revision created by the change; the revision in force if nothing
        was written.
      applied: whether the change was written; False for a dry run and for a
        change without any difference.
      changes: the changed entries.
    """

    change_id: str
    revision: int
    applied: bool
    changes: tuple[diff.Change, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Both sides of a change that is based on an outdated revision.

    Attributes:
      revision: revision in force.
      record: audit record of the change that created it; None for the empty
        catalogue and for operators, who may not see it.
      theirs: changes between the requested base revision and the one in force;
        None if the base revision is no longer stored.
      yours: changes in the request relative to its base revision, or to the
        revision in force if the base is no longer stored.
    """

    revision: int
    record: audit.AuditRecord | None
    theirs: tuple[diff.Change, ...] | None
    yours: tuple[diff.Change, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """Why a change was refused.

    Attributes:
      failure: code, message, and verdict on whether the change may have taken
        effect.
      errors: validation errors of the catalogue.
      conflict: both sides of a conflict; None for other refusals.
    """

    failure: failures.Failure
    errors: tuple[faults.CatalogueError, ...] = ()
    conflict: Conflict | None = None


Outcome = result.Result[ChangeOutcome, Refusal]


@dataclasses.dataclass(slots=True, frozen=True)
class _PendingChange:
    """A validated change that has not been committed yet.

    Attributes:
      request: the request for the change.
      base: the accepted catalogue that the change replaces.
      catalogue: the new catalogue.
      record: audit record of the change.
    """

    request: ChangeRequest
    base: archives.Accepted
    catalogue: catalogues.Catalogue
    record: audit.AuditRecord

    @property
    def content(self) -> bytes:
        return codec.encode(self.catalogue, self.record)


class ChangeService:
    """Applies changes of the catalogue to the platform's store."""

    __slots__ = (
        "archive",
        "_store",
        "_timers",
        "_get_known_revision",
        "_on_accepted",
    )

    def __init__(
        self,
        store: stores.ObjectStore,
        timers: timers_lib.Timers,
        get_known_revision: Callable[[], int] = lambda: 0,
        on_accepted: Callable[[catalogues.Catalogue], None] | None = None,
    ):
        """Creates the service.

        Args:
          store: the platform's object API.
          timers: the timer service.
          get_known_revision: returns the revision in force at this instance;
            responses of the platform with an older revision are rejected.
          on_accepted: called with each catalogue that this service committed.
        """
        self.archive = archives.Archive(store)
        self._store = store
        self._timers = timers
        self._get_known_revision = get_known_revision
        self._on_accepted = on_accepted

    async def apply(self, request: ChangeRequest) -> Outcome:
        """Applies a change, or returns every error that prevents it."""
        try:
            return await self._apply(request, audit.Action.APPLY, "")
        except (stores.StoreError, codec.CodecError) as error:
            return result.Failure(_make_platform_refusal(error))

    async def roll_back(self, request: RollbackRequest) -> Outcome:
        """Creates a new revision with the content of an older one."""
        try:
            return await self._roll_back(request)
        except (stores.StoreError, codec.CodecError) as error:
            return result.Failure(_make_platform_refusal(error))

    async def _roll_back(self, request: RollbackRequest) -> Outcome:
        current = await self.archive.read_current()
        old: catalogues.Catalogue | None = current.catalogue
        if request.target != current.catalogue.revision:
            old = await self.archive.read_catalogue(request.target)
        if old is None:
            message = f"revision {request.target} is not kept"
            return result.Failure(
                Refusal(failures.Failure(_Code.BAD_REQUEST, message))
            )
        change = ChangeRequest(
            request.change_id,
            request.actor,
            request.why,
            request.revision,
            scope.replace_institution_entries(
                current.catalogue, old, request.actor.institution
            ),
            request.dry_run,
        )
        return await self._apply(
            change, audit.Action.ROLLBACK, str(request.target)
        )

    async def _apply(
        self, request: ChangeRequest, action: audit.Action, target: str
    ) -> Outcome:
        base = await self.archive.read_current()
        self._check_revision_current(base)
        own_record = await self._find_own_record(request, base)
        if own_record is not None:
            return result.Success(_make_outcome(own_record))
        if base.catalogue.revision != request.revision:
            return result.Failure(
                await self._make_conflict_refusal(request, base)
            )
        merged = scope.merge(
            base.catalogue, request.proposed, request.actor.institution
        )
        if isinstance(merged, result.Failure):
            return result.Failure(_make_forbidden_refusal(merged.failure()))
        proposed = merged.unwrap()
        errors = self._validate(base.catalogue, proposed)
        if errors:
            return result.Failure(_make_invalid_refusal(errors))
        changes = tuple(diff.compare(base.catalogue, proposed))
        if request.dry_run or not changes:
            return result.Success(
                ChangeOutcome(
                    request.change_id,
                    base.catalogue.revision,
                    False,
                    changes,
                )
            )
        pending = self._make_pending_change(
            request, base, proposed, action, target
        )
        await self.archive.store_revision(base)
        return await self._commit(pending)

    def _check_revision_current(self, base: archives.Accepted) -> None:
        """Raises if the platform returned a stale catalogue."""
        known_revision = self._get_known_revision()
        if base.catalogue.revision < known_revision:
            raise stores.StoreError(
                _Kind.UNAVAILABLE,
                f"the platform answered with revision "
                f"{base.catalogue.revision}, but {known_revision} is in force",
            )

    async def _find_own_record(
        self, request: ChangeRequest, current: archives.Accepted
    ) -> audit.AuditRecord | None:
        """Returns this change's record if an earlier attempt committed it."""
        created_revision = request.revision + 1
        record = current.record
        if current.catalogue.revision > created_revision:
            record = await self.archive.read_record(created_revision)
        if record is not None and record.change_id == request.change_id:
            return record
        return None

    def _validate(
        self, before: catalogues.Catalogue, after: catalogues.Catalogue
    ) -> tuple[faults.CatalogueError, ...]:
        now = datetime.datetime.fromtimestamp(
            self._timers.read_wall(), datetime.UTC
        )
        return (
            *validation.validate_change(before, after, now.date()),
            *validation.validate(after),
        )

    def _make_pending_change(
        self,
        request: ChangeRequest,
        base: archives.Accepted,
        proposed: catalogues.Catalogue,
        action: audit.Action,
        target: str,
    ) -> _PendingChange:
        revision = base.catalogue.revision + 1
        record = audit.AuditRecord(
            change_id=request.change_id,
            action=action,
            who=request.actor.name,
            when_s=self._timers.read_wall(),
            why=request.why,
            revision=revision,
            changes=tuple(diff.compare(base.catalogue, proposed)),
            target=target,
        )
        catalogue = dataclasses.replace(proposed, revision=revision)
        return _PendingChange(request, base, catalogue, record)

    async def _commit(self, pending: _PendingChange) -> Outcome:
        """Retries the write until its outcome is known or attempts run out."""
        may_have_applied = False
        for attempt in range(COMMIT_ATTEMPTS):
            if attempt:
                await self._timers.sleep(COMMIT_PAUSE_S * attempt)
            try:
                await self._store.write(
                    archives.CURRENT_OBJECT,
                    pending.content,
                    pending.base.version,
                )
                return self._accept(pending)
            except stores.StoreError as error:
                if error.kind is _Kind.TOO_LARGE:
                    return result.Failure(_make_size_refusal(pending))
                may_have_applied = (
                    may_have_applied or error.kind is _Kind.UNSURE
                )
                if error.kind in _NO_EFFECT_KINDS and not may_have_applied:
                    continue
            outcome = await self._read_back(pending)
            if outcome is not None:
                return outcome
        return result.Failure(
            _make_unresolved_refusal(pending, may_have_applied)
        )

    async def _read_back(self, pending: _PendingChange) -> Outcome | None:
        """Reads back a write; returns None if its outcome is still unknown."""
        try:
            current = await self.archive.read_current()
            if current.version <= pending.base.version:
                return None
            if await self._find_own_record(pending.request, current):
                return self._accept(pending)
            # Another change replaced the base. The write of this change expects
            # the version of the base, so it can no longer take effect.
            return result.Failure(
                await self._make_conflict_refusal(pending.request, current)
            )
        except (stores.StoreError, codec.CodecError):
            return None

    def _accept(self, pending: _PendingChange) -> Outcome:
        if self._on_accepted is not None:
            self._on_accepted(pending.catalogue)
        return result.Success(_make_outcome(pending.record))

    async def _make_conflict_refusal(
        self, request: ChangeRequest, current: archives.Accepted
    ) -> Refusal:
        """Returns a conflict with the changes that the actor may see."""
        institution = request.actor.institution
        visible_current = scope.restrict(current.catalogue, institution)
        base = await self.archive.read_catalogue(request.revision)
        theirs = None
        reference = visible_current
        if base is not None:
            reference = scope.restrict(base, institution)
            theirs = tuple(diff.compare(reference, visible_current))
        yours = tuple(diff.compare(reference, request.proposed))
        revision = current.catalogue.revision
        record = None if institution else current.record
        return Refusal(
            failures.Failure(
                _Code.REVISION_CONFLICT,
                f"the change is against revision {request.revision}, but "
                f"{revision} is in force",
                await self._find_conflict_verdict(request, revision),
            ),
            conflict=Conflict(revision, record, theirs, yours),
        )

    async def _find_conflict_verdict(
        self, request: ChangeRequest, revision: int
    ) -> verdicts.Verdict:
        """Returns the verdict on a change whose base revision was replaced.

        If the record of the revision after the base is no longer stored, an
        earlier attempt of the same change may have created that revision.
        """
        created_revision = request.revision + 1
        if created_revision >= revision or await self.archive.read_record(
            created_revision
        ):
            return verdicts.Verdict.NOT_RUN
        return verdicts.Verdict.MAY_HAVE_RUN


def _make_outcome(record: audit.AuditRecord) -> ChangeOutcome:
    return ChangeOutcome(
        record.change_id, record.revision, True, record.changes
    )


def _make_platform_refusal(error: Exception) -> Refusal:
    return Refusal(
        failures.Failure(
            _Code.PLATFORM_UNAVAILABLE,
            f"nothing was changed: {error}",
            retry_after_s=RETRY_AFTER_S,
        )
    )


def _make_forbidden_refusal(
    errors: tuple[faults.CatalogueError, ...],
) -> Refusal:
    message = "the change touches what this credential may not change"
    return Refusal(failures.Failure(_Code.FORBIDDEN, message), errors)


def _make_invalid_refusal(errors: tuple[faults.CatalogueError, ...]) -> Refusal:
    message = f"the catalogue has {len(errors)} errors"
    if len(errors) == 1:
        message = f"the catalogue has an error: {errors[0]}"
    return Refusal(failures.Failure(_Code.INVALID_CATALOGUE, message), errors)


def _make_size_refusal(pending: _PendingChange) -> Refusal:
    message = (
        f"the catalogue has {len(pending.content)} bytes; the platform holds "
        f"{stores.VALUE_LIMIT}"
    )
    return Refusal(failures.Failure(_Code.INVALID_CATALOGUE, message))


def _make_unresolved_refusal(
    pending: _PendingChange, may_have_applied: bool
) -> Refusal:
    if not may_have_applied:
        error = stores.StoreError(_Kind.UNAVAILABLE, "the platform is down")
        return _make_platform_refusal(error)
    return Refusal(
        failures.Failure(
            _Code.OUTCOME_UNKNOWN,
            "the platform did not say whether the change was accepted; send "
            f"it again with change_id {pending.request.change_id}",
            verdicts.Verdict.MAY_HAVE_RUN,
            RETRY_AFTER_S,
        )
    )
