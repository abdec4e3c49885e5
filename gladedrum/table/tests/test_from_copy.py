"""After the store is restored from a copy, no accepted edit is lost and all boxes have one table.

Guards against boxes with different tables of the same revision: a restored store assigns revisions
again, so an edit that it lost and a later one can have the same number.
"""

import contextlib

from twisted.internet import reactor

from gladedrum.errors import KVUnavailableError, KVUnknownError
from gladedrum.platform.tests.store_case import StoreCase
from gladedrum.table import Accepted, Cell, TableFollower, TableInForce, TableStore
from gladedrum.utils import sleep, start

ROWS_TIMEOUT_S = 8.0

COMPARE_STEPS, COMPARE_STEP_S = 200, 0.02


class TableFromCopyTest(StoreCase):
    """Boxes that follow one table, against the stand-in of the store."""

    async def setUp(self):
        await super().setUp()
        self.operator = TableStore(self.store())

    def box(self):
        """Start the follower of a box, and return the box's table in force."""
        store, in_force = self.store(), TableInForce(reactor)
        follower = TableFollower(reactor, store, in_force)
        store.on_restored.append(lambda _before, _era: follower.note_store_restored())
        self.running += [start(follower.run()), start(self.call_often(store))]
        return in_force

    async def call_often(self, store):
        """Call the store as other parts of a box do; a waiting watch does not notice a new era."""
        while True:
            with contextlib.suppress(KVUnavailableError):
                await store.get("other")
            await sleep(reactor, 0.5)

    async def edit(self, knob, value, seen, store=None):
        cells = [Cell("default", knob, value)]
        result = await (store or self.operator).edit(cells, seen, "somebody", "why")
        assert isinstance(result, Accepted), result
        return result

    async def wait_for_rows(self, boxes, **cells):
        for _ in range(round(ROWS_TIMEOUT_S / 0.02)):
            if all(box.table.rows.get("default", {}) == cells for box in boxes):
                return
            await sleep(reactor, 0.02)
        raise AssertionError([box.table for box in boxes])

    async def boxes_ahead_of_the_copy(self):
        """Return two boxes that have an edit which the copy of the store lacks."""
        boxes = [self.box(), self.box()]
        await self.edit("weight", 1.0, 0)
        self.service.save_snapshot()
        await self.edit("weight", 2.0, 1)
        await self.wait_for_rows(boxes, weight=2.0)
        return boxes

    async def wait_until_equal(self, boxes, **cells):
        """Wait until the boxes, and one that starts now, have the same table."""
        new_box = self.box()
        await self.wait_for_rows([*boxes, new_box], **cells)
        # Rows from before the restore match at once, but boxes notice the new era only later.
        for _ in range(COMPARE_STEPS):
            if len({box.table.full_revision for box in (*boxes, new_box)}) == 1:
                return
            await sleep(reactor, COMPARE_STEP_S)
        self.fail("boxes have tables of different eras or revisions")

    async def test_an_accepted_edit_is_restored(self):
        boxes = await self.boxes_ahead_of_the_copy()
        self.service.restore_snapshot(None)
        await self.wait_until_equal(boxes, weight=2.0)
        history = await self.operator.history(5)
        assert [edit.cells[0].value for edit in history] == [2.0, 1.0]
        assert "written again" in history[0].why

    async def test_cells_that_were_set_after_the_loss_keep_their_values(self):
        boxes = [self.box(), self.box()]
        await self.edit("weight", 1.0, 0)
        self.service.save_snapshot()
        cells = [Cell("default", "weight", 2.0), Cell("default", "deadline_s", 9.0)]
        await self.operator.edit(cells, 1, "somebody", "why")
        await self.wait_for_rows(boxes, weight=2.0, deadline_s=9.0)
        self.service.abort_watches()
        self.service.switches.outage = True
        self.service.restore_snapshot(None)
        self.service.switches.outage = False
        await self.edit("weight", 3.0, 1, TableStore(self.store()))
        await self.wait_until_equal(boxes, weight=3.0, deadline_s=9.0)
        assert "left as set meanwhile: default weight" in (await self.operator.history(1))[0].why

    async def test_an_edit_that_only_one_box_knows_is_restored(self):
        box = self.box()
        await self.edit("weight", 1.0, 0)
        await self.wait_for_rows([box], weight=1.0)
        self.service.save_snapshot()
        accepted = await self.edit("weight", 2.0, 1)
        box.keep_accepted(accepted.edit)
        self.service.restore_snapshot(None)
        await self.wait_until_equal([box], weight=2.0)

    async def test_a_write_that_succeeded_by_accident_is_detected_and_repaired(self):
        """A restored store assigns revisions again, so a compare-and-swap that was under way can
        match a revision other than the one it read."""
        boxes = await self.boxes_ahead_of_the_copy()
        stale_client = self.store()
        item = await stale_client.get("gladedrum/table/head")
        self.service.restore_snapshot(None)
        await self.edit("deadline_s", 7.0, 1, TableStore(self.store()))
        await self.wait_for_rows(boxes, weight=2.0, deadline_s=7.0)
        # A client that still assumes the earlier era learns of the new one only from the reply to
        # its write.
        head = self.service._entries["gladedrum/table/head"]
        head.revision = item.revision.number
        await self.assertFailure(
            start(stale_client.swap("gladedrum/table/head", item.value, item.revision)),
            KVUnknownError,
        )
        assert self.service._entries["gladedrum/table/head"].value == item.value
        await self.wait_until_equal(boxes, weight=2.0, deadline_s=7.0)

    async def test_two_restores_in_quick_succession(self):
        boxes = await self.boxes_ahead_of_the_copy()
        self.service.restore_snapshot(None)
        await sleep(reactor, 0.05)
        self.service.restore_snapshot(None)
        await self.wait_until_equal(boxes, weight=2.0)
        assert boxes[0].table.era == 3
