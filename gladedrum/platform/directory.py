"""Client of the platform's directory, the list of boxes and targets.

The list may lag behind the true state by some seconds. It includes boxes and targets that are
leaving, that is, about to stop.
"""

import json
from collections.abc import Iterator
from http import HTTPStatus
from typing import NamedTuple, TypeVar, get_type_hints

import msgspec

from ..config import Item, Settings
from ..errors import GladedrumError
from ..utils import LostAnswerError, NotSentError, UnmarkedEndError, WebClient
from ..utils.validation import is_port
from .malformed import MalformedEntries

__all__ = [
    "DIRECTORY_INTERVAL",
    "DIRECTORY_URL",
    "Box",
    "Directory",
    "DirectoryClient",
    "DirectoryUnavailableError",
    "Target",
]

DIRECTORY_URL = Item(
    "platform", "directory_url", "http://127.0.0.1:2380",
    "Base URL of the list of boxes and targets.",
)  # fmt: skip
DIRECTORY_INTERVAL = Item(
    "platform", "directory_interval_s", 2.0, "How often the list of boxes and targets is read.",
    unit="s", minimum=0.05, maximum=60,
)  # fmt: skip

_TIMEOUT_S = 2.0

R = TypeVar("R", bound=tuple)


class DirectoryUnavailableError(GladedrumError):
    """The list could not be read."""


class Box(NamedTuple):
    """A box as listed in the directory.

    Parameters
    ----------
    name : str
        Unique among the boxes.
    host : str
        Its IP address.
    peer_port : int
        The TCP port for other boxes.
    data_hall : str
        Its data hall.
    leaving : bool
        True if it is about to stop.
    """

    name: str
    host: str
    peer_port: int
    data_hall: str = ""
    leaving: bool = False


class Target(NamedTuple):
    """A target as listed in the directory.

    Parameters
    ----------
    name : str
        Unique among the targets.
    kind : str
        ``engine`` (runs models), or ``service`` (a plain service: any other).
    url : str
        Its base URL.
    data_hall : str
        Its data hall.
    models : tuple of str
        The models that an engine serves.
    service : str
        The name of the plain service that a target of kind ``service`` provides.
    memory_tokens : int
        An engine's memory, in tokens.
    prefill_tokens_per_s : float
        An engine's prefill speed at the start of a prompt.
    attention_tokens : int
        The position in a prompt at which prefilling a token takes twice as long as at the start.
    decode_step_s : float
        The time between two tokens without prefill, in seconds.
    chunk_tokens : int
        The maximum number of tokens that it prefills between two decoding steps.
    checks_orders : bool
        True if it rejects orders with a stale fencing token.
    leaving : bool
        True if it is about to stop and accepts no new requests.
    """

    name: str
    kind: str
    url: str
    data_hall: str = ""
    models: tuple[str, ...] = ()
    service: str = ""
    memory_tokens: int = 0
    prefill_tokens_per_s: float = 25_000.0
    attention_tokens: int = 250_000
    decode_step_s: float = 0.015
    chunk_tokens: int = 512
    checks_orders: bool = True
    leaving: bool = False


class Directory(NamedTuple):
    """A snapshot of the list."""

    boxes: tuple[Box, ...] = ()
    targets: tuple[Target, ...] = ()

    def engines(self, model: str) -> list[Target]:
        """Return the engines that serve `model` and are not leaving."""
        return [
            t for t in self.targets if t.kind == "engine" and model in t.models and not t.leaving
        ]

    def services(self, service: str) -> list[Target]:
        """Return the targets that provide a plain service and are not leaving."""
        return [
            t
            for t in self.targets
            if t.kind == "service" and t.service == service and not t.leaving
        ]

    def models(self) -> list[str]:
        """Return the models that at least one engine serves, sorted."""
        return sorted({m for t in self.targets if t.kind == "engine" for m in t.models})


