"""The administration API: HTTP and JSON under ``/admin/v1``.

Every instance serves it. Handlers are stateless: they authenticate the request,
parse a typed message, call the change service or a provider and return its
result as JSON.
"""

from collections.abc import Callable
import dataclasses
import datetime
from typing import Any

from aiohttp import web
from returns import result

from rhubarblock.admin import audittrail
from rhubarblock.admin import authentication
from rhubarblock.admin import draining
from rhubarblock.admin import errors
from rhubarblock.admin import messages
from rhubarblock.admin import status as statuses
from rhubarblock.catalogue import audit
from rhubarblock.catalogue import changes
from rhubarblock.catalogue import codec
from rhubarblock.catalogue import diff
from rhubarblock.catalogue import files
from rhubarblock.catalogue import scope
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import failure as failures
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores

PREFIX = "/admin/v1"
# A catalogue must fit into one object of the platform; its text is longer than
# its encoding there.
MAX_BODY_BYTES = 4 * stores.VALUE_LIMIT
MAX_RECORDS = 1000

_TEXT_NAME = "catalogue"
_Code = failures.FailureCode


@dataclasses.dataclass(slots=True, frozen=True)
class AdminParts:
    """Dependencies of the API.

    Attributes:
      changes: service that validates and stores catalogue changes.
      timers: timer service.
      get_catalogue: returns the catalogue in force at this instance.
      status_source: provides the status of the fleet.
      drain_control: starts drains.
      bootstrap_sha256: SHA-256 hex digest of the secret that may write the
        first catalogue; empty for none.
    """

    changes: changes.ChangeService
    timers: timers_lib.Timers
    get_catalogue: Callable[[], catalogues.Catalogue]
    status_source: statuses.StatusSource
    drain_control: draining.DrainControl
    bootstrap_sha256: str = ""


def create_app(parts: AdminParts) -> web.Application:
    """Returns the HTTP application of the administration API.

    Args:
      parts: dependencies of the API.
    """
    app = web.Application(
        middlewares=[errors.answer_errors], client_max_size=MAX_BODY_BYTES
    )
    api = _Api(parts)
    app.add_routes(
        [
            web.get(f"{PREFIX}/catalogue", api.get_catalogue),
            web.post(f"{PREFIX}/catalogue", api.post_catalogue),
            web.get(f"{PREFIX}/history", api.get_history),
            web.post(f"{PREFIX}/rollback", api.post_rollback),
            web.get(f"{PREFIX}/audit", api.get_audit),
            web.get(f"{PREFIX}/status", api.get_status),
            web.post(f"{PREFIX}/drain", api.post_drain),
        ]
    )
    return app


class _Api:
    """HTTP handlers of the API."""

    __slots__ = ("_parts",)

    def __init__(self, parts: AdminParts):
        self._parts = parts

    async def get_catalogue(self, request: web.Request) -> web.Response:
        actor = self._authenticate(request)
        catalogue = await self._read_catalogue(request)
        visible = scope.restrict(catalogue, actor.institution)
        return web.json_response(
            {
                "revision": catalogue.revision,
                "text": files.format_catalogue(visible),
                "entries": codec.build_document(visible),
            }
        )

    async def post_catalogue(self, request: web.Request) -> web.Response:
        actor = self._authenticate(request)
        body = await request.read()
        message = messages.parse_message(body, messages.ApplyMessage)
        parsed = files.parse_catalogue(message.text, _TEXT_NAME)
        if isinstance(parsed, result.Failure):
            raise _make_text_error(parsed.failure())
        outcome = await self._parts.changes.apply(
            changes.ChangeRequest(
                message.change_id,
                actor,
                message.why.strip(),
                message.revision,
                parsed.unwrap(),
                message.dry_run,
            )
        )
        return _answer_change(outcome, actor)

    async def post_rollback(self, request: web.Request) -> web.Response:
        actor = self._authenticate(request)
        body = await request.read()
        message = messages.parse_message(body, messages.RollbackMessage)
        outcome = await self._parts.changes.roll_back(
            changes.RollbackRequest(
                message.change_id,
                actor,
                message.why.strip(),
                message.revision,
                message.to,
                message.dry_run,
            )
        )
        return _answer_change(outcome, actor)

    async def get_history(self, request: web.Request) -> web.Response:
        """Lists the revisions without their changes."""
        actor = self._authenticate(request)
        limit = _read_limit(request)
        audit_filter = audittrail.AuditFilter(limit=MAX_RECORDS)
        records = await self._select_records(audit_filter, actor)
        revisions = [
            {
                "revision": record.revision,
                "action": record.action.value,
                "who": record.who,
                "when": _format_time(record.when_s),
                "why": record.why,
                "target": record.target,
                "entries": len(record.changes),
            }
            for record in records
            if record.action is not audit.Action.DRAIN
        ]
        return web.json_response({"history": revisions[:limit]})

    async def get_audit(self, request: web.Request) -> web.Response:
        actor = self._authenticate(request)
        records = await self._select_records(_read_filter(request), actor)
        documents = [_build_record_document(record) for record in records]
        return web.json_response({"audit": documents})

    async def get_status(self, request: web.Request) -> web.Response:
        actor = self._authenticate(request)
        status = await self._parts.status_source.collect_status()
        visible = statuses.restrict(status, actor.institution)
        return web.json_response(statuses.build_document(visible))

    async def post_drain(self, request: web.Request) -> web.Response:
        actor = self._authenticate(request)
        if actor.institution:
            raise errors.refuse(
                _Code.FORBIDDEN, "only an administrator may drain"
            )
        body = await request.read()
        message = messages.parse_message(body, messages.DrainMessage)
        target = _read_target(message)
        recorded = await self._record_drain(message, actor, target)
        state = await self._parts.drain_control.start_drain(target)
        return web.json_response(
            {"drain": dataclasses.asdict(state), "recorded": recorded}
        )

    def _authenticate(self, request: web.Request) -> changes.Actor:
        return authentication.authenticate(
            request.headers.get("Authorization"),
            self._parts.get_catalogue(),
            self._parts.bootstrap_sha256,
        )

    async def _read_catalogue(
        self, request: web.Request
    ) -> catalogues.Catalogue:
        """Returns the catalogue in force, or the requested revision.

        The catalogue in force is this instance's own copy, which is available
        while the platform is down.
        """
        in_force = self._parts.get_catalogue()
        revision = _read_number(request, "revision", in_force.revision)
        if revision == in_force.revision:
            return in_force
        try:
            archive = self._parts.changes.archive
            current = await archive.read_current()
            if current.catalogue.revision == revision:
                return current.catalogue
            older = await archive.read_catalogue(revision)
        except (stores.StoreError, codec.CodecError) as error:
            raise _make_platform_error(error) from error
        if older is None:
            raise errors.refuse(
                _Code.BAD_REQUEST, f"revision {revision} is not kept"
            )
        return older

    async def _select_records(
        self, audit_filter: audittrail.AuditFilter, actor: changes.Actor
    ) -> list[audit.AuditRecord]:
        try:
            records = await self._parts.changes.archive.list_records()
        except (stores.StoreError, codec.CodecError) as error:
            raise _make_platform_error(error) from error
        return audittrail.select_records(
            records, audit_filter, actor.institution
        )

    async def _record_drain(
        self,
        message: messages.DrainMessage,
        actor: changes.Actor,
        target: draining.DrainTarget,
    ) -> bool:
        """Writes the audit record of a drain before the drain starts.

        Returns:
          Whether it was written; False only if the operator allowed a drain
          without a record.
        """
        record = audit.AuditRecord(
            change_id=message.change_id,
            action=audit.Action.DRAIN,
            who=actor.name,
            when_s=self._parts.timers.read_wall(),
            why=message.why.strip(),
            revision=self._parts.get_catalogue().revision,
            target=str(target),
        )
        try:
            await self._parts.changes.archive.add_action_record(record)
        except (stores.StoreError, codec.CodecError) as error:
            if message.unrecorded:
                return False
            raise _make_platform_error(error) from error
        return True


