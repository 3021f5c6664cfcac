"""Schema of the catalogue: the entry kinds and their fields.

File parser, codec, diff and validation all use this table, so a field added
here is read, written, compared and validated everywhere.
"""

from collections.abc import Iterator
import dataclasses
import enum
import operator
from typing import Any

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import request as requests
from rhubarblock.settings import fields
from rhubarblock.settings import kinds

NAME_SEPARATOR = "/"
_LIMITS = "limits"


@dataclasses.dataclass(slots=True, frozen=True)
class PathPrefix(kinds.ValueKind):
    """A URL path prefix; commas are excluded because they separate items."""

    def parse(self, text: str) -> str:
        if not text.startswith("/") or "," in text or " " in text:
            raise ValueError(f"{text!r} is not a path prefix")
        return text

    def describe(self) -> str:
        return "path that starts with '/', without commas and spaces"


class EntryKind(enum.Enum):
    """Entry kinds; the values are used in section names."""

    INSTITUTION = "institution"
    WORKSPACE = "workspace"
    MODEL = "model"
    SERVICE = "service"
    PLACE = "place"
    CREDENTIAL = "credential"


@dataclasses.dataclass(slots=True, frozen=True)
class EntryField:
    """One field of an entry kind.

    Attributes:
      key: name in files, value kind, help text and default.
      path: attribute path on the entry; dotted for a field of its limits.
    """

    key: fields.Key
    path: str

    def get_value(self, entry: Any) -> Any:
        """Returns this field's value in an entry."""
        return operator.attrgetter(self.path)(entry)

    def format_value(self, entry: Any) -> str:
        """Returns this field's value in an entry as text."""
        return self.key.kind.format(self.get_value(entry))

    def is_default(self, entry: Any) -> bool:
        """Returns whether this field has its default value in an entry."""
        return self.get_value(entry) == self.key.default


@dataclasses.dataclass(slots=True, frozen=True)
class EntrySchema:
    """Schema of one entry kind.

    Attributes:
      kind: the entry kind.
      container: attribute of ``core.catalogue.Catalogue`` that maps names to
        entries of this kind.
      entry_type: dataclass in ``core.catalogue``.
      name_kind: value kind that checks entry names.
      fields: fields by key, in the order in which files list them.
    """

    kind: EntryKind
    container: str
    entry_type: type
    name_kind: kinds.ValueKind
    fields: dict[str, EntryField]

    def get_entries(self, catalogue: catalogues.Catalogue) -> dict[str, Any]:
        """Returns the entries of this kind by name."""
        return getattr(catalogue, self.container)

    def build(self, name: str, values: dict[str, Any]) -> Any:
        """Builds an entry.

        Args:
          name: name of the entry.
          values: field values by key.

        Returns:
          An object of ``entry_type``.
        """
        arguments: dict[str, Any] = {"name": name}
        limits: dict[str, Any] = {}
        for key, value in values.items():
            parent, _, attribute = self.fields[key].path.rpartition(".")
            (limits if parent else arguments)[attribute] = value
        if _LIMITS in self.entry_type.__dataclass_fields__:  # type: ignore
            arguments[_LIMITS] = catalogues.Limits(**limits)
        _fill_institution(self.kind, arguments)
        return self.entry_type(**arguments)


def _fill_institution(kind: EntryKind, arguments: dict[str, Any]) -> None:
    """Sets the institution that the name of the workspace determines."""
    if kind is EntryKind.WORKSPACE:
        arguments["institution"] = parse_institution(arguments["name"])
    if kind is EntryKind.CREDENTIAL and not arguments.get("institution"):
        arguments["institution"] = parse_institution(arguments["workspace"])


def parse_institution(workspace: str) -> str:
    """Returns the institution part of a workspace name, or empty."""
    institution, separator, _ = workspace.partition(NAME_SEPARATOR)
    return institution if separator else ""


def find_institution(kind: EntryKind, entry: Any) -> str:
    """Returns the institution that an entry belongs to, or empty if shared."""
    if kind is EntryKind.INSTITUTION:
        return entry.name
    if kind in (EntryKind.WORKSPACE, EntryKind.CREDENTIAL):
        return entry.institution
    return ""


def _field(
    name: str,
    kind: kinds.ValueKind,
    help: str,
    default: Any = dataclasses.MISSING,
    path: str = "",
) -> EntryField:
    return EntryField(fields.Key(name, kind, help, default), path or name)


def _limit(name: str, kind: kinds.ValueKind, help: str) -> EntryField:
    return _field(name, kind, help, 0, f"{_LIMITS}.{name}")


