"""Entry point of the command line.

The entry daemon is started without importing the command-line library, which it does
not need and which would add to its memory use.
"""

from __future__ import annotations

import sys

from gevent import monkey

DAEMON_ARGUMENTS = ("entry", "--settings")


def main() -> int:
    """Run the command line and return its exit code."""
    monkey.patch_all()
    arguments = sys.argv[1:]
    if tuple(arguments[:2]) == DAEMON_ARGUMENTS and len(arguments) == 3:
        from .entry.main import run_entry

        return run_entry(arguments[2])
    from .cli import run_cli

    return run_cli(arguments)


if __name__ == "__main__":
    sys.exit(main())
