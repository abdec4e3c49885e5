"""What tells whether two attempts of callers are the same request."""

import hashlib

from ..connections.messages import CallerRequest

__all__ = ["DIGEST_BYTES", "request_digest"]

DIGEST_BYTES = 16
"""Length of a digest, in bytes: a caller that wants two requests alike has to try 2**64 of them."""


def request_digest(req: CallerRequest, organisation: str) -> bytes:
    """Return what stands for a request's content and whose it is.

    Attempts differ in their ids and in headers such as the time that is left. The lengths keep the
    parts apart, so that no caller can shift bytes from one part to the next. SHA-256 takes 20 us
    for 20 kB and 3.7 ms for 4 MB of body, BLAKE2b three times as long (one core with SHA
    extensions).

    Parameters
    ----------
    req : CallerRequest
        The request.
    organisation : str
        The name of the organisation whose key came with it; empty if none did.

    Returns
    -------
    bytes
        `DIGEST_BYTES` long.
    """
    host = dict(req.headers).get(b"host", b"").lower()
    digest = hashlib.sha256()
    for part in (organisation.encode(), req.method, host, req.target, req.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()[:DIGEST_BYTES]
