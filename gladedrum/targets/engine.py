"""HTTP client for one model engine.

A session runs one attempt of a request, or of one segment of it, on an engine. A long prompt is
split into segments, which sessions on different engines prefill.
"""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, NamedTuple, TypeVar

from twisted.internet import defer
from twisted.web.iweb import IResponse

from ..errors import TargetBrokenError, TargetRefusedError, TargetUnreachableError
from ..utils import JsonReply, LostAnswerError, NotSentError, WebClient
from .held import HeldStream
from .stream import AnswerStream, Piece

__all__ = [
    "CancelResult",
    "EngineClient",
    "EngineLoad",
    "EngineRequest",
    "EngineSession",
    "SegmentLocation",
]

_CONTROL_TIMEOUT_S = 2.0

StreamT = TypeVar("StreamT", AnswerStream, HeldStream)


class SegmentLocation(NamedTuple):
    """The engine and session that hold a segment of a prompt."""

    url: str
    session_id: str


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """A request to an engine.

    Parameters
    ----------
    session_id : str
        Unique for each attempt of each request.
    model : str
        Name of the model.
    prompt : str
        The prompt, or one segment of a long prompt.
    max_tokens : int
        Maximum number of answer tokens.
    priority : int
        Scheduling priority; lower runs first.
    owner : str
        Name of the box that waits for the answer. The engine keeps it as a label.
    offset : int
        Offset of the first answer token to send.
    traceparent : str
        W3C trace context; empty for none.
    start_tokens : int
        Position of a segment in the whole prompt, in tokens.
    context : tuple of SegmentLocation
        Locations of the earlier segments, in order.
    """

    session_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    owner: str = ""
    offset: int = 0
    traceparent: str = ""
    start_tokens: int = 0
    context: tuple[SegmentLocation, ...] = ()


class EngineLoad(NamedTuple):
    """Load as reported by an engine; may be stale or wrong."""

    free_tokens: int
    memory_tokens: int
    sessions: int
    queued_prefill_tokens: int
    models: tuple[str, ...]


class EngineSession(NamedTuple):
    """A session in an engine's list."""

    session_id: str
    owner: str
    memory_tokens: int
    running: bool


class CancelResult(NamedTuple):
    """An engine's response to the cancellation of a session.

    Parameters
    ----------
    found : bool
        True if the session existed and has been cancelled.
    started : bool
        False if the engine confirms that it never started the session.
    """

    found: bool
    started: bool


