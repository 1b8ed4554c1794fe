"""HTTP interface of the entry daemon."""

from __future__ import annotations

import hmac
import itertools
import logging
import math
import time
import uuid
from collections.abc import Callable, Iterator

import bottle
import msgspec

from ..configuration import Service, ServiceKind, Workspace, hash_token
from ..errors import Ran, RequestError, ResultCode
from ..ports import PlainCall
from ..requests import AnswerAssembly, parse_key
from .caller import CallerSocket
from .chat import ChatAnswer, build_error, parse_chat_request, render_prompt
from .common import RequestHost
from .model_path import ModelCall
from .service_call import ServiceCall

MAX_TIMEOUT_S = 3600.0
MAX_HEADERS = 64
MAX_HEADER_BYTES = 16384
TIMEOUT_HEADER = "X-Timeout-S"
KEY_HEADER = "Idempotency-Key"
ATTEMPT_HEADER = "Idempotency-Attempt"
REQUEST_HEADER = "X-Request-Id"
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
_FORWARDED_HEADERS = frozenset({"accept", "accept-language", "content-type"})
_JSON = {"Content-Type": "application/json"}
_EVENTS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}

logger = logging.getLogger(__name__)


class EntryWeb:
    """HTTP routes of one entry daemon.

    Parameters
    ----------
    daemon
        Daemon that runs the requests.

    Attributes
    ----------
    in_progress
        Number of requests in progress.
    """

    def __init__(self, daemon: RequestHost):
        self._daemon = daemon
        self.in_progress = 0
        self.app = bottle.Bottle()
        self._add_routes()

    def _add_routes(self) -> None:
        app = self.app
        app.route("/v1/models", "GET", self._guard(self._list_models))
        app.route("/v1/chat/completions", "POST", self._guard(self._chat))
        app.route("/v1/keys", "POST", self._guard(self._issue_key))
        for path in ("/v1/services/<service>", "/v1/services/<service>/<path:path>"):
            app.route(path, METHODS, self._guard(self._call_service))
        app.route("/healthz/live", "GET", self._get_live)
        app.route("/healthz/ready", "GET", self._get_ready)
        app.route("/operator/state", "GET", self._guard(self._get_state))
        app.route("/operator/metrics", "GET", self._get_metrics)
        for status, code in (
            (400, ResultCode.MALFORMED_REQUEST),
            (404, ResultCode.NOT_FOUND),
            (405, ResultCode.METHOD_NOT_ALLOWED),
            (500, ResultCode.INTERNAL),
        ):
            app.error(status)(self._build_error_handler(code))

    def _guard(self, handler: Callable) -> Callable:
        """Wrap a handler so that each error is answered with its result code."""

        def _handle(**params):
            request = uuid.uuid4().hex
            try:
                _check_headers()
                return handler(request, **params)
            except RequestError as exc:
                return self._answer_error(exc, request)
            except bottle.HTTPResponse:
                raise
            except Exception:
                logger.exception("request failed", extra={"request": request})
                exc = RequestError(ResultCode.INTERNAL, "internal error")
                return self._answer_error(exc, request)

        return _handle

    def _answer_error(self, exc: RequestError, request: str) -> bottle.HTTPResponse:
        has_key = KEY_HEADER in bottle.request.headers
        is_first = bottle.request.headers.get(ATTEMPT_HEADER) == "1"
        body = build_error(exc, request)
        body["error"]["attempt_ran"] = str(exc.ran)
        # An earlier attempt under the same key may have run.
        if (
            has_key
            and exc.ran is Ran.NO
            and not exc.covers_all_attempts
            and not is_first
        ):
            body["error"]["ran"] = str(Ran.UNKNOWN)
        headers = {**_JSON, REQUEST_HEADER: request}
        if exc.retry_after_s is not None:
            headers["Retry-After"] = str(max(1, math.ceil(exc.retry_after_s)))
        labels = {"code": int(exc.code), "ran": body["error"]["ran"]}
        self._daemon.metrics.answers.add(1, labels)
        logger.info(
            "request refused",
            extra={"request": request, "code": int(exc.code), "why": exc.message},
        )
        return bottle.HTTPResponse(
            msgspec.json.encode(body), status=exc.status, headers=headers
        )

    def _build_error_handler(self, code: ResultCode) -> Callable:
        def _handle(error):
            exc = RequestError(code, f"{bottle.request.method} {bottle.request.path}")
            resp = self._answer_error(exc, uuid.uuid4().hex)
            resp.apply(bottle.response)
            bottle.response.status = error.status_code
            return resp.body

        return _handle

    def _authenticate(self) -> Workspace:
        header = bottle.request.headers.get("Authorization", "")
        scheme, _, token = header.partition(" ")
        digest = hash_token(token.strip()) if scheme.lower() == "bearer" else ""
        found = None
        for workspace in self._daemon.view.cfg.workspaces:
            for known in workspace.token_hashes:
                if hmac.compare_digest(known, digest):
                    found = workspace
        if found is None:
            raise RequestError(
                ResultCode.UNAUTHENTICATED, "no workspace has this token"
            )
        return found

    def _admit(self) -> Workspace:
        view = self._daemon.view
        if view.stopping:
            raise RequestError(
                ResultCode.STOPPING, "this entry host is stopping", retry_after_s=1.0
            )
        if view.cfg.revision == 0:
            raise RequestError(
                ResultCode.NO_CONFIGURATION,
                "no configuration is known yet",
                retry_after_s=2.0,
            )
        return self._authenticate()

    def _find_service(self, name: str, kind: ServiceKind) -> Service:
        cfg = self._daemon.view.cfg
        service = cfg.find_service(name)
        if service is None or service.kind is not kind:
            names = [item.name for item in cfg.services if item.kind is kind]
            valid = ", ".join(names) or "none is configured"
            raise RequestError(
                ResultCode.UNKNOWN_SERVICE, f"{kind} {name[:60]!r}; valid: {valid}"
            )
        return service

    def _read_body(self) -> bytes:
        limit = self._daemon.settings.limits.body_bytes
        if (bottle.request.content_length or 0) > limit:
            raise RequestError(ResultCode.BODY_TOO_LARGE, f"limit is {limit} bytes")
        try:
            body = bottle.request.environ["wsgi.input"].read(limit + 1)
        except (OSError, ValueError) as exc:
            raise RequestError(ResultCode.MALFORMED_REQUEST, f"body: {exc}") from exc
        if len(body) > limit:
            raise RequestError(ResultCode.BODY_TOO_LARGE, f"limit is {limit} bytes")
        return body

    def _find_deadline(self, service: Service) -> float:
        text = bottle.request.headers.get(TIMEOUT_HEADER)
        if text is None:
            return time.monotonic() + service.timeout_s
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = -1.0
        if not 0 < timeout_s <= MAX_TIMEOUT_S:
            raise RequestError(
                ResultCode.MALFORMED_REQUEST,
                f"{TIMEOUT_HEADER} {text[:20]!r}; valid: above 0 to {MAX_TIMEOUT_S}",
            )
        return time.monotonic() + timeout_s

    def _list_models(self, request: str):
        self._admit()
        models = [
            {"id": item.name, "object": "model", "created": 0, "owned_by": "operator"}
            for item in self._daemon.view.cfg.services
            if item.kind is ServiceKind.MODEL
        ]
        body = msgspec.json.encode({"object": "list", "data": models})
        return bottle.HTTPResponse(body, headers=_JSON)

    def _issue_key(self, request: str):
        self._admit()
        body = msgspec.json.encode({"key": self._daemon.bound_key_runs.issue_key()})
        return bottle.HTTPResponse(body, headers=_JSON)

    def _chat(self, request: str):
        workspace = self._admit()
        chat = parse_chat_request(self._read_body())
        service = self._find_service(chat.model, ServiceKind.MODEL)
        call = ModelCall(
            request=request,
            service=service,
            workspace=workspace,
            prompt=render_prompt(chat),
            max_tokens=chat.token_limit,
            deadline=self._find_deadline(service),
            arrived_at=time.monotonic(),
        )
        assembly = AnswerAssembly(request)
        source = self._iter_tokens(call, assembly)
        answer = ChatAnswer.begin(request, chat.model)
        # An error before the first token is answered with its own HTTP status.
        first = next(source, ())
        if chat.stream:
            tokens = itertools.chain([first], source)
            events = answer.iter_events(tokens, assembly, chat.wants_usage)
            headers = {**_EVENTS, REQUEST_HEADER: request}
            return bottle.HTTPResponse(_EventStream(events, source), headers=headers)
        for _ in source:
            pass
        headers = {**_JSON, REQUEST_HEADER: request}
        return bottle.HTTPResponse(answer.encode_body(assembly), headers=headers)

    def _iter_tokens(self, call: ModelCall, assembly: AnswerAssembly):
        """Yield the answer's tokens until it is complete or the caller disconnects.

        The request counts as in progress meanwhile.
        """
        daemon, labels = self._daemon, {"service": call.service.name}
        caller = CallerSocket(bottle.request.environ)
        self.in_progress += 1
        first = True
        try:
            for tokens in daemon.model_path.stream(call, assembly):
                if first:
                    took_s = time.monotonic() - call.arrived_at
                    daemon.metrics.first_token.record(took_s, labels)
                    first = False
                if caller.is_disconnected():
                    return
                yield tokens
            daemon.metrics.tokens.add(len(assembly.tokens), labels)
            daemon.metrics.answers.add(1, {"code": 0, "ran": "yes", **labels})
        finally:
            self.in_progress -= 1
            self._log_answer(call, assembly)

    def _log_answer(self, call: ModelCall, assembly: AnswerAssembly) -> None:
        logger.info(
            "request ended",
            extra={
                "request": call.request,
                "workspace": call.workspace.name,
                "service": call.service.name,
                "finish": assembly.finish or "incomplete",
                "tokens": len(assembly.tokens),
                "attempts": assembly.attempt,
                "target": assembly.target,
                "took_s": round(time.monotonic() - call.arrived_at, 4),
            },
        )

    def _call_service(self, request: str, service: str, path: str = ""):
        workspace = self._admit()
        found = self._find_service(service, ServiceKind.PLAIN)
        key_text = bottle.request.headers.get(KEY_HEADER)
        call = ServiceCall(
            call=PlainCall(
                request=request,
                method=bottle.request.method,
                path="/" + path,
                query=bottle.request.query_string,
                headers=self._select_forwarded_headers(key_text),
                body=self._read_body(),
            ),
            service=found,
            workspace=workspace,
            deadline=self._find_deadline(found),
            key=parse_key(key_text) if key_text is not None else None,
        )
        self.in_progress += 1
        try:
            answer = self._daemon.plain_path.run(call)
        finally:
            self.in_progress -= 1
        self._daemon.metrics.answers.add(
            1, {"code": 0, "ran": "yes", "service": found.name}
        )
        resp = bottle.HTTPResponse(answer.body, status=answer.status)
        for key, value in answer.headers:
            resp.set_header(key, value)
        resp.set_header(REQUEST_HEADER, request)
        return resp

    def _select_forwarded_headers(self, key: str | None) -> tuple[tuple[str, str], ...]:
        forwarded = [
            (name, value)
            for name, value in bottle.request.headers.items()
            if name.lower() in _FORWARDED_HEADERS
        ]
        if key is not None:
            forwarded.append((KEY_HEADER, key))
        return tuple(forwarded)

    def _get_live(self):
        return bottle.HTTPResponse(b'{"live":true}', headers=_JSON)

    def _get_ready(self):
        reason = self._daemon.find_unready_reason()
        state = {
            "ready": reason is None,
            "why": reason,
            "id": self._daemon.view.me.id,
            "revision": self._daemon.view.cfg.revision,
        }
        body = msgspec.json.encode(state)
        status = 200 if reason is None else 503
        return bottle.HTTPResponse(body, status=status, headers=_JSON)

    def _get_state(self, request: str):
        token = bottle.request.headers.get("Authorization", "").removeprefix("Bearer ")
        expected = self._daemon.settings.operator_token
        if not hmac.compare_digest(token.encode(), expected.encode()):
            raise RequestError(ResultCode.UNAUTHENTICATED, "wrong operator token")
        return bottle.HTTPResponse(self._daemon.dump(), headers=_JSON)

    def _get_metrics(self):
        headers = {"Content-Type": "text/plain; version=0.0.4"}
        return bottle.HTTPResponse(self._daemon.metrics.render(), headers=headers)


def _check_headers() -> None:
    """Refuse a request with too many or too large headers."""
    headers = bottle.request.headers
    size = sum(len(name) + len(value) for name, value in headers.items())
    if len(headers) > MAX_HEADERS or size > MAX_HEADER_BYTES:
        raise RequestError(
            ResultCode.HEADERS_TOO_LARGE,
            f"{len(headers)} headers of {size} bytes; valid: {MAX_HEADERS} headers "
            f"of {MAX_HEADER_BYTES} bytes together",
        )


class _EventStream:
    """Iterator over events that also closes their token source when it is closed."""

    def __init__(self, events: Iterator[bytes], source: Iterator[tuple[str, ...]]):
        self._events = events
        self._source = source

    def __iter__(self):
        return self._events

    def close(self) -> None:
        self._events.close()
        self._source.close()
