import dataclasses
import datetime

import pytest

from rhubarblock.catalogue import samples_test as samples
from rhubarblock.catalogue import validation
from rhubarblock.core import catalogue as catalogues

TODAY = datetime.date(2026, 3, 1)
DESK = "services = desk"


@pytest.mark.parametrize(
    ("old", "new", "error"),
    [
        (
            "tokens_per_s = 500",
            "tokens_per_s = 2000",
            "[workspace adwoa/claims] tokens_per_s: 2000 is above the 1000 of "
            "its institution",
        ),
        (
            "\ntokens_per_s = 1000",
            "\ntokens_per_s = 700",
            "[institution adwoa] tokens_per_s: 700 is below "
            "contract_tokens_per_s 800",
        ),
        (
            "contract_until = 2029-12-31\n",
            "",
            "[institution adwoa] contract_until: is missing although "
            "contract_tokens_per_s is given",
        ),
        (
            "models = reader",
            "models = writer",
            "[workspace adwoa/claims] models: unknown model 'writer' "
            "(allowed: reader)",
        ),
        (
            DESK,
            "services = pool",
            "[workspace adwoa/claims] services: service 'pool' is of kind "
            "engine (allowed: service)",
        ),
        (
            "service = pool",
            "service = desk",
            "[model reader] service: service 'desk' is of kind service "
            "(allowed: engine)",
        ),
        (
            "kv_tokens = 400000\n",
            "",
            "[service pool] kv_tokens: engines have KV memory",
        ),
        (
            "kind = service\n",
            "kind = service\nkv_tokens = 5\n",
            "[service desk] kv_tokens: a plain service has no KV memory",
        ),
        (
            "workspace = adwoa/claims",
            "workspace = adwoa/none",
            "[credential claims] workspace: unknown workspace 'adwoa/none' "
            "(allowed: adwoa/claims, hofbauer/docks)",
        ),
        (
            "institution = hofbauer",
            "institution = nobody",
            "[credential hofbauer-op] institution: unknown institution "
            "'nobody' (allowed: adwoa, hofbauer)",
        ),
        (
            "role = administrator",
            "role = administrator\ninstitution = adwoa",
            "[credential admin] institution: an administrator has no "
            "institution",
        ),
        (
            samples.digest("claims"),
            samples.digest("admin"),
            "[credential claims] sha256: is also that of admin",
        ),
    ],
)
def test_each_error_names_entry_and_field(old, new, error):
    catalogue = samples.edit((old, new))
    assert [str(e) for e in validation.validate(catalogue)] == [error]


def test_values_that_come_from_no_file_are_checked():
    place = catalogues.Place("not a name", "", "accra")
    limits = catalogues.Limits(requests_per_s=-1)
    institution = catalogues.Institution("x", "Board", limits)
    catalogue = catalogues.Catalogue(
        places={place.name: place}, institutions={"x": institution}
    )
    assert [str(e) for e in validation.validate(catalogue)] == [
        "[institution x] requests_per_s: -1 is out of range (allowed: number "
        "from 0)",
        "[place not a name] 'not a name' is not a name (allowed: name of "
        "letters, digits, '.', '-' and '_')",
        "[place not a name] owner: is empty (allowed: text)",
    ]


@pytest.mark.parametrize(
    ("pairs", "error"),
    [
        (
            [
                ("\ntokens_per_s = 1000", "\ntokens_per_s = 700"),
            ],
            "[institution adwoa] tokens_per_s: cannot become 700: the "
            "contract runs until 2029-12-31 (allowed: at least 800)",
        ),
        (
            [("contract_tokens_per_s = 800", "contract_tokens_per_s = 700")],
            "[institution adwoa] contract_tokens_per_s: cannot become 700: "
            "the contract runs until 2029-12-31 (allowed: at least 800)",
        ),
        (
            [("2029-12-31", "2028-12-31")],
            "[institution adwoa] contract_until: cannot become 2028-12-31: "
            "the contract runs until 2029-12-31 (allowed: 2029-12-31 or "
            "later)",
        ),
        (
            [("role = administrator", "role = operator")],
            "[credential] role: the last administrator cannot be removed",
        ),
    ],
)
def test_change_cannot_break_a_contract_in_force(pairs, error):
    before = samples.parse()
    after = samples.edit(*pairs)
    errors = validation.validate_change(before, after, TODAY)
    assert [str(e) for e in errors] == [error]
    ended = datetime.date(2030, 1, 1)
    remaining = validation.validate_change(before, after, ended)
    assert len(remaining) == (1 if "administrator" in error else 0)


@pytest.mark.parametrize(
    ("section", "error"),
    [
        (
            "model reader",
            "[model reader] cannot be removed: still named by workspace "
            "adwoa/claims",
        ),
        (
            "service pool",
            "[service pool] cannot be removed: still named by model reader",
        ),
        (
            "workspace adwoa/claims",
            "[workspace adwoa/claims] cannot be removed: still named by "
            "credential claims",
        ),
        (
            "institution hofbauer",
            "[institution hofbauer] cannot be removed: still named by "
            "credential hofbauer-op, workspace hofbauer/docks",
        ),
    ],
)
def test_referenced_entry_cannot_be_removed(section, error):
    before = samples.parse()
    after = samples.remove_sections(section)
    errors = validation.validate_change(before, after, TODAY)
    assert [str(e) for e in errors] == [error]


def test_institution_with_contract_cannot_be_removed():
    before = samples.parse()
    after = samples.remove_sections(
        "institution adwoa", "workspace adwoa/claims"
    )
    errors = validation.validate_change(before, after, TODAY)
    assert str(errors[0]) == (
        "[institution adwoa] cannot be removed: its contract runs until "
        "2029-12-31"
    )


def test_limit_may_be_raised():
    before = samples.parse()
    institution = before.institutions["adwoa"]
    limits = catalogues.Limits(tokens_per_s=2000)
    raised = dataclasses.replace(institution, limits=limits)
    after = dataclasses.replace(
        before, institutions={**before.institutions, "adwoa": raised}
    )
    assert validation.validate_change(before, after, TODAY) == ()