class DirectoryClient:
    """Reads the list of boxes and targets.

    Parameters
    ----------
    cfg : Settings
        Read for `DIRECTORY_URL`.
    web : WebClient
        Makes the calls.
    """

    def __init__(self, cfg: Settings, web: WebClient):
        self._url = cfg.get(DIRECTORY_URL).rstrip("/")
        self._web = web
        self._tags: dict[str, str] = {}
        self._last = Directory()
        self._malformed_boxes = MalformedEntries("box")
        self._malformed_targets = MalformedEntries("target")

    async def read(self) -> Directory:
        """Return the current list.

        Uses entity tags, so that unchanged rows are not transferred again: the full list of a
        large fleet every few seconds would exceed a box's receive limit.

        Raises
        ------
        DirectoryUnavailableError
            If the list cannot be read or is malformed.
        """
        boxes, boxes_tag = await self._fetch_rows("boxes")
        targets, targets_tag = await self._fetch_rows("targets")
        self._last = Directory(
            self._last.boxes
            if boxes is None
            else tuple(_parse_rows(Box, boxes, self._malformed_boxes)),
            self._last.targets
            if targets is None
            else tuple(_parse_rows(Target, targets, self._malformed_targets)),
        )
        # Store the tags only with their rows: a tag alone would hide the rows until they change.
        self._tags = {"boxes": boxes_tag, "targets": targets_tag}
        return self._last

    async def _fetch_rows(self, kind: str) -> tuple[list[object] | None, str]:
        """Return the rows of a list (None if unchanged since the last read) and their tag."""
        tag = self._tags.get(kind, "")
        headers = {"if-none-match": tag} if tag else {}
        try:
            url = f"{self._url}/v1/{kind}"
            response = await self._web.send("GET", url, None, headers, _TIMEOUT_S)
            body = await self._web.read(response, _TIMEOUT_S)
        except UnmarkedEndError as exc:
            # A list that decodes shows its own end.
            body = exc.body
        except (NotSentError, LostAnswerError) as exc:
            raise DirectoryUnavailableError(str(exc)) from exc
        match response.code:
            case HTTPStatus.NOT_MODIFIED:
                return None, tag
            case HTTPStatus.OK:
                return _decode_rows(body, kind), response.headers.getRawHeaders("etag", [""])[0]
            case _:
                raise DirectoryUnavailableError(f"status {response.code}: {body[:200]!r}")


def _decode_rows(body: bytes, kind: str) -> list[object]:
    """Return the rows of a list; raises `DirectoryUnavailableError` if the body holds no list."""
    try:
        rows = json.loads(body)[kind]
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        raise DirectoryUnavailableError(f"the list of {kind} is malformed: {exc!r}") from exc
    if not isinstance(rows, list):
        raise DirectoryUnavailableError(f"the list of {kind} is malformed: it is no list")
    return rows


def _parse_rows(row_type: type[R], rows: list[object], malformed: MalformedEntries) -> Iterator[R]:
    """Yield the well-formed rows; fields that a newer platform may have added are ignored."""
    reasons = {}
    for number, row in enumerate(rows):
        try:
            yield _parse_row(row_type, row)
        except (msgspec.ValidationError, OverflowError) as exc:
            name = row.get("name") if isinstance(row, dict) else None
            reasons[name if isinstance(name, str) else f"row {number}"] = str(exc)
    malformed.note(reasons)


def _parse_row(row_type: type[R], row: object) -> R:
    """Return a row; raises `msgspec.ValidationError` if it is malformed."""
    parsed = row_type(*msgspec.structs.astuple(msgspec.convert(row, _STRUCTS[row_type])))
    if isinstance(parsed, Box) and not is_port(parsed.peer_port):
        raise msgspec.ValidationError("its peer_port is no port")
    return parsed


def _struct_of(row_type: type[NamedTuple]) -> type[msgspec.Struct]:
    """Return a struct with the fields of a row, which can be decoded from an object."""
    hints, defaults = get_type_hints(row_type), row_type._field_defaults
    fields = [
        (name, hints[name], defaults[name]) if name in defaults else (name, hints[name])
        for name in row_type._fields
    ]
    return msgspec.defstruct(row_type.__name__, fields)


_STRUCTS = {row_type: _struct_of(row_type) for row_type in (Box, Target)}
