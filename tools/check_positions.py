"""Checks that nothing compares or computes with the revision of a position.

Revisions of different eras are not comparable, so code must compare whole
positions. Catalogues and other objects have a revision too, so the check
treats an object as a position only if

* it is named ``version`` or ``expected_version``, as in the store's interface;
  no catalogue has these names;
* its name, attribute or call is annotated or assigned as a ``Position`` in the
  same module.

A revision that is assigned to a variable first is not detected.
"""

import ast
from collections.abc import Iterator
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Exempt: this module defines the order of positions.
OWNER = ROOT / "rhubarblock" / "core" / "position.py"
FOLDERS = ("rhubarblock", "tools", "features", "benchmarks")
# Names of positions in the store's interface.
NAMES = frozenset({"version", "expected_version"})
_FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)


def _get_last_name(node: ast.expr) -> str:
    """Returns the last name of a variable, attribute or call, or ``""``."""
    if isinstance(node, ast.Await):
        return _get_last_name(node.value)
    if isinstance(node, ast.Call):
        return _get_last_name(node.func)
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def _is_position_type(annotation: ast.expr | None) -> bool:
    """Returns whether an annotation is ``Position``, also with None."""
    if isinstance(annotation, ast.Constant):
        text = str(annotation.value)
    else:
        text = ast.unparse(annotation) if annotation else ""
    parts = {part.strip().rpartition(".")[2] for part in text.split("|")}
    return "Position" in parts and parts <= {"Position", "None"}


def _makes_position(value: ast.expr | None) -> bool:
    """Returns whether an expression constructs or names a position."""
    return value is not None and _get_last_name(value) in {
        "Position",
        "NOWHERE",
    }


def find_positions(tree: ast.Module) -> set[str]:
    """Returns the names that denote positions in a module."""
    names = set(NAMES)
    for node in ast.walk(tree):
        if isinstance(node, ast.arg) and _is_position_type(node.annotation):
            names.add(node.arg)
        elif isinstance(node, _FUNCTIONS) and _is_position_type(node.returns):
            names.add(node.name)
        elif isinstance(node, ast.AnnAssign):
            if _is_position_type(node.annotation):
                names.add(_get_last_name(node.target))
        elif isinstance(node, ast.Assign) and _makes_position(node.value):
            names.update(_get_last_name(target) for target in node.targets)
    return names


def _list_operands(node: ast.AST) -> list[ast.expr]:
    """Returns the operands of a comparison or an arithmetic operation."""
    if isinstance(node, ast.Compare):
        return [node.left, *node.comparators]
    if isinstance(node, ast.BinOp):
        return [node.left, node.right]
    if isinstance(node, ast.AugAssign):
        return [node.target, node.value]
    return [node.operand] if isinstance(node, ast.UnaryOp) else []


def find_revisions(tree: ast.Module) -> Iterator[ast.Attribute]:
    """Yields the revisions of positions that are operands."""
    names = find_positions(tree)
    for node in ast.walk(tree):
        for operand in _list_operands(node):
            if not isinstance(operand, ast.Attribute):
                continue
            owner = operand.value
            is_position = _get_last_name(owner) in names or _makes_position(
                owner
            )
            if operand.attr == "revision" and is_position:
                yield operand


def find_faults(path: pathlib.Path) -> list[str]:
    """Returns a message for each revision that is used without its era."""
    relative = path.relative_to(ROOT)
    return [
        f"{relative}:{found.lineno}: uses {ast.unparse(found)} without its era"
        for found in find_revisions(ast.parse(path.read_text()))
    ]


def main() -> int:
    """Prints all violations and returns the exit status."""
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
