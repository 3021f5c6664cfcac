"""Validates a catalogue, and a change against the contracts in force.

All checks run and their errors are collected, so an operator sees every error
at once.
"""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
import types
from typing import Any

from returns import result

from rhubarblock.catalogue import faults
from rhubarblock.catalogue import schema as schemas
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints

Errors = Iterator[faults.CatalogueError]
UnreadableEntries = frozenset[tuple[schemas.EntryKind, str]]

_Kind = schemas.EntryKind
_LIMIT_NAMES = tuple(catalogues.Limits.__dataclass_fields__)


def validate(
    catalogue: catalogues.Catalogue, unreadable: UnreadableEntries = frozenset()
) -> tuple[faults.CatalogueError, ...]:
    """Validates every entry and every reference between entries.

    Args:
      catalogue: the catalogue to validate.
      unreadable: entries that exist but could not be parsed; a reference to one
        of them is not reported as an additional error.

    Returns:
      All errors; empty if the catalogue is valid.
    """
    errors: list[faults.CatalogueError] = []
    for schema, entry in schemas.iterate_entries(catalogue):
        errors += _check_fields(schema, entry)
        check = _CHECKS.get(schema.kind)
        if check is not None:
            errors += check(entry, catalogue, unreadable)
    errors += _check_digests(catalogue)
    return tuple(errors)


def validate_change(
    before: catalogues.Catalogue,
    after: catalogues.Catalogue,
    today: datetime.date,
) -> tuple[faults.CatalogueError, ...]:
    """Validates a change against contracts, references and administrators.

    Args:
      before: the catalogue in force.
      after: the proposed catalogue.
      today: current date; contracts that ended before it do not count.

    Returns:
      All errors; empty if the change is allowed.
    """
    errors: list[faults.CatalogueError] = []
    for name, institution in sorted(before.institutions.items()):
        if is_contract_active(institution, today):
            errors += _check_contract(institution, after.institutions.get(name))
    errors += _check_removed_entries(before, after)
    errors += _check_last_administrator(before, after)
    return tuple(errors)


def is_contract_active(
    institution: catalogues.Institution, today: datetime.date
) -> bool:
    """Returns whether an institution's contract is in force on a day."""
    until = institution.contract_until
    return bool(until) and datetime.date.fromisoformat(until) >= today


def _check_fields(schema: schemas.EntrySchema, entry: Any) -> Errors:
    """Checks each value, because a catalogue need not come from a file."""
    name = schema.name_kind.read(entry.name)
    if isinstance(name, result.Failure):
        allowed = schema.name_kind.describe()
        yield faults.make_error(
            schema.kind, entry.name, "", name.failure(), allowed
        )
    for field in schema.fields.values():
        kind = field.key.kind
        outcome = kind.read(field.format_value(entry))
        if isinstance(outcome, result.Failure):
            yield faults.make_error(
                schema.kind,
                entry.name,
                field.key.name,
                outcome.failure(),
                kind.describe(),
            )


def _check_reference(
    entry_id: tuple[_Kind, str],
    field: str,
    target: tuple[_Kind, str],
    catalogue: catalogues.Catalogue,
    unreadable: UnreadableEntries,
) -> Errors:
    kind, name = target
    entries = schemas.SCHEMAS[kind].get_entries(catalogue)
    if name in entries or target in unreadable:
        return
    known = ", ".join(sorted(entries)) or "none yet"
    message = f"unknown {kind.value} {name!r}"
    yield faults.make_error(*entry_id, field, message, known)


def _check_institution(
    entry: catalogues.Institution,
    catalogue: catalogues.Catalogue,
    unreadable: UnreadableEntries,
) -> Errors:
    contract = entry.contract_tokens_per_s
    limit = entry.limits.tokens_per_s
    entry_id = (_Kind.INSTITUTION, entry.name)
    if limit and limit < contract:
        yield faults.make_error(
            *entry_id,
            "tokens_per_s",
            f"{limit:g} is below contract_tokens_per_s {contract:g}",
        )
    if contract and not entry.contract_until:
        yield faults.make_error(
            *entry_id,
            "contract_until",
            "is missing although contract_tokens_per_s is given",
        )


