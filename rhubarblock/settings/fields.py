"""Declares the keys of a section and parses a section by them.

A dataclass field made by ``declare`` is a key: its kind defines the allowed
values, and its help text appears in the operators' documentation. One function
validates every section, so that errors are the same for all of them.
"""

import dataclasses
from typing import Any

from returns import result

from rhubarblock.settings import inifile
from rhubarblock.settings import kinds

_KIND = "kind"
_HELP = "help"


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """An error in one key or section.

    Attributes:
      line: line number; 0 if the key or section is not in the file.
      section: name of the section.
      key: name of the key; empty if the error is in the section itself.
      message: what is wrong.
      allowed: what would be valid, or empty.
    """

    line: int
    section: str
    key: str
    message: str
    allowed: str = ""

    def format(self, filename: str) -> str:
        """Returns the fault as one line of text."""
        location = f"{filename}:{self.line}" if self.line else filename
        parts = [f"{location}:"]
        if self.section:
            parts.append(f"[{self.section}]")
        if self.key:
            parts.append(f"{self.key}:")
        parts.append(self.message)
        if self.allowed:
            parts.append(f"(allowed: {self.allowed})")
        return " ".join(parts)


@dataclasses.dataclass(slots=True, frozen=True)
class Key:
    """One key of a section.

    Attributes:
      name: name in the file.
      kind: kind of its values.
      help: its effect, as a sentence.
      default: value if the key is absent; ``dataclasses.MISSING`` if required.
    """

    name: str
    kind: kinds.ValueKind
    help: str
    default: Any = dataclasses.MISSING

    @property
    def required(self) -> bool:
        """Whether the key must be given."""
        return self.default is dataclasses.MISSING


def declare(
    kind: kinds.ValueKind, help: str, default: Any = dataclasses.MISSING
) -> Any:
    """Returns a dataclass field that is a key of a section.

    Args:
      kind: kind of its values.
      help: its effect, as a sentence.
      default: value if the key is absent; without it the key is required.
    """
    metadata = {_KIND: kind, _HELP: help}
    return dataclasses.field(default=default, metadata=metadata)


def list_keys(section_type: type) -> dict[str, Key]:
    """Returns the keys that a dataclass declares, by name."""
    return {
        field.name: Key(
            field.name,
            field.metadata[_KIND],
            field.metadata[_HELP],
            field.default,
        )
        for field in dataclasses.fields(section_type)
    }


def read_section(
    section: inifile.Section, keys: dict[str, Key]
) -> tuple[dict[str, Any], list[Fault]]:
    """Parses and validates the values of a section.

    Args:
      section: the section as text.
      keys: the allowed keys, by name.

    Returns:
      The value of every key that is valid or has a default, and the faults.
    """
    faults = _find_unknown(section, keys)
    values: dict[str, Any] = {}
    for key in keys.values():
        entry = section.entries.get(key.name)
        if entry is None:
            if key.required:
                faults.append(_make_missing_fault(section, key))
            else:
                values[key.name] = key.default
            continue
        outcome = key.kind.read(entry.value)
        if isinstance(outcome, result.Success):
            values[key.name] = outcome.unwrap()
            continue
        faults.append(
            Fault(
                entry.line,
                section.name,
                key.name,
                outcome.failure(),
                key.kind.describe(),
            )
        )
    return values, faults


def _find_unknown(
    section: inifile.Section, keys: dict[str, Key]
) -> list[Fault]:
    allowed = ", ".join(keys)
    return [
        Fault(entry.line, section.name, name, "unknown key", allowed)
        for name, entry in section.entries.items()
        if name not in keys
    ]


def _make_missing_fault(section: inifile.Section, key: Key) -> Fault:
    return Fault(
        section.line,
        section.name,
        key.name,
        "is missing",
        key.kind.describe(),
    )
