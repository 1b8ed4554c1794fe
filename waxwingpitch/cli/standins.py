"""Commands that run stand-ins for the external systems."""

from __future__ import annotations

import msgspec
from cleo.helpers import option

from ..ports import Host, HttpWeightStore, WeightStore
from ..standins import (
    EngineFleet,
    EnginePerformance,
    HostListStandIn,
    PlainStandIn,
    StoreStandIn,
    WeightStoreStandIn,
)
from .common import BaseCommand, ExitCode, wait_for_stop

PORT_OPTION = option(
    "port", "p", "TCP port; 0 takes a free one.", flag=False, default=0
)


class StandInStoreCommand(BaseCommand):
    """Runs the stand-in of the key-value service."""

    name = "standin store"
    description = "Run the stand-in of the key-value service."
    help = "Example: <info>waxwingpitch standin store --port 8401</info>"
    options = [
        PORT_OPTION,
        option("writes", None, "Limit of writes per second.", flag=False, default=400),
        option("reads", None, "Limit of reads per second.", flag=False, default=2000),
    ]

    def run_command(self) -> ExitCode:
        store = StoreStandIn(
            int(self.option("port")),
            writes_per_s=float(self.option("writes")),
            reads_per_s=float(self.option("reads")),
        )
        store.start()
        print(f"URL: {store.server.url}", flush=True)
        wait_for_stop(store.stop)
        return ExitCode.OK


class StandInHostsCommand(BaseCommand):
    """Runs the stand-in of the host list."""

    name = "standin hosts"
    description = "Run the stand-in of the platform's host list."
    help = "Example: <info>waxwingpitch standin hosts --port 8402 --lag 1</info>"
    options = [
        PORT_OPTION,
        option(
            "lag",
            None,
            "Delay until a change shows, in seconds.",
            flag=False,
            default=0,
        ),
    ]

    def run_command(self) -> ExitCode:
        hosts = HostListStandIn(
            port=int(self.option("port")), lag_s=float(self.option("lag"))
        )
        hosts.start()
        print(f"URL: {hosts.server.url}", flush=True)
        wait_for_stop(hosts.stop)
        return ExitCode.OK


class StandInEngineCommand(BaseCommand):
    """Runs a fleet of model engine stand-ins in one fabric domain."""

    name = "standin engine"
    description = "Run model engine stand-ins of one fabric domain."
    help = (
        "Prints a line 'HOST: {json}' for each host.\n"
        "Example: <info>waxwingpitch standin engine --hosts 8 --zone dar-a "
        "--domain fab-a --pool lesson</info>"
    )
    options = [
        option("hosts", None, "Number of hosts.", flag=False, default=4),
        option("zone", None, "Availability zone.", flag=False, default="dar-a"),
        option("domain", None, "Fabric domain.", flag=False, default="fab-a"),
        option("pool", None, "Pool of the hosts.", flag=False, default="lesson"),
        option("step", None, "Seconds per decoding step.", flag=False, default=0.01),
        option("batch", None, "Requests decoded per step.", flag=False, default=32),
        option("cold", None, "Seconds until warm.", flag=False, default=0.5),
        option(
            "cold-cap",
            None,
            "Concurrent requests that a cold engine withstands.",
            flag=False,
            default=2,
        ),
        option("restart", None, "Seconds to restart.", flag=False, default=0.5),
        option("load", None, "Seconds to load weights.", flag=False, default=0.2),
        option("weights", None, "Base URL of a weight store.", flag=False),
        option("no-fencing", None, "Ignore fencing tokens.", flag=True),
    ]

    def run_command(self) -> ExitCode:
        performance = EnginePerformance(
            step_s=float(self.option("step")),
            batch=int(self.option("batch")),
            cold_s=float(self.option("cold")),
            cold_cap=int(self.option("cold-cap")),
            restart_s=float(self.option("restart")),
            checks_fencing=not self.option("no-fencing"),
        )
        fleet = EngineFleet(performance, self._open_weights())
        domain = self.option("domain")
        for number in range(int(self.option("hosts"))):
            engine = fleet.add_host(f"{domain}-{number}")
            host = Host(
                engine.host,
                engine.address,
                self.option("pool"),
                self.option("zone"),
                domain,
            )
            print(f"HOST: {msgspec.json.encode(host).decode()}", flush=True)
        wait_for_stop(fleet.stop)
        return ExitCode.OK

    def _open_weights(self) -> WeightStore:
        if self.option("weights"):
            return HttpWeightStore(self.option("weights"))
        return WeightStoreStandIn(float(self.option("load")))


class StandInWeightsCommand(BaseCommand):
    """Runs the stand-in of the weight store."""

    name = "standin weights"
    description = "Run the stand-in of the rate-limited weight store."
    help = "Example: <info>waxwingpitch standin weights --port 8403 --load 2</info>"
    options = [
        PORT_OPTION,
        option("load", None, "Seconds of one load.", flag=False, default=0.2),
        option("loads", None, "Concurrent loads.", flag=False, default=4),
    ]

    def run_command(self) -> ExitCode:
        weights = WeightStoreStandIn(
            float(self.option("load")),
            int(self.option("loads")),
            int(self.option("port")),
        )
        weights.start()
        print(f"URL: {weights.server.url}", flush=True)
        wait_for_stop(weights.stop)
        return ExitCode.OK


class StandInServiceCommand(BaseCommand):
    """Runs a plain service stand-in."""

    name = "standin service"
    description = "Run a plain service stand-in that counts its effects."
    help = "Example: <info>waxwingpitch standin service --id att-1 --pool att</info>"
    options = [
        PORT_OPTION,
        option("id", None, "Id of the host.", flag=False, default="service-1"),
        option("zone", None, "Availability zone.", flag=False, default="dar-a"),
        option("pool", None, "Pool of the host.", flag=False, default="attendance"),
        option("delay", None, "Seconds that a call takes.", flag=False, default=0),
    ]

    def run_command(self) -> ExitCode:
        service = PlainStandIn(
            self.option("id"),
            int(self.option("port")),
            delay_s=float(self.option("delay")),
        )
        service.start()
        host = Host(
            service.host,
            service.server.address,
            self.option("pool"),
            self.option("zone"),
            "",
        )
        print(f"HOST: {msgspec.json.encode(host).decode()}", flush=True)
        wait_for_stop(service.stop)
        return ExitCode.OK
