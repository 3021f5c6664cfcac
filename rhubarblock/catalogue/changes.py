"""Changes of the catalogue: checked whole, conditional, recorded.

The object ``catalogue/current`` holds the catalogue and the audit record of
the change that made it, so one conditional update accepts both or neither.
Before a revision is replaced, it and its record are kept in the archive; a
change that dies in between leaves this step to the next one. A write whose
answer was lost is read back and told apart by the id of the change.
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

# How often an unsure write is tried and read back, and how long between.
COMMIT_ATTEMPTS = 6
COMMIT_PAUSE_S = 0.2
RETRY_AFTER_S = 5.0

_Code = failures.FailureCode
_Kind = stores.StoreErrorKind
# Answers after which it is known that a write had no effect.
_REFUSED_KINDS = (_Kind.UNAVAILABLE, _Kind.RATE_LIMITED)


@dataclasses.dataclass(slots=True, frozen=True)
class Actor:
    """Who asks for a change.

    Attributes:
      name: name of the credential.
      institution: institution of an operator; empty for an administrator.
    """

    name: str
    institution: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeRequest:
    """A change that an operator asks for.

    Attributes:
      change_id: unique id; a change that is sent again has the same one and
        takes effect once.
      actor: who asks.
      why: the reason, for the audit trail.
      revision: revision that the operator changed; another in force by now is
        a conflict.
      proposed: the catalogue as it should be.
      dry_run: whether to check only.
    """

    change_id: str
    actor: Actor
    why: str
    revision: int
    proposed: catalogues.Catalogue
    dry_run: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class RollbackRequest:
    """A return to the content of an older revision, as a new revision.

    Attributes:
      change_id: as in ``ChangeRequest``.
      actor: who asks.
      why: the reason.
      revision: revision in force as the operator knows it.
      target: revision whose content is wanted.
      dry_run: whether to check only.
    """

    change_id: str
    actor: Actor
    why: str
    revision: int
    target: int
    dry_run: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeOutcome:
    """An accepted change, or one that would be.

    Attributes:
      change_id: id of the change.
      revision: revision that it made; the one in force if nothing was written.
      applied: whether it was written; False for a dry run or no difference.
      changes: what it changed.
    """

    change_id: str
    revision: int
    applied: bool
    changes: tuple[diff.Change, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Both sides of a change that came too late.

    Attributes:
      revision: revision in force.
      record: the change that made it.
      theirs: what changed since the operator's revision; None when that one
        is no longer kept.
      yours: what the operator wanted to change, against the same revision, or
        against the one in force when it is no longer kept.
    """

    revision: int
    record: audit.AuditRecord | None
    theirs: tuple[diff.Change, ...] | None
    yours: tuple[diff.Change, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """Why a change was not made.

    Attributes:
      failure: code, message and whether it may have been made after all.
      errors: errors of the catalogue.
      conflict: both sides of a conflict.
    """

    failure: failures.Failure
    errors: tuple[faults.CatalogueError, ...] = ()
    conflict: Conflict | None = None


Outcome = result.Result[ChangeOutcome, Refusal]


@dataclasses.dataclass(slots=True, frozen=True)
class _Step:
    """One change on its way: what it starts from and what it makes."""

    request: ChangeRequest
    base: archives.Accepted
    catalogue: catalogues.Catalogue
    record: audit.AuditRecord

    @property
    def content(self) -> bytes:
        return codec.encode(self.catalogue, self.record)


class ChangeService:
    """Makes changes of the catalogue through the platform."""

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
          get_known_revision: returns the revision in force at this instance; a
            platform that answers with an older one is not believed.
          on_accepted: is given each catalogue accepted here.
        """
        self.archive = archives.Archive(store)
        self._store = store
        self._timers = timers
        self._get_known_revision = get_known_revision
        self._on_accepted = on_accepted

    async def apply(self, request: ChangeRequest) -> Outcome:
        """Makes a change, or says all that speaks against it."""
        try:
            return await self._apply(request, audit.Action.APPLY, "")
        except (stores.StoreError, codec.CodecError) as error:
            return result.Failure(_refuse_platform(error))

    async def roll_back(self, request: RollbackRequest) -> Outcome:
        """Makes a new revision with the content of an older one."""
        try:
            return await self._roll_back(request)
        except (stores.StoreError, codec.CodecError) as error:
            return result.Failure(_refuse_platform(error))

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
            scope.replace_own(
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
        self._check_believable(base)
        done = await self._find_record(request, base)
        if done is not None:
            return result.Success(_describe_done(done))
        if base.catalogue.revision != request.revision:
            return result.Failure(await self._refuse_late(request, base))
        merged = scope.merge(
            base.catalogue, request.proposed, request.actor.institution
        )
        if isinstance(merged, result.Failure):
            return result.Failure(_refuse_foreign(merged.failure()))
        proposed = merged.unwrap()
        errors = self._validate(base.catalogue, proposed)
        if errors:
            return result.Failure(_refuse_invalid(errors))
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
        step = self._prepare(request, base, proposed, action, target)
        await self.archive.keep(base)
        return await self._commit(step)

    def _check_believable(self, base: archives.Accepted) -> None:
        known = self._get_known_revision()
        if base.catalogue.revision < known:
            raise stores.StoreError(
                _Kind.UNAVAILABLE,
                f"the platform answered with revision "
                f"{base.catalogue.revision}, but {known} is in force",
            )

    async def _find_record(
        self, request: ChangeRequest, current: archives.Accepted
    ) -> audit.AuditRecord | None:
        """Returns the record of this very change if it was accepted."""
        made = request.revision + 1
        record = current.record
        if current.catalogue.revision > made:
            record = await self.archive.read_record(made)
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

    def _prepare(
        self,
        request: ChangeRequest,
        base: archives.Accepted,
        proposed: catalogues.Catalogue,
        action: audit.Action,
        target: str,
    ) -> _Step:
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
        return _Step(request, base, catalogue, record)

    async def _commit(self, step: _Step) -> Outcome:
        """Writes until it is known whether the change was accepted."""
        unsure = False
        for attempt in range(COMMIT_ATTEMPTS):
            if attempt:
                await self._timers.sleep(COMMIT_PAUSE_S * attempt)
            try:
                await self._store.write(
                    archives.CURRENT_OBJECT, step.content, step.base.version
                )
                return self._accept(step)
            except stores.StoreError as error:
                if error.kind is _Kind.TOO_LARGE:
                    return result.Failure(_refuse_size(step))
                unsure = unsure or error.kind is _Kind.UNSURE
                if error.kind in _REFUSED_KINDS and not unsure:
                    continue
            known = await self._resolve(step)
            if known is not None:
                return known
        return result.Failure(_refuse_unresolved(step, unsure))

    async def _resolve(self, step: _Step) -> Outcome | None:
        """Reads back; returns None while it is not known how it ended."""
        try:
            current = await self.archive.read_current()
            if current.version <= step.base.version:
                return None
            if await self._find_record(step.request, current):
                return self._accept(step)
            # The base was replaced by another change, so ours, which asks for
            # the version of the base, can never take effect.
            return result.Failure(
                await self._refuse_late(step.request, current)
            )
        except (stores.StoreError, codec.CodecError):
            return None

    def _accept(self, step: _Step) -> Outcome:
        if self._on_accepted is not None:
            self._on_accepted(step.catalogue)
        return result.Success(_describe_done(step.record))

    async def _refuse_late(
        self, request: ChangeRequest, current: archives.Accepted
    ) -> Refusal:
        """Returns a conflict with both sides, as far as the actor sees them."""
        institution = request.actor.institution
        now = scope.restrict(current.catalogue, institution)
        base = await self.archive.read_catalogue(request.revision)
        theirs = None
        start = now
        if base is not None:
            start = scope.restrict(base, institution)
            theirs = tuple(diff.compare(start, now))
        yours = tuple(diff.compare(start, request.proposed))
        revision = current.catalogue.revision
        record = None if institution else current.record
        return Refusal(
            failures.Failure(
                _Code.REVISION_CONFLICT,
                f"the change is against revision {request.revision}, but "
                f"{revision} is in force",
                await self._judge_late(request, revision),
            ),
            conflict=Conflict(revision, record, theirs, yours),
        )

    async def _judge_late(
        self, request: ChangeRequest, revision: int
    ) -> verdicts.Verdict:
        """Returns the verdict of a change that is not the one in force.

        When the record of the revision that it would have made is no longer
        kept, nobody can tell whether that was this change sent earlier.
        """
        made = request.revision + 1
        if made >= revision or await self.archive.read_record(made):
            return verdicts.Verdict.NOT_RUN
        return verdicts.Verdict.MAY_HAVE_RUN


def _describe_done(record: audit.AuditRecord) -> ChangeOutcome:
    return ChangeOutcome(
        record.change_id, record.revision, True, record.changes
    )


def _refuse_platform(error: Exception) -> Refusal:
    return Refusal(
        failures.Failure(
            _Code.PLATFORM_UNAVAILABLE,
            f"nothing was changed: {error}",
            retry_after_s=RETRY_AFTER_S,
        )
    )


def _refuse_foreign(errors: tuple[faults.CatalogueError, ...]) -> Refusal:
    message = "the change touches what this credential may not change"
    return Refusal(failures.Failure(_Code.FORBIDDEN, message), errors)


def _refuse_invalid(errors: tuple[faults.CatalogueError, ...]) -> Refusal:
    message = f"the catalogue has {len(errors)} errors"
    if len(errors) == 1:
        message = f"the catalogue has an error: {errors[0]}"
    return Refusal(failures.Failure(_Code.INVALID_CATALOGUE, message), errors)


def _refuse_size(step: _Step) -> Refusal:
    message = (
        f"the catalogue has {len(step.content)} bytes; the platform holds "
        f"{stores.VALUE_LIMIT}"
    )
    return Refusal(failures.Failure(_Code.INVALID_CATALOGUE, message))


def _refuse_unresolved(step: _Step, unsure: bool) -> Refusal:
    if not unsure:
        error = stores.StoreError(_Kind.UNAVAILABLE, "the platform is down")
        return _refuse_platform(error)
    return Refusal(
        failures.Failure(
            _Code.OUTCOME_UNKNOWN,
            "the platform did not say whether the change was accepted; send "
            f"it again with change_id {step.request.change_id}",
            verdicts.Verdict.MAY_HAVE_RUN,
            RETRY_AFTER_S,
        )
    )
