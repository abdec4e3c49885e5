"""A change of the settings file that can't be used leaves a running box as it is."""

import gc
import signal

import pytest

from gladedrum.daemon import main as daemon
from gladedrum.daemon import start as entry
from gladedrum.forward.settings import forward_settings

GOOD = "[forward]\nenabled = yes\ncallers = 127.0.0.1:81\n"


class _Box:
    """Takes settings over as a forwarding box does."""

    def __init__(self):
        self.callers = []

    def reload(self, cfg):
        self.callers.append(forward_settings(cfg).callers)


@pytest.mark.parametrize(
    "wrong", ["", GOOD[: GOOD.index(".1:81")], GOOD + "no settings", GOOD + "nonsense = 1"]
)
def test_settings_that_are_wrong_or_half_written_do_not_end_the_box(tmp_path, wrong):
    """An address that was cut short passed the first check; the box ended on the second. An empty
    file, as there is while it is written anew, put all defaults into force."""
    path = tmp_path / "box.ini"
    path.write_text(GOOD)
    run = daemon._Run(daemon.load_settings(path), None, str(path))
    run._box = box = _Box()
    path.write_text(wrong)
    run.reload()
    path.write_text(GOOD.replace("81", "82"))
    run.reload()
    assert box.callers == [("127.0.0.1", 82)]


def test_a_hang_up_signal_does_not_end_a_box_that_still_starts(monkeypatch):
    """Until the box had its handler, the signal ended it, with the callers that waited."""
    handlers = []
    monkeypatch.setattr(daemon, "main", lambda _argv: handlers.append(_handler()) or 0)
    before = _handler()
    try:
        entry.main([])
    finally:
        signal.signal(signal.SIGHUP, before)
        gc.enable()
    assert handlers != [signal.SIG_DFL]


def _handler():
    return signal.getsignal(signal.SIGHUP)
