"""Open-loop load generation against entry hosts."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable, Sequence

import gevent
import msgspec
import uuid6
from gevent.pool import Pool
from urllib3.exceptions import HTTPError

from ..ports.http import (
    ConnectionLostError,
    HttpClient,
    NotSentError,
    ResponseTimeoutError,
)
from .profile import LoadProfile, PlannedRequest, plan_requests
from .report import Ending, Outcome

MAX_IN_FLIGHT = 4096
READ_CHUNK_BYTES = 65536
JOIN_GRACE_S = 5.0


class _Progress:
    """Token times of one streamed answer, recorded as it arrives."""

    def __init__(self, due_at: float):
        self.due_at = due_at
        self.last_token_at = 0.0
        self.first_token_s = 0.0
        self.gaps_s: list[float] = []

    def record_tokens(self) -> None:
        now = time.monotonic()
        if self.last_token_at:
            self.gaps_s.append(now - self.last_token_at)
        else:
            self.first_token_s = now - self.due_at
        self.last_token_at = now


class LoadRunner:
    """Sends the requests of a profile at their due times, independent of the answers.

    Parameters
    ----------
    profile
        Load to generate.
    urls
        Base URLs of entry hosts, used round-robin like a load balancer does.
    expected_answer
        Returns the full answer to a prompt under a token limit; an answer that
        differs counts as wrong. Without it, answers are not checked.
    """

    def __init__(
        self,
        profile: LoadProfile,
        urls: Sequence[str],
        *,
        expected_answer: Callable[[str, int], str] | None = None,
    ):
        self._profile = profile
        self._clients = itertools.cycle([HttpClient(url) for url in urls])
        self._expected_answer = expected_answer
        self.outcomes: list[Outcome] = []
        self.sent = 0

    def run(self, on_progress: Callable[[LoadRunner], None] = lambda _: None) -> None:
        """Send all requests and wait for the answers.

        Parameters
        ----------
        on_progress
            Called about once per second while requests are sent.
        """
        pool = Pool(MAX_IN_FLIGHT)
        started_at = time.monotonic()
        next_report_at = started_at + 1.0
        for planned in plan_requests(self._profile):
            due_at = started_at + planned.at_s
            gevent.sleep(max(0.0, due_at - time.monotonic()))
            self._send(pool, planned, due_at)
            if time.monotonic() >= next_report_at:
                next_report_at += 1.0
                on_progress(self)
        pool.join(timeout=self._profile.timeout_s + JOIN_GRACE_S)

    def _send(self, pool: Pool, planned: PlannedRequest, due_at: float) -> None:
        key = str(uuid6.uuid7()) if planned.mark else ""
        for _ in range(planned.copies):
            self.sent += 1
            pool.spawn(self._run_request, planned, due_at, key, next(self._clients))

    def _run_request(
        self, planned: PlannedRequest, due_at: float, key: str, client: HttpClient
    ) -> None:
        progress = _Progress(due_at)
        try:
            if planned.mark:
                ending, code = self._send_mark(planned, key, client)
            else:
                ending, code = self._send_chat(planned, client, progress)
        except NotSentError:
            ending, code = Ending.NOT_RUN, 0
        except (ResponseTimeoutError, ConnectionLostError, HTTPError, OSError):
            ending, code = Ending.LOST, 0
        self.outcomes.append(
            Outcome(
                number=planned.number,
                at_s=planned.at_s,
                priority=planned.workspace.priority,
                ending=ending,
                first_token_s=progress.first_token_s,
                gaps_s=tuple(progress.gaps_s),
                mark=planned.mark,
                code=code,
            )
        )

    def _send_mark(self, planned: PlannedRequest, key: str, client: HttpClient):
        resp = client.send(
            "POST",
            f"/v1/services/{self._profile.service}/marks/{planned.mark}",
            timeout_s=self._profile.timeout_s,
            headers={**_build_auth_headers(planned), "Idempotency-Key": key},
        )
        if resp.status == 200:
            return Ending.SERVED, 0
        return _classify_error(resp.data)

    def _send_chat(
        self, planned: PlannedRequest, client: HttpClient, progress: _Progress
    ):
        body = {
            "model": self._profile.model,
            "stream": True,
            "max_tokens": planned.max_tokens,
            "messages": [{"role": "user", "content": planned.prompt}],
        }
        resp = client.open_stream(
            "POST",
            "/v1/chat/completions",
            timeout_s=self._profile.timeout_s,
            body=msgspec.json.encode(body),
            headers=_build_auth_headers(planned),
        )
        if resp.status != 200:
            return _classify_error(resp.data)
        return self._read_events(planned, resp, progress)

    def _read_events(self, planned: PlannedRequest, resp, progress: _Progress):
        text, partial_event = [], b""
        for chunk in resp.stream(READ_CHUNK_BYTES):
            *events, partial_event = (partial_event + chunk).split(b"\n\n")
            for event in events:
                data = event.removeprefix(b"data: ")
                if data == b"[DONE]":
                    resp.drain_conn()
                    resp.release_conn()
                    return self._check_answer(planned, "".join(text)), 0
                parsed = msgspec.json.decode(data)
                if "error" in parsed:
                    return Ending.INCOMPLETE, parsed["error"]["code"]
                content = _extract_content(parsed)
                if content:
                    progress.record_tokens()
                    text.append(content)
        return Ending.LOST, 0

    def _check_answer(self, planned: PlannedRequest, text: str) -> Ending:
        if self._expected_answer is None:
            return Ending.SERVED
        expected = self._expected_answer(f"user: {planned.prompt}", planned.max_tokens)
        return Ending.SERVED if text == expected else Ending.WRONG


def _build_auth_headers(planned: PlannedRequest) -> dict[str, str]:
    return {"Authorization": f"Bearer {planned.workspace.token}"}


def _classify_error(data: bytes) -> tuple[Ending, int]:
    try:
        error = msgspec.json.decode(data)["error"]
    except (msgspec.MsgspecError, KeyError, TypeError):
        return Ending.UNKNOWN, 0
    ending = Ending.NOT_RUN if error["ran"] == "no" else Ending.UNKNOWN
    return ending, error["code"]


def _extract_content(event: dict) -> str:
    return "".join(
        choice["delta"].get("content", "") for choice in event.get("choices", ())
    )
