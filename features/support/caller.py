"""A caller that reads a streamed response in its own thread."""

import hashlib
import http.client
import json
import socket
import threading
from dataclasses import dataclass, field

from gladedrum.standins.engine import answer_token

from .fleet import MODEL
from .processes import wait_for

CLAUSE_TOKENS = 1_000
DOSSIER_TOKENS = 150_000
LONG_DOSSIER_TOKENS = 900_000
_BYTES_PER_TOKEN = 4


def prompt_of(tokens: int, label: str) -> str:
    """Return a prompt of a length in tokens; different labels give different prompts."""
    text = f"{label} " + "word " * tokens
    return text[: tokens * _BYTES_PER_TOKEN]


def expected_answer(prompt: str, tokens: int) -> str:
    seed = hashlib.sha256(prompt.encode()).hexdigest()
    return "".join(answer_token(seed, n) for n in range(tokens))


@dataclass(repr=False)
class Answer:
    """The response that a caller received, as far as it arrived.

    Parameters
    ----------
    pieces : list of str
        Texts of the events.
    outcome : str
        Outcome that the box reported, in the headers or in the last event.
    error : dict
        Error object of the response, empty if there is none.
    done : bool
        Whether the stream's end marker has arrived.
    broken : str
        Exception that ended reading, empty if there was none.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    pieces: list[str] = field(default_factory=list)
    outcome: str = ""
    error: dict = field(default_factory=dict)
    done: bool = False
    broken: str = ""

    def __repr__(self) -> str:
        parts = (self.status, self.outcome, self.done, self.error, self.broken, self.headers)
        return f"{parts} {len(self.pieces)} pieces, the last: {self.pieces[-1:]}"

    @property
    def text(self) -> str:
        return "".join(self.pieces)


class Call:
    """A streamed completion in progress.

    If `read` is false, the body is read only when `result` is called.
    """

    def __init__(
        self,
        port: int,
        prompt: str,
        max_tokens: int = 8,
        headers: dict[str, str] | None = None,
        read: bool = True,
    ):
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.answer = Answer()
        self.conn = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
        self.first = threading.Event()
        self._headers = {"content-type": "application/json", **(headers or {})}
        self._may_read = threading.Event()
        if read:
            self._may_read.set()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def result(self, wait_s: float = 60) -> Answer:
        self._may_read.set()
        self._thread.join(wait_s)
        assert not self._thread.is_alive(), "the answer did not end"
        return self.answer

    def wait_first_token(self) -> None:
        wait_for(
            "the first token or the end",
            lambda: self.first.is_set() or not self._thread.is_alive(),
        )
        assert self.first.is_set(), f"no first token: {self.answer}"

    def hang_up(self) -> None:
        # The reading thread drops its socket once it is shut down, so keep a reference.
        sock = self.conn.sock
        if sock is not None:
            sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _run(self) -> None:
        body = {
            "model": MODEL,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": True,
        }
        try:
            self.conn.request("POST", "/v1/completions", json.dumps(body), self._headers)
            response = self.conn.getresponse()
            self.answer.status = response.status
            self.answer.headers = {k.lower(): v for k, v in response.getheaders()}
            self.answer.outcome = self.answer.headers.get("gladedrum-outcome", "")
            self._may_read.wait()
            if "json" in self.answer.headers.get("content-type", ""):
                self.answer.error = json.loads(response.read())["error"]
                return
            for line in response:
                self._read_line(line)
        except (OSError, http.client.HTTPException, ValueError, AttributeError) as exc:
            self.answer.broken = repr(exc)

    def _read_line(self, line: bytes) -> None:
        if not line.startswith(b"data: "):
            return
        payload = line[len(b"data: ") :].strip()
        if payload == b"[DONE]":
            self.answer.done = True
            return
        event = json.loads(payload)
        self.answer.outcome = event.get("gladedrum", {}).get("outcome", self.answer.outcome)
        self.answer.error = event.get("error", self.answer.error)
        for choice in event.get("choices", []):
            self.answer.pieces.append(choice["text"])
            self.first.set()


def post(port: int, path: str, body: object, headers: dict[str, str] | None = None) -> Answer:
    """Send a request that is not streamed and return its response."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    conn.request("POST", path, raw, {"content-type": "application/json", **(headers or {})})
    response = conn.getresponse()
    answer = Answer(response.status, {k.lower(): v for k, v in response.getheaders()})
    answer.outcome = answer.headers.get("gladedrum-outcome", "")
    content = response.read()
    answer.pieces.append(content.decode())
    if answer.status >= 400:
        answer.error = json.loads(content)["error"]
    conn.close()
    return answer
