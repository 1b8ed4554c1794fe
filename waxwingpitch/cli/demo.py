"""Command that runs a demonstration of the system in one process."""

from __future__ import annotations

from cleo.helpers import option

from .common import BaseCommand, ExitCode, wait_for_stop


class DemoCommand(BaseCommand):
    """Runs stand-ins and an entry daemon in one process and sends requests."""

    name = "demo"
    description = "Run stand-ins and an entry daemon in one process and use them."
    help = (
        "With --serve, stays up until SIGTERM.\n"
        "Example: <info>waxwingpitch demo --serve --port 8400</info>"
    )
    options = [
        option("serve", None, "Stay up and print URL and token.", flag=True),
        option(
            "port", "p", "TCP port of the entry; 0: any free.", flag=False, default=0
        ),
    ]

    def run_command(self) -> ExitCode:
        from ..demo import Demo

        demo = Demo(port=int(self.option("port")))
        demo.start()
        if self.option("serve"):
            for key, value in demo.describe().items():
                print(f"{key}: {value}", flush=True)
            wait_for_stop(demo.stop)
            return ExitCode.OK
        try:
            passed = demo.show()
        finally:
            demo.stop()
        return ExitCode.OK if passed else ExitCode.FAILED
