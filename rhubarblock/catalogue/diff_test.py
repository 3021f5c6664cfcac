from rhubarblock.catalogue import diff
from rhubarblock.catalogue import samples_test as samples


def test_changes_are_formatted_as_text():
    before = samples.parse(samples.TEXT)
    after = samples.edit(
        ("class = batch", "class = standard\nweight = 2"),
        ("[place osu]", "[place tema]"),
        text=samples.TEXT,
    )
    assert (
        diff.format_changes(diff.compare(before, after))
        == """\
~ [workspace hofbauer/docks]
    class: batch -> standard
    weight: 1 -> 2
- [place osu]
    owner = Fleet
    region = accra
+ [place tema]
    owner = Fleet
    region = accra
"""
    )


def test_equal_catalogues_have_no_changes():
    assert diff.compare(samples.parse(), samples.parse()) == []


def test_change_has_the_institution_of_its_entry():
    before = samples.parse()
    after = samples.edit((samples.digest("claims"), "0" * 64))
    (change,) = diff.compare(before, after)
    assert change.institution == "adwoa"
