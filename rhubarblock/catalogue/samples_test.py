"""A small catalogue shared by the tests of several packages."""

import hashlib

import pytest

from rhubarblock.catalogue import files
from rhubarblock.catalogue import validation

TEXT = """\
[institution adwoa]
owner = Board
tokens_per_s = 1000
contract_tokens_per_s = 800
contract_until = 2029-12-31

[institution hofbauer]
owner = Dispatch

[workspace adwoa/claims]
owner = Claims desk
class = interactive
tokens_per_s = 500
models = reader
services = desk

[workspace hofbauer/docks]
owner = Docks
class = batch

[model reader]
owner = Fleet
version = v1
service = pool
context_tokens = 1000000

[service desk]
owner = Fleet
kind = service
idempotent_paths = /status, /members

[service pool]
owner = Fleet
kind = engine
checks_fencing = yes
kv_tokens = 400000

[place osu]
owner = Fleet
region = accra
"""

SECRETS = {
    "admin": ("administrator", ""),
    "adwoa-op": ("operator", "institution = adwoa\n"),
    "claims": ("caller", "workspace = adwoa/claims\n"),
    "hofbauer-op": ("operator", "institution = hofbauer\n"),
}


def digest(secret):
    return hashlib.sha256(secret.encode()).hexdigest()


def format_credentials():
    return "".join(
        f"\n[credential {name}]\nowner = Fleet\nsha256 = {digest(name)}\n"
        f"role = {role}\n{rest}"
        for name, (role, rest) in SECRETS.items()
    )


CATALOGUE_TEXT = TEXT + format_credentials()


def parse(text=CATALOGUE_TEXT):
    return files.parse_catalogue(text, "c.ini").unwrap()


def edit(*pairs, text=CATALOGUE_TEXT):
    for old, new in pairs:
        assert old in text
        text = text.replace(old, new)
    return parse(text)


def remove_sections(*sections, text=CATALOGUE_TEXT):
    """Parses the catalogue without the given sections."""
    blocks = text.split("\n\n")
    heads = tuple(f"[{section}]" for section in sections)
    return parse("\n\n".join(b for b in blocks if not b.startswith(heads)))


@pytest.mark.parametrize("catalogue", [parse(), parse("")])
def test_sample_catalogues_are_valid(catalogue):
    assert validation.validate(catalogue) == ()
