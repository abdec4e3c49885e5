"""The clock of ages, leases and timers counts suspended time and ignores steps of the wall clock.

A step of the wall clock must not make timers early or late. The monotonic clock does not count
suspension, so a revoked key would stay valid after it.
"""

import random
import time

import pytest
from twisted.internet.selectreactor import SelectReactor

from gladedrum.beliefs.configuration import ConfigurationFollower
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.daemon import main as daemon
from gladedrum.forward.admission import Admission
from gladedrum.forward.tests.support import NoFeed
from gladedrum.routes import Configuration

KEY_BOUND_S = 5.0
STEPS_S = (-4000.0, 4000.0)


class Clocks:
    """Fakes of the system's three clocks, in seconds, advanced by the test."""

    def __init__(self):
        self.now_s = {
            time.CLOCK_REALTIME: 1e9,
            time.CLOCK_MONOTONIC: 50.0,
            time.CLOCK_BOOTTIME: 90.0,
        }

    def read(self, clock_id):
        return self.now_s[clock_id]

    def advance(self, seconds, suspended=False):
        for clock_id in self.now_s:
            if not (suspended and clock_id == time.CLOCK_MONOTONIC):
                self.now_s[clock_id] += seconds

    def step(self, seconds):
        self.now_s[time.CLOCK_REALTIME] += seconds


@pytest.fixture
def clocks(monkeypatch):
    fake = Clocks()
    monkeypatch.setattr(time, "clock_gettime", fake.read)
    monkeypatch.setattr(time, "time", lambda: fake.read(time.CLOCK_REALTIME))
    monkeypatch.setattr(time, "monotonic", lambda: fake.read(time.CLOCK_MONOTONIC))
    return fake


@pytest.fixture
def reactor(clocks, monkeypatch, tmp_path):
    """A reactor set up by the daemon's `main`."""
    own_reactor = SelectReactor()
    own_reactor.seconds = lambda: clocks.read(time.CLOCK_REALTIME)
    monkeypatch.setattr(daemon, "reactor", own_reactor)
    path = tmp_path / "box.ini"
    path.write_text("[forward]\nenabled = yes\n")
    assert daemon.main(["--config", str(path), "--check"]) == daemon.EXIT_OK
    return own_reactor


def test_timers_ignore_steps_of_the_wall_clock(reactor, clocks):
    for step_s in STEPS_S:
        fired = []
        reactor.callLater(5.0, fired.append, True)
        clocks.step(step_s)
        clocks.advance(4.9)
        reactor.runUntilCurrent()
        assert not fired
        clocks.advance(0.2)
        reactor.runUntilCurrent()
        assert fired


def pace(reactor):
    return StorePace(reactor, random.Random(1))


def test_ages_ignore_steps_of_the_wall_clock(reactor, clocks):
    for step_s in STEPS_S:
        configuration = ConfigurationFollower(reactor, NoFeed(), 2.0, pace(reactor))
        configuration._confirm(reactor.seconds())
        clocks.step(step_s)
        clocks.advance(1.0)
        assert configuration.age_s == pytest.approx(1.0)


def test_suspended_time_counts(reactor, clocks):
    """A key may be revoked, a target may leave and a deadline may pass during a suspension."""
    configuration = ConfigurationFollower(reactor, NoFeed(), 2.0, pace(reactor))
    configuration._apply(Configuration(1))
    configuration._confirm(reactor.seconds())
    targets = TargetListFollower(reactor, NoFeed(), 2.0, lambda _entry: None, pace(reactor))
    targets._note_confirmed(reactor.seconds())
    admission = Admission(configuration, KEY_BOUND_S, keys_expire=True)
    fired = []
    reactor.callLater(8.0, fired.append, True)
    clocks.advance(10.0, suspended=True)
    clocks.step(-10.0)
    reactor.runUntilCurrent()
    assert not admission.keys_are_trusted
    assert targets.age_s == pytest.approx(10.0)
    assert fired
