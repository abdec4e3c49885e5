"""The answer to one request, as it goes out to its caller over all tries."""

from ..connections.caller_conn import CallerConnection
from ..connections.events import Event
from ..connections.messages import AnswerHead, CallerRequest
from ..outcome import Failed, NotRun, Outcome, Unknown, http_status
from ..platform.heads import answer_headers, caller_marks, refusal_headers

__all__ = ["CallerAnswer", "request_id_of"]


class CallerAnswer:
    """Writes at most one answer to the caller, whatever the tries do.

    Parameters
    ----------
    req : CallerRequest
        The request.
    conn : CallerConnection
        Where the answer goes.

    Attributes
    ----------
    begun : bool
        Whether the head has gone out.
    last_event_id : bytes or None
        The id of the last event of a stream that has gone out.
    """

    def __init__(self, req: CallerRequest, conn: CallerConnection):
        self._req = req
        self._conn = conn
        self.begun = False
        self.last_event_id: bytes | None = None

    # A target's answer.

    def begin(self, head: AnswerHead) -> None:
        """Send the head of a target's answer, unless one has gone out."""
        if not self.begun:
            self.begun = True
            self._conn.send_head(head.status, answer_headers(head.headers))

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self._conn.send_data(data)

    def send_event(self, event: Event) -> None:
        """Send an event of a stream and note its id."""
        self._conn.send_data(event.raw)
        self.last_event_id = event.event_id or self.last_event_id

    def end(self) -> None:
        """Complete the answer."""
        self._conn.end_answer()

    # Answers of the box's own.

    def refuse(self, outcome: NotRun | Failed) -> Outcome:
        """Answer that the request has not run; return the outcome."""
        retry_after_s = outcome.retry_after_s if isinstance(outcome, NotRun) else None
        self._answer(http_status(outcome), outcome.reason, retry_after_s)
        return outcome

    def fail(self, outcome: Unknown) -> Outcome:
        """Answer that the request may have run, or break a begun answer off; return the outcome."""
        if self.begun:
            self._conn.abort_answer()
        else:
            self._answer(http_status(outcome), outcome.reason, None)
        return outcome

    def _answer(self, status: int, reason: str, retry_after_s: float | None) -> None:
        text = reason.encode("latin-1", "replace")
        headers = refusal_headers(request_id_of(self._req), retry_after_s)
        headers.append((b"content-length", b"%d" % len(text)))
        self.begun = True
        self._conn.send_head(status, headers)
        self._conn.send_data(text)
        self._conn.end_answer()


def request_id_of(req: CallerRequest) -> str:
    """Return the id that a caller gave its request; empty if it gave none."""
    return caller_marks(req.headers).request_id