def _check_workspace(
    entry: catalogues.Workspace,
    catalogue: catalogues.Catalogue,
    unreadable: UnreadableEntries,
) -> Errors:
    entry_id = (_Kind.WORKSPACE, entry.name)
    target = (_Kind.INSTITUTION, entry.institution)
    yield from _check_reference(entry_id, "", target, catalogue, unreadable)
    institution = catalogue.institutions.get(entry.institution)
    if institution is not None:
        yield from _check_limits(entry, institution)
    for model in entry.models:
        target = (_Kind.MODEL, model)
        yield from _check_reference(
            entry_id, "models", target, catalogue, unreadable
        )
    for service in entry.services:
        target = (_Kind.SERVICE, service)
        yield from _check_reference(
            entry_id, "services", target, catalogue, unreadable
        )
        yield from _check_service_kind(
            entry_id,
            "services",
            service,
            endpoints.EndpointKind.SERVICE,
            catalogue,
        )


def _check_limits(
    entry: catalogues.Workspace, institution: catalogues.Institution
) -> Errors:
    for name in _LIMIT_NAMES:
        limit = getattr(entry.limits, name)
        bound = getattr(institution.limits, name)
        if bound and limit > bound:
            yield faults.make_error(
                _Kind.WORKSPACE,
                entry.name,
                name,
                f"{limit:g} is above the {bound:g} of its institution",
            )


def _check_service_kind(
    entry_id: tuple[_Kind, str],
    field: str,
    service: str,
    expected: endpoints.EndpointKind,
    catalogue: catalogues.Catalogue,
) -> Errors:
    entry = catalogue.services.get(service)
    if entry is not None and entry.kind is not expected:
        yield faults.make_error(
            *entry_id,
            field,
            f"service {service!r} is of kind {entry.kind.value}",
            expected.value,
        )


def _check_model(
    entry: catalogues.Model,
    catalogue: catalogues.Catalogue,
    unreadable: UnreadableEntries,
) -> Errors:
    entry_id = (_Kind.MODEL, entry.name)
    target = (_Kind.SERVICE, entry.service)
    yield from _check_reference(
        entry_id, "service", target, catalogue, unreadable
    )
    yield from _check_service_kind(
        entry_id,
        "service",
        entry.service,
        endpoints.EndpointKind.ENGINE,
        catalogue,
    )


def _check_service(
    entry: catalogues.Service,
    catalogue: catalogues.Catalogue,
    unreadable: UnreadableEntries,
) -> Errors:
    is_engine = entry.kind is endpoints.EndpointKind.ENGINE
    entry_id = (_Kind.SERVICE, entry.name)
    if is_engine and entry.kv_tokens == 0:
        yield faults.make_error(
            *entry_id, "kv_tokens", "engines have KV memory"
        )
    if is_engine and entry.idempotent_paths:
        yield faults.make_error(
            *entry_id, "idempotent_paths", "engines have no paths to call"
        )
    if not is_engine and entry.kv_tokens:
        yield faults.make_error(
            *entry_id, "kv_tokens", "a plain service has no KV memory"
        )


def _check_credential(
    entry: catalogues.Credential,
    catalogue: catalogues.Catalogue,
    unreadable: UnreadableEntries,
) -> Errors:
    entry_id = (_Kind.CREDENTIAL, entry.name)
    role = entry.role
    if role is catalogues.CredentialRole.CALLER:
        target = (_Kind.WORKSPACE, entry.workspace)
        yield from _check_reference(
            entry_id, "workspace", target, catalogue, unreadable
        )
        if entry.institution != schemas.parse_institution(entry.workspace):
            yield faults.make_error(
                *entry_id, "institution", "is not that of its workspace"
            )
    elif entry.workspace:
        yield faults.make_error(
            *entry_id, "workspace", f"an {role.value} has no workspace"
        )
    if role is catalogues.CredentialRole.OPERATOR:
        target = (_Kind.INSTITUTION, entry.institution)
        yield from _check_reference(
            entry_id, "institution", target, catalogue, unreadable
        )
    if role is catalogues.CredentialRole.ADMINISTRATOR and entry.institution:
        yield faults.make_error(
            *entry_id, "institution", "an administrator has no institution"
        )


_Check = Callable[[Any, catalogues.Catalogue, UnreadableEntries], Errors]
_CHECKS = types.MappingProxyType[schemas.EntryKind, _Check](
    {
        _Kind.INSTITUTION: _check_institution,
        _Kind.WORKSPACE: _check_workspace,
        _Kind.MODEL: _check_model,
        _Kind.SERVICE: _check_service,
        _Kind.CREDENTIAL: _check_credential,
    }
)


