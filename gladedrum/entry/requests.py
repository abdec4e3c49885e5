"""Parsing and validation of completion requests from HTTP headers and a JSON body.

All errors of a request are collected as findings, each with its place, and reported together.
"""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from ..errors import Finding, GladedrumError

__all__ = [
    "BadRequestError",
    "CompletionRequest",
    "HeaderLookup",
    "RequestKind",
    "parse_completion",
]

ORGANISATION_HEADER = "gladedrum-organisation"
CLASS_HEADER = "gladedrum-class"
TIMEOUT_HEADER = "gladedrum-timeout"
MAY_REPEAT_HEADER = "gladedrum-may-repeat"
IDEMPOTENCY_HEADER = "idempotency-key"

DEFAULT_CLASS = "default"
_DEFAULT_MAX_TOKENS = 16
_MAX_OUTPUT_TOKENS = 1_000_000
_MAX_NAME_LENGTH = 128
_MAX_KEY_LENGTH = 255

HeaderLookup = Callable[[str], str | None]
"""Returns a request header by its lower-case name."""


class BadRequestError(GladedrumError):
    """The request is invalid; `findings` lists all errors and their places."""

    def __init__(self, findings: list[Finding]):
        self.findings = findings
        super().__init__("; ".join(str(f) for f in findings))


