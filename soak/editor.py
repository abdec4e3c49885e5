"""Edits of the table of weights and limits (`gladedrum.table`) through randomly chosen boxes."""

import random
import time

from twisted.internet import reactor

from gladedrum.utils import LostAnswerError, NotSentError, WebClient, sleep

from .boxes import OPERATOR_TOKEN, SoakBox
from .history import Edited, History
from .proxy import LOOPBACK

__all__ = ["TableEditor"]

EDIT_EVERY_S = 0.8
"""Mean time between two edits, in seconds."""

CALL_TIMEOUT_S = 4.0
"""Timeout of a call to a box, in seconds; after it the result of an edit is unknown."""

_HEADERS = {"authorization": f"Bearer {OPERATOR_TOKEN}"}


class TableEditor:
    """Edits the table; each edit sets a cell in a new row, so that no edit reverts another.

    Parameters
    ----------
    web : WebClient
        Client for calls to boxes.
    boxes : list of SoakBox
        Boxes that receive the edits.
    history : History
        Receives the accepted edits.
    rng : random.Random
        Source of the box and the time of each edit.
    """

    def __init__(self, web: WebClient, boxes: list[SoakBox], history: History, rng: random.Random):
        self._web = web
        self._boxes = boxes
        self._history = history
        self._rng = rng
        self.stopping = False

    async def run(self) -> None:
        """Edit until `stopping` is set."""
        number = 0
        while not self.stopping:
            number += 1
            await self._edit(f"organisation:edit-{number}")
            await sleep(reactor, self._rng.expovariate(1 / EDIT_EVERY_S))

    async def _edit(self, row: str) -> None:
        box = self._rng.choice(self._boxes)
        cells = [{"row": row, "knob": "weight", "value": 2.0}]
        body = {"cells": cells, "seen_revision": 0, "who": "soak", "why": "", "dry_run": False}
        url = f"http://{LOOPBACK}:{box.ready_port}/table/edits"
        try:
            reply = await self._web.call_json("POST", url, body, CALL_TIMEOUT_S, _HEADERS)
        except (NotSentError, LostAnswerError):
            return
        if reply.body.get("result") == "accepted":
            self._history.edited.append(Edited(time.monotonic(), box.index, row))

    async def record_rows(self) -> None:
        """Record the rows of the table at each box that responds."""
        for box in self._boxes:
            url = f"http://{LOOPBACK}:{box.ready_port}/table/rows"
            try:
                reply = await self._web.call_json("GET", url, None, CALL_TIMEOUT_S)
            except (NotSentError, LostAnswerError):
                continue
            self._history.final_rows[box.index] = set(reply.body["rows"])
