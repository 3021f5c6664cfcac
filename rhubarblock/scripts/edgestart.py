"""Starts ``rhubarblock edge`` quickly, on a platform that does not use TLS.

An instance serves no requests until it has started, so two slow steps are
avoided. On import, aiohttp loads all certificate authorities, which takes a
third of the startup time; if the module ``ssl`` cannot be imported, aiohttp
works without TLS. Later it can be imported again, as the Prometheus client does
on the first scrape. During the imports the garbage collector is off, because it
would repeatedly scan modules that are never freed.
"""

import gc
import sys

# Standard modules that lack their TLS parts if they are imported without
# ``ssl``. The Prometheus client needs these parts to be imported.
PARTIAL_MODULES = ("http.client", "urllib.request")


def main() -> None:
    """Disables TLS and then imports and runs the daemon."""
    # Importing a module whose entry is None raises an ImportError, which
    # aiohttp handles.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    gc.disable()
    if sys.argv[1:]:
        _run_command()
    else:
        _run_daemon()


def _run_command() -> None:
    """Runs the command ``edge`` with the options on the command line."""
    from rhubarblock.scripts import edge

    _end_imports()
    edge.edge_command()


def _run_daemon() -> None:
    """Runs the daemon with the settings file named by the environment."""
    from rhubarblock.daemon import edge
    from rhubarblock.platform import settings

    gc.freeze()
    _end_imports()
    edge.run(settings.find_path())


def _end_imports() -> None:
    """Restores what is changed during the imports."""
    for name in ("ssl", *PARTIAL_MODULES):
        sys.modules.pop(name, None)
    gc.enable()


if __name__ == "__main__":
    main()
