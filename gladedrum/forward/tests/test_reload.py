"""Changed settings come into force without a restart."""

from twisted.internet.testing import MemoryReactorClock

from gladedrum.config import parse_settings
from gladedrum.forward.box import ForwardingBox

TEXT = "[forward]\nenabled = yes\nkey_bound_ms = {}\nleave_bound_ms = 2000\nretry_slack = 100\n"


def test_a_changed_bound_on_keys_counts_at_once():
    box = ForwardingBox(MemoryReactorClock(), parse_settings(TEXT.format(5000)))
    box._configuration._vouch(box._reactor.seconds())
    box._reactor.advance(3.0)
    assert box._ctx.admission.keys_are_vouched_for
    box.reload(parse_settings(TEXT.format(2000)))
    assert not box._ctx.admission.keys_are_vouched_for


def test_a_box_that_knows_nothing_says_why_it_is_not_ready():
    box = ForwardingBox(MemoryReactorClock(), parse_settings(TEXT.format(5000)))
    assert "no configuration is known" in box.not_ready()


def test_a_box_whose_keys_do_not_expire_stays_ready_while_the_store_is_away():
    reasons = {}
    for expire in ("yes", "no"):
        text = TEXT.format(5000) + f"keys_expire = {expire}\n"
        box = ForwardingBox(MemoryReactorClock(), parse_settings(text))
        box._configuration._vouch(box._reactor.seconds())
        box._reactor.advance(60.0)
        reasons[expire] = box.not_ready()
    assert "the configuration is old" in reasons["yes"]
    assert "the configuration is old" not in reasons["no"]
