"""Decisions on the memory for requests, under the crowds that it is made for; no sockets."""

import random

import pytest

from gladedrum.utils.request_memory import (
    LARGE_SHARE,
    PROGRESS_BYTES,
    SMALL_BYTES,
    STALLED_S,
    RequestMemory,
)

MB = 1_000_000
LIMIT = 30 * MB


class Holder:
    def __init__(self, memory, now_s=0.0):
        self.share = memory.share(self)
        self.share.begin(now_s)
        self.received = 0
        self.is_refused = False

    def receive(self, count, now_s):
        self.received += count
        return self.share.hold(self.received, self.received, now_s)

    def refuse_unfinished(self):
        self.is_refused = True
        self.share.release()


def crowd(memory, size=4 * MB, count=300):
    rows = [Holder(memory) for _ in range(count)]
    for row in rows:
        if not row.receive(size, 0.0):
            row.refuse_unfinished()
    return rows


# Guards against a crowd whose bodies together outgrow the box, though each is within its limit.
def test_crowd_holds_no_more_than_the_limit():
    memory = RequestMemory(LIMIT)
    rows = crowd(memory)
    assert memory.used <= LARGE_SHARE * LIMIT
    assert sum(row.is_refused for row in rows) == 300 - int(LARGE_SHARE * LIMIT / (4 * MB))


# Guards against refusing ordinary callers for a crowd that has stalled.
def test_those_that_wait_longest_are_refused_for_an_ordinary_request():
    memory = RequestMemory(LIMIT)
    rows = [row for row in crowd(memory) if not row.is_refused]
    rows[2].receive(PROGRESS_BYTES, 0.5)
    ordinary = Holder(memory, STALLED_S)
    assert ordinary.receive(4 * MB, STALLED_S)
    assert sum(row.is_refused for row in rows) == 1
    assert not rows[2].is_refused


def test_requests_that_make_progress_or_are_whole_are_kept():
    memory = RequestMemory(LIMIT)
    rows = [row for row in crowd(memory) if not row.is_refused]
    for row in rows[1:]:
        row.share.is_whole = True
    rows[0].receive(PROGRESS_BYTES, 9.5)
    assert not Holder(memory, 10.0).receive(4 * MB, 10.0)
    assert not any(row.is_refused for row in rows)


# Guards against a byte now and then that keeps the memory of a body that does not end.
def test_single_bytes_are_no_progress():
    memory = RequestMemory(LIMIT)
    rows = [row for row in crowd(memory) if not row.is_refused]
    for row in rows:
        row.receive(1, 10.0)
    assert Holder(memory, 10.0).receive(4 * MB, 10.0)


# Guards against large requests, whole and slow to answer, that leave nothing to small ones.
def test_small_requests_are_served_beside_large_ones_that_use_up_their_part():
    memory = RequestMemory(LIMIT)
    for row in crowd(memory):
        row.share.is_whole = True
    small = [Holder(memory) for _ in range(40)]
    assert all(row.receive(SMALL_BYTES, 0.0) for row in small)
    assert memory.used <= LIMIT


# Guards against a request within its own limit that a box without others refuses.
def test_single_request_is_read_whatever_its_length():
    memory = RequestMemory(LIMIT)
    small, large = Holder(memory), Holder(memory)
    assert small.receive(SMALL_BYTES, 0.0)
    assert large.receive(3 * LIMIT, 0.0)
    assert not Holder(memory).receive(4 * MB, 0.0)
    assert Holder(memory).receive(SMALL_BYTES, 0.0)


def test_no_request_is_refused_in_vain():
    memory = RequestMemory(LIMIT)
    rows = [row for row in crowd(memory) if not row.is_refused]
    rows[0].share.is_whole = True
    assert not Holder(memory, 10.0).receive(LIMIT, 10.0)
    assert not any(row.is_refused for row in rows)


@pytest.mark.parametrize("seed", range(5))
def test_the_limit_holds_and_all_bytes_return(seed):
    rng, memory = random.Random(seed), RequestMemory(LIMIT)
    rows, now_s = [], 0.0
    for _ in range(3000):
        now_s += rng.expovariate(20)
        if rng.random() < 0.3 or not rows:
            rows.append(Holder(memory, now_s))
        row = rng.choice(rows)
        match rng.randrange(10):
            case 0:
                row.share.is_whole = True
            case 1:
                row.share.release()
                rows.remove(row)
            case _ if not row.is_refused and not row.receive(rng.randrange(2 * MB), now_s):
                row.refuse_unfinished()
        sizes = [row.share.size for row in rows]
        assert memory.used == sum(sizes)
        assert memory.used - max(sizes, default=0) <= LIMIT
    for row in rows:
        row.share.release()
    assert memory.used == 0
