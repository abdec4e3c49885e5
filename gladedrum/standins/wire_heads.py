"""Heads of requests as the platform's callers send them, for tests and soaks."""

from ..platform import wire

__all__ = ["CALLER_HOST", "caller_head"]

CALLER_HOST = "a.example"
"""The host that stand-in callers ask for."""

USUAL_ANSWER_TOKENS = 300


def caller_head(
    request_id: str, limit_s: float, key: str, prompt_tokens: int, body_bytes: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request; no size is named where there is no prompt."""
    headers = [
        (b"host", CALLER_HOST.encode()),
        (wire.REQUEST_ID, request_id.encode()),
        (wire.DEADLINE_MS, b"%d" % (limit_s * 1000)),
        (wire.AUTHORIZATION, b"Bearer " + key.encode()),
    ]
    if prompt_tokens:
        headers.append((wire.TOKENS_IN_OUT, b"%d,%d" % (prompt_tokens, USUAL_ANSWER_TOKENS)))
    if body_bytes:
        headers.append((b"content-length", b"%d" % body_bytes))
    return headers
