"""Calls that a box makes to targets besides requests: load reports and memory orders.

A reserve order sets aside an engine's memory for a request (a reservation); a release order frees
it.
"""

from enum import Enum
from typing import NamedTuple

import msgspec

from . import wire

__all__ = ["CallKind", "TargetCall", "release_call", "report_call", "reserve_call"]


class CallKind(Enum):
    """The kinds of messages sent to targets."""

    REQUEST = "request"
    REPORT = "load report"
    RESERVE = "reserve order"
    RENEW = "renew order"
    RELEASE = "release order"


class TargetCall(NamedTuple):
    """A call to a target: its kind, method, path and JSON body (may be empty)."""

    kind: CallKind
    method: bytes
    path: bytes
    body: bytes = b""

    def headers_for(self, target: str) -> list[tuple[bytes, bytes]]:
        """Return the headers of the call to a target, without ``host``.

        Another target that has taken its address answers 421, as it does for requests.
        """
        named = [(wire.EXPECTED_TARGET, target.encode())]
        if not self.body:
            return named
        return [
            *named,
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(self.body)),
        ]


def report_call() -> TargetCall:
    """Return a call for a target's load report; pass the answer's body to `decode_report`."""
    return TargetCall(CallKind.REPORT, b"GET", wire.REPORT_PATH.encode())


def reserve_call(
    reservation: str, tokens: int, hold_s: float, kind: CallKind = CallKind.RESERVE
) -> TargetCall:
    """Return a call that reserves memory or renews a reservation.

    The target answers 200 if it has reserved the memory, or 409 if too little is free. It frees the
    memory after `hold_s` seconds unless the reservation is renewed. `kind` is `RESERVE` or `RENEW`;
    the order itself is the same.
    """
    order = {"op": "reserve", "id": reservation, "tokens": tokens, "holdMs": int(hold_s * 1000)}
    return TargetCall(kind, b"POST", wire.ORDER_PATH.encode(), msgspec.json.encode(order))


def release_call(reservation: str) -> TargetCall:
    """Return a call that releases a reservation."""
    order = {"op": "release", "id": reservation}
    body = msgspec.json.encode(order)
    return TargetCall(CallKind.RELEASE, b"POST", wire.ORDER_PATH.encode(), body)