def _answer_change(
    outcome: changes.Outcome, actor: changes.Actor
) -> web.Response:
    if isinstance(outcome, result.Failure):
        raise _build_refusal(outcome.failure())
    change_outcome = outcome.unwrap()
    return web.json_response(
        {
            "change_id": change_outcome.change_id,
            "revision": change_outcome.revision,
            "applied": change_outcome.applied,
            "changes": _build_changes(change_outcome.changes),
            "changes_text": diff.format_changes(change_outcome.changes),
        }
    )


def _build_refusal(refusal: changes.Refusal) -> errors.ApiError:
    details = tuple(dataclasses.asdict(error) for error in refusal.errors)
    if refusal.conflict is None:
        return errors.ApiError(refusal.failure, details)
    conflict = refusal.conflict
    document: dict[str, Any] = {
        "revision": conflict.revision,
        "record": None,
        "theirs": None,
        "yours": _build_changes(conflict.yours),
    }
    if conflict.record is not None:
        document["record"] = _build_record_document(conflict.record)
    if conflict.theirs is not None:
        document["theirs"] = _build_changes(conflict.theirs)
    return errors.ApiError(refusal.failure, details, document)


def _build_changes(
    found_changes: tuple[diff.Change, ...],
) -> list[dict[str, Any]]:
    return [codec.build_change_document(change) for change in found_changes]


def _build_record_document(record: audit.AuditRecord) -> dict[str, Any]:
    document = codec.build_record_document(record)
    document["when"] = _format_time(record.when_s)
    return document


def _format_time(wall_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return moment.isoformat(timespec="seconds")


def _make_text_error(catalogue_errors: tuple[Any, ...]) -> errors.ApiError:
    failure = failures.Failure(
        _Code.INVALID_CATALOGUE,
        f"the catalogue has {len(catalogue_errors)} errors",
    )
    return errors.ApiError(
        failure, tuple(dataclasses.asdict(error) for error in catalogue_errors)
    )


def _make_platform_error(error: Exception) -> errors.ApiError:
    return errors.ApiError(
        failures.Failure(
            _Code.PLATFORM_UNAVAILABLE,
            f"the platform does not answer: {error}",
            retry_after_s=changes.RETRY_AFTER_S,
        )
    )


def _read_target(message: messages.DrainMessage) -> draining.DrainTarget:
    try:
        kind = draining.DrainKind(message.kind)
    except ValueError:
        allowed = ", ".join(kind.value for kind in draining.DrainKind)
        raise errors.refuse(
            _Code.BAD_REQUEST, f"kind must be one of {allowed}"
        ) from None
    if not message.name:
        raise errors.refuse(_Code.BAD_REQUEST, "name is empty")
    return draining.DrainTarget(kind, message.name)


def _read_number(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise errors.refuse(_Code.BAD_REQUEST, f"{name} must be a whole number")
    return int(text)


def _read_limit(request: web.Request) -> int:
    limit = _read_number(request, "limit", audittrail.DEFAULT_LIMIT)
    return min(limit, MAX_RECORDS)


def _read_filter(request: web.Request) -> audittrail.AuditFilter:
    query = request.query
    return audittrail.AuditFilter(
        who=query.get("who", ""),
        action=query.get("action", ""),
        kind=query.get("kind", ""),
        name=query.get("name", ""),
        since_s=_read_number(request, "since_s", 0),
        until_s=_read_number(request, "until_s", 0),
        limit=_read_limit(request),
    )
