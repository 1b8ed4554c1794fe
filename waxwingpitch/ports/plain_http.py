"""HTTP implementation of the plain service's interface."""

from __future__ import annotations

from ..errors import TargetConnectionLostError
from .common import PlainAnswer, PlainCall, PlainTarget
from .http import RAN_HEADER, REPORT_HEADER
from .target_http import HttpTarget

MAX_ANSWER_BYTES = 16 * 1024 * 1024
_UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
        REPORT_HEADER.lower(),
        RAN_HEADER.lower(),
    }
)


class HttpPlainTarget(HttpTarget, PlainTarget):
    """Plain service over HTTP."""

    def call(self, call: PlainCall, *, timeout_s: float) -> PlainAnswer:
        path = call.path if not call.query else f"{call.path}?{call.query}"
        resp = self.send(
            call.method,
            path,
            timeout_s=timeout_s,
            body=call.body or None,
            headers={**dict(call.headers), "X-Request-Id": call.request},
        )
        if len(resp.data) > MAX_ANSWER_BYTES:
            raise TargetConnectionLostError(
                f"{self.address}: answer of {len(resp.data)} bytes exceeds the limit "
                f"of {MAX_ANSWER_BYTES} bytes"
            )
        headers = tuple(
            (key, value)
            for key, value in resp.headers.items()
            if key.lower() not in _UNFORWARDED_HEADERS
        )
        return PlainAnswer(resp.status, headers, resp.data)
