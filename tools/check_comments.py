"""Checks that comments and docstrings quote no measured results.

Results belong in commit messages or documentation: they hold for one revision
and one machine, and a comment outlives both.
"""

import ast
import io
import pathlib
import re
import sys
import tokenize

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Wording that accompanies a measured result.
FIGURES = re.compile(
    r"\bengine model, \w+ plays?\b|\bplays of\b"
    r"|\bbenchmarks/\w+\.py\b.*\bms\b|\binstead of \d+\.\d+"
    r"|\b\d\.\d{3}\b.*\b(worth|in time)\b|\b(worth|in time)\b.*\b\d\.\d{3}\b"
    r"|\bissue \d+\b|\bwere \d+ of \d+\b"
)


def list_comments(text: str) -> list[tuple[int, str]]:
    """Returns comments and docstrings, each with the number of its line."""
    found = []
    tokens = tokenize.generate_tokens(io.StringIO(text).readline)
    for token in tokens:
        if token.type == tokenize.COMMENT:
            found.append((token.start[0], token.string))
    for node in ast.walk(ast.parse(text)):
        kinds = ast.Module | ast.ClassDef | ast.FunctionDef
        if isinstance(node, kinds | ast.AsyncFunctionDef):
            docstring = ast.get_docstring(node)
            if docstring:
                line = getattr(node, "lineno", 1)
                found.append((line, " ".join(docstring.split())))
    return found


def find_faults(path: pathlib.Path) -> list[str]:
    """Returns a message for each comment that quotes a measured result."""
    relative = path.relative_to(ROOT)
    return [
        f"{relative}:{number}: holds a figure of a run: {text[:60]}"
        for number, text in list_comments(path.read_text())
        if FIGURES.search(text)
    ]


def main() -> int:
    """Prints all violations and returns the exit status."""
    paths = sorted((ROOT / "rhubarblock").rglob("*.py"))
    paths = [
        path
        for path in paths
        if "_pb2" not in path.name and not path.name.endswith("_test.py")
    ]
    faults = [fault for path in paths for fault in find_faults(path)]
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
