"""The operators' HTTP interface to the table of weights and limits, below ``/table``."""

import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import msgspec
from klein import Klein
from twisted.web.http import Request

from ..config.operator_token import is_authorized
from ..errors import Finding, KVUnavailableError
from ..utils import start
from . import (
    KNOBS,
    Accepted,
    Cell,
    Conflicting,
    EditResult,
    InDoubt,
    NotApplied,
    TableInForce,
    TableState,
    TableStore,
    check_cells,
)

__all__ = ["TableSite"]

_DEFAULT_HISTORY_EDITS = 20


class _EditBody(msgspec.Struct):
    """The body of a request that edits the table."""

    cells: list[Cell]
    seen_revision: int
    who: str
    why: str = ""
    dry_run: bool = False


class TableSite:
    """The HTTP routes of the table.

    Parameters
    ----------
    token : str
        The token that edits must carry as ``Authorization: Bearer``.
    in_force : TableInForce
        The table in force on this box.
    store : TableStore
        Reads and edits the stored table.
    states : callable
        Returns an awaitable of the state of the table on every box.
    """

    app = Klein()

    def __init__(
        self,
        token: str,
        in_force: TableInForce,
        store: TableStore,
        states: Callable[[], Awaitable[list[TableState]]],
    ):
        self._token = token
        self._in_force = in_force
        self._store = store
        self._states = states

    @app.route("/rows", methods=["GET"])
    async def rows(self, request: Request) -> bytes:
        """Return the newest table, or the one in force here if the store does not answer."""
        table = self._in_force.table
        try:
            table = (await self._store.read(table)).table
        except KVUnavailableError:
            request.setHeader(b"gladedrum-table", b"in-force")
        body = {"revision": table.revision, "rows": table.rows, "knobs": list(KNOBS)}
        return _json(request, body)

    @app.route("/status", methods=["GET"])
    async def status(self, request: Request) -> bytes:
        """Return the revision of the table on each box."""
        return _json(request, {"boxes": await self._states()})

    @app.route("/history", methods=["GET"])
    async def history(self, request: Request) -> bytes:
        """Return the newest edits, newest first."""
        count = int(request.args.get(b"count", [str(_DEFAULT_HISTORY_EDITS).encode()])[0])
        try:
            edits = await self._store.history(count)
        except KVUnavailableError as exc:
            return _error(request, HTTPStatus.SERVICE_UNAVAILABLE, str(exc))
        return _json(request, {"edits": msgspec.to_builtins(edits)})

    @app.route("/edits", methods=["POST"])
    async def edit(self, request: Request) -> bytes:
        """Validate an edit and apply it to the stored table."""
        if not self._is_allowed(request):
            message = "edits must carry the operator's token of the box's settings"
            return _error(request, HTTPStatus.UNAUTHORIZED, message)
        try:
            body = msgspec.json.decode(request.content.read(), type=_EditBody)
        except msgspec.MsgspecError as exc:
            return _error(request, HTTPStatus.BAD_REQUEST, str(exc))
        findings = check_cells(body.cells)
        if findings:
            return _findings(request, findings)
        if body.dry_run:
            return _json(request, {"result": "dry-run", "cells": len(body.cells)})
        # A task of its own: the edit continues if the caller disconnects, so that its result is
        # known and recorded here.
        result = await start(self._store.edit(body.cells, body.seen_revision, body.who, body.why))
        if isinstance(result, Accepted):
            self._in_force.keep_accepted(result.edit)
        return _result(request, result)

    def _is_allowed(self, request: Request) -> bool:
        return is_authorized(request.getHeader("authorization"), self._token)


def _result(request: Request, result: EditResult) -> bytes:
    match result:
        case Accepted(revision=revision):
            return _json(request, {"result": "accepted", "revision": revision})
        case NotApplied(reason=reason):
            body = {"result": "not-applied", "reason": reason}
            return _json(request, body, HTTPStatus.SERVICE_UNAVAILABLE)
        case Conflicting(conflicts=conflicts):
            listed = [conflict._asdict() for conflict in conflicts]
            body = {"result": "conflict", "conflicts": listed}
            return _json(request, body, HTTPStatus.CONFLICT)
        case InDoubt(edit_id=edit_id, reason=reason):
            body = {"result": "unknown", "edit_id": edit_id, "reason": reason}
            return _json(request, body, HTTPStatus.GATEWAY_TIMEOUT)


def _findings(request: Request, findings: list[Finding]) -> bytes:
    listed = [{"place": f.place, "message": f.message} for f in findings]
    return _json(request, {"result": "refused", "findings": listed}, HTTPStatus.BAD_REQUEST)


def _error(request: Request, status: HTTPStatus, message: str) -> bytes:
    return _json(request, {"result": "refused", "reason": message}, status)


def _json(request: Request, body: object, status: HTTPStatus = HTTPStatus.OK) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(body).encode()
