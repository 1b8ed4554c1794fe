"""Serves language models whose replicas span several hosts.

Operators use it as a library to change the configuration
(:class:`ConfigurationBuilder`, :func:`submit`); the command line starts the daemons.
"""

from __future__ import annotations

from .configuration import (
    Configuration,
    ConfigurationBuilder,
    decode_configuration,
    render_configuration,
    submit,
)
from .errors import Ran, ResultCode, WaxwingpitchError

__all__ = [
    "Configuration",
    "ConfigurationBuilder",
    "Ran",
    "ResultCode",
    "WaxwingpitchError",
    "decode_configuration",
    "render_configuration",
    "submit",
]

__version__ = "0.1.0"
