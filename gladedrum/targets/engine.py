"""A client of one model engine."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, NamedTuple, TypeVar

import treq
from twisted.internet import defer
from twisted.web.iweb import IResponse

from ..errors import TargetBrokenError, TargetRefusedError, TargetUnreachableError
from ..utils import JsonReply, LostAnswerError, NotSentError, WebClient
from .held import HeldStream
from .stream import AnswerStream, Piece

__all__ = [
    "Cancelled",
    "EngineClient",
    "EngineLoad",
    "EngineRequest",
    "EngineSession",
    "SegmentPlace",
]

_CONTROL_TIMEOUT_S = 2.0

S = TypeVar("S", AnswerStream, HeldStream)


class SegmentPlace(NamedTuple):
    """Where a segment of a prompt is held."""

    url: str
    session_id: str


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """What an engine is asked to do.

    Parameters
    ----------
    session_id : str
        Unique for each try of each request.
    model : str
        The model.
    prompt : str
        The whole prompt.
    max_tokens : int
        The most answer tokens.
    priority : int
        Lower goes first.
    owner : str
        The box that waits for the answer, kept by the engine as a label.
    offset : int
        The first answer token that is wanted.
    traceparent : str
        The trace that the request belongs to; empty for none.
    start_tokens : int
        Where the prompt starts in a longer one, if it is a segment.
    context : tuple of SegmentPlace
        Where the earlier segments are held, in order.
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
    context: tuple[SegmentPlace, ...] = ()


class EngineLoad(NamedTuple):
    """An engine's report of its load, some time old and not always true."""

    free_tokens: int
    memory_tokens: int
    sessions: int
    queued_prefill_tokens: int
    models: tuple[str, ...]


class EngineSession(NamedTuple):
    """A session as an engine lists it."""

    session_id: str
    owner: str
    memory_tokens: int
    running: bool


class Cancelled(NamedTuple):
    """What an engine says of a cancelled session.

    Parameters
    ----------
    found : bool
        True if the session was there and is gone now.
    started : bool
        True if the engine ever took such a session in; False is its word that it did not.
    """

    found: bool
    started: bool


class EngineClient:
    """Calls to one engine.

    Parameters
    ----------
    url : str
        Its base URL.
    web : WebClient
        Makes the calls.
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
            If the engine vouches that it did not start the request.
        TargetBrokenError
            If the engine may have started it, but no stream came.
        """
        response = await self._start(req, hold=False, timeout_s=timeout_s)
        stream = AnswerStream(req.session_id, req.offset, on_pieces, on_dropped)
        return await self._deliver(response, stream)

    async def hold(self, req: EngineRequest, timeout_s: float) -> HeldStream:
        """Prefill a segment and keep it for other engines to read; raises as `open` does."""
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
        """Return the stream of a session that is already there, from `offset` on.

        Raises as `open` does; nothing is started anew.
        """
        url = f"{self._url}/sessions/{session_id}/stream?offset={offset}"
        response = await self._send("GET", url, None, {}, timeout_s)
        return await self._deliver(
            response, AnswerStream(session_id, offset, on_pieces, on_dropped)
        )

    async def cancel(self, session_id: str) -> Cancelled:
        """Cancel a session and return what the engine says of it.

        Raises
        ------
        TargetUnreachableError, TargetBrokenError
            If no answer came.
        """
        reply = await self._control("DELETE", f"/sessions/{session_id}")
        return Cancelled(bool(reply.get("cancelled")), bool(reply.get("started", True)))

    async def load(self) -> EngineLoad:
        """Return the engine's report of its load; raises as `cancel` does."""
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
            raise TargetBrokenError(f"{self._url}/load makes no sense: {exc!r}") from exc

    async def sessions(self) -> list[EngineSession]:
        """Return the sessions that the engine holds; raises as `cancel` does."""
        reply = await self._control("GET", "/sessions")
        try:
            return [
                EngineSession(r["id"], r.get("owner", ""), int(r["memory_tokens"]), r["running"])
                for r in reply["sessions"]
            ]
        except (KeyError, TypeError, ValueError) as exc:
            raise TargetBrokenError(f"{self._url}/sessions makes no sense: {exc!r}") from exc

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
            "context": [place._asdict() for place in req.context],
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

    async def _deliver(self, response: IResponse, stream: S) -> S:
        if response.code == HTTPStatus.OK:
            response.deliverBody(stream)
            return stream
        try:
            refusal = await treq.json_content(response)
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
