"""Checks that modules of this project import modules and not names.

The Google Python Style Guide requires it, but the linter has no rule for it.
``from package import name`` passes if ``name`` is a module or the guide exempts
the package.
"""

import ast
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXEMPT = {"typing", "collections.abc", "__future__"}


def is_module(package: str, name: str) -> bool:
    """Returns whether ``package.name`` is a module of this project."""
    if name.startswith("__"):
        return True
    base = ROOT.joinpath(*package.split("."), name)
    return base.is_dir() or base.with_suffix(".py").exists()


def find_faults(path: pathlib.Path) -> list[str]:
    """Returns a message for each import of a name in a file."""
    faults = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module in EXEMPT:
            continue
        if node.module is None or not node.module.startswith("rhubarblock"):
            continue
        for alias in node.names:
            if not is_module(node.module, alias.name):
                relative = path.relative_to(ROOT)
                faults.append(f"{relative}:{node.lineno}: imports {alias.name}")
    return faults


def main() -> int:
    """Prints all violations and returns the exit status."""
    paths = sorted((ROOT / "rhubarblock").rglob("*.py"))
    paths = [path for path in paths if "_pb2" not in path.name]
    faults = [fault for path in paths for fault in find_faults(path)]
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
