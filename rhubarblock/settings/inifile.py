"""Parses an INI file into sections with line numbers.

``configparser`` stops at the first fault and keeps no line numbers. This parser
reports every fault with its line; its syntax is that of ``configparser``
without interpolation and without inline comments.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """One ``key = value`` with its line number."""

    value: str
    line: int


@dataclasses.dataclass(slots=True)
class Section:
    """One section: its name, its line number and its entries by key."""

    name: str
    line: int
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class SyntaxFault:
    """A line that cannot be parsed."""

    line: int
    section: str
    key: str
    message: str


@dataclasses.dataclass(slots=True)
class Document:
    """All sections in order, and the faults that were found."""

    sections: dict[str, Section] = dataclasses.field(default_factory=dict)
    faults: list[SyntaxFault] = dataclasses.field(default_factory=list)


_COMMENT_MARKS = ("#", ";")


class _Parser:
    """Parses the lines in one pass."""

    __slots__ = ("_document", "_section", "_key")

    def __init__(self) -> None:
        self._document = Document()
        self._section: Section | None = None
        self._key = ""

    def parse(self, text: str) -> Document:
        for number, raw in enumerate(text.splitlines(), start=1):
            line = raw.strip()
            if not line or line.startswith(_COMMENT_MARKS):
                continue
            if raw[0].isspace() and self._key:
                self._continue_value(line)
            elif line.startswith("["):
                self._open_section(line, number)
            else:
                self._add_entry(line, number)
        return self._document

    def _continue_value(self, line: str) -> None:
        assert self._section is not None
        entry = self._section.entries[self._key]
        value = f"{entry.value}\n{line}".strip()
        self._section.entries[self._key] = Entry(value, entry.line)

    def _open_section(self, line: str, number: int) -> None:
        self._key = ""
        name = " ".join(line[1:].rstrip("]").split())
        self._section = Section(name, number)
        if not line.endswith("]") or not name:
            self._add_fault(number, "", "section header must be [name]")
        elif name in self._document.sections:
            first = self._document.sections[name].line
            self._add_fault(number, "", f"section also stands in line {first}")
        else:
            self._document.sections[name] = self._section

    def _add_entry(self, line: str, number: int) -> None:
        key, mark, value = line.partition("=")
        key = key.strip()
        self._key = ""
        if not mark or not key:
            self._add_fault(number, "", "line is not 'key = value'")
        elif self._section is None:
            self._add_fault(number, key, "key stands before any section")
        elif key in self._section.entries:
            first = self._section.entries[key].line
            self._add_fault(number, key, f"key also stands in line {first}")
        else:
            self._section.entries[key] = Entry(value.strip(), number)
            self._key = key

    def _add_fault(self, line: int, key: str, message: str) -> None:
        section = self._section.name if self._section else ""
        fault = SyntaxFault(line, section, key, message)
        self._document.faults.append(fault)


def parse_document(text: str) -> Document:
    """Parses the text of an INI file.

    Args:
      text: the whole text.

    Returns:
      The sections that could be parsed, and every fault.
    """
    return _Parser().parse(text)
