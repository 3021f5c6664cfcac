"""Loads the settings of an entry instance or reports all their errors.

Four stages run in order: read the file, parse its sections, check the type of
each key, check keys against each other. Each stage works on the valid part of
the previous result, so that one run reports every error.
"""

from collections.abc import Iterable
import dataclasses
import pathlib
from typing import Any

from returns import result

from rhubarblock.settings import entry as entry_settings
from rhubarblock.settings import fields
from rhubarblock.settings import inifile
from rhubarblock.settings import kinds

# A larger file is refused, since it can only be given by mistake.
MAX_FILE_BYTES = 1 << 20


@dataclasses.dataclass(slots=True, frozen=True)
class SettingsError:
    """One error of a settings file.

    Attributes:
      file: path as given.
      line: line number; 0 when unknown.
      section: section, or empty.
      key: key, or empty.
      message: what is wrong.
      allowed: what would be valid, or empty.
    """

    file: str
    line: int
    section: str
    key: str
    message: str
    allowed: str = ""

    def __str__(self) -> str:
        fault = fields.Fault(
            self.line, self.section, self.key, self.message, self.allowed
        )
        return fault.format(self.file)


Loaded = result.Result[entry_settings.EntrySettings, tuple[SettingsError, ...]]


def load_entry_settings(
    path: str | pathlib.Path, policies: Iterable[str] | None = None
) -> Loaded:
    """Loads ``entry.ini``.

    Args:
      path: the file.
      policies: names of the registered policies; None skips the check.

    Returns:
      The settings, or all errors in the order of the lines.
    """
    text = read_text(path)
    if isinstance(text, result.Failure):
        return result.Failure((text.failure(),))
    known = None if policies is None else tuple(policies)
    loader = _Loader(pathlib.Path(path), known)
    return loader.load(text.unwrap())


def read_text(
    path: str | pathlib.Path,
) -> result.Result[str, SettingsError]:
    """Reads a file of bounded size as UTF-8 text.

    Args:
      path: the file.

    Returns:
      The text, or the error.
    """
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
        text = content.decode()
    except OSError as error:
        return result.Failure(
            _make_file_error(path, error.strerror or str(error))
        )
    except UnicodeDecodeError as error:
        return result.Failure(_make_file_error(path, f"is not UTF-8: {error}"))
    if len(content) > MAX_FILE_BYTES:
        message = f"is larger than {MAX_FILE_BYTES} bytes"
        return result.Failure(_make_file_error(path, message))
    return result.Success(text)


def _make_file_error(path: str | pathlib.Path, message: str) -> SettingsError:
    return SettingsError(str(path), 0, "", "", message)


