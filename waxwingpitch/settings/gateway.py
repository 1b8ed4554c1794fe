"""Settings of the gateway daemon, which serves on the users' platform."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``IP:port``; raise ValueError for anything else."""
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdigit() or not 0 < int(port) <= 65535:
            raise ValueError(f"{text!r} is not IP:port")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class OperatingBounds:
    """Bounds that the deployment's operators hold the system to.

    Attributes
    ----------
    contact_s
        Time after a disturbance after which bounds hold again, in seconds.
    leaving_s
        Time after which a leaving target gets no new request, in seconds.
    stop_s
        Time between the order to stop and a kill, in seconds.
    retry_ratio, retry_slack, retry_window_s
        Repeats per first request, and extra repeats, that all entry hosts together
        may send to a service in a window of seconds.
    cold_factor
        Tolerated factor over a cold target's rate.
    stall_s
        Time after which an engine gives up work that waits for a lost member, in
        seconds.
    pass_s
        Longest time that an event may be held, in seconds.
    """

    contact_s: float
    leaving_s: float
    stop_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_factor: float
    stall_s: float
    pass_s: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway process.

    Attributes
    ----------
    zones
        All availability zones.
    front, ready, peers
        Addresses for callers, for the balancer's question whether the process is
        ready, and for other entry hosts.
    store
        Address of the platform's key-value service.
    metrics
        Address on which metrics and the state dump are served.
    min_lease_s
        Shortest lease that the key-value service grants, in seconds.
    """

    name: str
    zone: str
    zones: tuple[str, ...]
    front: Address
    ready: Address
    peers: Address
    store: Address
    metrics: Address
    bounds: OperatingBounds
    min_lease_s: float
