"""HTTP server and JSON helper shared by the stand-ins."""

from __future__ import annotations

import bottle
import msgspec

from ..http_server import HttpServer


class StandInServer:
    """Serves a bottle application on loopback.

    Parameters
    ----------
    app
        Application to serve.
    port
        TCP port; 0 takes a free one.
    host
        Loopback address to bind.
    """

    def __init__(self, app: bottle.Bottle, port: int = 0, *, host: str = "127.0.0.1"):
        app.catchall = True
        self.app = app
        self._server = HttpServer(host, port, app)

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def stop(self) -> None:
        """Close the listening socket and end running handlers after at most 0.1 s."""
        self._server.stop(timeout=0.1)

    @property
    def address(self) -> str:
        """``IP:port``."""
        return self._server.address_text

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{self.address}"


def answer_json(value, status: int = 200, **headers) -> bottle.HTTPResponse:
    """Build a JSON response."""
    return bottle.HTTPResponse(
        msgspec.json.encode(value),
        status=status,
        headers={"Content-Type": "application/json", **headers},
    )
