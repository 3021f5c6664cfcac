"""The registry of plug-ins.

A plug-in module lists its classes in ``__plugins__``; the registry imports the
given modules and registers each class under its group and name. The kernel
therefore depends on no plug-in, and a new one needs no change elsewhere.
"""

from collections.abc import Iterable
import importlib
import pkgutil
from typing import Any

PLUGIN_PACKAGE = "rhubarblock.plugins"
ENTRY_POINTS = "__plugins__"
_TEST_SUFFIX = "_test"


class RegistryError(Exception):
    """A plug-in is missing, duplicated or declared incorrectly."""


class UnknownPluginError(RegistryError):
    """No plug-in of a group has the requested name."""

    def __init__(self, group: str, name: str, known: tuple[str, ...]):
        choices = ", ".join(known) or "none"
        super().__init__(f"unknown {group} {name!r}; known: {choices}")
        self.group = group
        self.name = name
        self.known = known


class DuplicatePluginError(RegistryError):
    """Two classes declare the same group and name."""

    def __init__(self, first: type, second: type):
        group, name = second.plugin_group, second.plugin_name  # type: ignore
        super().__init__(
            f"{group} {name!r} is declared by both "
            f"{_format_class(first)} and {_format_class(second)}"
        )


class InvalidPluginError(RegistryError):
    """A module or class lacks a declaration that the registry needs."""


def _format_class(plugin: type) -> str:
    return f"{plugin.__module__}.{plugin.__qualname__}"


def default_modules() -> tuple[str, ...]:
    """Returns the names of the modules of the plug-in package, sorted."""
    package = importlib.import_module(PLUGIN_PACKAGE)
    found = pkgutil.iter_modules(package.__path__, PLUGIN_PACKAGE + ".")
    names = (info.name for info in found)
    return tuple(sorted(n for n in names if not n.endswith(_TEST_SUFFIX)))


class Registry:
    """Plug-in classes by group and name."""

    __slots__ = ("_groups",)

    def __init__(self) -> None:
        self._groups: dict[str, dict[str, type]] = {}

    def load(self, module_names: Iterable[str]) -> None:
        """Imports modules and registers the classes that they declare.

        Modules without ``__plugins__`` are helpers of plug-ins and are skipped.

        Args:
          module_names: full names of the modules.

        Raises:
          RegistryError: a class is missing, incomplete or duplicated.
        """
        for module_name in module_names:
            module = importlib.import_module(module_name)
            for class_name in getattr(module, ENTRY_POINTS, ()):
                plugin = getattr(module, class_name, None)
                if not isinstance(plugin, type):
                    raise InvalidPluginError(
                        f"{module_name} declares {class_name!r} in "
                        f"{ENTRY_POINTS} but has no such class"
                    )
                self.register(plugin)

    def register(self, plugin: type) -> None:
        """Registers one class; registering the same one again has no effect.

        Args:
          plugin: class with ``plugin_group`` and ``plugin_name``.

        Raises:
          RegistryError: the class is incomplete, or another one has its name.
        """
        group = getattr(plugin, "plugin_group", None)
        name = getattr(plugin, "plugin_name", None)
        if not group or not name:
            raise InvalidPluginError(
                f"{_format_class(plugin)} lacks plugin_group or plugin_name"
            )
        registered = self._groups.setdefault(group, {}).setdefault(name, plugin)
        if registered is not plugin:
            raise DuplicatePluginError(registered, plugin)

    def get(self, group: str, name: str) -> Any:
        """Returns the class of a plug-in.

        Args:
          group: kind of plug-in, such as ``policy``.
          name: name within the group.

        Raises:
          UnknownPluginError: the group has no plug-in of that name.
        """
        plugin = self._groups.get(group, {}).get(name)
        if plugin is None:
            raise UnknownPluginError(group, name, self.list_names(group))
        return plugin

    def list_names(self, group: str) -> tuple[str, ...]:
        """Returns the sorted names of the plug-ins of a group."""
        return tuple(sorted(self._groups.get(group, ())))
