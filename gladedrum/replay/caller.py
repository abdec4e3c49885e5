"""A caller of the serving layer, as a client program would be."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ..utils import LostAnswerError, NotSentError, WebClient

__all__ = ["CallRecord", "Caller"]

_DATA = b"data: "


class CallRecord(NamedTuple):
    """What a caller saw of one request.

    Parameters
    ----------
    first_token_s : float or None
        Time to first token, in seconds; None if none came.
    total_s : float
        Time to the end of the answer, in seconds.
    outcome : str
        The outcome as the answer told it; ``unknown`` if it told none.
    answer_tokens : int
        The number of tokens that came.
    text : str
        The answer.
    retry_after_s : float or None
        When the answer said to come back.
    reason : str
        What the answer gave as the reason, empty if it is whole.
    """

    first_token_s: float | None
    total_s: float
    outcome: str
    answer_tokens: int = 0
    text: str = ""
    retry_after_s: float | None = None
    reason: str = ""


class Caller:
    """Sends completions and notes what comes back.

    Parameters
    ----------
    url : str
        Base URL of the callers' interface.
    web : WebClient
        Makes the calls.
    clock : IReactorTime
        Measures times.
    """

    def __init__(self, url: str, web: WebClient, clock: IReactorTime):
        self._url = url.rstrip("/") + "/v1/completions"
        self._web = web
        self._clock = clock

    async def complete(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> CallRecord:
        """Stream a completion and return the record of it; never raises for its failure."""
        began_s = self._clock.seconds()
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
        try:
            response = await self._web.send("POST", self._url, body, headers, timeout_s)
        except NotSentError as exc:
            return CallRecord(None, self._clock.seconds() - began_s, "not-run", reason=str(exc))
        except LostAnswerError as exc:
            return CallRecord(None, self._clock.seconds() - began_s, "unknown", reason=str(exc))
        reader = _AnswerReader(self._clock)
        response.deliverBody(reader)
        await reader.ended
        total_s = self._clock.seconds() - began_s
        outcome = response.headers.getRawHeaders("gladedrum-outcome", [reader.outcome])[0]
        retry_after = response.headers.getRawHeaders("retry-after", [None])[0]
        first_s = None if reader.first_s is None else reader.first_s - began_s
        return CallRecord(
            first_s,
            total_s,
            outcome,
            len(reader.texts),
            "".join(reader.texts),
            None if retry_after is None else float(retry_after),
            reader.reason,
        )


class _AnswerReader(Protocol):
    """Reads a streamed answer, or the JSON body of a refusal."""

    def __init__(self, clock: IReactorTime):
        self.ended: defer.Deferred[None] = defer.Deferred()
        self.first_s: float | None = None
        self.texts: list[str] = []
        self.outcome = "unknown"
        self.reason = ""
        self._clock = clock
        self._buffer = b""

    def dataReceived(self, data: bytes) -> None:
        """Split what came into events."""
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            if event.startswith(_DATA + b"{"):
                self._take(json.loads(event[len(_DATA) :]))

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """End the record."""
        if self._buffer.startswith(b"{"):
            self._take(json.loads(self._buffer))
        if not self.ended.called:
            self.ended.callback(None)

    def _take(self, body: dict[str, Any]) -> None:
        self.outcome = body.get("gladedrum", {}).get("outcome", self.outcome)
        self.reason = body.get("error", {}).get("message", self.reason)
        for choice in body.get("choices", []):
            if self.first_s is None:
                self.first_s = self._clock.seconds()
            self.texts.append(choice["text"])
