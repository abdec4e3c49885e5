"""HTTP messages: reading requests and answers, and encoding answers."""

import asyncio
from dataclasses import dataclass

__all__ = ["Answer", "Request", "encode_answer", "read_answer", "read_request"]


@dataclass
class Request:
    """A request as read from a connection; names of headers are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """An answer as read from a connection; `complete` tells whether its framing says so."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def _read_head(reader):
    """Return the first line and the headers, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    rows = (line.partition(":") for line in lines if line)
    return first.split(" "), {name.strip().lower(): value.strip() for name, _, value in rows}


async def read_request(reader):
    """Return the next request on a connection, None at its end."""
    head = await _read_head(reader)
    if head is None:
        return None
    (method, path, _), headers = head
    length = int(headers.get("content-length", "0"))
    return Request(method, path, headers, await reader.readexactly(length))


async def read_answer(reader):
    """Return the next answer on a connection, None if the connection ends before one."""
    head = await _read_head(reader)
    if head is None:
        return None
    first, headers = head
    body = bytearray()
    try:
        complete = await _read_body(reader, headers, body)
    except (asyncio.IncompleteReadError, ConnectionError):
        complete = False
    return Answer(int(first[1]), headers, bytes(body), complete)


async def _read_body(reader, headers, body):
    """Add the body of an answer to `body`; return whether it is complete."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return True
            body += data[:-2]
    length = int(headers["content-length"]) if "content-length" in headers else None
    while length is None or len(body) < length:
        data = await reader.read(65536 if length is None else length - len(body))
        if not data:
            return length is None
        body += data
    return True


def encode_answer(status, headers, body):
    """Return the bytes of an answer with a length."""
    reason = "OK" if status == 200 else "Status"
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
