import pytest

from rhubarblock.catalogue import samples_test as samples
from rhubarblock.catalogue import scope


def test_operators_see_own_and_shared_entries():
    seen = scope.restrict(samples.parse(), "hofbauer")
    assert list(seen.institutions) == ["hofbauer"]
    assert list(seen.workspaces) == ["hofbauer/docks"]
    assert list(seen.credentials) == ["hofbauer-op"]
    assert list(seen.places) == ["osu"]


def test_merge_keeps_entries_the_operator_cannot_see():
    current = samples.parse()
    wanted = samples.edit(("class = batch", "class = standard"))
    proposed = scope.restrict(wanted, "hofbauer")
    assert scope.merge(current, proposed, "hofbauer").unwrap() == wanted


NOT_OWN_ENTRY = "is no entry of hofbauer"
ADMINISTRATOR_ONLY = "only an administrator may change this"
DOCKS = "[workspace hofbauer/docks]"


@pytest.mark.parametrize(
    ("old", "new", "error"),
    [
        (
            "[place osu]\nowner = Fleet",
            "[place osu]\nowner = Me",
            f"[place osu] {NOT_OWN_ENTRY}",
        ),
        (
            DOCKS,
            f"[workspace adwoa/mine]\nowner = x\nclass = batch\n{DOCKS}",
            f"[workspace adwoa/mine] {NOT_OWN_ENTRY}",
        ),
        (
            "[credential hofbauer-op]",
            "[credential admin]",
            f"[credential admin] {NOT_OWN_ENTRY}",
        ),
        (
            "role = operator\ninstitution = hofbauer",
            "role = administrator",
            f"[credential hofbauer-op] {NOT_OWN_ENTRY}",
        ),
        (
            "owner = Dispatch",
            "owner = Dispatch\nweight = 9",
            f"[institution hofbauer] weight: {ADMINISTRATOR_ONLY}",
        ),
    ],
)
def test_unauthorised_changes_are_refused(old, new, error):
    current = samples.parse()
    text = samples.files.format_catalogue(scope.restrict(current, "hofbauer"))
    assert old in text
    proposed = samples.parse(text.replace(old, new))
    refusal = scope.merge(current, proposed, "hofbauer").failure()
    assert [str(e) for e in refusal] == [error]


def test_operator_may_lower_but_not_raise_own_limits():
    current = samples.parse()
    lower = samples.edit(("\ntokens_per_s = 1000", "\ntokens_per_s = 900"))
    higher = samples.edit(("\ntokens_per_s = 1000", ""))
    assert scope.merge(current, lower, "adwoa").unwrap() == lower
    (error,) = scope.merge(current, higher, "adwoa").failure()
    assert (
        str(error) == f"[institution adwoa] tokens_per_s: {ADMINISTRATOR_ONLY}"
    )
