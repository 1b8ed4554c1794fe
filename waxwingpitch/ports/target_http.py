"""Base class of the HTTP clients of model engines and plain services."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..errors import (
    TargetConnectionLostError,
    TargetProgressTimeoutError,
    TargetRefusedError,
)
from .common import TargetReport
from .http import (
    RAN_HEADER,
    REPORT_HEADER,
    ConnectionLostError,
    HttpClient,
    NotSentError,
    ResponseTimeoutError,
)

OnReport = Callable[[TargetReport], None]


class HttpTarget:
    """HTTP client of one target.

    Parameters
    ----------
    address
        ``IP:port``.
    on_report
        Called with the report in the header of an answer.
    """

    def __init__(self, address: str, on_report: OnReport = lambda report: None):
        self.address = address
        self._client = HttpClient(f"http://{address}")
        self._on_report = on_report

    def probe(self, *, timeout_s: float) -> TargetReport:
        return self.parse_report(self.send("GET", "/v1/status", timeout_s=timeout_s))

    def parse_report(self, resp) -> TargetReport:
        """Parse the report in the body of an answer."""
        try:
            return msgspec.json.decode(resp.data, type=TargetReport)
        except msgspec.MsgspecError as exc:
            raise TargetConnectionLostError(
                f"{self.address}: malformed report: {exc}"
            ) from exc

    def send(self, method: str, path: str, **kwargs):
        """Send a request and read the answer; pass the report to ``on_report``.

        Raises
        ------
        TargetRefusedError
            The request was not sent, or the target answered that it did not run it.
        TargetProgressTimeoutError, TargetConnectionLostError
            The request may have run.
        """
        return self._check(self._client.send, method, path, **kwargs)

    def open_stream(self, method: str, path: str, **kwargs):
        """Send a request like :meth:`send`, and return before its body is read."""
        return self._check(self._client.open_stream, method, path, **kwargs)

    def _check(self, call, method: str, path: str, **kwargs):
        try:
            resp = call(method, path, **kwargs)
        except NotSentError as exc:
            raise TargetRefusedError(str(exc)) from exc
        except ResponseTimeoutError as exc:
            raise TargetProgressTimeoutError(str(exc)) from exc
        except ConnectionLostError as exc:
            raise TargetConnectionLostError(str(exc)) from exc
        report = self._handle_report_header(resp)
        if resp.headers.get(RAN_HEADER) == "no":
            reason = resp.data.decode("utf-8", "replace")
            raise TargetRefusedError(
                f"{self.address}: {reason}",
                incarnation=report.incarnation if report else "",
            )
        return resp

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _handle_report_header(self, resp) -> TargetReport | None:
        text = resp.headers.get(REPORT_HEADER)
        if text is None:
            return None
        try:
            report = msgspec.json.decode(text, type=TargetReport)
        except msgspec.MsgspecError:
            return None
        self._on_report(report)
        return report
