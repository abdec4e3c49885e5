"""Responses in the format of the OpenAI API, buffered and streamed.

A stream ends with an event that carries the outcome. ``[DONE]`` follows only if the answer is
complete.
"""

import json
import time
from json.encoder import encode_basestring_ascii
from typing import Any

from twisted.internet import defer
from twisted.internet.interfaces import IPushProducer
from twisted.web.server import Request
from zope.interface import implementer

from ..connections.closing import set_reset_on_close
from ..errors import Finding
from ..outcome import Completed, Outcome, http_status, outcome_name, retry_after_s
from ..targets import AnswerStream, Piece
from .idempotency import RUNNING_RETRY_AFTER_S, Duplicate
from .requests import CompletionRequest, RequestKind
from .unmarked import finish_when_written

__all__ = [
    "OUTCOME_HEADER",
    "REQUEST_ID_HEADER",
    "BufferedSink",
    "StreamSink",
    "finish_duplicate",
    "finish_json",
    "finish_outcome",
    "finish_with_findings",
]

REQUEST_ID_HEADER = b"gladedrum-request-id"
OUTCOME_HEADER = b"gladedrum-outcome"

_TEXT_PLACEHOLDER = "\x00text\x00"
_DONE = b"data: [DONE]\n\n"
_CHUNK_OBJECTS = {
    RequestKind.COMPLETION: "text_completion",
    RequestKind.CHAT: "chat.completion.chunk",
}
_ERROR_TYPES = {
    "not-run": "not_run_error",
    "failed": "failed_error",
    "unknown": "unknown_outcome_error",
}


def finish_json(request: Request, status: int, body: object) -> None:
    """Send a JSON response, unless the caller has disconnected."""
    if request._disconnected:
        return
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    text = json.dumps(body).encode()
    request.setHeader(b"content-length", b"%d" % len(text))
    request.write(text)
    request.finish()


def finish_with_findings(
    request: Request, request_id: str, status: int, findings: list[Finding], code: str | None
) -> None:
    """Refuse an invalid request with all of its findings."""
    _set_headers(request, request_id, "failed")
    error = {
        "message": "; ".join(str(f) for f in findings),
        "type": "invalid_request_error",
        "param": findings[0].place,
        "code": code,
    }
    finish_json(request, status, {"error": error})


def finish_outcome(request: Request, request_id: str, outcome: Outcome) -> None:
    """Send the response to a request that ended without an answer."""
    _set_headers(request, request_id, outcome_name(outcome))
    wait_s = retry_after_s(outcome)
    if wait_s is not None:
        request.setHeader(b"retry-after", str(wait_s).encode())
    finish_json(request, http_status(outcome), {"error": _error(outcome)})


def finish_duplicate(request: Request, request_id: str, duplicate: Duplicate) -> None:
    """Respond to a reused idempotency key with the outcome of the first request."""
    _set_headers(request, request_id, outcome_name(duplicate.outcome))
    if duplicate.code == "still_running":
        request.setHeader(b"retry-after", str(RUNNING_RETRY_AFTER_S).encode())
    error = {
        **_error(duplicate.outcome),
        "type": "idempotency_error",
        "code": duplicate.code,
        "first_request_id": duplicate.first_request_id,
    }
    error["message"] = error["message"] or "the request with this key has completed"
    finish_json(request, duplicate.status, {"error": error})


