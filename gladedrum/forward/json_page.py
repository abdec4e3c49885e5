"""Operators' pages that show what a box knows, as JSON."""

import json
from collections.abc import Callable, Mapping
from http import HTTPStatus

from twisted.web.http import Request
from twisted.web.resource import Resource

__all__ = ["JsonPage"]


class JsonPage(Resource):
    """``GET``: an object with what this box knows of one subject.

    Parameters
    ----------
    get_rows : callable
        Returns what to show.
    """

    isLeaf = True

    def __init__(self, get_rows: Callable[[], Mapping[str, object]]):
        super().__init__()
        self._get_rows = get_rows

    def render_GET(self, request: Request) -> bytes:
        """Return the object."""
        request.setResponseCode(HTTPStatus.OK)
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(self._get_rows()).encode()
