"""Request headers as the platform's callers send them, for tests and the soak test."""

from ..platform import wire

__all__ = ["CALLER_HOST", "caller_headers"]

CALLER_HOST = "a.example"
"""Host header of the simulated callers' requests."""

EXPECTED_ANSWER_TOKENS = 300
"""Answer size that a request with a prompt announces, in tokens."""


def caller_headers(
    request_id: str, timeout_s: float, key: str, prompt_tokens: int, body_bytes: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a caller's request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    timeout_s : float
        Time that the caller waits for the answer, in seconds.
    key : str
        API key of the caller.
    prompt_tokens, body_bytes : int
        Sizes of the prompt and of the body; for a size of 0 the header is omitted.
    """
    headers = [
        (b"host", CALLER_HOST.encode()),
        (wire.REQUEST_ID, request_id.encode()),
        (wire.DEADLINE_MS, b"%d" % (timeout_s * 1000)),
        (wire.AUTHORIZATION, b"Bearer " + key.encode()),
    ]
    if prompt_tokens:
        headers.append((wire.TOKEN_USAGE, b"%d,%d" % (prompt_tokens, EXPECTED_ANSWER_TOKENS)))
    if body_bytes:
        headers.append((b"content-length", b"%d" % body_bytes))
    return headers
