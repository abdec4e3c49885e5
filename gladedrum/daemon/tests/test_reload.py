"""An invalid settings file does not affect a running box."""

import gc
import signal

import pytest

from gladedrum.daemon import main as daemon
from gladedrum.daemon import start as daemon_start
from gladedrum.forward.settings import forward_settings

GOOD = "[forward]\nenabled = yes\ncallers = 127.0.0.1:81\n"


class _Box:
    """Applies settings as a forwarding box does."""

    def __init__(self):
        self.callers = []

    def reload(self, cfg):
        self.callers.append(forward_settings(cfg).callers)


@pytest.mark.parametrize(
    "invalid", ["", GOOD[: GOOD.index(".1:81")], GOOD + "no settings", GOOD + "nonsense = 1"]
)
def test_invalid_or_partial_settings_do_not_stop_the_box(tmp_path, invalid):
    """A truncated address is valid until the box applies it. An empty file is valid too, and must
    not reset the box to the defaults."""
    path = tmp_path / "box.ini"
    path.write_text(GOOD)
    run = daemon._DaemonRun(daemon.load_settings(path), None, str(path))
    run._box = box = _Box()
    path.write_text(invalid)
    run.reload()
    path.write_text(GOOD.replace("81", "82"))
    run.reload()
    assert box.callers == [("127.0.0.1", 82)]


def test_sighup_during_the_start_does_not_stop_the_box(monkeypatch):
    """Guards against SIGHUP ending the process before its handler is installed."""
    handlers = []
    monkeypatch.setattr(daemon, "main", lambda _argv: handlers.append(_handler()) or 0)
    before = _handler()
    try:
        daemon_start.main([])
    finally:
        signal.signal(signal.SIGHUP, before)
        gc.enable()
    assert handlers != [signal.SIG_DFL]


def _handler():
    return signal.getsignal(signal.SIGHUP)
