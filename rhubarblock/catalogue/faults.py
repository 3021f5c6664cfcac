"""Validation errors of a catalogue, with their entry and field."""

import dataclasses

from rhubarblock.catalogue import schema as schemas
from rhubarblock.settings import fields


@dataclasses.dataclass(slots=True, frozen=True)
class CatalogueError:
    """One error in a catalogue.

    Attributes:
      kind: kind of the entry as text; empty if the error concerns no entry.
      name: name of the entry.
      field: field of the entry; empty if the error concerns the whole entry.
      message: description of the error.
      allowed: description of the allowed values, or empty.
      file: file that contains the error, or empty.
      line: line number in the file; 0 if unknown.
    """

    kind: str
    name: str
    field: str
    message: str
    allowed: str = ""
    file: str = ""
    line: int = 0

    def __str__(self) -> str:
        section = f"{self.kind} {self.name}".strip()
        fault = fields.Fault(
            self.line, section, self.field, self.message, self.allowed
        )
        text = fault.format(self.file)
        return text if self.file else text.removeprefix(": ")


def make_error(
    kind: schemas.EntryKind,
    name: str,
    field: str,
    message: str,
    allowed: str = "",
) -> CatalogueError:
    """Returns an error without a file and line."""
    return CatalogueError(kind.value, name, field, message, allowed)