@implementer(IPushProducer)
class StreamSink:
    """Streams pieces to the caller as server-sent events, with backpressure to the target.

    Parameters
    ----------
    request : Request
        The caller's HTTP request.
    request_id : str
        Request id that is returned to the caller.
    req : CompletionRequest
        The parsed request.
    prompt_tokens : int
        Estimated length of the prompt, for the usage in the last event.
    """

    def __init__(
        self, request: Request, request_id: str, req: CompletionRequest, prompt_tokens: int
    ):
        self._request = request
        self._id = request_id
        self._req = req
        self._prompt_tokens = prompt_tokens
        self._stream: AnswerStream | None = None
        self._started = False
        self._paused = False
        self._head = _chunk_head(request_id, req)
        sample = self._render(_TEXT_PLACEHOLDER, None, first=False).decode()
        self._before_text, _, self._after_text = sample.partition(json.dumps(_TEXT_PLACEHOLDER))

    def attach(self, stream: AnswerStream) -> None:
        """Set the stream to pause while the caller reads slowly."""
        self._stream = stream
        if self._paused:
            stream.pause()

    def pieces(self, pieces: list[Piece]) -> None:
        """Send the pieces of one chunk in a single write."""
        if self._request._disconnected:
            return
        if not self._started:
            self._start()
        self._request.write(b"".join(map(self._event, pieces)))

    def finish(self, outcome: Outcome, answer_tokens: int) -> defer.Deferred[None]:
        """End the response with its outcome; fires when its end needs no more of this process."""
        if self._request._disconnected:
            return defer.succeed(None)
        if not self._started:
            finish_outcome(self._request, self._id, outcome)
            return defer.succeed(None)
        self._request.unregisterProducer()
        note = {"outcome": outcome_name(outcome), "request_id": self._id}
        if isinstance(outcome, Completed):
            usage = _usage(self._prompt_tokens, answer_tokens)
            body = {**self._head, "choices": [], "usage": usage, "gladedrum": note}
            self._request.write(_sse(body) + _DONE)
        else:
            self._request.write(_sse({"error": _error(outcome), "gladedrum": note}))
        if self._ends_with_close:
            return finish_when_written(self._request)
        self._request.finish()
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Stop reading from the target, because the caller's send buffer is full."""
        self._paused = True
        if self._stream is not None:
            self._stream.pause()

    def resumeProducing(self) -> None:
        """Continue reading from the target."""
        self._paused = False
        if self._stream is not None:
            self._stream.resume()

    def stopProducing(self) -> None:
        """Do nothing; the disconnect cancels the run."""

    def _start(self) -> None:
        self._started = True
        self._request.setHeader(b"content-type", b"text/event-stream")
        self._request.setHeader(b"cache-control", b"no-store")
        self._request.setHeader(REQUEST_ID_HEADER, self._id.encode())
        self._request.registerProducer(self, True)
        if self._ends_with_close:
            # An early end has to show.
            set_reset_on_close(self._request.channel.transport, True)

    @property
    def _ends_with_close(self) -> bool:
        """Whether the stream ends with its connection: callers of HTTP/1.0 know no chunks."""
        return self._request.clientproto != b"HTTP/1.1"

    def _event(self, piece: Piece) -> bytes:
        """Return the event of a piece.

        All events between the first and the last differ only in the text, so they are built from a
        prepared prefix and suffix instead of being encoded as JSON each time.
        """
        text = encode_basestring_ascii(piece.text)
        if piece.offset > 0 and piece.finish_reason is None:
            return f"{self._before_text}{text}{self._after_text}".encode()
        return self._render(piece.text, piece.finish_reason, first=piece.offset == 0)

    def _render(self, text: str, finish_reason: str | None, first: bool) -> bytes:
        if self._req.kind == RequestKind.CHAT:
            delta = {"role": "assistant"} if first else {}
            choice: dict[str, Any] = {"index": 0, "delta": {**delta, "content": text}}
        else:
            choice = {"index": 0, "logprobs": None, "text": text}
        choice["finish_reason"] = finish_reason
        return _sse({**self._head, "choices": [choice]})


class BufferedSink:
    """Buffers the pieces and sends the answer in one response.

    The parameters are those of `StreamSink`.
    """

    def __init__(
        self, request: Request, request_id: str, req: CompletionRequest, prompt_tokens: int
    ):
        self._request = request
        self._id = request_id
        self._req = req
        self._prompt_tokens = prompt_tokens
        self._texts: list[str] = []
        self._finish_reason: str | None = None

    def attach(self, stream: AnswerStream) -> None:
        """Do nothing; a buffered answer needs no backpressure."""

    def pieces(self, pieces: list[Piece]) -> None:
        """Buffer the pieces of one chunk."""
        self._texts += [piece.text for piece in pieces]
        self._finish_reason = pieces[-1].finish_reason

    def finish(self, outcome: Outcome, answer_tokens: int) -> defer.Deferred[None]:
        """Send the response, which names its length."""
        if not isinstance(outcome, Completed):
            finish_outcome(self._request, self._id, outcome)
            return defer.succeed(None)
        text = "".join(self._texts)
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._finish_reason}
        if self._req.kind == RequestKind.CHAT:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
            choice["logprobs"] = None
        body = {
            "id": self._id,
            "object": self._req.kind,
            "created": int(time.time()),
            "model": self._req.model,
            "choices": [choice],
            "usage": _usage(self._prompt_tokens, answer_tokens),
        }
        _set_headers(self._request, self._id, outcome_name(outcome))
        finish_json(self._request, http_status(outcome), body)
        return defer.succeed(None)


def _set_headers(request: Request, request_id: str, outcome: str) -> None:
    request.setHeader(REQUEST_ID_HEADER, request_id.encode())
    request.setHeader(OUTCOME_HEADER, outcome.encode())


def _chunk_head(request_id: str, req: CompletionRequest) -> dict[str, Any]:
    return {
        "id": request_id,
        "object": _CHUNK_OBJECTS[req.kind],
        "created": int(time.time()),
        "model": req.model,
    }


def _usage(prompt_tokens: int, answer_tokens: int) -> dict[str, int]:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": answer_tokens,
        "total_tokens": prompt_tokens + answer_tokens,
    }


def _error(outcome: Outcome) -> dict[str, Any]:
    name = outcome_name(outcome)
    return {
        "message": getattr(outcome, "reason", ""),
        "type": _ERROR_TYPES.get(name, name),
        "param": None,
        "code": name,
    }


def _sse(body: object) -> bytes:
    return b"data: " + json.dumps(body, separators=(",", ":")).encode() + b"\n\n"
