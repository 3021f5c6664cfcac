"""Starts ``rhubarblock edge`` on a platform that speaks no TLS.

The HTTP library loads all certificate authorities when it is imported, which
takes a third of a start, and each start is time in which callers are not
served. Without the module that does it the library goes on without TLS.
"""

import sys


def main() -> None:
    """Runs the daemon; its imports must come after TLS was left out."""
    # A name that is bound to None can't be imported; the library allows that.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    from rhubarblock.scripts import edge

    edge.edge_command()


if __name__ == "__main__":
    main()
