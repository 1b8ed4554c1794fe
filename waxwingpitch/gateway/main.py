"""Entry point of the gateway daemon's process.

Run it with ``python3 -m gevent.monkey --module waxwingpitch.gateway.main``, which
patches the standard library for gevent before any other module is imported.
"""

from __future__ import annotations

import os
import sys
import time

from ..errors import SettingsError
from ..platform.settings import (
    SETTINGS_VARIABLE,
    load_platform_settings,
)
from ..telemetry.logs import set_up_bounded_logging
from .daemon import GatewayDaemon

EXIT_OK = 0
EXIT_SETTINGS = 2
# Time for which a process that ends waits for standard output to take its last lines.
LAST_LINES_S = 0.2


def run_gateway() -> int:
    """Run a gateway until it is stopped by a signal; return the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_platform_settings(path)
    except SettingsError as exc:
        print(exc.message, file=sys.stderr)
        return EXIT_SETTINGS
    handler = set_up_bounded_logging("info")
    GatewayDaemon(settings).run_until_stopped()
    handler.flush_until(time.monotonic() + LAST_LINES_S)
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(run_gateway())
