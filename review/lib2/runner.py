"""Runs a case: its exit status, its record and the end of its processes."""

from __future__ import annotations

import os
import signal
import sys
import traceback
from collections.abc import Callable
from pathlib import Path

from .stage import CannotRunError, Stage

BROKEN, HELD, CANNOT_RUN = 1, 0, 2


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path, build: Callable[[Path], Stage], play: Callable[[Stage], bool]
) -> None:
    """Play a case and exit.

    Parameters
    ----------
    build
        Builds the deployment; it is stopped in any case.
    play
        Plays the case; returns whether the rule was broken.
    """

    def stop_early(number, frame):
        raise CannotRunError("ended by a signal")

    signal.signal(signal.SIGTERM, stop_early)
    stage = None
    try:
        stage = build(folder)
        is_broken = play(stage)
        stage.record.write("rule broken" if is_broken else "rule held")
        status = BROKEN if is_broken else HELD
    except Exception as exc:
        traceback.print_exc()
        if stage is not None:
            stage.record.write(f"the case could not run: {exc!r}")
        status = CANNOT_RUN
    finally:
        if stage is not None:
            stage.stop()
    print(("held", "broken", "could not run")[status], flush=True)
    sys.stdout.flush()
    os._exit(status)
