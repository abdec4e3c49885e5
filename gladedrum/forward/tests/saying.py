"""Targets that say that they leave, or want rest, in virtual time, on the wire of `support`.

The store says nothing of it. All that reaches a target is kept with the box that sent it, as in
`limiting`; the checks count what came from boxes that the target had told.
"""

import re
from typing import NamedTuple

from gladedrum.forward.tests.limiting import Arrival, LimitingFleet, is_report
from gladedrum.forward.tests.support import answer
from gladedrum.platform import wire

LEAVE_BOUND_S = 2.0
"""After so long a target gets nothing from a box that it has told that it leaves."""
REST_FROM_S, MOST_IN_REST = 0.5, 2
"""What reaches a target from so long after it has asked a box for rest, at most, until its end."""


class AskedRest(NamedTuple):
    """A target has asked a box for rest, from when until when."""

    port: int
    box: str
    from_s: float
    to_s: float


class SayingFleet(LimitingFleet):
    """Boxes and engines, which leave or want rest when they are told to."""

    def __init__(self, targets: int = 4, boxes: int = 3, **route):
        self.leaving: dict[int, bytes] = {}
        self.told_leaving: dict[tuple[int, str], float] = {}
        self.turning_away: dict[tuple[int, str], bytes] = {}
        self.rests: list[AskedRest] = []
        super().__init__(targets, boxes, **route)

    # What the tests call.

    def leave(self, port: int, word: bytes = b"1") -> None:
        """Have a target say in all answers that it leaves."""
        self.leaving[port] = word

    def turn_away(self, port: int, rest: bytes, boxes: tuple[str, ...] = ()) -> None:
        """Have a target turn boxes (none given: all) away and ask each for rest."""
        for box in boxes or self.boxes:
            self.turning_away[port, box] = rest

    def serve_again(self, port: int) -> None:
        """Have a target turn nobody away any more."""
        self.turning_away = {key: rest for key, rest in self.turning_away.items() if key[0] != port}

    def busiest(self) -> int:
        """Return the target that has got most requests."""
        return max(self.engines, key=self.requests_at)

    def came(self, port: int, from_s: float, box: str | None = None) -> list[Arrival]:
        """Return the requests of callers that have reached a target since a time, from a box."""
        return [
            a
            for a in self.arrivals
            if a.port == port
            and a.at_s >= from_s
            and (box is None or a.box == box)
            and not is_report(a)
        ]

    def late_at(self, port: int) -> list[Arrival]:
        """Return the requests of callers that came too late after a target had said it leaves."""
        told = self.told_leaving
        return [
            a
            for a in self.came(port, 0.0)
            if a.at_s > told.get((port, a.box), float("inf")) + LEAVE_BOUND_S
        ]

    def most_in_rest(self) -> int:
        """Return the most of all kinds that reached a target from one box while it wanted rest."""
        return max((self._in_rest(rest) for rest in self.rests), default=0)

    def _in_rest(self, rest: AskedRest) -> int:
        return sum(
            a.port == rest.port
            and a.box == rest.box
            and rest.from_s + REST_FROM_S <= a.at_s < rest.to_s
            for a in self.arrivals
        )

    # The targets.

    def _take(self, index: int, side) -> None:
        engine, box = self.engines[side.place[1]], self._box_of(side)
        rest = self.turning_away.get((engine.port, box))
        is_request = wire.REPORT_PATH.encode() not in side.sent.split(b"\r\n")[0]
        if not engine.up or rest is None or not is_request:
            super()._take(index, side)
            return
        now_s, data = self.net.seconds(), side.wire.take()
        self.arrivals.append(Arrival(now_s, engine.port, box, data.split(b" ", 2)[1]))
        self._name_to(side, engine)
        if re.fullmatch(rb"[0-9.]+", rest):
            self.rests.append(AskedRest(engine.port, box, now_s, now_s + float(rest)))
        request_id = re.search(rb"(?i)%s: (\S+)" % wire.REQUEST_ID, data).group(1)
        extra = b"%s: 1\r\nRetry-After: %s\r\n" % (wire.NOT_RUN, rest)
        side.reply(answer(503, b"no", request_id, extra))

    def _says(self, port: int, box: str) -> list[bytes]:
        said = super()._says(port, box)
        if port in self.leaving:
            self.told_leaving.setdefault((port, box), self.net.seconds())
            said.append(b"Server-Leaving: " + self.leaving[port])
        return said


class PlainFleet(SayingFleet):
    """The same with plain services, which boxes ask for no reports."""

    traits = None

    def __init__(self, targets: int = 4, boxes: int = 3):
        plain = {"streaming": False, "resumable": False, "repeatable": True}
        super().__init__(targets, boxes, **plain)

    def _write(self, run) -> None:
        run.over = True
        run.side.reply(answer(200, b"ok", run.request_id))
