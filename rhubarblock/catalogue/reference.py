"""Generates the field reference in the operators' page on the catalogue."""

from rhubarblock.catalogue import schema as schemas
from rhubarblock.settings import reference


def format_fields() -> str:
    """Returns the reference of ``catalogue.ini``, one table per entry kind."""
    blocks = [
        f"### [{kind.value} NAME]\n\n"
        + reference.format_keys(field.key for field in schema.fields.values())
        for kind, schema in schemas.SCHEMAS.items()
    ]
    return "\n".join(blocks)
