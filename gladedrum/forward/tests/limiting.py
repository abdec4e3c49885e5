"""Engines that name the rate of requests that they take, in virtual time, on the wire of `support`.

All that reaches an engine is kept with the box that sent it: requests, reports, orders. The checks
count what came from boxes that the engine had told.
"""

import random
from typing import NamedTuple

from gladedrum.forward.tests.crashing import CrashingFleet, Engine
from gladedrum.forward.tests.support import World
from gladedrum.platform import wire

RATE = b"Server-Limit"
WINDOW_S = 4.0
TOLD_S, IN_TOUCH_S = 0.5, 3.0
"""A box counts from so long after it was told; an engine's rate from so long after it named one."""
FACTOR, SLACK = 1.5, 5


class Arrival(NamedTuple):
    """What reached an engine: when, which, from which box, and its path."""

    at_s: float
    port: int
    box: str
    path: bytes


class LimitingFleet(CrashingFleet):
    """Boxes and engines; `name_rate` has an engine name a rate in all its answers."""

    def __init__(self, targets: int = 4, boxes: int = 3, **route):
        self.rates: dict[int, bytes] = {}
        self.named_s: dict[int, float] = {}
        self.told: dict[tuple[int, str], float] = {}
        self.arrivals: list[Arrival] = []
        self._box_of_pool: dict[object, str] = {}
        super().__init__(targets, (), boxes, **route)

    def start_box(self, name: str) -> World:
        """Return a new start of a box; what its earlier starts were told counts for it."""
        box = super().start_box(name)
        self._box_of_pool[box.ctx.pool] = name
        return box

    def name_rate(self, port: int, per_s: float | bytes | None) -> None:
        """Have an engine name a rate from now on; None: it names none any more."""
        if per_s is None:
            del self.rates[port]
            return
        self.rates[port] = per_s if isinstance(per_s, bytes) else b"%g" % per_s
        self.named_s.setdefault(port, self.net.seconds())

    def ask_often(self, per_s: float, for_s: float, seed: int = 1) -> list:
        """Have callers come at random boxes at a mean rate; return them."""
        rng, callers = random.Random(seed), []
        names = list(self.boxes)
        until_s = self.net.seconds() + for_s
        while self.net.seconds() < until_s:
            callers.append(self.ask(b"q%d" % len(callers), rng.choice(names)))
            self.play(rng.expovariate(per_s))
        return callers

    def most_in_window(self, port: int) -> int:
        """Return the most that reached an engine in one window from boxes that it had told."""
        counted = [
            a.at_s
            for a in self.arrivals
            if a.port == port
            and a.at_s >= self.named_s[port] + IN_TOUCH_S
            and self.told.get((port, a.box), float("inf")) <= a.at_s - TOLD_S
        ]
        return max((sum(at <= t < at + WINDOW_S for t in counted) for at in counted), default=0)

    def allowed(self, port: int) -> float:
        """Return how many may reach an engine in one window."""
        return FACTOR * float(self.rates[port]) * WINDOW_S + SLACK

    def requests_at(self, port: int, from_s: float = 0.0) -> int:
        """Return how many callers' requests have reached an engine since a time."""
        return sum(
            a.port == port and a.at_s >= from_s and not a.path.startswith(b"/api/")
            for a in self.arrivals
        )

    # The engines.

    def _take(self, index: int, side) -> None:
        engine = self.engines[side.place[1]]
        if engine.up:
            box = self._box_of(side)
            path = side.sent.split(b" ", 2)[1]
            self.arrivals.append(Arrival(self.net.seconds(), engine.port, box, path))
            self._name_to(side, engine)
        super()._take(index, side)

    def _name_to(self, side, engine: Engine) -> None:
        """Have each answer's head name the rate, as it is when the head is written."""
        if hasattr(side, "plain_reply"):
            return
        side.plain_reply, box = side.reply, self._box_of(side)

        def reply(data: bytes) -> None:
            if data.startswith(b"HTTP/1.1 "):
                line, _, rest = data.partition(b"\r\n")
                data = b"\r\n".join([line, *self._says(engine.port, box), rest])
            side.plain_reply(data)

        side.reply = reply

    def _says(self, port: int, box: str) -> list[bytes]:
        """Return the headers by which an engine says something of itself to a box."""
        rate = self.rates.get(port)
        if rate is None:
            return []
        self.told.setdefault((port, box), self.net.seconds())
        return [b"%s: %s" % (RATE, rate)]

    def _box_of(self, side) -> str:
        return self._box_of_pool[side.proto._wrappedProtocol._pool]


def is_report(arrival: Arrival) -> bool:
    """Whether a box asked for a report."""
    return arrival.path == wire.REPORT_PATH.encode()
