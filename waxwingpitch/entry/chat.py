"""Bodies of chat completions, in the format that existing client libraries use."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from ..errors import RequestError, ResultCode
from ..requests import AnswerAssembly

MAX_TOKENS = 32768
DONE_EVENT = b"data: [DONE]\n\n"


class TextPart(msgspec.Struct, frozen=True):
    """A part of a message's content."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """A message of a conversation."""

    role: str
    content: str | tuple[TextPart, ...] | None = None


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class ChatRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/chat/completions``; unknown keys are ignored."""

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: StreamOptions | None = None

    @property
    def token_limit(self) -> int:
        """Most tokens to generate; 0 if the caller sets no limit."""
        return self.max_completion_tokens or self.max_tokens or 0

    @property
    def wants_usage(self) -> bool:
        """Whether a streamed answer ends with an event for the token usage."""
        return self.stream_options is not None and self.stream_options.include_usage


_decode = msgspec.json.Decoder(ChatRequest).decode
_encode = msgspec.json.Encoder().encode


def parse_chat_request(body: bytes) -> ChatRequest:
    """Parse and check a body.

    Raises
    ------
    RequestError
        The body is malformed; the message names the wrong value.
    """
    try:
        req = _decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise RequestError(ResultCode.MALFORMED_REQUEST, f"body: {exc}") from exc
    if not req.messages:
        raise RequestError(
            ResultCode.MALFORMED_REQUEST, "messages: empty; valid: 1 message or more"
        )
    if not 0 <= req.token_limit <= MAX_TOKENS:
        raise RequestError(
            ResultCode.MALFORMED_REQUEST,
            f"max_tokens {req.token_limit}; valid: 1 to {MAX_TOKENS}",
        )
    return req


def render_prompt(req: ChatRequest) -> str:
    """Return the conversation as one prompt."""
    return "\n".join(
        f"{message.role}: {_render_content(message)}" for message in req.messages
    )


def _render_content(message: ChatMessage) -> str:
    match message.content:
        case None:
            return ""
        case str() as text:
            return text
        case parts:
            return "".join(part.text for part in parts)


@dataclass(frozen=True, slots=True)
class ChatAnswer:
    """Builds the body or the events of the answer to one chat request.

    Attributes
    ----------
    created
        Seconds since 1970.
    """

    request: str
    model: str
    created: int

    @classmethod
    def begin(cls, request: str, model: str) -> ChatAnswer:
        """Return an answer that is created now."""
        return cls(request, model, int(time.time()))

    def encode_body(self, assembly: AnswerAssembly) -> bytes:
        """Return the body of an answer that is not streamed."""
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": "".join(assembly.tokens)},
            "finish_reason": assembly.finish,
        }
        body = self._envelope("chat.completion", [choice])
        return _encode({**body, "usage": _build_usage(assembly)})

    def iter_events(
        self, tokens: Iterator[tuple[str, ...]], assembly: AnswerAssembly, usage: bool
    ) -> Iterator[bytes]:
        """Yield the server-sent events of a streamed answer.

        The last event says ``[DONE]`` only if the answer is complete; otherwise
        an error event ends the stream.
        """
        prefix, suffix = self._encode_delta_frame()
        yield self._encode_event({"role": "assistant", "content": ""}, None)
        try:
            for new_tokens in tokens:
                yield prefix + _encode("".join(new_tokens)) + suffix
        except RequestError as exc:
            yield b"data: " + _encode(build_error(exc, self.request)) + b"\n\n"
            return
        yield self._encode_event({}, assembly.finish)
        if usage:
            body = self._envelope("chat.completion.chunk", [])
            yield _format_event({**body, "usage": _build_usage(assembly)})
        yield DONE_EVENT

    def _encode_event(self, delta: dict[str, str], finish: str | None) -> bytes:
        choice = {"index": 0, "delta": delta, "finish_reason": finish}
        return _format_event(self._envelope("chat.completion.chunk", [choice]))

    def _encode_delta_frame(self) -> tuple[bytes, bytes]:
        """Return the bytes before and after the content of a chunk.

        They are the same for all chunks of an answer and are encoded only once.
        """
        placeholder = "\0"
        prefix, _, suffix = self._encode_event(
            {"content": placeholder}, None
        ).partition(_encode(placeholder))
        return prefix, suffix

    def _envelope(self, kind: str, choices: list) -> dict:
        return {
            "id": f"chatcmpl-{self.request}",
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        }


def _format_event(body: dict) -> bytes:
    return b"data: " + _encode(body) + b"\n\n"


def _build_usage(assembly: AnswerAssembly) -> dict:
    completion = len(assembly.tokens)
    return {
        "prompt_tokens": assembly.prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": assembly.prompt_tokens + completion,
        "prompt_tokens_details": {"cached_tokens": assembly.cached_tokens},
    }


def build_error(exc: RequestError, request: str) -> dict:
    """Return the body of an error answer.

    ``ran`` covers all attempts of the request. The HTTP interface adds
    ``attempt_ran``, which covers this attempt only.
    """
    error = {
        "code": int(exc.code),
        "type": exc.code.name.lower(),
        "message": f"{exc.message}. {exc.advice}",
        "ran": str(exc.ran),
        "request": request,
    }
    return {"error": error}
