"""Reloaded settings apply without a restart; readiness of a box without fresh configuration."""

from twisted.internet.testing import MemoryReactorClock

from gladedrum.config import parse_settings
from gladedrum.forward.box import ForwardingBox

TEXT = "[forward]\nenabled = yes\nkey_bound_ms = {}\nleave_bound_ms = 2000\nretry_slack = 100\n"


def test_a_changed_key_bound_applies_at_once():
    box = ForwardingBox(MemoryReactorClock(), parse_settings(TEXT.format(5000)))
    box._configuration._confirm(box._reactor.seconds())
    box._reactor.advance(3.0)
    assert box._ctx.admission.keys_are_trusted
    box.reload(parse_settings(TEXT.format(2000)))
    assert not box._ctx.admission.keys_are_trusted


def test_a_box_without_configuration_reports_why_it_is_not_ready():
    box = ForwardingBox(MemoryReactorClock(), parse_settings(TEXT.format(5000)))
    assert "no configuration is known" in box.not_ready()


def test_a_stale_configuration_counts_as_unready_only_if_keys_expire():
    reasons = {}
    for expire in ("yes", "no"):
        text = TEXT.format(5000) + f"keys_expire = {expire}\n"
        box = ForwardingBox(MemoryReactorClock(), parse_settings(text))
        box._configuration._confirm(box._reactor.seconds())
        box._reactor.advance(60.0)
        reasons[expire] = box.not_ready()
    assert "the configuration is old" in reasons["yes"]
    assert "the configuration is old" not in reasons["no"]
