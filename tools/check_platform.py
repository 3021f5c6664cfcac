"""Checks that the platform's words stay in its adapter, which decides nothing.

No name of the platform's protocol may stand in a module outside the adapter,
and the adapter may import only types and interfaces of the product.
"""

import pathlib
import re
import sys

import grimp

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADAPTER = "rhubarblock.platform"
ADAPTER_LINES = 1_200
WORDS = re.compile(
    r"X-Rhubarblock-|RHUBARBLOCK_BOOT|At-Server|Server-Limit|Server-Leaving|Store-Era|"
    r"routeKind|stickySessions|targetLatencyMs|trafficSplit|pathPrefix|"
    r"streamResume|gapTargetMs|kvCapacityTokens|apiKeys|storeRevision|"
    r"platformSettings|tokenCount|holdMs"
)
# What the adapter may know of the product.
ALLOWED = (
    "rhubarblock.core",
    "rhubarblock.exchange.dialect",
    "rhubarblock.settings.exchange",
    "rhubarblock.store.store",
    "rhubarblock.store.sendonce",
    ADAPTER,
)


def find_words() -> list[str]:
    """Returns one line for each word of the platform outside its adapter."""
    faults = []
    adapter = ROOT / "rhubarblock" / "platform"
    for path in sorted((ROOT / "rhubarblock").rglob("*.py")):
        if adapter in path.parents:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if WORDS.search(line):
                place = path.relative_to(ROOT)
                faults.append(f"{place}:{number}: {line.strip()}")
    return faults


def find_imports() -> list[str]:
    """Returns one line for each import of the adapter that is not allowed."""
    graph = grimp.build_graph("rhubarblock", cache_dir=None)
    faults = []
    for module in sorted(graph.modules):
        if not module.startswith(ADAPTER) or module.endswith("_test"):
            continue
        for imported in sorted(graph.find_modules_directly_imported_by(module)):
            if not imported.startswith(ALLOWED):
                faults.append(f"{module} imports {imported}")
    return faults


def check_size() -> list[str]:
    """Returns a line if the adapter, without tests, has grown too large."""
    adapter = ROOT / "rhubarblock" / "platform"
    lines = sum(
        len(path.read_text().splitlines())
        for path in adapter.glob("*.py")
        if not path.name.endswith("_test.py")
    )
    if lines <= ADAPTER_LINES:
        return []
    return [f"the adapter has {lines} lines, {ADAPTER_LINES} are allowed"]


def main() -> int:
    """Prints the faults and returns the exit status."""
    faults = find_words() + find_imports() + check_size()
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
