"""Checks that nothing compares or computes with the revision of a position.

A revision says something only within its era, so positions are compared as
wholes. Other things have a revision too, above all a catalogue, so a revision
counts as one of a position only where the object shows what it is:

* it is called ``version`` or ``expected_version``, as the store's interface
  calls its positions; no catalogue is called so;
* its name, attribute or call is annotated or made as a ``Position`` in the
  same module.

A revision that was put under a name of its own first is not followed.
"""

import ast
from collections.abc import Iterator
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# It may look inside: this is where positions are ordered.
OWNER = ROOT / "rhubarblock" / "core" / "position.py"
FOLDERS = ("rhubarblock", "tools", "features", "benchmarks")
# What the store's interface calls its positions.
NAMES = frozenset({"version", "expected_version"})
_FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)


def _find_name(node: ast.expr) -> str:
    """Returns the last name of what is read or called, or nothing."""
    if isinstance(node, ast.Await):
        return _find_name(node.value)
    if isinstance(node, ast.Call):
        return _find_name(node.func)
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def _names_position(annotation: ast.expr | None) -> bool:
    """Says whether an annotation is a position, or one or None."""
    if isinstance(annotation, ast.Constant):
        text = str(annotation.value)
    else:
        text = ast.unparse(annotation) if annotation else ""
    parts = {part.strip().rpartition(".")[2] for part in text.split("|")}
    return "Position" in parts and parts <= {"Position", "None"}


def _makes_position(value: ast.expr | None) -> bool:
    """Says whether an expression is a new position or a known one."""
    return value is not None and _find_name(value) in {"Position", "NOWHERE"}


def find_positions(tree: ast.Module) -> set[str]:
    """Returns the names that stand for a position in a module."""
    names = set(NAMES)
    for node in ast.walk(tree):
        if isinstance(node, ast.arg) and _names_position(node.annotation):
            names.add(node.arg)
        elif isinstance(node, _FUNCTIONS) and _names_position(node.returns):
            names.add(node.name)
        elif isinstance(node, ast.AnnAssign):
            if _names_position(node.annotation):
                names.add(_find_name(node.target))
        elif isinstance(node, ast.Assign) and _makes_position(node.value):
            names.update(_find_name(target) for target in node.targets)
    return names


def _list_operands(node: ast.AST) -> list[ast.expr]:
    """Returns what a node compares or computes with."""
    if isinstance(node, ast.Compare):
        return [node.left, *node.comparators]
    if isinstance(node, ast.BinOp):
        return [node.left, node.right]
    if isinstance(node, ast.AugAssign):
        return [node.target, node.value]
    return [node.operand] if isinstance(node, ast.UnaryOp) else []


def find_revisions(tree: ast.Module) -> Iterator[ast.Attribute]:
    """Yields the revisions of positions that something is done with."""
    names = find_positions(tree)
    for node in ast.walk(tree):
        for operand in _list_operands(node):
            if not isinstance(operand, ast.Attribute):
                continue
            owner = operand.value
            is_position = _find_name(owner) in names or _makes_position(owner)
            if operand.attr == "revision" and is_position:
                yield operand


def find_faults(path: pathlib.Path) -> list[str]:
    """Returns one line for each revision of a position used as a number."""
    place = path.relative_to(ROOT)
    return [
        f"{place}:{found.lineno}: uses {ast.unparse(found)} without its era"
        for found in find_revisions(ast.parse(path.read_text()))
    ]


def main() -> int:
    """Prints the faults and returns the exit status."""
    paths = [
        path
        for folder in FOLDERS
        for path in sorted((ROOT / folder).rglob("*.py"))
        if path != OWNER and "_pb2" not in path.name
    ]
    faults = [fault for path in paths for fault in find_faults(path)]
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
