"""Checks that no package imports from a package of a higher layer.

The order of the layers is in pyproject.toml, the highest first. Tests live
beside the code that they test and may use the stand-ins, so they are not
checked.
"""

import pathlib
import sys
import tomllib

import grimp

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = "rhubarblock"


def read_layers() -> dict[str, int]:
    """Returns the layer of each package; 0 is the lowest."""
    text = (ROOT / "pyproject.toml").read_text()
    packages = tomllib.loads(text)["tool"]["rhubarblock"]["layers"]
    return {name: layer for layer, name in enumerate(reversed(packages))}


def find_package(module: str) -> str:
    """Returns the package of this project that a module belongs to."""
    parts = module.split(".")
    return parts[1] if len(parts) > 1 else ""


def find_faults(layers: dict[str, int]) -> list[str]:
    """Returns a message for each import from a higher layer."""
    graph = grimp.build_graph(PACKAGE, cache_dir=None)
    faults = []
    for module in sorted(graph.modules):
        package = find_package(module)
        if not package or module.endswith("_test"):
            continue
        if package not in layers:
            faults.append(f"{module}: package {package} has no layer")
            continue
        for imported in sorted(graph.find_modules_directly_imported_by(module)):
            imported_package = find_package(imported)
            if (
                imported_package
                and layers.get(imported_package, -1) > layers[package]
            ):
                faults.append(f"{module} imports {imported}")
    return faults


def main() -> int:
    """Prints all violations and returns the exit status."""
    faults = find_faults(read_layers())
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