_OWNER = _field(
    "owner", kinds.Text(), "Person or team that answers for the entry."
)
_LIMIT_FIELDS = (
    _limit(
        "requests_per_s", kinds.Number(), "Requests a second; 0: unlimited."
    ),
    _limit(
        "tokens_per_s",
        kinds.Number(),
        "Prompt and output tokens a second; 0: unlimited.",
    ),
    _limit(
        "concurrent_long",
        kinds.Integer(),
        "Long prompts at one time; 0: unlimited.",
    ),
)
_WEIGHT = _field(
    "weight",
    kinds.Number(0.001, 1000.0),
    "Share under contention, relative to its siblings.",
    1.0,
)
_NAMES = kinds.Items(kinds.Name())


def _make_schema(
    kind: EntryKind,
    entry_type: type,
    *entry_fields: EntryField,
    name_kind: kinds.ValueKind = kinds.Name(),  # noqa: B008
) -> EntrySchema:
    return EntrySchema(
        kind,
        f"{kind.value}s",
        entry_type,
        name_kind,
        {field.key.name: field for field in entry_fields},
    )


SCHEMAS: dict[EntryKind, EntrySchema] = {
    schema.kind: schema
    for schema in (
        _make_schema(
            EntryKind.INSTITUTION,
            catalogues.Institution,
            _OWNER,
            *_LIMIT_FIELDS,
            _WEIGHT,
            _field(
                "contract_tokens_per_s",
                kinds.Number(),
                "Least tokens_per_s that the contract allows.",
                0.0,
            ),
            _field(
                "contract_until",
                kinds.Date(),
                "Last day of the contract.",
                "",
            ),
        ),
        _make_schema(
            EntryKind.WORKSPACE,
            catalogues.Workspace,
            _OWNER,
            _field(
                "class",
                kinds.Member(requests.RequestClass),
                "Urgency of its requests unless one asks for less.",
                path="request_class",
            ),
            *_LIMIT_FIELDS,
            _WEIGHT,
            _field("models", _NAMES, "Models it may use; empty: all.", ()),
            _field(
                "services",
                _NAMES,
                "Plain services it may call; empty: all.",
                (),
            ),
            name_kind=kinds.Name(parts=2),
        ),
        _make_schema(
            EntryKind.MODEL,
            catalogues.Model,
            _OWNER,
            _field("version", kinds.Name(), "Version to be in force."),
            _field("service", kinds.Name(), "Engine service that serves it."),
            _field(
                "context_tokens",
                kinds.Integer(1),
                "Longest prompt and output together, in tokens.",
            ),
            _field("adapters", _NAMES, "Adapters to load with it.", ()),
        ),
        _make_schema(
            EntryKind.SERVICE,
            catalogues.Service,
            _OWNER,
            _field(
                "kind",
                kinds.Member(endpoints.EndpointKind),
                "Model engines or a plain service.",
            ),
            _field(
                "checks_fencing",
                kinds.Flag(),
                "Whether its endpoints refuse old fencing numbers.",
                False,
            ),
            _field(
                "idempotent_paths",
                kinds.Items(PathPrefix()),
                "Path prefixes whose calls may run more than once.",
                (),
            ),
            _field(
                "kv_tokens",
                kinds.Integer(),
                "KV memory of one engine in tokens.",
                0,
            ),
            _field(
                "decode_share",
                kinds.Number(-1.0, 1.0),
                "Share of engines with the decode role; 0: every engine has "
                "both; negative: the load decides.",
                -1.0,
            ),
        ),
        _make_schema(
            EntryKind.PLACE,
            catalogues.Place,
            _OWNER,
            _field("region", kinds.Name(), "Region it lies in."),
        ),
        _make_schema(
            EntryKind.CREDENTIAL,
            catalogues.Credential,
            _OWNER,
            _field("sha256", kinds.Digest(), "Digest of the secret."),
            _field(
                "role",
                kinds.Member(catalogues.CredentialRole),
                "What its holder may do.",
            ),
            _field(
                "institution",
                kinds.Name(empty=True),
                "Institution of an operator.",
                "",
            ),
            _field(
                "workspace",
                kinds.Text(empty=True),
                "Workspace of a caller, institution/name.",
                "",
            ),
        ),
    )
}


def iterate_entries(
    catalogue: catalogues.Catalogue,
) -> Iterator[tuple[EntrySchema, Any]]:
    """Yields every entry with its schema, by kind and then by name."""
    for schema in SCHEMAS.values():
        entries = schema.get_entries(catalogue)
        for name in sorted(entries):
            yield schema, entries[name]


def build_catalogue(
    revision: int, entries: list[tuple[EntrySchema, Any]]
) -> catalogues.Catalogue:
    """Builds a catalogue from entries.

    Args:
      revision: revision of the catalogue.
      entries: the entries with their schemas.
    """
    containers: dict[str, dict[str, Any]] = {}
    for schema, entry in entries:
        containers.setdefault(schema.container, {})[entry.name] = entry
    return catalogues.Catalogue(revision=revision, **containers)
