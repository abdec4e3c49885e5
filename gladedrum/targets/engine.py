"""A client of one model engine."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, NamedTuple

import treq
from twisted.web.iweb import IResponse

from ..errors import TargetBrokenError, TargetRefusedError, TargetUnreachableError
from ..utils import JsonReply, LostAnswerError, NotSentError, WebClient
from .stream import AnswerStream, Piece

__all__ = ["Cancelled", "EngineClient", "EngineLoad", "EngineRequest", "EngineSession"]

_CONTROL_TIMEOUT_S = 2.0


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
    """

    session_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    owner: str = ""
    offset: int = 0
    traceparent: str = ""


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
        on_piece: Callable[[Piece], None],
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
        body = {
            "model": req.model,
            "prompt": req.prompt,
            "max_tokens": req.max_tokens,
            "stream": True,
            "priority": req.priority,
            "session": {"id": req.session_id, "owner": req.owner, "offset": req.offset},
        }
        headers = {"traceparent": req.traceparent} if req.traceparent else {}
        url = self._url + "/v1/completions"
        response = await self._send("POST", url, body, headers, timeout_s)
        stream = AnswerStream(req.session_id, req.offset, on_piece, on_dropped)
        return await self._deliver(response, stream)

    async def resume(
        self,
        session_id: str,
        offset: int,
        on_piece: Callable[[Piece], None],
        on_dropped: Callable[[str], None],
        timeout_s: float,
    ) -> AnswerStream:
        """Return the stream of a session that is already there, from `offset` on.

        Raises as `open` does; nothing is started anew.
        """
        url = f"{self._url}/sessions/{session_id}/stream?offset={offset}"
        response = await self._send("GET", url, None, {}, timeout_s)
        return await self._deliver(response, AnswerStream(session_id, offset, on_piece, on_dropped))

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

    async def _send(
        self, method: str, url: str, body: object, headers: dict[str, str], timeout_s: float
    ) -> IResponse:
        try:
            return await self._web.send(method, url, body, headers, timeout_s)
        except NotSentError as exc:
            raise TargetUnreachableError(str(exc)) from exc
        except LostAnswerError as exc:
            raise TargetBrokenError(str(exc)) from exc

    async def _deliver(self, response: IResponse, stream: AnswerStream) -> AnswerStream:
        if response.code == HTTPStatus.OK:
            response.deliverBody(stream)
            return stream
        try:
            refusal = await treq.json_content(response)
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
