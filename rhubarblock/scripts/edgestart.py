"""Starts ``rhubarblock edge`` on a platform that speaks no TLS.

Until a start is over nobody is served, so it leaves out what takes long: the
HTTP library loads all certificate authorities when it is imported, a third of
a start, and goes on without TLS when the module that does it is missing. The
collector would look at modules again and again that stay for good.
"""

import gc
import sys


def main() -> None:
    """Runs the daemon; its imports must come after TLS was left out."""
    # A name that is bound to None can't be imported; the library allows that.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    gc.disable()
    if sys.argv[1:]:
        _run_command()
    else:
        _run_daemon()


def _run_command() -> None:
    """Runs the command line, which has options."""
    from rhubarblock.scripts import edge

    gc.enable()
    edge.edge_command()


def _run_daemon() -> None:
    """Runs the daemon with the settings file that the platform names."""
    from rhubarblock.daemon import edge
    from rhubarblock.platform import settings

    gc.freeze()
    gc.enable()
    edge.run(settings.find_path())


if __name__ == "__main__":
    main()
