"""Framing of the bytes that a carrier copies from a target to the box that asked for a tunnel.

A frame is its length, as four bytes in network order, and that many bytes; a frame of length 0
states that the target has closed its connection in an orderly way. The kernel of a process that is
killed closes connections in the same way, so without this frame a tunnel was cut.
"""

import struct
from collections.abc import Iterator

__all__ = ["END_FRAME", "MAX_FRAME_BYTES", "FrameDecoder", "frame_header"]

_LENGTH = struct.Struct("!I")

END_FRAME = _LENGTH.pack(0)
"""The last frame of a tunnel whose target has closed its connection in an orderly way."""


MAX_FRAME_BYTES = 65_536 - _LENGTH.size
"""Most bytes of the target in one frame: with its length, as many as a box reads at once. A larger
frame takes a second read for its last few bytes."""


def frame_header(length: int) -> bytes:
    """Return what precedes a frame's bytes; `length` is their number, at least 1."""
    return _LENGTH.pack(length)


class FrameDecoder:
    """Extracts the bytes of frames as they come; whole frames are not awaited.

    Attributes
    ----------
    ended : bool
        Whether the end frame has come; later bytes are ignored.

    Examples
    --------
    >>> decoder = FrameDecoder()
    >>> list(decoder.feed(frame_header(5) + b"by")), list(decoder.feed(b"tes" + END_FRAME))
    ([b'by'], [b'tes'])
    >>> decoder.ended
    True
    """

    def __init__(self) -> None:
        self._header = b""
        self._left = 0
        self.ended = False

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the parts of frames that `data` holds."""
        position = 0
        while position < len(data) and not self.ended:
            if self._left:
                part = data[position : position + self._left]
                self._left -= len(part)
                position += len(part)
                yield part
                continue
            missing = _LENGTH.size - len(self._header)
            self._header += data[position : position + missing]
            position += missing
            if len(self._header) == _LENGTH.size:
                (self._left,) = _LENGTH.unpack(self._header)
                self._header = b""
                self.ended = not self._left
