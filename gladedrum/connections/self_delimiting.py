"""Bodies that show by themselves whether they are whole, when nothing marks their end.

Two kinds do, without any guess: JSON texts (RFC 8259), whose brackets and quotes close, and bodies
with a digest in ``Content-Digest`` (RFC 9530). White space behind a JSON text, which means nothing,
may be missing in one that is whole.
"""

import base64
import binascii
import hashlib
import re

import msgspec

__all__ = ["shown_by_content"]

_DIGEST = re.compile(rb"(?:^|,)\s*(sha-256|sha-512)=:([A-Za-z0-9+/=]*):")

_CHARSET = re.compile(rb";\s*charset\s*=\s*\"?([^\";\s]*)", re.IGNORECASE)

_NUMBER_BEGINS = b"-0123456789"


def shown_by_content(headers: list[tuple[bytes, bytes]], body: bytes) -> bool | None:
    """Return whether a body is whole, as far as it shows that by itself.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        The headers of the answer; names in lower case.
    body : bytes
        All that has come of the body.

    Returns
    -------
    bool or None
        True if the body is whole and False if it is cut; None if the content shows neither, as for
        a number, whose last digits may be missing, and for what was no JSON text before any cut.

    Examples
    --------
    >>> headers = [(b"content-type", b"application/json")]
    >>> [shown_by_content(headers, body) for body in (b'{"a": 1}', b'{"a": 1', b"12")]
    [True, False, None]
    """
    by_digest = _shown_by_digest(headers, body)
    if by_digest is not None:
        return by_digest
    return _shown_by_json(body) if _is_json(headers) else None


def _values(headers: list[tuple[bytes, bytes]], name: bytes) -> list[bytes]:
    return [value for found, value in headers if found == name]


def _shown_by_digest(headers: list[tuple[bytes, bytes]], body: bytes) -> bool | None:
    """Compare a body with the digests of known algorithms in the headers, if there are any."""
    found = _DIGEST.findall(b",".join(_values(headers, b"content-digest")))
    if not found:
        return None
    try:
        return all(
            base64.b64decode(value, validate=True)
            == hashlib.new(algorithm.decode().replace("-", ""), body).digest()
            for algorithm, value in found
        )
    except binascii.Error:
        return None


def _is_json(headers: list[tuple[bytes, bytes]]) -> bool:
    """Whether the headers name a single JSON text in UTF-8 that is not encoded further."""
    types = _values(headers, b"content-type")
    if len(types) != 1 or _values(headers, b"content-encoding"):
        return False
    media_type = types[0].partition(b";")[0].strip().lower()
    charset = _CHARSET.search(types[0])
    in_utf_8 = charset is None or charset[1].lower() in (b"utf-8", b"utf8")
    is_json = media_type == b"application/json" or (
        media_type.startswith(b"application/") and media_type.endswith(b"+json")
    )
    return is_json and in_utf_8


def _shown_by_json(body: bytes) -> bool | None:
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except (msgspec.DecodeError, RecursionError):
        # A number may be cut behind its sign, point or exponent; one more digit ends it.
        return False if _is_cut(body) or _is_cut(body + b"0") else None
    return None if body.lstrip()[:1] in _NUMBER_BEGINS else True


def _is_cut(text: bytes) -> bool:
    """Whether a text is the beginning of a JSON text."""
    try:
        msgspec.json.decode(text, type=msgspec.Raw)
    except msgspec.DecodeError as exc:
        return str(exc) == "Input data was truncated"
    except RecursionError:
        pass
    return False
