"""Generates the reference tables of the operators' documentation.

The tables come from the declarations that the loaders use; a test compares the
documentation with them, so no key can be left undocumented.
"""

from collections.abc import Iterable

from rhubarblock.settings import entry as entry_settings
from rhubarblock.settings import fields

_HEAD = "| key | allowed | default | meaning |\n|---|---|---|---|\n"


def format_keys(keys: Iterable[fields.Key]) -> str:
    """Returns a Markdown table of keys."""
    return _HEAD + "".join(_format_key(key) for key in keys)


def format_settings() -> str:
    """Returns the reference of ``entry.ini``, one table per section."""
    blocks = [
        f"### [{name}]\n\n" + format_keys(fields.list_keys(section).values())
        for name, section in entry_settings.SECTION_TYPES.items()
    ]
    return "\n".join(blocks)


def _format_key(key: fields.Key) -> str:
    cells = (
        f"`{key.name}`",
        key.kind.describe(),
        _format_default(key),
        key.help,
    )
    return "| " + " | ".join(cells) + " |\n"


def _format_default(key: fields.Key) -> str:
    if key.required:
        return "required"
    text = key.kind.format(key.default)
    return f"`{text}`" if text else "empty"
