"""HTTP client that sends completions to a box and records the result."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ..utils import LostAnswerError, NotSentError, WebClient

__all__ = ["CallRecord", "Caller"]

_DATA_PREFIX = b"data: "


class CallRecord(NamedTuple):
    """The result of one request as its caller sees it.

    Parameters
    ----------
    first_token_s : float or None
        Time to first token, in seconds; None if the answer has no token.
    total_s : float
        Time until the answer ends, in seconds.
    outcome : str
        The outcome that the answer reports; ``unknown`` if it reports none.
    answer_tokens : int
        Number of tokens received.
    text : str
        Text of the answer.
    retry_after_s : float or None
        Delay from the ``retry-after`` header, in seconds.
    reason : str
        Error message from the answer or the connection; empty if there is none.
    """

    first_token_s: float | None
    total_s: float
    outcome: str
    answer_tokens: int = 0
    text: str = ""
    retry_after_s: float | None = None
    reason: str = ""


class Caller:
    """Sends completion requests and records their results.

    Parameters
    ----------
    url : str
        Base URL of a box's interface for callers.
    web : WebClient
        HTTP client that sends the requests.
    clock : IReactorTime
        Source of time.
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
        """Stream a completion and return its record; a failed request does not raise."""
        start_s = self._clock.seconds()
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
        try:
            response = await self._web.send("POST", self._url, body, headers, timeout_s)
        except NotSentError as exc:
            return CallRecord(None, self._clock.seconds() - start_s, "not-run", reason=str(exc))
        except LostAnswerError as exc:
            return CallRecord(None, self._clock.seconds() - start_s, "unknown", reason=str(exc))
        reader = _AnswerReader(self._clock)
        response.deliverBody(reader)
        await reader.ended
        total_s = self._clock.seconds() - start_s
        outcome = response.headers.getRawHeaders("gladedrum-outcome", [reader.outcome])[0]
        retry_after = response.headers.getRawHeaders("retry-after", [None])[0]
        first_s = None if reader.first_s is None else reader.first_s - start_s
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
    """Parses a streamed answer, or the JSON body of a refusal."""

    def __init__(self, clock: IReactorTime):
        self.ended: defer.Deferred[None] = defer.Deferred()
        self.first_s: float | None = None
        self.texts: list[str] = []
        self.outcome = "unknown"
        self.reason = ""
        self._clock = clock
        self._buffer = b""

    def dataReceived(self, data: bytes) -> None:
        """Parse the complete events received so far."""
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            if event.startswith(_DATA_PREFIX + b"{"):
                self._read_body(json.loads(event[len(_DATA_PREFIX) :]))

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Parse a remaining JSON body and fire `ended`; a cut one leaves what is known as it is."""
        try:
            if self._buffer.startswith(b"{"):
                self._read_body(json.loads(self._buffer))
        except ValueError:
            self.reason = f"the answer is cut: {reason.getErrorMessage()}"
        if self.outcome == "unknown" and not self.reason:
            self.reason = f"no outcome before the end: {reason.getErrorMessage()}"
        if not self.ended.called:
            self.ended.callback(None)

    def _read_body(self, body: dict[str, Any]) -> None:
        self.outcome = body.get("gladedrum", {}).get("outcome", self.outcome)
        self.reason = body.get("error", {}).get("message", self.reason)
        for choice in body.get("choices", []):
            if self.first_s is None:
                self.first_s = self._clock.seconds()
            self.texts.append(choice["text"])
