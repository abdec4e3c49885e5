"""The operators' page of condemned requests, which lists them and lifts single ones.

A request, or a part of prompts, is condemned, and refused by all boxes, if it is known to crash the
targets that run it.
To lift it is to end its condemnation, so that it may be sent to targets again.
"""

import json
from http import HTTPStatus

from twisted.web.http import Request
from twisted.web.resource import Resource

from ..config.operator_token import is_authorized
from ..placing.suspicion import Suspicion
from ..scheduling.suspects import Condemned

__all__ = ["CondemnedPage"]


class CondemnedPage(Resource):
    """``GET`` lists the condemned requests; ``DELETE`` of a digest lifts one in the whole fleet.

    Parameters
    ----------
    suspicion : Suspicion
        Keeps the condemned requests.
    token : str
        Token that a ``DELETE`` must carry as ``Authorization: Bearer``; empty forbids lifting.
    """

    isLeaf = True

    def __init__(self, suspicion: Suspicion, token: str):
        super().__init__()
        self._suspicion = suspicion
        self._token = token

    def render_GET(self, request: Request) -> bytes:
        """List the condemned requests."""
        rows = [_as_json(row) for row in self._suspicion.condemned()]
        return _answer(request, HTTPStatus.OK, {"condemned": rows})

    def render_DELETE(self, request: Request) -> bytes:
        """Lift a condemned request."""
        if not is_authorized(request.getHeader("authorization"), self._token):
            reason = "a lift must carry the operator's token of the box's settings"
            return _answer(request, HTTPStatus.UNAUTHORIZED, {"reason": reason})
        try:
            digest = bytes.fromhex(b"".join(request.postpath).decode())
        except ValueError:
            reason = "a digest is 32 hexadecimal digits, as the list shows them"
            return _answer(request, HTTPStatus.BAD_REQUEST, {"reason": reason})
        if not self._suspicion.lift(digest):
            reason = "no such request is condemned here"
            return _answer(request, HTTPStatus.NOT_FOUND, {"reason": reason})
        return _answer(request, HTTPStatus.OK, {"lifted": digest.hex()})


def _as_json(row: Condemned) -> dict[str, object]:
    return {
        "request_digest": row.digest.hex(),
        "part": row.part,
        "tests": [start.name for start in row.tests],
        "beside": list(row.beside),
        "route": row.route,
        "organisation": row.organisation,
        "targets": [start.name for start in row.starts],
        "age_s": round(row.age_s, 1),
        "left_s": round(row.left_s, 1),
    }


def _answer(request: Request, status: HTTPStatus, body: object) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(body).encode()
