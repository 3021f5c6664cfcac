"""Tests of the check of positions."""

import ast

import pytest

from tools import check_positions

HEADER = """\
class Record:
    at: positions.Position
    catalogue: Catalogue

    def __init__(self, after: positions.Position | None):
        self._seen: "positions.Position" = positions.NOWHERE
        self._made = positions.Position(0, 1)

    async def read_position(self) -> positions.Position: ...

"""


@pytest.mark.parametrize(
    "use",
    [
        "stored.version.revision < 3",
        "3 >= stored.version.revision",
        "1 < expected_version.revision < 2",
        "page.version.revision + 1",
        "1 - self._seen.revision",
        "self._made.revision == 1",
        "record.at.revision != 1",
        "after.revision - 1",
        "(await self.read_position()).revision > 1",
        "positions.Position(0, 1).revision > 1",
        "positions.NOWHERE.revision > 1",
        "-after.revision",
        "number += after.revision",
    ],
)
def test_revision_of_a_position_as_an_operand_is_found(use):
    found = list(check_positions.find_revisions(ast.parse(HEADER + use)))
    assert len(found) == 1


@pytest.mark.parametrize(
    "use",
    [
        "stored.version < other.version",
        "encode(stored.version.revision)",
        "number = after.revision",
        "catalogue.revision + 1",
        "record.catalogue.revision <= member.revision",
        "self.revision > request.revision",
    ],
)
def test_whole_positions_and_other_revisions_are_allowed(use):
    tree = ast.parse(HEADER + use)
    assert not list(check_positions.find_revisions(tree))


def test_message_names_file_and_line(monkeypatch, tmp_path):
    monkeypatch.setattr(check_positions, "ROOT", tmp_path)
    path = tmp_path / "x.py"
    path.write_text("\nis_late = stored.version.revision > 3\n")
    assert check_positions.find_faults(path) == [
        "x.py:2: uses stored.version.revision without its era"
    ]


@pytest.mark.parametrize(("use", "status"), [("== x", 1), ("", 0)])
def test_exit_status_depends_on_violations(monkeypatch, tmp_path, use, status):
    monkeypatch.setattr(check_positions, "ROOT", tmp_path)
    (tmp_path / "tools").mkdir()
    (tmp_path / "tools" / "x.py").write_text(f"stored.version.revision {use}")
    assert check_positions.main() == status
