"""Requests that are held back at the gate: chosen for a target that then says it can't be.

Seen in review: the request had gone nowhere, and yet it was counted as offered, its next try took a
repeat, and it was refused if its connection had taken an eighth of its objective. Cause: a try that
was not sent ended like one that no target takes.
"""

import pytest

from gladedrum.forward.tests.support import World, answer
from gladedrum.platform.statements import Statements


@pytest.mark.parametrize("said", [Statements(leaves=True), Statements(rest_s=3.0)])
def test_one_goes_elsewhere_at_once_and_for_nothing(said):
    world = World(targets=2, repeatable=True, max_targets=2)
    world.net.connect_delay_s = 0.1
    caller = world.caller()
    caller.ask(b"body")
    world.run(0.05)
    (placed,) = [name for name in ("t1", "t2") if world.view.state(name).ledger.rows]
    world.statements.note_answer(placed, 0, said, world.net.seconds())
    world.run(0.2)
    sent = [side for side in world.net.opened if b"/x/2f" in side.sent]
    assert len(sent) == 1
    assert sent[0].place[1] != 9000 + int(placed[1:])
    sent[0].reply(answer())
    world.run()
    assert caller.status == 200
    assert world.ctx.metrics.repeats.labels("sent")._value.get() == 0
    assert world.tasks[0]._offers == 1


def test_one_that_is_held_back_everywhere_is_refused_as_not_run():
    world = World(targets=1, repeatable=True)
    world.net.connect_delay_s = 0.1
    caller = world.caller()
    caller.ask(b"body")
    world.run(0.05)
    world.statements.note_answer("t1", 0, Statements(rest_s=3.0), world.net.seconds())
    world.run(0.1)
    assert caller.status == 503
    assert not [side for side in world.net.opened if b"/x/2f" in side.sent]
