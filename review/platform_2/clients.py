"""Stand-in for the platform's clients: one request on one new connection."""

import asyncio
import contextlib
import secrets

from .http import Answer, encode_request, read_answer

__all__ = ["ask"]


async def ask(
    address: str, method: str, path: str, host: str, key: str, deadline_s: float
) -> tuple[str, Answer | None]:
    """Send a request with a new id; return the id, and the answer if one came in time."""
    request_id = secrets.token_hex(8)
    headers = {
        "Host": host,
        "X-Gladedrum-Request-Id": request_id,
        "X-Gladedrum-Deadline-Ms": str(int(deadline_s * 1000)),
        "Authorization": f"Bearer {key}",
    }
    ip, _colon, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
            body = b"x" * 600 if method == "POST" else b""
            writer.write(encode_request(method, path, headers, body))
            return request_id, await read_answer(reader)
    except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
        return request_id, None
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
