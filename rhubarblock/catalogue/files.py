"""Parses and formats the INI files in which operators write a catalogue.

Each section ``[kind name]`` is one entry; its keys are the fields defined in
``catalogue.schema``.
"""

import dataclasses
from typing import Any

from returns import result

from rhubarblock.catalogue import faults
from rhubarblock.catalogue import schema as schemas
from rhubarblock.catalogue import validation
from rhubarblock.core import catalogue as catalogues
from rhubarblock.settings import fields
from rhubarblock.settings import inifile

Parsed = result.Result[catalogues.Catalogue, tuple[faults.CatalogueError, ...]]


def parse_catalogue(text: str, filename: str) -> Parsed:
    """Parses a catalogue file without checking references between entries.

    Args:
      text: text of the file.
      filename: name of the file, for error messages.

    Returns:
      The catalogue with revision 0, or every error in the order of lines.
    """
    parser = _CatalogueParser(filename)
    catalogue = parser.parse(text)
    if parser.errors:
        return result.Failure(_sort_errors(parser.errors))
    return result.Success(catalogue)


def load_catalogue(text: str, filename: str) -> Parsed:
    """Parses and validates a catalogue file.

    Args:
      text: text of the file.
      filename: name of the file, for error messages.

    Returns:
      The valid catalogue with revision 0, or every parsing and validation error
      in the order of lines.
    """
    parser = _CatalogueParser(filename)
    catalogue = parser.parse(text)
    found = validation.validate(catalogue, frozenset(parser.unreadable))
    errors = parser.errors + [parser.locate(error) for error in found]
    if errors:
        return result.Failure(_sort_errors(errors))
    return result.Success(catalogue)


def _sort_errors(
    errors: list[faults.CatalogueError],
) -> tuple[faults.CatalogueError, ...]:
    return tuple(sorted(errors, key=lambda error: error.line))


class _CatalogueParser:
    """Parses one file and collects all errors instead of stopping at one.

    Attributes:
      errors: errors found so far.
      unreadable: kind and name of each entry with an error.
    """

    __slots__ = ("_filename", "_document", "errors", "unreadable")

    def __init__(self, filename: str) -> None:
        self._filename = filename
        self._document = inifile.Document()
        self.errors: list[faults.CatalogueError] = []
        self.unreadable: set[tuple[schemas.EntryKind, str]] = set()

    def parse(self, text: str) -> catalogues.Catalogue:
        """Returns a catalogue of the entries that have no error."""
        self._document = inifile.parse_document(text)
        for fault in self._document.faults:
            self._add(
                fields.Fault(
                    fault.line, fault.section, fault.key, fault.message
                )
            )
        entries = []
        for section in self._document.sections.values():
            entry = self._read_entry(section)
            if entry is not None:
                entries.append(entry)
        return schemas.build_catalogue(0, entries)

    def locate(self, error: faults.CatalogueError) -> faults.CatalogueError:
        """Adds file and line to a validation error."""
        section = self._document.sections.get(f"{error.kind} {error.name}")
        line = 0
        if section is not None:
            entry = section.entries.get(error.field)
            line = entry.line if entry else section.line
        return dataclasses.replace(error, file=self._filename, line=line)

    def _read_entry(
        self, section: inifile.Section
    ) -> tuple[schemas.EntrySchema, Any] | None:
        schema = self._find_schema(section)
        if schema is None:
            return None
        name = section.name.partition(" ")[2]
        keys = {key: field.key for key, field in schema.fields.items()}
        values, found = fields.read_section(section, keys)
        outcome = schema.name_kind.read(name)
        if isinstance(outcome, result.Failure):
            allowed = schema.name_kind.describe()
            found.append(
                fields.Fault(
                    section.line, section.name, "", outcome.failure(), allowed
                )
            )
        for fault in found:
            self._add(fault)
        if found:
            self.unreadable.add((schema.kind, name))
            return None
        return schema, schema.build(name, values)

    def _find_schema(
        self, section: inifile.Section
    ) -> schemas.EntrySchema | None:
        kind_name = section.name.partition(" ")[0]
        for kind, schema in schemas.SCHEMAS.items():
            if kind.value == kind_name:
                return schema
        allowed = ", ".join(f"[{kind.value} NAME]" for kind in schemas.SCHEMAS)
        self._add(
            fields.Fault(
                section.line, section.name, "", "unknown kind of entry", allowed
            )
        )
        return None

    def _add(self, fault: fields.Fault) -> None:
        kind, _, name = fault.section.partition(" ")
        self.errors.append(
            faults.CatalogueError(
                kind,
                name,
                fault.key,
                fault.message,
                fault.allowed,
                self._filename,
                fault.line,
            )
        )


def format_catalogue(catalogue: catalogues.Catalogue) -> str:
    """Returns a catalogue as the text of a catalogue file.

    Parsing the text returns the same entries.

    Args:
      catalogue: the catalogue to format; its revision is omitted.

    Returns:
      The text, ordered by kind and name; default values are omitted.
    """
    blocks = [
        "\n".join(_format_entry(schema, entry))
        for schema, entry in schemas.iterate_entries(catalogue)
    ]
    return "\n\n".join(blocks) + "\n" if blocks else ""


def _format_entry(schema: schemas.EntrySchema, entry: Any) -> list[str]:
    lines = [f"[{schema.kind.value} {entry.name}]"]
    for key, field in schema.fields.items():
        if not field.is_default(entry):
            lines.append(f"{key} = {field.format_value(entry)}")
    return lines
