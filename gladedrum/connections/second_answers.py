"""Finds a second answer inside the body of one that ends with its connection.

Targets in trouble may answer twice on a connection. Behind an answer that has neither a length nor
chunks, the second one looks like a part of the first one's body. It also shows that the end of the
first was not marked: only a close would have marked it.

Examples
--------
>>> finder = SecondAnswerFinder(frozenset({b"id-1"}))
>>> finder.feed(b"bodyHTTP/1.1 200 OK\\r\\n"), finder.is_found
(b'body', False)
>>> finder.feed(wire.REQUEST_ID + b": id-1\\r\\n"), finder.is_found
(b'', True)
"""

import re

from ..platform import wire

__all__ = ["MAX_HELD_BYTES", "SecondAnswerFinder"]

MAX_HELD_BYTES = 65_536
"""The most bytes that are held back, as long as the longest head of an answer that is read."""

_STATUS = re.compile(rb"HTTP/\d\.\d (\d)\d\d(?=[ \r\n])")
_NAME = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]{0,256}")


_PARTS = [rb"H", rb"T", rb"T", rb"P", rb"/", rb"\d", rb"\.", rb"\d", rb" ", rb"\d", rb"\d", rb"\d"]


def _any_beginning_of(parts: list[bytes]) -> bytes:
    """Return an expression for parts in a row, or for as many as come before the end."""
    pattern = rb"[ \r\n]"
    for part in reversed(parts):
        pattern = rb"%s(?:\Z|%s)" % (part, pattern)
    return pattern


_MAYBE_STATUS = re.compile(_any_beginning_of(_PARTS))


class SecondAnswerFinder:
    """Passes on a body up to the status line of a second answer.

    Bodies may quote heads of answers. One counts as a second answer's only if its lines name an id
    that the target was given for a request on this connection. From the beginning of what may be
    such a head, bytes are held back until it is decided; interim answers may come before it.

    Parameters
    ----------
    ids : frozenset of bytes or None
        The ids that a second answer may name; None for any, where the body can't quote a head.

    Attributes
    ----------
    is_found : bool
        Whether a second answer has begun; nothing is passed on then.
    """

    def __init__(self, ids: frozenset[bytes] | None):
        self._ids = ids
        self._held = bytearray()
        # Where the line begins that is not whole yet, and where the search for its end goes on.
        self._line_begin = self._searched = 0
        self._after_interim = self._is_interim = False
        self._in_head = False
        self.is_found = False

    @property
    def held_bytes(self) -> int:
        """The number of bytes that are held back."""
        return len(self._held)

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the body; return those that can be passed on."""
        if self.is_found:
            return b""
        self._held += data
        passed = bytearray()
        while self._held and not self.is_found:
            if not self._in_head and not self._find_status_line(passed):
                break
            if not self._read_lines(passed):
                break
        if len(self._held) > MAX_HELD_BYTES:
            self._release(len(self._held), passed)
        return bytes(passed)

    def end(self) -> bytes:
        """Return the rest of the body: its connection has closed."""
        if self._in_head and self._names_id(bytes(self._held[self._line_begin :]), is_cut=True):
            self._find()
        passed = bytearray()
        self._release(len(self._held), passed)
        return bytes(passed)

    def _find_status_line(self, passed: bytearray) -> bool:
        """Pass on what comes before a status line; return whether there may be one."""
        found = _MAYBE_STATUS.search(self._held)
        self._release(found.start() if found else len(self._held), passed)
        # With fewer bytes than a status has, only its beginning has matched.
        self._in_head = _STATUS.match(self._held) is not None
        return self._in_head

    def _read_lines(self, passed: bytearray) -> bool:
        """Read whole lines of a possible head; return whether to search for another one.

        Where it turns out to be none, no status line before the current line begins a head either,
        as the same lines would follow it.
        """
        while (end := self._held.find(b"\n", self._searched)) >= 0:
            line = bytes(self._held[self._line_begin : end + 1])
            if not self._accept(line):
                # The line may hold a status line itself, unless it is the blank one.
                self._release(self._line_begin if line.strip() else end + 1, passed)
                return True
            self._line_begin = self._searched = end + 1
            if self.is_found:
                return False
        self._searched = len(self._held)
        if not self._may_be_line():
            self._release(self._line_begin, passed)
            return True
        return False

    def _accept(self, line: bytes) -> bool:
        """Read a line of a possible head; return whether it may be a part of one."""
        statuses = _STATUS.findall(line)
        is_status_line = self._line_begin == 0 or self._after_interim
        if is_status_line and not _STATUS.match(line):
            return False
        if statuses:
            self._is_interim = statuses[-1] == b"1"
        if is_status_line:
            self._after_interim = False
            return True
        if line in (b"\r\n", b"\n"):
            self._after_interim = self._is_interim
            return self._is_interim
        if self._names_id(line):
            self._find()
            return True
        return line[:1] in b" \t" or _is_header(line)

    def _may_be_line(self) -> bool:
        """Whether the line that is not whole yet may be one of a head."""
        # Long enough for a name; the rest is looked at when the line is whole.
        begin = bytes(self._held[self._line_begin : self._line_begin + 258])
        if not begin or self._line_begin == 0:
            return True
        if self._after_interim:
            return _MAYBE_STATUS.match(begin) is not None
        return begin[:1] in b" \t\r" or _is_header(begin) or _NAME.fullmatch(begin) is not None

    def _names_id(self, line: bytes, is_cut: bool = False) -> bool:
        name, colon, value = line.partition(b":")
        if not colon or name.lower() != wire.REQUEST_ID:
            return False
        value = value.strip()
        if self._ids is None or value in self._ids:
            return True
        return is_cut and any(known.startswith(value) for known in self._ids)

    def _find(self) -> None:
        self.is_found = True
        self._held.clear()

    def _release(self, count: int, passed: bytearray) -> None:
        """Pass on the first bytes that are held; the others are searched again."""
        passed += self._held[:count]
        del self._held[:count]
        self._line_begin = self._searched = 0
        self._in_head = self._after_interim = self._is_interim = False


def _is_header(line: bytes) -> bool:
    """Whether a line, or its beginning, has the name of a header and a colon."""
    name = _NAME.match(line)
    return name.end() > 0 and line[name.end() : name.end() + 1] == b":"
