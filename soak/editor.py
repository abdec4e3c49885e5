"""An operator of a soak who edits the table of weights and limits, at one box after another."""

import random
import time

from twisted.internet import reactor

from gladedrum.utils import LostAnswerError, NotSentError, WebClient, sleep

from .boxes import OPERATOR, SoakBox
from .history import Edited, History
from .proxy import LOOPBACK

__all__ = ["TableEditor"]

EDIT_EVERY_S = 0.8
"""Mean time between two edits, in seconds."""

ANSWER_S = 4.0
"""How long an edit may take, in seconds; after that its author does not know."""

_HEADERS = {"authorization": f"Bearer {OPERATOR}"}


class TableEditor:
    """Each edit sets a cell of a row of its own, so that no edit undoes another.

    Parameters
    ----------
    web : WebClient
        Calls boxes.
    boxes : list of SoakBox
        Where edits are made.
    history : History
        Where accepted edits are noted.
    rng : random.Random
        Chooses box and time.
    """

    def __init__(self, web: WebClient, boxes: list[SoakBox], history: History, rng: random.Random):
        self._web = web
        self._boxes = boxes
        self._history = history
        self._rng = rng
        self.stopping = False

    async def run(self) -> None:
        """Edit until told to stop."""
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
            reply = await self._web.call_json("POST", url, body, ANSWER_S, _HEADERS)
        except (NotSentError, LostAnswerError):
            return
        if reply.body.get("result") == "accepted":
            self._history.edited.append(Edited(time.monotonic(), box.index, row))

    async def note_rows(self) -> None:
        """Note which rows each box that answers shows at the end."""
        for box in self._boxes:
            url = f"http://{LOOPBACK}:{box.ready_port}/table/rows"
            try:
                reply = await self._web.call_json("GET", url, None, ANSWER_S)
            except (NotSentError, LostAnswerError):
                continue
            self._history.rows_left[box.index] = set(reply.body["rows"])