class EngineClient:
    """Client for one engine.

    Parameters
    ----------
    url : str
        Base URL of the engine.
    web : WebClient
        HTTP client.
    """

    def __init__(self, url: str, web: WebClient):
        self._url = url.rstrip("/")
        self._web = web

    async def open(
        self,
        req: EngineRequest,
        on_pieces: Callable[[list[Piece]], None],
        on_dropped: Callable[[str], None],
        timeout_s: float,
    ) -> AnswerStream:
        """Start a session and return the stream of its answer.

        Raises
        ------
        TargetUnreachableError
            If no byte of the request reached the engine.
        TargetRefusedError
            If the engine confirms that it did not start the request.
        TargetBrokenError
            If the engine may have started it, but no stream was received.
        """
        response = await self._start(req, hold=False, timeout_s=timeout_s)
        stream = AnswerStream(req.session_id, req.offset, on_pieces, on_dropped)
        return await self._deliver(response, stream)

    async def hold(self, req: EngineRequest, timeout_s: float) -> HeldStream:
        """Prefill a segment and hold it for other engines; raises the same errors as `open`."""
        response = await self._start(req, hold=True, timeout_s=timeout_s)
        return await self._deliver(response, HeldStream(req.session_id))

    async def resume(
        self,
        session_id: str,
        offset: int,
        on_pieces: Callable[[list[Piece]], None],
        on_dropped: Callable[[str], None],
        timeout_s: float,
    ) -> AnswerStream:
        """Return the stream of an existing session from `offset` on, without starting a new one.

        Raises the same errors as `open`.
        """
        url = f"{self._url}/sessions/{session_id}/stream?offset={offset}"
        response = await self._send("GET", url, None, {}, timeout_s)
        return await self._deliver(
            response, AnswerStream(session_id, offset, on_pieces, on_dropped)
        )

    async def cancel(self, session_id: str) -> CancelResult:
        """Cancel a session.

        Raises
        ------
        TargetUnreachableError, TargetBrokenError
            If no valid response was received.
        """
        reply = await self._control("DELETE", f"/sessions/{session_id}")
        return CancelResult(bool(reply.get("cancelled")), bool(reply.get("started", True)))

    async def load(self) -> EngineLoad:
        """Return the engine's reported load; raises the same errors as `cancel`."""
        reply = await self._control("GET", "/load")
        try:
            return EngineLoad(
                int(reply["free_tokens"]),
                int(reply["memory_tokens"]),
                int(reply["sessions"]),
                int(reply["queued_prefill_tokens"]),
                tuple(reply.get("models", ())),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise TargetBrokenError(f"{self._url}/load: invalid response: {exc!r}") from exc

    async def sessions(self) -> list[EngineSession]:
        """Return the engine's sessions; raises the same errors as `cancel`."""
        reply = await self._control("GET", "/sessions")
        try:
            return [
                EngineSession(r["id"], r.get("owner", ""), int(r["memory_tokens"]), r["running"])
                for r in reply["sessions"]
            ]
        except (KeyError, TypeError, ValueError) as exc:
            raise TargetBrokenError(f"{self._url}/sessions: invalid response: {exc!r}") from exc

    async def _start(self, req: EngineRequest, hold: bool, timeout_s: float) -> IResponse:
        session = {
            "id": req.session_id,
            "owner": req.owner,
            "offset": req.offset,
            "start": req.start_tokens,
            "hold": hold,
        }
        body = {
            "model": req.model,
            "prompt": req.prompt,
            "max_tokens": req.max_tokens,
            "stream": True,
            "priority": req.priority,
            "session": session,
            "context": [location._asdict() for location in req.context],
        }
        headers = {"traceparent": req.traceparent} if req.traceparent else {}
        return await self._send("POST", self._url + "/v1/completions", body, headers, timeout_s)

    async def _send(
        self, method: str, url: str, body: object, headers: dict[str, str], timeout_s: float
    ) -> IResponse:
        try:
            return await self._web.send(method, url, body, headers, timeout_s)
        except NotSentError as exc:
            raise TargetUnreachableError(str(exc)) from exc
        except LostAnswerError as exc:
            raise TargetBrokenError(str(exc)) from exc

    async def _deliver(self, response: IResponse, stream: StreamT) -> StreamT:
        if response.code == HTTPStatus.OK:
            response.deliverBody(stream)
            return stream
        try:
            refusal = await self._web.read_json(response, _CONTROL_TIMEOUT_S)
        except defer.CancelledError:
            raise
        except Exception as exc:
            raise TargetBrokenError(f"status {response.code} without a reason: {exc!r}") from exc
        message = f"status {response.code}: {refusal.get('error', '')}"
        if refusal.get("started", True):
            raise TargetBrokenError(message)
        raise TargetRefusedError(message, response.code)

    async def _control(self, method: str, path: str) -> dict[str, Any]:
        url = self._url + path
        try:
            reply: JsonReply = await self._web.call_json(method, url, None, _CONTROL_TIMEOUT_S)
        except NotSentError as exc:
            raise TargetUnreachableError(str(exc)) from exc
        except LostAnswerError as exc:
            raise TargetBrokenError(str(exc)) from exc
        if reply.status != HTTPStatus.OK or not isinstance(reply.body, dict):
            raise TargetBrokenError(f"{url}: status {reply.status}")
        return reply.body
