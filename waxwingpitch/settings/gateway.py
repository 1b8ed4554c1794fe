"""Settings of the gateway daemon, which serves on the operators' platform."""

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
    """Time and rate bounds that the operators of a deployment set.

    Attributes
    ----------
    contact_s
        Time from a fault until the bounds hold again, in seconds.
    leaving_s
        Maximum time for which a leaving target is still sent new requests, in seconds.
    stop_s
        Time between the signal to stop and a kill, in seconds.
    retry_ratio, retry_slack, retry_window_s
        Retry budget of all entry hosts together for a service: retries per first
        attempt, further retries, and the window over which both count, in seconds.
    cold_factor, cold_slack
        Factor by which the request rate at a cold target may exceed its limit, and the
        requests that are allowed besides.
    stall_s
        Time after which an engine aborts work that waits for a lost group member, in
        seconds.
    pass_s
        Maximum delay in forwarding an event, in seconds.
    """

    contact_s: float
    leaving_s: float
    stop_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_factor: float
    cold_slack: float
    stall_s: float
    pass_s: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway process.

    Attributes
    ----------
    zones
        All availability zones.
    front, ready, peers, relay
        Addresses for callers, for the load balancer's readiness checks, for other entry
        hosts, and for their connections to targets; ``relay`` is None where no port is
        left for it.
    store
        Address of the platform's key-value service.
    metrics
        Address on which metrics and the state dump are served.
    min_lease_s
        Minimum lease time of the key-value service, in seconds.
    processor_share
        Processor share of the process, in cores.
    link_mbps
        Bandwidth of the host's link, in megabits a second.
    memory_mb
        Memory at which the platform ends the process, in mebibytes.
    max_fds
        Descriptors that the process may have open, those reserved for files included.
    is_first_start
        Whether the whole system starts for the first time.
    may_leave_zone
        Whether requests may leave a zone that has a usable replica.
    """

    name: str
    zone: str
    zones: tuple[str, ...]
    front: Address
    ready: Address
    peers: Address
    relay: Address | None
    store: Address
    metrics: Address
    bounds: OperatingBounds
    min_lease_s: float
    processor_share: float
    link_mbps: float
    memory_mb: float
    max_fds: int
    is_first_start: bool = False
    may_leave_zone: bool = True
