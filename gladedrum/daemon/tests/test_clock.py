"""By which clock a box keeps its ages, leases and timers.

Seen: days on which the time of day of the boxes is stepped and back serve less, at their worst
moments by far. Cause: the reactor's clock is the time of day, though the pages say that ages are on
the monotonic one; a step is taken for time that has passed, or holds all timers still. The
monotonic clock would be wrong, too: it stands still while a machine is suspended, and a key that
was taken away meanwhile would go on working.

The three clocks move apart here; the reactor is one of its own that the process's entry sets up.
"""

import time

import pytest
from twisted.internet.selectreactor import SelectReactor

from gladedrum.beliefs.configuration import ConfigurationKeeper
from gladedrum.beliefs.target_list import TargetKeeper
from gladedrum.daemon import main as daemon
from gladedrum.forward.admission import Admission
from gladedrum.forward.tests.support import NoFeed
from gladedrum.routes import RouteTable

KEY_BOUND_S = 5.0
STEPS_S = (-4000.0, 4000.0)


class Clocks:
    """The machine's three clocks, moved by hand; all in seconds."""

    def __init__(self):
        self.now_s = {
            time.CLOCK_REALTIME: 1e9,
            time.CLOCK_MONOTONIC: 50.0,
            time.CLOCK_BOOTTIME: 90.0,
        }

    def read(self, clock_id):
        return self.now_s[clock_id]

    def pass_by(self, seconds, suspended=False):
        for clock_id in self.now_s:
            if not (suspended and clock_id == time.CLOCK_MONOTONIC):
                self.now_s[clock_id] += seconds

    def step(self, seconds):
        self.now_s[time.CLOCK_REALTIME] += seconds


@pytest.fixture
def clocks(monkeypatch):
    found = Clocks()
    monkeypatch.setattr(time, "clock_gettime", found.read)
    monkeypatch.setattr(time, "time", lambda: found.read(time.CLOCK_REALTIME))
    monkeypatch.setattr(time, "monotonic", lambda: found.read(time.CLOCK_MONOTONIC))
    return found


@pytest.fixture
def reactor(clocks, monkeypatch, tmp_path):
    """A reactor as the daemon's entry leaves it."""
    made = SelectReactor()
    made.seconds = lambda: clocks.read(time.CLOCK_REALTIME)
    monkeypatch.setattr(daemon, "reactor", made)
    path = tmp_path / "box.ini"
    path.write_text("[forward]\nenabled = yes\n")
    assert daemon.main(["--config", str(path), "--check"]) == daemon.EXIT_OK
    return made


def test_a_timer_is_neither_early_nor_late_after_a_step_of_the_time_of_day(reactor, clocks):
    for step_s in STEPS_S:
        fired = []
        reactor.callLater(5.0, fired.append, True)
        clocks.step(step_s)
        clocks.pass_by(4.9)
        reactor.runUntilCurrent()
        assert not fired
        clocks.pass_by(0.2)
        reactor.runUntilCurrent()
        assert fired


def test_ages_do_not_follow_the_time_of_day(reactor, clocks):
    for step_s in STEPS_S:
        configuration = ConfigurationKeeper(reactor, NoFeed(), 2.0, None)
        configuration._vouch(reactor.seconds())
        clocks.step(step_s)
        clocks.pass_by(1.0)
        assert configuration.age_s == pytest.approx(1.0)


def test_time_in_which_the_machine_was_suspended_counts(reactor, clocks):
    """A key may have been taken away, a target may have left, a deadline may have passed."""
    configuration = ConfigurationKeeper(reactor, NoFeed(), 2.0, None)
    configuration._apply(RouteTable(1))
    configuration._vouch(reactor.seconds())
    targets = TargetKeeper(reactor, NoFeed(), 2.0, lambda _entry: None, None)
    targets._note_vouched(reactor.seconds())
    admission = Admission(configuration, KEY_BOUND_S, keys_expire=True)
    late = []
    reactor.callLater(8.0, late.append, True)
    clocks.pass_by(10.0, suspended=True)
    clocks.step(-10.0)
    reactor.runUntilCurrent()
    assert not admission.keys_are_vouched_for
    assert targets.age_s == pytest.approx(10.0)
    assert late
