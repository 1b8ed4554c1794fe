"""Command line."""

from __future__ import annotations

from .application import run_cli

__all__ = ["run_cli"]
