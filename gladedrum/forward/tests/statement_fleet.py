"""A fleet whose targets announce in their answers that they leave, or request a backoff.

The store's list shows neither. A target requests a backoff by a refusal with Retry-After.
Arrivals are recorded as in `RateLimitingFleet`; checks count those from informed boxes.
"""

import re
from typing import NamedTuple

from gladedrum.forward.tests.rate_limiting_fleet import Arrival, RateLimitingFleet, is_report
from gladedrum.forward.tests.support import answer
from gladedrum.platform import wire

LEAVE_BOUND_S = 2.0
"""Within this time a box must stop sending to a target that has announced to it that it leaves."""
BACKOFF_COUNTED_AFTER_S, MAX_DURING_BACKOFF = 0.5, 2
"""From `BACKOFF_COUNTED_AFTER_S` after its refusal until the end of the backoff, a target may get
at most `MAX_DURING_BACKOFF` HTTP requests of any kind from the box."""


class RequestedBackoff(NamedTuple):
    """A period in which a target wants no requests from a box, by its refusal."""

    port: int
    box: str
    from_s: float
    to_s: float


class StatementFleet(RateLimitingFleet):
    """Boxes and engines; tests make engines announce leaving or request backoffs."""

    def __init__(self, targets: int = 4, boxes: int = 3, **route):
        self.leaving: dict[int, bytes] = {}
        self.leaving_announced_s: dict[tuple[int, str], float] = {}
        self.refusals: dict[tuple[int, str], bytes] = {}
        self.backoffs: list[RequestedBackoff] = []
        super().__init__(targets, boxes, **route)

    # Interface for tests.

    def announce_leaving(self, port: int, value: bytes = b"1") -> None:
        """Have a target announce in all answers that it leaves; `value` is the header's."""
        self.leaving[port] = value

    def refuse_with_backoff(self, port: int, backoff: bytes, boxes: tuple[str, ...] = ()) -> None:
        """Have a target refuse requests of boxes (default: all) with this Retry-After value."""
        for box in boxes or self.boxes:
            self.refusals[port, box] = backoff

    def stop_refusing(self, port: int) -> None:
        """Have a target accept requests of all boxes again."""
        self.refusals = {key: backoff for key, backoff in self.refusals.items() if key[0] != port}

    def busiest(self) -> int:
        """Return the port of the target that has received most requests."""
        return max(self.engines, key=self.requests_at)

    def requests_received(self, port: int, from_s: float, box: str | None = None) -> list[Arrival]:
        """Return callers' requests that reached a target since `from_s`, from one or all boxes."""
        return [
            a
            for a in self.arrivals
            if a.port == port
            and a.at_s >= from_s
            and (box is None or a.box == box)
            and not is_report(a)
        ]

    def late_requests(self, port: int) -> list[Arrival]:
        """Return requests that a box sent later than `LEAVE_BOUND_S` after it was informed."""
        announced_s = self.leaving_announced_s
        return [
            a
            for a in self.requests_received(port, 0.0)
            if a.at_s > announced_s.get((port, a.box), float("inf")) + LEAVE_BOUND_S
        ]

    def most_during_backoff(self) -> int:
        """Return the maximum of arrivals of any kind from a box during one of its backoffs."""
        return max((self._arrivals_during(backoff) for backoff in self.backoffs), default=0)

    def _arrivals_during(self, backoff: RequestedBackoff) -> int:
        return sum(
            a.port == backoff.port
            and a.box == backoff.box
            and backoff.from_s + BACKOFF_COUNTED_AFTER_S <= a.at_s < backoff.to_s
            for a in self.arrivals
        )

    # Targets.

    def _receive(self, index: int, side) -> None:
        engine, box = self.engines[side.address[1]], self._box_of(side)
        backoff = self.refusals.get((engine.port, box))
        is_request = wire.REPORT_PATH.encode() not in side.sent.split(b"\r\n")[0]
        if not engine.up or backoff is None or not is_request:
            super()._receive(index, side)
            return
        now_s, data = self.net.seconds(), side.transport.pop_written()
        self.arrivals.append(Arrival(now_s, engine.port, box, data.split(b" ", 2)[1]))
        self._add_statements(side, engine)
        if re.fullmatch(rb"[0-9.]+", backoff):
            self.backoffs.append(RequestedBackoff(engine.port, box, now_s, now_s + float(backoff)))
        request_id = re.search(rb"(?i)%s: (\S+)" % wire.REQUEST_ID, data).group(1)
        extra = b"%s: 1\r\nRetry-After: %s\r\n" % (wire.NOT_RUN, backoff)
        side.reply(answer(503, b"no", request_id, extra))

    def _statement_headers(self, port: int, box: str) -> list[bytes]:
        headers = super()._statement_headers(port, box)
        if port in self.leaving:
            self.leaving_announced_s.setdefault((port, box), self.net.seconds())
            headers.append(b"Server-Leaving: " + self.leaving[port])
        return headers


class PlainFleet(StatementFleet):
    """The same with plain services, from which boxes request no reports."""

    traits = None

    def __init__(self, targets: int = 4, boxes: int = 3):
        plain = {"streaming": False, "resumable": False, "repeatable": True}
        super().__init__(targets, boxes, **plain)

    def _write(self, run) -> None:
        run.finished = True
        run.side.reply(answer(200, b"ok", run.request_id))
