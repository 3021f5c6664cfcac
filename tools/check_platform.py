"""Checks that the platform's protocol is confined to its adapter.

No module outside the adapter may use a name of the protocol. The adapter only
translates: it may import types and interfaces, but no logic, and it must stay
small.
"""

import pathlib
import re
import sys

import grimp

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADAPTER = "rhubarblock.platform"
MAX_ADAPTER_LINES = 1_200
WORDS = re.compile(
    r"X-Rhubarblock-|RHUBARBLOCK_BOOT|At-Server|Server-Limit|Server-Leaving|Store-Era|"
    r"routeKind|stickySessions|targetLatencyMs|trafficSplit|pathPrefix|"
    r"streamResume|gapTargetMs|kvCapacityTokens|apiKeys|storeRevision|"
    r"platformSettings|tokenCount|holdMs"
)
# Modules that the adapter may import.
ALLOWED = (
    "rhubarblock.core",
    "rhubarblock.exchange.dialect",
    "rhubarblock.settings.exchange",
    "rhubarblock.store.store",
    "rhubarblock.store.sendonce",
    ADAPTER,
)


def find_platform_names() -> list[str]:
    """Returns a message for each protocol name outside the adapter."""
    faults = []
    adapter = ROOT / "rhubarblock" / "platform"
    for path in sorted((ROOT / "rhubarblock").rglob("*.py")):
        if adapter in path.parents:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if WORDS.search(line):
                relative = path.relative_to(ROOT)
                faults.append(f"{relative}:{number}: {line.strip()}")
    return faults


def find_disallowed_imports() -> list[str]:
    """Returns a message for each import of the adapter that is not allowed."""
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
    """Returns a message if the adapter, without tests, is too large."""
    adapter = ROOT / "rhubarblock" / "platform"
    lines = sum(
        len(path.read_text().splitlines())
        for path in adapter.glob("*.py")
        if not path.name.endswith("_test.py")
    )
    if lines <= MAX_ADAPTER_LINES:
        return []
    return [f"the adapter has {lines} lines, {MAX_ADAPTER_LINES} are allowed"]


def main() -> int:
    """Prints all violations and returns the exit status."""
    faults = find_platform_names() + find_disallowed_imports() + check_size()
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
