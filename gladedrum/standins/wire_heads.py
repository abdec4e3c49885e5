"""Heads of requests as the platform's callers send them, for tests and soaks."""

from ..platform import wire

__all__ = ["CALLER_HOST", "caller_head"]

CALLER_HOST = "a.example"
"""The host that stand-in callers ask for."""

USUAL_ANSWER_TOKENS = 300
"""The size of an answer that a request with a prompt names, in tokens."""


def caller_head(
    request_id: str, limit_s: float, key: str, prompt_tokens: int, body_bytes: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request.

    Parameters
    ----------
    request_id : str
        Its id.
    limit_s : float
        How long its caller waits, in seconds.
    key : str
        Its API key.
    prompt_tokens, body_bytes : int
        Sizes of prompt and body; no size is named of what is not there.
    """
    headers = [
        (b"host", CALLER_HOST.encode()),
        (wire.REQUEST_ID, request_id.encode()),
        (wire.DEADLINE_MS, b"%d" % (limit_s * 1000)),
        (wire.AUTHORIZATION, b"Bearer " + key.encode()),
    ]
    if prompt_tokens:
        headers.append((wire.TOKEN_USAGE, b"%d,%d" % (prompt_tokens, USUAL_ANSWER_TOKENS)))
    if body_bytes:
        headers.append((b"content-length", b"%d" % body_bytes))
    return headers
