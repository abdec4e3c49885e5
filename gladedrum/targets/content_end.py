"""What the content of an answer shows of its end, where no length and no chunks mark it."""

import codecs
import enum

from ..connections.events import EventSplitter
from ..connections.self_delimiting import shown_by_content

__all__ = ["ContentEnd", "content_end"]

_DONE = b"[DONE]"


class ContentEnd(enum.Enum):
    """What a content shows of its end."""

    SHOWN = enum.auto()
    CUT = enum.auto()
    NOT_SHOWN = enum.auto()


def content_end(content_type: str, content: bytes) -> ContentEnd:
    """Return what a content shows of its end.

    JSON ends with the bracket or the quotation mark that closes it; only a number can go on. A
    stream of events in the format of the OpenAI API ends with ``[DONE]``; other streams of events
    show only that they are cut, if they end within an event. Any other content shows nothing.

    Parameters
    ----------
    content_type : str
        The media type, with its parameters.
    content : bytes
        The content, of at least one byte.

    Examples
    --------
    >>> content_end("application/json", b'{"a": [1]}')
    <ContentEnd.SHOWN: 1>
    >>> content_end("application/problem+json; charset=utf-8", b'{"a": [1')
    <ContentEnd.CUT: 2>
    >>> content_end("application/json", b"12")
    <ContentEnd.NOT_SHOWN: 3>
    >>> content_end("text/event-stream", b"data: a\\n\\ndata: [DONE]\\n\\n")
    <ContentEnd.SHOWN: 1>
    """
    if content_type.partition(";")[0].strip().lower() == "text/event-stream":
        return _stream_end(content)
    headers = [(b"content-type", content_type.encode("latin-1", "replace"))]
    match shown_by_content(headers, content.removeprefix(codecs.BOM_UTF8)):
        case True:
            return ContentEnd.SHOWN
        case False:
            return ContentEnd.CUT
        case None:
            return ContentEnd.NOT_SHOWN


def _stream_end(content: bytes) -> ContentEnd:
    splitter = EventSplitter()
    events = splitter.feed(content)
    if splitter.remainder.strip():
        return ContentEnd.CUT
    field, _, value = events[-1].raw.strip().partition(b":") if events else (b"", b"", b"")
    is_done = field == b"data" and value.strip() == _DONE
    return ContentEnd.SHOWN if is_done else ContentEnd.NOT_SHOWN
