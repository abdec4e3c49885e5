"""A fleet whose engines state the request rate that they accept, in virtual time.

Each arrival at an engine is recorded with the box that sent it: requests, report requests and
reservation calls. Rates are checked on arrivals from boxes that know of the rate.
"""

import random
from typing import NamedTuple

from gladedrum.forward.tests.crashing_fleet import CrashingFleet, Engine
from gladedrum.forward.tests.support import World
from gladedrum.platform import wire

RATE_HEADER = b"Server-Limit"
WINDOW_S = 4.0
INFORMED_AFTER_S, COUNTED_AFTER_S = 0.5, 3.0
"""Arrivals count from `INFORMED_AFTER_S` after their box has learned of the rate, and from
`COUNTED_AFTER_S` after the engine has begun to state one."""
RATE_FACTOR, SLACK_REQUESTS = 1.5, 5
"""An engine may get `RATE_FACTOR` times its rate, plus `SLACK_REQUESTS`, within `WINDOW_S`."""


class Arrival(NamedTuple):
    """An HTTP request that reached an engine, for any purpose."""

    at_s: float
    port: int
    box: str
    path: bytes


class RateLimitingFleet(CrashingFleet):
    """Boxes and engines; after `set_rate` an engine states its rate in all answers."""

    def __init__(self, targets: int = 4, boxes: int = 3, **route):
        self.rates: dict[int, bytes] = {}
        self.rate_set_s: dict[int, float] = {}
        self.informed_s: dict[tuple[int, str], float] = {}
        self.arrivals: list[Arrival] = []
        self._box_of_pool: dict[object, str] = {}
        super().__init__(targets, (), boxes, **route)

    def start_box(self, name: str) -> World:
        """Start or restart a box; a restarted box counts as informed if it was before."""
        box = super().start_box(name)
        self._box_of_pool[box.ctx.pool] = name
        return box

    def set_rate(self, port: int, per_s: float | bytes | None) -> None:
        """Set the rate that an engine states from now on; None for no rate."""
        if per_s is None:
            del self.rates[port]
            return
        self.rates[port] = per_s if isinstance(per_s, bytes) else b"%g" % per_s
        self.rate_set_s.setdefault(port, self.net.seconds())

    def send_random_requests(self, per_s: float, for_s: float, seed: int = 1) -> list:
        """Send requests to random boxes at a mean rate; return their callers."""
        rng, callers = random.Random(seed), []
        names = list(self.boxes)
        until_s = self.net.seconds() + for_s
        while self.net.seconds() < until_s:
            callers.append(self.send_request(b"q%d" % len(callers), rng.choice(names)))
            self.advance(rng.expovariate(per_s))
        return callers

    def most_in_window(self, port: int) -> int:
        """Return the maximum of arrivals in one window from boxes that know the engine's rate."""
        counted = [
            a.at_s
            for a in self.arrivals
            if a.port == port
            and a.at_s >= self.rate_set_s[port] + COUNTED_AFTER_S
            and self.informed_s.get((port, a.box), float("inf")) <= a.at_s - INFORMED_AFTER_S
        ]
        return max((sum(at <= t < at + WINDOW_S for t in counted) for at in counted), default=0)

    def allowed(self, port: int) -> float:
        """Return how many arrivals an engine may get in one window."""
        return RATE_FACTOR * float(self.rates[port]) * WINDOW_S + SLACK_REQUESTS

    def requests_at(self, port: int, from_s: float = 0.0) -> int:
        """Return how many callers' requests have reached an engine since `from_s`."""
        return sum(
            a.port == port and a.at_s >= from_s and not a.path.startswith(b"/api/")
            for a in self.arrivals
        )

    # Engines.

    def _receive(self, index: int, side) -> None:
        engine = self.engines[side.address[1]]
        if engine.up:
            box = self._box_of(side)
            path = side.sent.split(b" ", 2)[1]
            self.arrivals.append(Arrival(self.net.seconds(), engine.port, box, path))
            self._add_statements(side, engine)
        super()._receive(index, side)

    def _add_statements(self, side, engine: Engine) -> None:
        """Add the engine's statements to the head of each answer when it is written."""
        if hasattr(side, "original_reply"):
            return
        side.original_reply, box = side.reply, self._box_of(side)

        def reply(data: bytes) -> None:
            if data.startswith(b"HTTP/1.1 "):
                line, _, rest = data.partition(b"\r\n")
                data = b"\r\n".join([line, *self._statement_headers(engine.port, box), rest])
            side.original_reply(data)

        side.reply = reply

    def _statement_headers(self, port: int, box: str) -> list[bytes]:
        """Return the header lines with the engine's statements, and note that the box got them."""
        rate = self.rates.get(port)
        if rate is None:
            return []
        self.informed_s.setdefault((port, box), self.net.seconds())
        return [b"%s: %s" % (RATE_HEADER, rate)]

    def _box_of(self, side) -> str:
        return self._box_of_pool[side.proto._wrappedProtocol._pool]


def is_report(arrival: Arrival) -> bool:
    """Whether a box requested a report."""
    return arrival.path == wire.REPORT_PATH.encode()
