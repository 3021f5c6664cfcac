import configparser
import pathlib

import pytest

from rhubarblock.settings import inifile

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def test_every_fault_is_reported_with_its_line():
    text = "early = 1\n[a]\nx = 1\nx = 2\nloose\n[b\n[a]\n"
    faults = [
        (f.line, f.section, f.key, f.message)
        for f in inifile.parse_document(text).faults
    ]
    assert faults == [
        (1, "", "early", "key stands before any section"),
        (4, "a", "x", "key also stands in line 3"),
        (5, "a", "", "line is not 'key = value'"),
        (6, "b", "", "section header must be [name]"),
        (7, "a", "", "section also stands in line 2"),
    ]


def test_indented_lines_continue_a_value():
    document = inifile.parse_document("[a]\nx = 1,\n  # no\n  2\ny =\n")
    entries = document.sections["a"].entries
    assert entries == {
        "x": inifile.Entry("1,\n2", 2),
        "y": inifile.Entry("", 5),
    }


@pytest.mark.parametrize(
    "path", sorted(EXAMPLES.rglob("*.ini")), ids=lambda path: path.name
)
def test_result_equals_that_of_configparser(path):
    text = path.read_text()
    reference = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    reference.optionxform = str
    reference.read_string(text)
    document = inifile.parse_document(text)
    assert not document.faults
    assert {
        name: {key: entry.value for key, entry in section.entries.items()}
        for name, section in document.sections.items()
    } == {name: dict(reference[name]) for name in reference.sections()}