class RequestKind:
    """Kinds of completion, named by the ``object`` field of their responses."""

    COMPLETION = "text_completion"
    CHAT = "chat.completion"


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A validated completion request.

    Parameters
    ----------
    kind : str
        One of `RequestKind`.
    model : str
        Name of the model.
    prompt : str
        The whole prompt; the messages of a chat are joined into one.
    max_tokens : int
        Maximum number of answer tokens.
    stream : bool
        Whether to stream the answer.
    include_usage : bool
        Whether the caller asked for token counts at the end of a stream.
    organisation, request_class : str
        Row keys in the table of weights and limits.
    timeout_s : float or None
        Time limit set by the caller, in seconds.
    may_repeat : bool or None
        Whether the request may be sent again although it may have run; None applies the table's
        value.
    idempotency_key : str
        Empty if the caller gave none.
    traceparent : str
        Empty if the caller gave none.
    """

    kind: str
    model: str
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    organisation: str
    request_class: str
    timeout_s: float | None
    may_repeat: bool | None
    idempotency_key: str
    traceparent: str


class _RequestReader:
    """Reads fields and headers, and collects a finding for each invalid one."""

    def __init__(self, body: Mapping[str, Any], headers: HeaderLookup):
        self.findings: list[Finding] = []
        self._body = body
        self._headers = headers

    def add_finding(self, place: str, message: str) -> None:
        self.findings.append(Finding(place, message))

    def integer(self, field: str, default: int, least: int, most: int) -> int:
        value = self._body.get(field)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int):
            self.add_finding(field, "must be an integer")
            return default
        if not least <= value <= most:
            self.add_finding(field, f"must be from {least} to {most}, not {value}")
            return default
        return value

    def boolean(self, field: str) -> bool:
        value = self._body.get(field)
        if value is not None and not isinstance(value, bool):
            self.add_finding(field, "must be true or false")
        return value is True

    def text(self, field: str) -> str:
        value = self._body.get(field)
        if not isinstance(value, str) or not value:
            self.add_finding(field, "must be a string that is not empty")
            return ""
        return value

    def name_header(self, header: str, default: str) -> str:
        value = self._headers(header)
        if value is None:
            return default
        usable = value.isprintable() and 0 < len(value) <= _MAX_NAME_LENGTH
        if not usable or any(c.isspace() or c in ":/" for c in value):
            message = f"must have 1 to {_MAX_NAME_LENGTH} characters, no space, ':' or '/'"
            self.add_finding(f"header {header}", message)
            return default
        return value

    def seconds_header(self, header: str) -> float | None:
        value = self._headers(header)
        if value is None:
            return None
        try:
            seconds = float(value)
        except ValueError:
            seconds = float("nan")
        if not 0 < seconds < float("inf"):
            self.add_finding(f"header {header}", "must be a number of seconds greater than 0")
            return None
        return seconds

    def flag_header(self, header: str) -> bool | None:
        value = self._headers(header)
        if value is None:
            return None
        if value.lower() not in ("yes", "no"):
            self.add_finding(f"header {header}", "must be yes or no")
            return None
        return value.lower() == "yes"

    def key_header(self, header: str) -> str:
        value = self._headers(header)
        if value is None:
            return ""
        if not value.isprintable() or not 0 < len(value) <= _MAX_KEY_LENGTH:
            message = f"must have 1 to {_MAX_KEY_LENGTH} printable characters"
            self.add_finding(f"header {header}", message)
        return value


def parse_completion(
    kind: str, raw: bytes, headers: HeaderLookup, organisation: str
) -> CompletionRequest:
    """Parse and validate a completion request.

    Parameters
    ----------
    kind : str
        One of `RequestKind`.
    raw : bytes
        Body of the HTTP request.
    headers : callable
        See `HeaderLookup`.
    organisation : str
        The caller's organisation, as identified by the site.

    Raises
    ------
    BadRequestError
        If the request is invalid; carries all findings.
    """
    reader = _RequestReader(_json_object(raw), headers)
    body = reader._body
    is_chat = kind == RequestKind.CHAT
    model = reader.text("model")
    prompt = _chat_prompt(reader) if is_chat else _plain_prompt(reader)
    limit_field = "max_tokens"
    if is_chat and body.get("max_completion_tokens") is not None:
        limit_field = "max_completion_tokens"
    if reader.integer("n", 1, 1, 128) != 1:
        reader.add_finding("n", "only 1 is served")
    options = body.get("stream_options") or {}
    if not isinstance(options, dict):
        reader.add_finding("stream_options", "must be an object")
        options = {}
    req = CompletionRequest(
        kind=kind,
        model=model,
        prompt=prompt,
        max_tokens=reader.integer(limit_field, _DEFAULT_MAX_TOKENS, 1, _MAX_OUTPUT_TOKENS),
        stream=reader.boolean("stream"),
        include_usage=options.get("include_usage") is True,
        organisation=organisation,
        request_class=reader.name_header(CLASS_HEADER, DEFAULT_CLASS),
        timeout_s=reader.seconds_header(TIMEOUT_HEADER),
        may_repeat=reader.flag_header(MAY_REPEAT_HEADER),
        idempotency_key=reader.key_header(IDEMPOTENCY_HEADER),
        traceparent=headers("traceparent") or "",
    )
    if reader.findings:
        raise BadRequestError(reader.findings)
    return req


def _json_object(raw: bytes) -> dict[str, Any]:
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        raise BadRequestError([Finding("body", f"is not JSON: {exc}")]) from exc
    if not isinstance(body, dict):
        raise BadRequestError([Finding("body", "must be a JSON object")])
    return body


def _plain_prompt(reader: _RequestReader) -> str:
    prompt = reader._body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt:
        reader.add_finding("prompt", "must be one string that is not empty")
        return ""
    return _encodable(reader, "prompt", prompt)


def _chat_prompt(reader: _RequestReader) -> str:
    messages = reader._body.get("messages")
    if not isinstance(messages, list) or not messages:
        reader.add_finding("messages", "must be an array that is not empty")
        return ""
    return "".join(_message_text(reader, n, message) for n, message in enumerate(messages))


def _message_text(reader: _RequestReader, number: int, message: Any) -> str:
    place = f"messages[{number}]"
    if not isinstance(message, dict):
        reader.add_finding(place, "must be an object")
        return ""
    role = message.get("role")
    if not isinstance(role, str) or not role:
        reader.add_finding(f"{place}.role", "must be a string that is not empty")
    content = message.get("content")
    if isinstance(content, list):
        parts = [p.get("text") if isinstance(p, dict) else None for p in content]
        content = "".join(parts) if all(isinstance(p, str) for p in parts) else None
    if not isinstance(content, str):
        reader.add_finding(f"{place}.content", "must be a string or an array of text parts")
        return ""
    return f"<|{role}|>\n{_encodable(reader, place, content)}\n"


def _encodable(reader: _RequestReader, place: str, text: str) -> str:
    try:
        text.encode()
    except UnicodeEncodeError:
        reader.add_finding(place, "holds a lone surrogate, which no encoding can carry")
        return ""
    return text
