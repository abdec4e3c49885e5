"""What is sent to targets: requests, and beside them reports on load and orders about memory."""

from enum import Enum
from typing import NamedTuple

import msgspec

from . import wire

__all__ = ["CallKind", "TargetCall", "release_call", "report_call", "reserve_call"]


class CallKind(Enum):
    """What is sent to a target, by what it asks of it."""

    REQUEST = "a caller's request"
    REPORT = "a question for its report"
    SET_ASIDE = "an order to set memory aside"
    RENEW = "an order to hold memory for longer"
    FREE = "an order to free memory"


class TargetCall(NamedTuple):
    """A call to a target: its kind, method, path and JSON body (empty if there is none)."""

    kind: CallKind
    method: bytes
    path: bytes
    body: bytes = b""

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers that go with it, but for the host."""
        if not self.body:
            return []
        return [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(self.body)),
        ]


def report_call() -> TargetCall:
    """Ask a target for its report; the answer's body is for `decode_report`."""
    return TargetCall(CallKind.REPORT, b"GET", wire.REPORT_PATH.encode())


def reserve_call(
    reservation: str, tokens: int, hold_s: float, kind: CallKind = CallKind.SET_ASIDE
) -> TargetCall:
    """Set memory aside, or renew that; 200 if it is, 409 if there is too little."""
    order = {"op": "reserve", "id": reservation, "tokens": tokens, "holdMs": int(hold_s * 1000)}
    return TargetCall(kind, b"POST", wire.ORDER_PATH.encode(), msgspec.json.encode(order))


def release_call(reservation: str) -> TargetCall:
    """Free memory that was set aside."""
    order = {"op": "release", "id": reservation}
    body = msgspec.json.encode(order)
    return TargetCall(CallKind.FREE, b"POST", wire.ORDER_PATH.encode(), body)
