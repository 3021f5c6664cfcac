import pathlib

import pytest

from rhubarblock.catalogue import files
from rhubarblock.catalogue import reference
from rhubarblock.catalogue import samples_test as samples

ROOT = pathlib.Path(__file__).parents[2]


def test_formatted_catalogue_parses_to_the_same_entries():
    text = files.format_catalogue(samples.parse())
    assert text.startswith(samples.TEXT[: samples.TEXT.index("[place")])
    assert samples.parse(text) == samples.parse()


def test_institution_is_derived_from_workspace_name():
    catalogue = samples.parse()
    assert catalogue.workspaces["adwoa/claims"].institution == "adwoa"
    assert catalogue.credentials["claims"].institution == "adwoa"


def test_parsing_and_validation_errors_are_reported_together():
    text = """\
[institution adwoa]
owner =
[workspace adwoa/claims]
owner = x
class = urgent
[workspace nobody/claims]
owner = x
class = batch
models = reader
tokens_per_s = -1
wieght = 2
[workspace claims]
owner = x
class = batch
[model reader]
owner = x
version = v1
service = pool
context_tokens = 1000
[team x]
"""
    errors = files.load_catalogue(text, "c.ini").failure()
    assert [str(error) for error in errors] == [
        "c.ini:2: [institution adwoa] owner: is empty (allowed: text)",
        "c.ini:5: [workspace adwoa/claims] class: 'urgent' is not allowed "
        "(allowed: one of interactive, standard, batch)",
        "c.ini:10: [workspace nobody/claims] tokens_per_s: -1 is out of range "
        "(allowed: number from 0)",
        "c.ini:11: [workspace nobody/claims] wieght: unknown key (allowed: "
        "owner, class, requests_per_s, tokens_per_s, concurrent_long, weight, "
        "models, services)",
        "c.ini:12: [workspace claims] 'claims' is not a name (allowed: "
        "name/name of letters, digits, '.', '-' and '_')",
        "c.ini:18: [model reader] service: unknown service 'pool' (allowed: "
        "none yet)",
        "c.ini:20: [team x] unknown kind of entry (allowed: [institution "
        "NAME], [workspace NAME], [model NAME], [service NAME], [place NAME], "
        "[credential NAME])",
    ]


@pytest.mark.parametrize("name", ["adwoa", "hofbauer"])
def test_example_catalogues_are_valid_and_complete(name):
    text = (ROOT / "examples" / name / "catalogue.ini").read_text()
    catalogue = files.load_catalogue(text, name).unwrap()
    assert len(catalogue.places) == 3
    assert len(catalogue.workspaces) == 10
    callers = {c.workspace for c in catalogue.credentials.values()}
    assert callers >= set(catalogue.workspaces)
    secret = samples.digest(f"{name}-operator-demo")
    assert catalogue.credentials[f"{name}-operator"].sha256 == secret


def test_operators_page_documents_every_field():
    page = (ROOT / "docs" / "operators" / "catalogue.md").read_text()
    assert reference.format_fields() in page
