"""A table whose store comes back from a copy: no accepted edit is lost, and all have one table.

Seen with boxes as they were: an accepted edit was lost with the copy and its revision given to
another one. A box that had the first never took the second, one that started took only the second:
the same revision with 2.0 on one box and 3.0 on the other, and nothing told of it. Cause: what is
in force was known by its revision alone, and nobody held an edit once it was accepted.
"""

import contextlib

from twisted.internet import reactor

from gladedrum.errors import KVUnavailableError, KVUnknownError
from gladedrum.platform.tests.store_case import StoreCase
from gladedrum.table import Accepted, Cell, TableFollower, TableInForce, TableStore
from gladedrum.utils import sleep, start

WAIT_S = 8.0

PLACE_STEPS, PLACE_STEP_S = 200, 0.02


class TableFromCopyTest(StoreCase):
    """Boxes that follow one table, against the stand-in."""

    async def setUp(self):
        await super().setUp()
        self.operator = TableStore(self.store())

    def box(self):
        store, in_force = self.store(), TableInForce(reactor)
        follower = TableFollower(reactor, store, in_force)
        store.on_era.append(lambda _before, _era: follower.note_era())
        self.running += [start(follower.run()), start(self.call_often(store))]
        return in_force

    async def call_often(self, store):
        """Call as the other parts of a box do; a watch that waits learns of no new era."""
        while True:
            with contextlib.suppress(KVUnavailableError):
                await store.get("other")
            await sleep(reactor, 0.5)

    async def edit(self, knob, value, seen, store=None):
        cells = [Cell("default", knob, value)]
        result = await (store or self.operator).edit(cells, seen, "somebody", "why")
        assert isinstance(result, Accepted), result
        return result

    async def until_rows(self, boxes, **cells):
        for _ in range(round(WAIT_S / 0.02)):
            if all(box.table.rows.get("default", {}) == cells for box in boxes):
                return
            await sleep(reactor, 0.02)
        raise AssertionError([box.table for box in boxes])

    async def boxes_beyond_the_copy(self):
        """Return two boxes that have an edit which the copy lacks."""
        boxes = [self.box(), self.box()]
        await self.edit("weight", 1.0, 0)
        self.service.keep_copy()
        await self.edit("weight", 2.0, 1)
        await self.until_rows(boxes, weight=2.0)
        return boxes

    async def wait_for_all(self, boxes, **cells):
        """Wait until boxes, and one that starts now, have the same table."""
        late = self.box()
        await self.until_rows([*boxes, late], **cells)
        # Rows that stood before the drill match at once; the era is noticed later.
        for _ in range(PLACE_STEPS):
            if len({box.table.place for box in (*boxes, late)}) == 1:
                return
            await sleep(reactor, PLACE_STEP_S)
        self.fail("boxes have tables of two places")

    async def test_an_accepted_edit_comes_back(self):
        boxes = await self.boxes_beyond_the_copy()
        self.service.go_back(None)
        await self.wait_for_all(boxes, weight=2.0)
        history = await self.operator.history(5)
        assert [edit.cells[0].value for edit in history] == [2.0, 1.0]
        assert "written again" in history[0].why

    async def test_an_edit_that_was_made_meanwhile_is_settled_cell_by_cell(self):
        boxes = [self.box(), self.box()]
        await self.edit("weight", 1.0, 0)
        self.service.keep_copy()
        cells = [Cell("default", "weight", 2.0), Cell("default", "deadline_s", 9.0)]
        await self.operator.edit(cells, 1, "somebody", "why")
        await self.until_rows(boxes, weight=2.0, deadline_s=9.0)
        self.service.cut_watches()
        self.service.switches.outage = True
        self.service.go_back(None)
        self.service.switches.outage = False
        await self.edit("weight", 3.0, 1, TableStore(self.store()))
        await self.wait_for_all(boxes, weight=3.0, deadline_s=9.0)
        assert "left as set meanwhile: default weight" in (await self.operator.history(1))[0].why

    async def test_an_edit_that_only_its_box_knows_comes_back(self):
        box = self.box()
        await self.edit("weight", 1.0, 0)
        await self.until_rows([box], weight=1.0)
        self.service.keep_copy()
        accepted = await self.edit("weight", 2.0, 1)
        box.hold(accepted.edit)
        self.service.go_back(None)
        await self.wait_for_all([box], weight=2.0)

    async def test_a_write_that_held_by_accident_is_found_and_put_right(self):
        """Revisions are given out again: a write under way meets one that it did not mean."""
        boxes = await self.boxes_beyond_the_copy()
        late = self.store()
        row = await late.get("gladedrum/table/head")
        self.service.go_back(None)
        await self.edit("deadline_s", 7.0, 1, TableStore(self.store()))
        await self.until_rows(boxes, weight=2.0, deadline_s=7.0)
        # The answer that tells the era comes after the write: a client that knows the era before.
        head = self.service._entries["gladedrum/table/head"]
        head.revision = row.revision.number
        await self.assertFailure(
            start(late.swap("gladedrum/table/head", row.value, row.revision)), KVUnknownError
        )
        assert self.service._entries["gladedrum/table/head"].value == row.value
        await self.wait_for_all(boxes, weight=2.0, deadline_s=7.0)

    async def test_two_drills_in_quick_succession(self):
        boxes = await self.boxes_beyond_the_copy()
        self.service.go_back(None)
        await sleep(reactor, 0.05)
        self.service.go_back(None)
        await self.wait_for_all(boxes, weight=2.0)
        assert boxes[0].table.era == 3