class _Loader:
    """Runs the stages and collects the faults that they find."""

    __slots__ = ("_path", "_policies", "_document", "_faults")

    def __init__(self, path: pathlib.Path, policies: tuple[str, ...] | None):
        self._path = path
        self._policies = policies
        self._document = inifile.Document()
        self._faults: list[fields.Fault] = []

    def load(self, text: str) -> Loaded:
        self._parse(text)
        sections = self._read_sections()
        self._check_combinations(sections)
        if self._faults:
            return result.Failure(self._collect_errors())
        return result.Success(entry_settings.EntrySettings(**sections))

    def _parse(self, text: str) -> None:
        self._document = inifile.parse_document(text)
        for fault in self._document.faults:
            self._add_fault(fault.line, fault.section, fault.key, fault.message)
        allowed = ", ".join(entry_settings.SECTION_TYPES)
        for section in self._document.sections.values():
            if section.name not in entry_settings.SECTION_TYPES:
                self._add_fault(
                    section.line, section.name, "", "unknown section", allowed
                )

    def _read_sections(self) -> dict[str, Any]:
        """Returns the sections without faults, by name."""
        sections = {}
        for name, section_type in entry_settings.SECTION_TYPES.items():
            section = self._document.sections.get(name)
            keys = fields.list_keys(section_type)
            if section is None:
                section = inifile.Section(name, 0)
            values, faults = fields.read_section(section, keys)
            self._faults += faults
            if not faults:
                sections[name] = self._resolve_paths(section_type(**values))
        return sections

    def _resolve_paths(self, section: Any) -> Any:
        """Resolves the paths of a section relative to the settings file."""
        if not isinstance(section, entry_settings.PeersSettings):
            return section
        return dataclasses.replace(
            section,
            certificate=self._resolve_path(section.certificate),
            key=self._resolve_path(section.key),
            authority=self._resolve_path(section.authority),
        )

    def _resolve_path(self, path: str) -> str:
        return str(self._path.parent / path) if path else ""

    def _check_combinations(self, sections: dict[str, Any]) -> None:
        if "instance" in sections:
            self._check_addresses(sections["instance"])
        if "peers" in sections:
            self._check_certificates(sections["peers"])
        if "limits" in sections:
            self._check_queue(sections["limits"])
        if "routing" in sections and self._policies is not None:
            self._check_policy(sections["routing"], self._policies)

    def _check_addresses(
        self, instance: entry_settings.InstanceSettings
    ) -> None:
        key_by_address: dict[kinds.Address, str] = {}
        for key in ("listen", "admin_listen", "peer_listen"):
            address = getattr(instance, key)
            first = key_by_address.setdefault(address, key)
            if first != key and address.port:
                self._add_key_fault("instance", key, f"is the same as {first}")
        if instance.advertise is None and _is_wildcard(instance.peer_listen):
            self._add_key_fault(
                "instance",
                "advertise",
                "must be given when peer_listen takes every address",
            )
        if instance.advertise and _is_wildcard(instance.advertise):
            self._add_key_fault(
                "instance", "advertise", "is no address that others can reach"
            )

    def _check_certificates(self, peers: entry_settings.PeersSettings) -> None:
        given = {
            "certificate": peers.certificate,
            "key": peers.key,
            "authority": peers.authority,
        }
        if not any(given.values()):
            return
        for key, path in given.items():
            if not path:
                self._add_key_fault(
                    "peers",
                    key,
                    "is missing",
                    "certificate, key and authority together, or none",
                )
            elif not pathlib.Path(path).is_file():
                self._add_key_fault("peers", key, f"no such file: {path}")

    def _check_queue(self, limits: entry_settings.LimitsSettings) -> None:
        if limits.queue_bytes < limits.body_bytes:
            self._add_key_fault(
                "limits",
                "queue_bytes",
                "the largest body does not fit into the queue",
                f"at least body_bytes, {limits.body_bytes}",
            )

    def _check_policy(
        self,
        routing: entry_settings.RoutingSettings,
        policies: tuple[str, ...],
    ) -> None:
        if routing.policy not in policies:
            self._add_key_fault(
                "routing",
                "policy",
                f"{routing.policy!r} is not registered",
                "one of " + ", ".join(policies),
            )

    def _add_key_fault(
        self, section: str, key: str, message: str, allowed: str = ""
    ) -> None:
        """Adds a fault with the line of a key, or of its section."""
        line = 0
        parsed = self._document.sections.get(section)
        if parsed is not None:
            entry = parsed.entries.get(key)
            line = entry.line if entry else parsed.line
        self._add_fault(line, section, key, message, allowed)

    def _add_fault(
        self,
        line: int,
        section: str,
        key: str,
        message: str,
        allowed: str = "",
    ) -> None:
        fault = fields.Fault(line, section, key, message, allowed)
        self._faults.append(fault)

    def _collect_errors(self) -> tuple[SettingsError, ...]:
        ordered = sorted(self._faults, key=lambda fault: fault.line)
        return tuple(
            SettingsError(
                str(self._path),
                fault.line,
                fault.section,
                fault.key,
                fault.message,
                fault.allowed,
            )
            for fault in ordered
        )


def _is_wildcard(address: kinds.Address) -> bool:
    return address.host in ("0.0.0.0", "::")
