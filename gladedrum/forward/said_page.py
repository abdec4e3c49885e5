"""The operators' pages of what targets say of themselves: what, since when, told by whom."""

import json
from collections.abc import Callable, Mapping
from http import HTTPStatus

from twisted.web.http import Request
from twisted.web.resource import Resource

__all__ = ["SaidPage"]


class SaidPage(Resource):
    """``GET``: what targets say of themselves, as this box knows it.

    Parameters
    ----------
    shown : callable
        Returns what is shown.
    """

    isLeaf = True

    def __init__(self, shown: Callable[[], Mapping[str, object]]):
        super().__init__()
        self._shown = shown

    def render_GET(self, request: Request) -> bytes:
        """Show it."""
        request.setResponseCode(HTTPStatus.OK)
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(self._shown()).encode()
