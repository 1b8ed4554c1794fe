"""Serves language models whose replicas span several hosts.

The package is a library for operators (:class:`ConfigurationBuilder`,
:func:`submit`) with thin daemons started by the command line.
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
