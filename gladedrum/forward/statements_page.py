"""Operators' pages of the statements that targets make about themselves, with age and source."""

import json
from collections.abc import Callable, Mapping
from http import HTTPStatus

from twisted.web.http import Request
from twisted.web.resource import Resource

__all__ = ["StatementsPage"]


class StatementsPage(Resource):
    """``GET``: the statements of targets that this box knows, as JSON.

    Parameters
    ----------
    get_rows : callable
        Returns the statements to show.
    """

    isLeaf = True

    def __init__(self, get_rows: Callable[[], Mapping[str, object]]):
        super().__init__()
        self._get_rows = get_rows

    def render_GET(self, request: Request) -> bytes:
        """Return the statements."""
        request.setResponseCode(HTTPStatus.OK)
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(self._get_rows()).encode()
