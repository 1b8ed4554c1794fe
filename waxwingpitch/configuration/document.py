"""Encoding of configurations for operators and for the key-value service."""

from __future__ import annotations

import msgspec

from .. import jsonc
from ..errors import ConfigurationError
from .model import Configuration, check_configuration

_COMMENTS = (
    jsonc.Comment("revision", "Grows by one with each accepted submission."),
    jsonc.Comment("zones", "Targets of a zone out of service get no new work."),
    jsonc.Comment("workspaces", "Priority 0 is served first; share weighs in it."),
    jsonc.Comment("services", "Models and plain services, each on a pool of hosts."),
    jsonc.Comment("submissions", "Ids of recent submissions, newest last."),
)


def render_configuration(cfg: Configuration) -> str:
    """Render a configuration as JSON with comments.

    See Also
    --------
    decode_configuration : Parses the text back to the same value.
    """
    return jsonc.render(msgspec.to_builtins(cfg), _COMMENTS)


def decode_configuration(text: str, *, source: str = "<text>") -> Configuration:
    """Parse and check a configuration in JSON with comments.

    Raises
    ------
    ConfigurationError
        The text is invalid; the message names the line, key, value and valid values.
    """
    cfg = jsonc.decode(text, Configuration, source=source, error=ConfigurationError)
    check_configuration(cfg)
    return cfg


def encode_configuration(cfg: Configuration) -> bytes:
    """Encode a configuration for the key-value service."""
    return msgspec.json.encode(cfg)


def decode_stored(value: bytes) -> Configuration:
    """Decode the result of :func:`encode_configuration`.

    Raises
    ------
    ConfigurationError
        The value is not a configuration.
    """
    try:
        return msgspec.json.decode(value, type=Configuration)
    except msgspec.MsgspecError as exc:
        raise ConfigurationError(f"stored configuration is invalid: {exc}") from exc
