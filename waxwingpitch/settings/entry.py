"""Settings of the entry daemon."""

from __future__ import annotations

import enum
import ipaddress
import re
from dataclasses import dataclass, field
from pathlib import Path

from ..errors import SettingsError
from ..jsonc import find_line, read_file

MIN_MESH_KEY_CHARS = 16
MIN_TOKEN_CHARS = 8
MAX_PORT = 65535
_NAME = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")


class LogLevel(enum.StrEnum):
    """Minimum severity of log records."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class HttpSettings:
    """Address on which callers and operators are served.

    Attributes
    ----------
    host
        IP address to bind.
    port
        TCP port; 0 for any free port.
    advertise
        ``IP:port`` at which others connect, if it differs from the bound address.
    """

    host: str = "127.0.0.1"
    port: int = 8400
    advertise: str = ""


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """Connections between entry hosts.

    Attributes
    ----------
    key
        Secret that all entry hosts share.
    host
        IP address to bind.
    port
        TCP port; 0 for any free port.
    advertise
        ``IP:port`` at which peers connect, if it differs from the bound address.
    seeds
        ``IP:port`` of other entry hosts, contacted while the key-value service is
        unreachable.
    """

    key: str
    host: str = "127.0.0.1"
    port: int = 0
    advertise: str = ""
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Base URLs of the platform's services.

    Attributes
    ----------
    store
        URL of the key-value service.
    hosts
        URL of the service that lists hosts.
    """

    store: str
    hosts: str


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on sizes and connections.

    Attributes
    ----------
    body_bytes
        Maximum size of a request body, in bytes.
    frame_bytes
        Maximum size of a mesh message, in bytes.
    connections
        Maximum number of concurrent caller connections.
    """

    body_bytes: int = 4 * 1024 * 1024
    frame_bytes: int = 2 * 1024 * 1024
    connections: int = 2000


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry daemon.

    Attributes
    ----------
    id
        Name of the entry host, unique over all zones.
    zone
        Availability zone of the entry host.
    mesh, platform, http, limits
        See the classes of their types.
    operator_token
        Token that authenticates operators.
    log_level
        Minimum severity of log records.
    drain_timeout_s
        Maximum wait for requests in flight when the daemon stops, in seconds.
    """

    id: str
    zone: str
    mesh: MeshSettings
    platform: PlatformSettings
    operator_token: str
    http: HttpSettings = HttpSettings()
    limits: LimitSettings = field(default_factory=LimitSettings)
    log_level: LogLevel = LogLevel.INFO
    drain_timeout_s: float = 600.0


def load_entry_settings(path: str | Path) -> EntrySettings:
    """Read and check the settings of an entry daemon.

    Raises
    ------
    SettingsError
        A value is invalid; the message names file, line, key, value and valid values.
    """
    settings = read_file(path, EntrySettings)
    for problem in _find_problems(settings):
        line = find_line(Path(path).read_text(encoding="utf-8"), problem.key)
        raise SettingsError(f"{path}: line {line}, key '{problem.key}': {problem.text}")
    return settings


@dataclass(frozen=True, slots=True)
class _Problem:
    """An invalid value, and the valid ones."""

    key: str
    text: str


def _find_problems(settings: EntrySettings):
    for key in ("id", "zone"):
        value = getattr(settings, key)
        if not _NAME.match(value):
            text = f"got {value!r}; valid: lower-case letters, digits and hyphens"
            yield _Problem(key, f"{text}, at most 63")
    for key, part in (("http", settings.http), ("mesh", settings.mesh)):
        if not 0 <= part.port <= MAX_PORT:
            yield _Problem(f"{key}.port", f"got {part.port}; valid: 0 to {MAX_PORT}")
        if not _is_ip(part.host):
            yield _Problem(f"{key}.host", f"got {part.host!r}; valid: an IP address")
    if len(settings.mesh.key) < MIN_MESH_KEY_CHARS:
        yield _Problem(
            "mesh.key", f"too short; valid: {MIN_MESH_KEY_CHARS} characters or more"
        )
    if len(settings.operator_token) < MIN_TOKEN_CHARS:
        yield _Problem(
            "operator_token", f"too short; valid: {MIN_TOKEN_CHARS} characters or more"
        )
    for seed in settings.mesh.seeds:
        if not _is_address(seed):
            yield _Problem("mesh.seeds", f"got {seed!r}; valid: IP:port")
    for key, part in (("http", settings.http), ("mesh", settings.mesh)):
        if part.advertise and not _is_address(part.advertise):
            yield _Problem(
                f"{key}.advertise", f"got {part.advertise!r}; valid: IP:port"
            )
    for key in ("store", "hosts"):
        url = getattr(settings.platform, key)
        if not url.startswith(("http://", "https://")):
            yield _Problem(
                f"platform.{key}", f"got {url!r}; valid: an http or https URL"
            )
    for key in ("body_bytes", "frame_bytes", "connections"):
        if getattr(settings.limits, key) <= 0:
            yield _Problem(f"limits.{key}", "must be above 0")


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return _is_ip(host) and port.isdigit()


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
