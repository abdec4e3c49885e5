"""Detection of requests that crash targets."""

import itertools
import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from gladedrum.scheduling.suspects import (
    ENDS_TO_CONDEMN,
    LOSS_RETENTION_S,
    MAX_REQUESTS,
    MAX_SHARED_LOSSES,
    SETTLE_TIMEOUT_S,
    Standing,
    SuspectTracker,
    TargetStart,
    Verdict,
)

BAD, GOOD, OTHER = b"bad", b"good", b"other"


def start(number: int, born: int = 7) -> TargetStart:
    return TargetStart(f"t{number}", born)


def lose(book, number, *digests, now_s=0.0, ended=True):
    for digest in digests:
        book.note_lost(digest, [start(number)], now_s)
    if ended:
        book.note_ended(start(number), now_s + 0.4)


def standing(book, digest, now_s=1.0):
    return book.standing(digest, now_s)


def test_standing_escalates_with_each_ended_target():
    book = SuspectTracker()
    found = [standing(book, BAD)]
    for number in range(3):
        lose(book, number, BAD)
        found.append(standing(book, BAD))
    assert found == [Standing.CLEAR, Standing.WATCHED, Standing.ALONE, Standing.CONDEMNED]


def test_request_is_held_until_open_losses_are_settled():
    book = SuspectTracker()
    for number in range(3):
        lose(book, number, BAD, ended=False)
    assert standing(book, BAD) is Standing.HELD
    for number in range(3):
        book.note_ended(start(number), 1.0)
    assert standing(book, BAD) is Standing.CONDEMNED


def test_report_of_a_target_clears_open_losses():
    book = SuspectTracker()
    for number in range(3):
        lose(book, number, BAD, ended=False)
        book.note_alive(start(number), 0.5)
        book.note_alive(start(number), 1.2)
    assert standing(book, BAD, 1.3) is Standing.CLEAR


def test_report_of_the_same_start_clears_ended_losses():
    book = SuspectTracker()
    for number in range(3):
        lose(book, number, BAD)
        book.note_alive(start(number), 1.5)
    assert standing(book, BAD, 1.6) is Standing.CLEAR


def test_report_of_a_later_start_clears_nothing():
    book = SuspectTracker()
    for number in range(3):
        lose(book, number, BAD)
        book.note_alive(start(number, born=8), 4.0)
    assert standing(book, BAD, 4.0) is Standing.CONDEMNED


def test_loss_reported_after_the_end_of_its_target_counts_as_ended():
    book = SuspectTracker()
    for number in range(3):
        book.note_ended(start(number), 0.0)
        book.note_lost(BAD, [start(number)], 0.2)
    assert standing(book, BAD) is Standing.CONDEMNED


def test_unknown_start_adds_no_end():
    book = SuspectTracker()
    for born in (0, 7, 8):
        book.note_lost(BAD, [TargetStart("t1", born)], 0.0)
        book.note_ended(TargetStart("t1", born), 0.1)
    assert standing(book, BAD) is Standing.ALONE


def test_repeated_loss_with_one_start_counts_once():
    book = SuspectTracker()
    for _ in range(5):
        lose(book, 1, BAD)
    assert standing(book, BAD) is Standing.WATCHED


def test_completed_request_is_cleared():
    book = SuspectTracker()
    for number in range(4):
        lose(book, number, BAD)
    cleared = book.note_served(BAD, 2.0)
    assert len(cleared) == 4
    assert standing(book, BAD, 2.0) is Standing.CLEAR


def test_innocent_requests_on_ended_targets_are_not_condemned():
    """The innocent requests share two and three of the four ended targets with the suspect."""
    book = SuspectTracker()
    lose(book, 1, BAD, GOOD, OTHER)
    lose(book, 2, BAD, GOOD, OTHER)
    lose(book, 3, BAD, GOOD)
    lose(book, 4, BAD)
    assert standing(book, BAD) is Standing.CONDEMNED
    assert standing(book, GOOD) is Standing.CLEAR
    assert standing(book, OTHER) is Standing.CLEAR


def test_requests_always_lost_together_run_alone():
    book = SuspectTracker()
    for number in range(3):
        lose(book, number, BAD, GOOD)
    assert standing(book, BAD) is standing(book, GOOD) is Standing.ALONE
    lose(book, 4, BAD)
    assert standing(book, BAD) is Standing.CONDEMNED
    assert standing(book, GOOD) is Standing.CLEAR


