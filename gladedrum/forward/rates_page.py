"""The operators' page of the rates that targets name: which, since when, told by whom."""

import json
from http import HTTPStatus

from twisted.web.http import Request
from twisted.web.resource import Resource

from ..placing.target_rates import TargetRates

__all__ = ["RatesPage"]


class RatesPage(Resource):
    """``GET``: the targets that name a rate, as this box knows it.

    Parameters
    ----------
    rates : TargetRates
        Knows them.
    """

    isLeaf = True

    def __init__(self, rates: TargetRates):
        super().__init__()
        self._rates = rates

    def render_GET(self, request: Request) -> bytes:
        """Show the rates."""
        request.setResponseCode(HTTPStatus.OK)
        request.setHeader(b"content-type", b"application/json")
        return json.dumps({"rates": self._rates.shown()}).encode()
