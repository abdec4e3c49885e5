"""Calls to targets beside requests: reports on their load, and orders about memory."""

from typing import NamedTuple

import msgspec

from . import wire

__all__ = ["TargetCall", "release_call", "report_call", "reserve_call"]


class TargetCall(NamedTuple):
    """A call to a target: method, path and JSON body (empty if there is none)."""

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
    return TargetCall(b"GET", wire.REPORT_PATH.encode())


def reserve_call(reservation: str, tokens: int, hold_s: float) -> TargetCall:
    """Set memory aside, or renew that; 200 if it is, 409 if there is too little."""
    order = {"op": "reserve", "id": reservation, "tokens": tokens, "holdMs": int(hold_s * 1000)}
    return TargetCall(b"POST", wire.ORDER_PATH.encode(), msgspec.json.encode(order))


def release_call(reservation: str) -> TargetCall:
    """Free memory that was set aside."""
    order = {"op": "release", "id": reservation}
    return TargetCall(b"POST", wire.ORDER_PATH.encode(), msgspec.json.encode(order))