def test_condemned_request_is_tried_again_after_the_retention_time():
    book = SuspectTracker()
    for number in range(3):
        lose(book, number, BAD)
    row = book.condemned_row(BAD, 100.0)
    assert abs(row.left_s - (LOSS_RETENTION_S - 100.0)) < 1.0
    later_s = LOSS_RETENTION_S + 1.0
    assert standing(book, BAD, later_s) is Standing.CLEAR


def test_unsettled_loss_expires():
    book = SuspectTracker()
    lose(book, 1, BAD, ended=False)
    assert standing(book, BAD, SETTLE_TIMEOUT_S + 0.1) is Standing.CLEAR
    assert not book.is_watching
    assert book.checksum == 0


def test_flood_of_requests_evicts_those_with_fewest_losses():
    book = SuspectTracker()
    for number in range(3):
        lose(book, number, BAD)
    for index in range(3 * MAX_REQUESTS):
        book.note_lost(b"flood%d" % index, [start(1000 + index)], 2.0)
    assert len({loss.digest for loss in book.losses()}) <= MAX_REQUESTS
    assert standing(book, BAD, 2.0) is Standing.CONDEMNED


def test_condemnation_is_signalled_once():
    book, signalled = SuspectTracker(), []
    book.on_condemned = signalled.append
    for number in range(5):
        lose(book, number, BAD)
    assert [row.digest for row in signalled] == [BAD]
    assert len(signalled[0].starts) == ENDS_TO_CONDEMN


def events():
    """Return a strategy for events on two requests and four targets: (kind, request, target)."""
    kinds = st.sampled_from(["lost", "ended", "alive", "served"])
    return st.lists(st.tuples(kinds, st.sampled_from([BAD, GOOD]), st.integers(0, 3)), max_size=12)


def apply_to(book, event, now_s):
    kind, digest, number = event
    match kind:
        case "lost":
            book.note_lost(digest, [start(number)], now_s)
        case "ended":
            book.note_ended(start(number), now_s)
        case "alive":
            book.note_alive(start(number), now_s)
        case "served":
            book.note_served(digest, now_s)


def test_shared_losses_are_bounded_and_converge():
    """Two boxes each have half of more losses than they share; requests lost once are left out."""
    rng, books = random.Random(5), [SuspectTracker(), SuspectTracker()]
    for index in range(2 * MAX_SHARED_LOSSES):
        for _ in range(1 + index % 3):
            lose(rng.choice(books), 1000 + rng.randrange(500), b"r%d" % index, ended=index % 2 > 0)
    for _ in range(20):
        for one, other in (books, books[::-1]):
            assert len(one.shared()) <= MAX_SHARED_LOSSES
            other.merge([replace(loss) for loss in one.shared()], 1.0)
    assert books[0].checksum == books[1].checksum != 0
    book = SuspectTracker()
    lose(book, 1, BAD)
    assert book.checksum == 0


@given(events(), events(), st.randoms(use_true_random=False))
def test_merge_is_commutative_and_idempotent(first, second, rng):
    books = [SuspectTracker(), SuspectTracker(), SuspectTracker()]
    for book, happened in zip(books, (first, second), strict=False):
        for step, event in enumerate(happened):
            apply_to(book, event, 0.6 * step)
    # Two rounds: a box settles received losses by the ends of targets it has seen itself.
    for _ in range(2):
        notes = [loss for book in books for loss in book.losses()]
        for book in books:
            several = notes * 2
            rng.shuffle(several)
            book.merge([replace(loss) for loss in several], 8.0)
    assert len({book.checksum for book in books}) == 1
    for digest in (BAD, GOOD):
        assert len({book.standing(digest, 8.0) for book in books}) == 1


def test_losses_seen_by_different_boxes_add_up():
    books = [SuspectTracker() for _ in range(3)]
    for number, book in enumerate(books):
        lose(book, number, BAD)
    for one, other in itertools.permutations(books, 2):
        other.merge([replace(loss) for loss in one.losses()], 1.0)
    assert {standing(book, BAD) for book in books} == {Standing.CONDEMNED}


def test_unrelated_ends_of_targets_condemn_no_request():
    """A quarter of the engines end within seconds, twice; most lost requests complete later."""
    rng, book, now_s = random.Random(3), SuspectTracker(), 0.0
    for _round in range(2):
        for number in rng.sample(range(18), 5):
            beside = [b"r%d" % rng.randrange(10_000) for _ in range(8)]
            lose(book, number, *beside, now_s=now_s)
            for digest in beside[1:]:
                book.note_served(digest, now_s + 1.0)
            now_s += 0.3
    assert book.condemned(now_s) == []
    assert {loss.verdict for loss in book.losses()} == {Verdict.ENDED, Verdict.CLEARED}
