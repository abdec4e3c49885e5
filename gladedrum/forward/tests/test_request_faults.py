"""A box that fails its requests itself reports that it is not ready."""

from unittest.mock import Mock

from twisted.internet.testing import MemoryReactorClock

from gladedrum.config import parse_settings
from gladedrum.forward.box import ForwardingBox
from gladedrum.forward.request_faults import MAX_FAILURES, RETRY_S, RequestFaults
from gladedrum.forward.tests.support import World

REASON = "the last requests have failed in this box"


def make_box():
    clock = MemoryReactorClock()
    return clock, ForwardingBox(clock, parse_settings("[forward]\nenabled = yes\n"))


def end_requests(box, count, has_failed):
    for _ in range(count):
        box._request_ended(None, Mock(has_failed=has_failed))


def fail_requests(box, count):
    end_requests(box, count, has_failed=True)


# Guards against a box that says it is ready while each of its requests ends in 500.
def test_box_that_fails_each_request_is_not_ready_for_a_while():
    clock, box = make_box()
    fail_requests(box, MAX_FAILURES - 1)
    assert REASON not in box.not_ready()
    fail_requests(box, 1)
    assert REASON in box.not_ready()
    clock.advance(RETRY_S + 0.1)
    assert REASON not in box.not_ready()
    fail_requests(box, 1)
    assert REASON in box.not_ready()


# Guards against a count that misses the exceptions which the task answers itself.
def test_exception_in_a_request_is_counted(monkeypatch):
    world = World()
    monkeypatch.setattr(world.ctx.admission, "check", lambda _req: 1 / 0)
    world.caller().send_request()
    assert [task.has_failed for task in world.tasks] == [True]


def test_requests_that_are_handled_in_between_keep_it_ready():
    _clock, box = make_box()
    for _ in range(3 * MAX_FAILURES):
        fail_requests(box, MAX_FAILURES - 1)
        end_requests(box, 1, has_failed=False)
    assert REASON not in box.not_ready()


def test_faults_long_ago_do_not_count():
    clock = MemoryReactorClock()
    faults = RequestFaults(clock)
    for _ in range(MAX_FAILURES):
        faults.note_failed()
    clock.advance(RETRY_S)
    assert not faults.is_failing
