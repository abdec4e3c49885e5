"""Stand-in for a client."""

import asyncio
import random
import time

from .configuration import HOST, KEY
from .messages import read_answer

__all__ = ["Client"]

SEAL = "x-gladedrum-response-seal"


class Client:
    """A client that sends one request on a connection of its own.

    Parameters
    ----------
    record : Record
        Takes a line for the request and one for its answer.
    box : Box
        Takes the request.
    method, path : str
        Of the request.
    headers : sequence of (str, str)
        Further headers.
    body : bytes
        The request's body.
    deadline_ms : int
        How long the client waits, in milliseconds.

    Attributes
    ----------
    id : str
        The id of the request.
    raw : bytes
        The bytes of the request.
    answer : Answer or None
        The answer; None if the connection ended without one.
    sent_s : float or None
        When the last byte was sent, by the monotonic clock.
    """

    def __init__(self, record, box, method, path, headers=(), body=b"", deadline_ms=10000):
        self.id = f"{random.getrandbits(64):016x}"
        self.answer = None
        self.sent_s = None
        self._record, self._box = record, box
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Gladedrum-Request-Id: {self.id}",
            f"X-Gladedrum-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
            *(f"{name}: {value}" for name, value in headers),
            f"Content-Length: {len(body)}",
        ]
        self.raw = "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def run(self, parts=None):
        """Send the request and read the answer.

        The request is sent whole, or in `parts`: pairs of a pause in seconds and the bytes that are
        sent after it.
        """
        reader, writer = await asyncio.open_connection(*self._box.callers)
        try:
            for pause_s, data in parts or [(0, self.raw)]:
                await asyncio.sleep(pause_s)
                writer.write(data)
                await writer.drain()
            self.sent_s = time.monotonic()
            self._record(f"client has sent request {self.id} to {self._box.name}")
            self.answer = await read_answer(reader)
        except ConnectionError as exc:
            self._record(f"client loses its connection: {exc!r}")
        finally:
            writer.close()
        self._note_answer()

    def _note_answer(self):
        answer = self.answer
        if answer is None:
            self._record(f"client gets no answer to {self.id}: the connection is closed")
            return
        self._record(
            f"client gets status {answer.status} to {self.id}, seal {answer.headers.get(SEAL)}, "
            f"{len(answer.body)} bytes of body, {'complete' if answer.complete else 'cut off'}"
        )

    @property
    def is_success(self):
        """Whether it got a success that is complete as far as it can see."""
        return self.answer is not None and self.answer.complete and self.answer.status // 100 == 2

    @property
    def seal(self):
        """The signature of the runner in the answer, None if there is none."""
        return None if self.answer is None else self.answer.headers.get(SEAL)
