"""The little HTTP/1.1 that the stand-ins speak, on asyncio streams."""

import asyncio
from typing import NamedTuple

__all__ = ["Answer", "Head", "encode_answer", "encode_request", "read_answer", "read_request"]


class Head(NamedTuple):
    """The start line of a message, split at blanks, and its headers with names in lower case."""

    start: list[str]
    headers: dict[str, str]


class Answer(NamedTuple):
    """A complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes


async def _read_head(reader: asyncio.StreamReader) -> Head:
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    rows = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _colon, value in rows}
    return Head(lines[0].split(" ", 2), headers)


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> tuple[Head, bytes]:
    """Return the next request; raises `EOFError` if the connection ends before it."""
    head = await _read_head(reader)
    return head, await _read_body(reader, head.headers)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer, which has a length or comes in chunks."""
    head = await _read_head(reader)
    return Answer(int(head.start[1]), head.headers, await _read_body(reader, head.headers))


def encode_request(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    if body or method == "POST":
        headers = {**headers, "Content-Length": str(len(body))}
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer with a length."""
    headers = {**headers, "Content-Length": str(len(body))}
    rows = (f"{name}: {value}" for name, value in headers.items())
    return "\r\n".join([f"HTTP/1.1 {status} X", *rows, "", ""]).encode("latin-1") + body
