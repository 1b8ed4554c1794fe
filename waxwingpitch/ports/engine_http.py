"""HTTP implementation of the model engine's interface."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from urllib.parse import quote, urlencode

import msgspec
from urllib3.exceptions import HTTPError

from ..errors import (
    TargetConnectionLostError,
    TargetProgressTimeoutError,
    TargetRefusedError,
)
from .common import (
    CacheEvent,
    EngineOrder,
    GenerateRequest,
    ModelTarget,
    Piece,
    TargetReport,
)
from .progress import progress_monitor
from .target_http import HttpTarget

READ_BYTES = 65536
MAX_PIECE_BYTES = 1024 * 1024

_decode_piece = msgspec.json.Decoder(Piece).decode
_decode_events = msgspec.json.Decoder(tuple[CacheEvent, ...]).decode


class HttpModelTarget(HttpTarget, ModelTarget):
    """Model engine over HTTP; a stream carries one piece as JSON per line."""

    def generate(
        self, req: GenerateRequest, *, progress_timeout_s: float
    ) -> Iterator[Piece]:
        return self._iter_pieces(
            "POST", "/v1/generate", progress_timeout_s, body=msgspec.json.encode(req)
        )

    def resume(
        self, request: str, attempt: int, offset: int, *, progress_timeout_s: float
    ) -> Iterator[Piece]:
        query = urlencode({"attempt": attempt, "offset": offset})
        path = f"/v1/streams/{quote(request)}?{query}"
        return self._iter_pieces("GET", path, progress_timeout_s)

    def cancel(self, request: str) -> None:
        try:
            self.send("DELETE", f"/v1/streams/{quote(request)}", timeout_s=1.0)
        except (
            TargetRefusedError,
            TargetProgressTimeoutError,
            TargetConnectionLostError,
        ):
            return

    def order(self, order: EngineOrder, *, timeout_s: float) -> TargetReport:
        body = msgspec.json.encode(order)
        resp = self.send("POST", "/v1/orders", timeout_s=timeout_s, body=body)
        return self.parse_report(resp)

    def cache_events(self, after: int, *, timeout_s: float) -> Sequence[CacheEvent]:
        path = f"/v1/cache-events?after={after}"
        return _decode_events(self.send("GET", path, timeout_s=timeout_s).data)

    def _iter_pieces(
        self,
        method: str,
        path: str,
        progress_timeout_s: float,
        body: bytes | None = None,
    ) -> Iterator[Piece]:
        resp = self.open_stream(method, path, timeout_s=progress_timeout_s, body=body)
        finished = False
        try:
            if resp.status != 200:
                raise TargetConnectionLostError(f"{self.address}: status {resp.status}")
            for line in _iter_lines(self._iter_chunks(resp, progress_timeout_s)):
                piece = _decode_piece(line)
                finished = bool(piece.finish)
                yield piece
        except msgspec.MsgspecError as exc:
            raise TargetConnectionLostError(
                f"{self.address}: malformed piece: {exc}"
            ) from exc
        finally:
            if finished:
                resp.drain_conn()
                resp.release_conn()
            else:
                resp.close()
        if not finished:
            raise TargetConnectionLostError(
                f"{self.address}: stream ended before its last piece"
            )

    def _iter_chunks(self, resp, progress_timeout_s: float) -> Iterator[bytes]:
        sock = resp.connection.sock
        sock.settimeout(None)
        watched_stream = progress_monitor.add(sock, progress_timeout_s)
        try:
            for chunk in resp.stream(READ_BYTES, decode_content=False):
                watched_stream.extend_deadline()
                yield chunk
        except (HTTPError, OSError) as exc:
            if watched_stream.timed_out:
                raise TargetProgressTimeoutError(
                    f"{self.address}: no data for {progress_timeout_s} s"
                ) from exc
            raise TargetConnectionLostError(f"{self.address}: {exc}") from exc
        finally:
            progress_monitor.remove(watched_stream)


def _iter_lines(chunks: Iterator[bytes]) -> Iterator[bytes]:
    partial = b""
    for chunk in chunks:
        *lines, partial = (partial + chunk).split(b"\n")
        yield from lines
        if len(partial) > MAX_PIECE_BYTES:
            raise TargetConnectionLostError(
                f"piece longer than {MAX_PIECE_BYTES} bytes"
            )