def _check_digests(catalogue: catalogues.Catalogue) -> Errors:
    """Checks that no two credentials have the same secret.

    The secret identifies the credential of a request, so a shared secret would
    be ambiguous.
    """
    names_by_digest: dict[str, str] = {}
    for name in sorted(catalogue.credentials):
        digest = catalogue.credentials[name].sha256
        first = names_by_digest.setdefault(digest, name)
        if first != name:
            yield faults.make_error(
                _Kind.CREDENTIAL, name, "sha256", f"is also that of {first}"
            )


def _check_contract(
    before: catalogues.Institution, after: catalogues.Institution | None
) -> Errors:
    until = before.contract_until
    contract = before.contract_tokens_per_s
    if after is None:
        yield faults.make_error(
            _Kind.INSTITUTION,
            before.name,
            "",
            f"cannot be removed: its contract runs until {until}",
        )
        return
    limit = after.limits.tokens_per_s
    if limit and limit < contract:
        yield _report_contract(
            before, "tokens_per_s", f"{limit:g}", f"at least {contract:g}"
        )
    if after.contract_tokens_per_s < contract:
        yield _report_contract(
            before,
            "contract_tokens_per_s",
            f"{after.contract_tokens_per_s:g}",
            f"at least {contract:g}",
        )
    if after.contract_until < until:
        yield _report_contract(
            before,
            "contract_until",
            after.contract_until or "nothing",
            f"{until} or later",
        )


def _report_contract(
    institution: catalogues.Institution, field: str, value: str, allowed: str
) -> faults.CatalogueError:
    return faults.make_error(
        _Kind.INSTITUTION,
        institution.name,
        field,
        f"cannot become {value}: the contract runs until "
        f"{institution.contract_until}",
        allowed,
    )


def _check_removed_entries(
    before: catalogues.Catalogue, after: catalogues.Catalogue
) -> Errors:
    referrers_by_entry = list_referrers(after)
    for schema, entry in schemas.iterate_entries(before):
        if entry.name in schema.get_entries(after):
            continue
        referrers = referrers_by_entry.get((schema.kind, entry.name), ())
        if referrers:
            yield faults.make_error(
                schema.kind,
                entry.name,
                "",
                "cannot be removed: still named by " + ", ".join(referrers),
            )


def _check_last_administrator(
    before: catalogues.Catalogue, after: catalogues.Catalogue
) -> Errors:
    if has_administrator(before) and not has_administrator(after):
        yield faults.CatalogueError(
            _Kind.CREDENTIAL.value,
            "",
            "role",
            "the last administrator cannot be removed",
        )


def has_administrator(catalogue: catalogues.Catalogue) -> bool:
    """Returns whether any credential has the administrator role."""
    return any(
        credential.role is catalogues.CredentialRole.ADMINISTRATOR
        for credential in catalogue.credentials.values()
    )


def list_referrers(
    catalogue: catalogues.Catalogue,
) -> dict[tuple[schemas.EntryKind, str], tuple[str, ...]]:
    """Returns the entries that refer to each entry, as ``kind name``."""
    referrers: dict[tuple[schemas.EntryKind, str], list[str]] = {}

    def add(target: tuple[_Kind, str], kind: _Kind, name: str) -> None:
        referrers.setdefault(target, []).append(f"{kind.value} {name}")

    for workspace in catalogue.workspaces.values():
        referrer = (_Kind.WORKSPACE, workspace.name)
        add((_Kind.INSTITUTION, workspace.institution), *referrer)
        for model in workspace.models:
            add((_Kind.MODEL, model), *referrer)
        for service in workspace.services:
            add((_Kind.SERVICE, service), *referrer)
    for entry in catalogue.models.values():
        add((_Kind.SERVICE, entry.service), _Kind.MODEL, entry.name)
    for credential in catalogue.credentials.values():
        referrer = (_Kind.CREDENTIAL, credential.name)
        if credential.workspace:
            add((_Kind.WORKSPACE, credential.workspace), *referrer)
        if credential.institution:
            add((_Kind.INSTITUTION, credential.institution), *referrer)
    return {target: tuple(sorted(names)) for target, names in referrers.items()}
