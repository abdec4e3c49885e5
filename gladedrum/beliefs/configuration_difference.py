"""Compact encoding of a configuration as the difference from an earlier version.

The encoding works on bytes, so that every box has the configuration exactly as the operator wrote
it. It is a compressed list of operations: the position and length of bytes to copy from the earlier
version, or bytes to insert. The difference from nothing is the whole configuration, compressed.
"""

import hashlib
import itertools
import re
import zlib
from collections.abc import Iterable, Iterator
from typing import Annotated, NamedTuple

import msgspec

__all__ = ["MAX_CONFIGURATION_BYTES", "apply_difference", "encode_difference"]

MAX_CONFIGURATION_BYTES = 4 * 2**20
"""Differences that expand beyond this are rejected; four times the largest value of the store."""

_DIGEST_BYTES = 8

_CHUNK = re.compile(rb"[^}]*}|[^}]+")
"""The end of an object ends a chunk, so most chunks recur when another object changes."""


_Size = Annotated[int, msgspec.Meta(ge=0)]


class _Copy(NamedTuple):
    """Copies `length` bytes of the earlier version from position `start`."""

    start: int
    length: int

    @property
    def end(self) -> int:
        return self.start + self.length


class _Encoded(msgspec.Struct, array_like=True):
    """The operations, and a digest of their result."""

    operations: list[tuple[_Size, _Size] | bytes]
    digest: bytes


def encode_difference(old: bytes, new: bytes) -> bytes:
    """Return the difference from `old` to `new`.

    Examples
    --------
    >>> old, new = b'[{"a": 1}, {"b": 2}]', b'[{"a": 1}, {"b": 3}]'
    >>> apply_difference(old, encode_difference(old, new)) == new
    True
    """
    operations = [new] if not old else list(_merge(_operations(old, new)))
    return zlib.compress(msgspec.msgpack.encode(_Encoded(operations, _digest(new))))


def apply_difference(old: bytes, difference: bytes) -> bytes:
    """Return the version to which `difference` leads from `old`.

    Raises
    ------
    ValueError
        If the difference is malformed, too large, or from another version than `old`.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(difference, MAX_CONFIGURATION_BYTES)
        encoded = msgspec.msgpack.decode(raw, type=_Encoded)
    except (zlib.error, msgspec.DecodeError) as exc:
        raise ValueError(f"malformed difference of configurations: {exc}") from exc
    sizes = (op[1] if isinstance(op, tuple) else len(op) for op in encoded.operations)
    if sum(sizes) > MAX_CONFIGURATION_BYTES:
        raise ValueError("the difference of configurations expands to too many bytes")
    new = b"".join(_expand(old, encoded.operations))
    if _digest(new) != encoded.digest:
        raise ValueError("the difference is from another version of the configuration")
    return new


def _expand(old: bytes, operations: Iterable[tuple[int, int] | bytes]) -> Iterator[bytes]:
    for operation in operations:
        match operation:
            case (start, length):
                yield old[start : start + length]
            case _:
                yield operation


def _operations(old: bytes, new: bytes) -> Iterator[_Copy | bytes]:
    """Yield one operation for each chunk of `new`."""
    position_of = {match.group(): match.start() for match in _CHUNK.finditer(old)}
    end = 0
    for match in _CHUNK.finditer(new):
        chunk = match.group()
        # Where chunks recur, the one after the last copied one merges with it.
        start = end if old.startswith(chunk, end) else position_of.get(chunk)
        if start is None:
            yield chunk
        else:
            end = start + len(chunk)
            yield _Copy(start, len(chunk))


def _merge(operations: Iterable[_Copy | bytes]) -> Iterator[_Copy | bytes]:
    """Merge adjacent operations."""
    for kind, group in itertools.groupby(operations, type):
        if kind is bytes:
            yield b"".join(group)
        else:
            yield from _merge_copies(group)


def _merge_copies(copies: Iterable[_Copy]) -> Iterator[_Copy]:
    copies = iter(copies)
    last = next(copies)
    for copy in copies:
        if copy.start == last.end:
            last = _Copy(last.start, last.length + copy.length)
        else:
            yield last
            last = copy
    yield last


def _digest(raw: bytes) -> bytes:
    return hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).digest()
