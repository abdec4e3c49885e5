"""Targets that have said that they leave, beside lists that don't show it.

The statement holds for as long as that start lives, whatever the store or a peer lists: in an
outage the list of the store is old, and the copy that it comes back from may be older.
"""

from gladedrum.beliefs.target_list import REAPPEAR_GRACE_S, RESTORE_HOLD_S
from gladedrum.beliefs.tests.test_reborn_entries import NEW, OLD, Listed, entry


def said(born=OLD, heard=OLD):
    listed = Listed(entry(born), entry(born, name="t2"))
    assert listed.keeper.note_leaving("t1", heard)
    assert not listed.keeper.note_leaving("t1", heard)
    return listed


def test_no_list_takes_it_back():
    listed = said()
    listed.read(entry(OLD), entry(OLD, name="t2"))
    assert not listed.keeper.may_get_work("t1")
    listed.told(entry(OLD), entry(OLD, name="t2"))
    assert not listed.keeper.may_get_work("t1")
    assert [e.name for e in listed.keeper.usable("s")] == ["t2"]


def test_an_entry_that_lapses_and_comes_back_leaves_still():
    listed = said()
    listed.read(entry(OLD, name="t2"))
    assert listed.now() is None
    listed.read(entry(OLD), entry(OLD, name="t2"))
    assert not listed.keeper.may_get_work("t1")


def test_nor_does_a_store_that_comes_back_from_a_copy():
    listed = said()
    listed.keeper.note_era()
    listed.read(entry(OLD, name="t2"))
    for pause_s in (REAPPEAR_GRACE_S, RESTORE_HOLD_S, 10.0):
        listed.clock.advance(pause_s)
        listed.read(entry(OLD), entry(OLD, name="t2"))
        assert not listed.keeper.may_get_work("t1")


def test_a_later_start_is_not_bound_by_it():
    listed = said()
    listed.read(entry(NEW), entry(OLD, name="t2"))
    assert listed.keeper.may_get_work("t1")


def test_nor_is_one_that_only_reports_tell_of():
    listed = said()
    listed.keeper.note_start("t1", NEW)
    assert listed.keeper.may_get_work("t1")
    listed.read(entry(OLD), entry(OLD, name="t2"))
    assert listed.now() == entry(NEW)


def test_the_word_of_an_earlier_start_says_nothing_of_the_later():
    listed = Listed(entry(NEW))
    assert not listed.keeper.note_leaving("t1", OLD)
    assert listed.keeper.may_get_work("t1")


def test_the_word_of_a_start_that_is_not_listed_yet_holds_once_it_is():
    listed = said(OLD, NEW)
    listed.read(entry(NEW), entry(OLD, name="t2"))
    assert not listed.keeper.may_get_work("t1")


def test_one_that_tells_no_start_may_be_listed_anew_once_it_was_gone():
    listed = said(0, 0)
    listed.read(entry(0), entry(0, name="t2"))
    assert not listed.keeper.may_get_work("t1")
    listed.read(entry(0, name="t2"))
    listed.read(entry(0), entry(0, name="t2"))
    assert listed.keeper.may_get_work("t1")


def test_a_box_takes_it_from_the_list_of_a_peer_however_old():
    listed = Listed(entry(OLD), entry(OLD, name="t2"))
    old_s = listed.clock.seconds() - 5.0
    peers = (entry(OLD, leaving=True), entry(OLD, name="t2"))
    listed.keeper.apply_peer_list({e.name: e for e in peers}, old_s)
    assert not listed.keeper.may_get_work("t1")
    assert listed.keeper.may_get_work("t2")
    assert listed.keeper.age_s < 5.0


def test_it_has_not_ended_unasked_once_it_is_gone():
    gone = []
    listed = said()
    listed.keeper._on_gone = gone.append
    listed.read(entry(OLD, name="t2"))
    assert [e.leaving for e in gone] == [True]
