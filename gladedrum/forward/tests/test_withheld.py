"""Attempts that are withheld: their target announces leaving or a backoff before they are sent.

Guards against counting an unsent attempt as a sent one, charging it to the retry budget, and
refusing its request while another target is free.
"""

import pytest

from gladedrum.forward.tests.support import World, answer
from gladedrum.platform.statements import Statements


@pytest.mark.parametrize("statements", [Statements(leaves=True), Statements(rest_s=3.0)])
def test_a_withheld_attempt_moves_elsewhere_at_once_without_a_retry(statements):
    world = World(targets=2, repeatable=True, max_targets=2)
    world.net.connect_delay_s = 0.1
    caller = world.caller()
    caller.send_request(b"body")
    world.run(0.05)
    (placed,) = [name for name in ("t1", "t2") if world.view.state(name).ledger.rows]
    world.statements.note_answer(placed, 0, statements, world.net.seconds())
    world.run(0.2)
    sent = [side for side in world.net.opened if b"/x/2f" in side.sent]
    assert len(sent) == 1
    assert sent[0].address[1] != 9000 + int(placed[1:])
    sent[0].reply(answer())
    world.run()
    assert caller.status == 200
    assert world.ctx.metrics.repeats.labels("sent")._value.get() == 0
    assert world.tasks[0]._attempt_count == 1


def test_a_request_withheld_everywhere_is_refused_as_not_run():
    world = World(targets=1, repeatable=True)
    world.net.connect_delay_s = 0.1
    caller = world.caller()
    caller.send_request(b"body")
    world.run(0.05)
    world.statements.note_answer("t1", 0, Statements(rest_s=3.0), world.net.seconds())
    world.run(0.1)
    assert caller.status == 503
    assert not [side for side in world.net.opened if b"/x/2f" in side.sent]
