"""The answer to one request, as sent to its caller by whichever attempt delivers it."""

from ..connections.caller_conn import CallerConnection
from ..connections.events import Event, StreamPosition
from ..connections.messages import AnswerHead, CallerRequest, EndMark
from ..outcome import Failed, NotRun, Outcome, Unknown, http_status
from ..platform.headers import answer_headers, parse_caller_headers, refusal_headers

__all__ = ["CallerAnswer", "request_id_of"]


class CallerAnswer:
    """Writes at most one answer to the caller, whatever the number of attempts.

    Parameters
    ----------
    req : CallerRequest
        The request.
    conn : CallerConnection
        The caller's connection.

    Attributes
    ----------
    begun : bool
        Whether the head was sent.
    position : StreamPosition
        How far a stream has been sent.
    unmarked_end : StreamPosition or None
        Where the last run has ended the stream that sent its last event but no mark, None without
        one.
    unmarked_body_bytes : int or None
        The length of the last body of a plain answer that has ended without a mark, in bytes.
    """

    def __init__(self, req: CallerRequest, conn: CallerConnection):
        self._req = req
        self._conn = conn
        self.begun = False
        self.position = StreamPosition()
        self.unmarked_end: StreamPosition | None = None
        self.unmarked_body_bytes: int | None = None
        self._unshown_end: StreamPosition | None = None
        self._sized_head: AnswerHead | None = None
        self._event_id_before: bytes | None = None
        self._partials: dict[int, int] = {}

    # Answers of targets.

    def begin(self, head: AnswerHead) -> None:
        """Send the head of a target's answer, unless a head was sent before.

        An answer that ends with the target's connection also ends with the caller's: its end is
        marked no better than the target has marked it.
        """
        if not self.begun:
            self.begun = True
            headers = answer_headers(head.headers)
            if self.position.event_id is not None:
                # The target repeats what the caller has, so its length is not that of the answer.
                headers = [row for row in headers if row[0].lower() != b"content-length"]
            if any(name.lower() == b"content-length" for name, _value in headers):
                self._sized_head = head
            self._conn.send_head(head.status, headers, head.mark is EndMark.CLOSE)

    def takes_comments_of(self, head: AnswerHead) -> bool:
        """Whether comments of a run may be sent: those of another one don't count in a length."""
        return self._sized_head is None or head is self._sized_head

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self._conn.send_data(data)

    def send_events(self, events: list[Event]) -> None:
        """Send the next events of a stream."""
        self._conn.send_data(b"".join(event.raw for event in events))
        for event in events:
            if event.event_id:
                self._event_id_before = self.position.event_id
            self.position = self.position.after(event)

    @property
    def resume_id(self) -> bytes | None:
        """The id of the event after which a further run goes on, None to begin as the caller asked.

        To show that an unmarked end is that of the stream, the run has to repeat the last event: a
        run that breaks off before its first event looks like one that has nothing to add.
        """
        if self._unshown_end == self.position:
            return self._event_id_before
        return self.position.event_id

    def note_unmarked_end(self, has_sent_end: bool) -> None:
        """Record that a run has ended without a mark where the caller's stream ends now.

        Only one that `has_sent_end`, the last event itself, claims that the stream ends there.
        """
        if self.position == StreamPosition():
            self._note_resumption_by_caller()
            has_sent_end = True
        self._unshown_end = self.position
        if has_sent_end:
            self.unmarked_end = self.position

    def _note_resumption_by_caller(self) -> None:
        """Count the event after which the caller resumes as sent, by the one of its choice."""
        asked = parse_caller_headers(self._req.headers).last_event_id or b""
        if asked.isdigit() and int(asked) > 0:
            self.position, self._event_id_before = StreamPosition(asked), b"%d" % (int(asked) - 1)

    def note_partial(self, attempt: int, size: int) -> None:
        """Count the bytes of an attempt's answer that are held back until a part is whole."""
        if self._partials.get(attempt, 0) != size:
            self._partials[attempt] = size
            self._conn.set_partial(sum(self._partials.values()))

    def set_worth(self, worth: float, due_s: float) -> None:
        """Set what the caller loses if the answer is dropped, and when it is late."""
        self._conn.set_worth(worth, due_s)

    def end(self) -> None:
        """Complete the answer."""
        self._conn.end_answer()

    # Answers of this box.

    def refuse(self, outcome: NotRun | Failed) -> Outcome:
        """Answer that the request was not run or is invalid; return the outcome."""
        retry_after_s = outcome.retry_after_s if isinstance(outcome, NotRun) else None
        self._answer(http_status(outcome), outcome.reason, retry_after_s)
        return outcome

    def fail(self, outcome: Unknown) -> Outcome:
        """Answer that the request may have run, or abort a begun answer; return the outcome."""
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
    """Return the id that the caller gave its request, empty if there is none."""
    return parse_caller_headers(req.headers).request_id
