"""Decodes the platform's settings file and reports all errors at once."""

from collections.abc import Callable
from collections.abc import Mapping
import os
import pathlib
import tomllib
from typing import Any
from typing import TypeVar

from returns import result

from rhubarblock.core import capacity as capacities
from rhubarblock.core import homes
from rhubarblock.platform import names
from rhubarblock.settings import exchange as settings_lib

T = TypeVar("T")

_MS_PER_S = 1000.0

Loaded = result.Result[
    settings_lib.ExchangeSettings, list[settings_lib.SettingError]
]


def find_path() -> pathlib.Path:
    """Returns the path of the settings file of this process."""
    return pathlib.Path(os.environ.get(names.SETTINGS_VARIABLE, ""))


def load_settings(path: pathlib.Path) -> Loaded:
    """Reads the settings file.

    Args:
      path: TOML file; unknown fields are ignored.

    Returns:
      The settings, or all errors.
    """
    try:
        fields = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        return result.Failure(
            [settings_lib.SettingError(str(path), str(error))]
        )
    return decode_settings(fields)


def decode_settings(fields: Mapping[str, Any]) -> Loaded:
    """Validates and decodes the fields of a settings file."""
    reader = _Reader(fields)
    peers = reader.read("ip", _read_text)
    ports = reader.read("internalPortRange", _read_ports)
    settings = settings_lib.ExchangeSettings(
        instance_id=reader.read("nodeName", _read_text) or "",
        data_centre=reader.read("zone", _read_text) or "",
        callers=reader.read("listen.front", _read_address) or _NO_ADDRESS,
        readiness=reader.read("listen.readyAddr", _read_address) or _NO_ADDRESS,
        peers=settings_lib.SocketAddress(peers or "", ports or 0),
        metrics=settings_lib.SocketAddress(peers or "", names.METRICS_PORT),
        store=reader.read("platformSettings.address", _read_address)
        or _NO_ADDRESS,
        bounds=_read_bounds(reader),
        is_first_start=reader.read_optional("bootstrap", _read_flag) or False,
        capacity=_read_capacity(reader),
        regions=reader.read_optional("zones", homes.parse_table) or {},
    )
    if reader.errors:
        return result.Failure(reader.errors)
    return result.Success(settings)


class _Reader:
    """Reads fields and collects their errors."""

    __slots__ = ("_fields", "errors")

    def __init__(self, fields: Mapping[str, Any]):
        self._fields = fields
        self.errors: list[settings_lib.SettingError] = []

    def read(self, name: str, convert: Callable[[Any], T]) -> T | None:
        """Returns a required field by its dotted name, or None on error."""
        if self._find(name) is None:
            self.errors.append(settings_lib.SettingError(name, "is missing"))
            return None
        return self.read_optional(name, convert)

    def read_optional(self, name: str, convert: Callable[[Any], T]) -> T | None:
        """Returns a field by its dotted name, or None if missing or invalid."""
        value = self._find(name)
        if value is None:
            return None
        try:
            return convert(value)
        except ValueError as error:
            message = f"{error}, not {value!r}"
            self.errors.append(settings_lib.SettingError(name, message))
            return None

    def _find(self, name: str) -> Any:
        value: Any = self._fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, Mapping) else None
        return value


_NO_ADDRESS = settings_lib.SocketAddress("", 0)


def _read_capacity(reader: _Reader) -> capacities.Capacity:
    def read(name: str) -> float:
        return reader.read_optional(f"limits.{name}", _read_positive) or 0.0

    cores = read("cpuShare") * read("cores")
    return capacities.Capacity(read("linkMbps"), cores, read("memoryMb"))


def _read_bounds(reader: _Reader) -> settings_lib.ExchangeBounds:
    defaults = settings_lib.ExchangeBounds()

    def read(name: str, unit: float, default: float) -> float:
        value = reader.read_optional(f"bounds.{name}", _read_positive)
        return default if value is None else value / unit

    return settings_lib.ExchangeBounds(
        grace_s=read("graceS", 1.0, defaults.grace_s),
        drain_s=read("drainMs", _MS_PER_S, defaults.drain_s),
        apply_s=read("configApplyMs", _MS_PER_S, defaults.apply_s),
        revoke_s=read("revokeMs", _MS_PER_S, defaults.revoke_s),
        retry_ratio=read("retryBudgetRatio", 1.0, defaults.retry_ratio),
        retry_slack=int(read("retryBudgetSlack", 1.0, defaults.retry_slack)),
        retry_window_s=read("budgetWindowS", 1.0, defaults.retry_window_s),
        lease_max_s=read("maxHoldMs", _MS_PER_S, defaults.lease_max_s),
        lease_free_s=read("freeMs", _MS_PER_S, defaults.lease_free_s),
        evacuate_s=read("evacuateMs", _MS_PER_S, 0.0) or None,
        cold_excess=reader.read_optional("bounds.coldExcess", _read_positive),
        cold_slack=reader.read_optional("bounds.coldSlack", _read_not_negative),
    )


def _read_flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("true or false is expected")
    return value


def _read_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("a text is expected")
    return value


def _read_positive(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("a number is expected")
    if value <= 0:
        raise ValueError("a number over 0 is expected")
    return float(value)


def _read_not_negative(value: Any) -> float:
    return 0.0 if value == 0 and value is not False else _read_positive(value)


def _read_address(value: Any) -> settings_lib.SocketAddress:
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError("an IP number and a port are expected")
    return settings_lib.SocketAddress(host, int(port))


def _read_ports(value: Any) -> int:
    if (
        not isinstance(value, list)
        or len(value) != 2
        or not all(isinstance(port, int) for port in value)
    ):
        raise ValueError("the first and the last port are expected")
    return int(value[0])
