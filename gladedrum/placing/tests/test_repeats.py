"""All boxes together stay within the fleet's retry budget while boxes stop and start."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from gladedrum.beliefs.coordinators import CoordinatorGroup
from gladedrum.gossip.wire.ttypes import Gossip
from gladedrum.placing.retry_pool import ANSWER_TIMEOUT_S, RetryPool, sharers_of
from gladedrum.placing.retry_shares import RetryShares
from gladedrum.utils import start

RATIO, SLACK, WINDOW_S = 0.2, 100.0, 10.0


@settings(max_examples=60, deadline=None)
@given(
    boxes=st.integers(1, 12),
    per_s=st.integers(0, 40),
    restarts=st.lists(st.integers(0, 11), max_size=6),
)
def test_no_window_holds_more_retries_than_the_budget(boxes, per_s, restarts):
    def fresh():
        return RetryShares(RATIO, SLACK, WINDOW_S, lambda: boxes)

    shares = [fresh() for _ in range(boxes)]
    sent, asked = [], []
    for tick in range(300):
        now_s = tick * 0.1
        if tick % 40 == 0 and restarts:
            shares[restarts[tick // 40 % len(restarts)] % boxes] = fresh()
        for share in shares:
            for _ in range(per_s // 10 + (tick % 10 < per_s % 10)):
                share.note_request("s", now_s)
                asked.append(now_s)
            while share.take("s", now_s):
                sent.append(now_s)
    for end_s in (5.0, 10.0, 12.5, 20.0, 29.9):
        inside = [t for t in sent if end_s - WINDOW_S <= t <= end_s]
        served = [t for t in asked if end_s - WINDOW_S <= t <= end_s]
        assert len(inside) <= RATIO * len(served) + SLACK


def test_a_starting_box_has_an_empty_share():
    assert not RetryShares(RATIO, SLACK, WINDOW_S, lambda: 1).take("s", 0.0)


# Guards against the first request of a service that gets no retry, although the box has run for
# long and nobody has retried: its share began to fill with that request.
@pytest.mark.parametrize("share", [0.1, 0.5, 1.0, 5.0])
def test_the_share_of_a_service_fills_from_the_start_of_the_box(share):
    shares = RetryShares(RATIO, SLACK, WINDOW_S, lambda: 1, started_s=7.0)
    full = RetryShares(RATIO, SLACK, WINDOW_S, lambda: 1)
    full.left("s", 7.0)
    now_s = 7.0 + share * WINDOW_S
    assert shares.left("s", now_s) == pytest.approx(full.left("s", now_s))
    assert shares.left("s", now_s) == pytest.approx(min(1.0, share) * 0.5 * SLACK)


LARGE_FLEET, SMALL_FLEET = 300, 9


def append_result_to(granted):
    """Return a callback that appends whether a retry was granted."""
    return lambda grant: granted.append(grant is not None)


def pooled_fleet(lost=False, boxes=LARGE_FLEET):
    """Return the clock and the retry pools of a fleet's boxes; if `lost`, all questions are."""
    clock = Clock()
    addresses = {f"b{i}": ("10.0.1.1", i) for i in range(boxes)}
    pools = []

    class Wire:
        def __init__(self, name):
            self.name = name

        def ask_repeat(self, address, ask):
            if not lost:
                pools[address[1]].receive(Gossip(repeat_asks=[ask]), addresses[self.name])

        def grant_repeat(self, address, grant):
            pools[address[1]].receive(Gossip(repeat_grants=[grant]), ("10.0.1.1", 0))

    for name in addresses:
        others = {n: a for n, a in addresses.items() if n != name}
        coordinators = CoordinatorGroup(name, lambda others=others: others)
        shares = RetryShares(
            RATIO,
            SLACK,
            WINDOW_S,
            lambda coordinators=coordinators: sharers_of(coordinators, boxes),
        )
        pools.append(RetryPool(clock, coordinators, Wire(name), shares, random.Random(name)))
    return clock, pools


def sent_by(clock, pools, seconds):
    """Return how many retries the boxes get in `seconds` if all ask once per second."""
    count = 0
    for _ in range(seconds):
        clock.advance(1.0)
        for pool in pools:
            granted = []
            start(pool.take("s")).addCallback(append_result_to(granted))
            clock.advance(0)
            count += granted == [True]
    return count


def test_a_large_fleet_stays_within_its_slack_and_one_box_can_use_much_of_it():
    clock, pools = pooled_fleet()
    sent_by(clock, pools, 20)
    everywhere = sent_by(clock, pools, 10)
    assert SLACK / 4 <= everywhere <= SLACK
    clock, pools = pooled_fleet()
    clock.advance(20.0)
    for pool in pools:
        start(pool.take("s"))
    clock.advance(10.0)
    outside = next(pool for pool in pools if pool._coordinators.excludes_me())
    assert sent_by(clock, [outside] * 100, 1) >= SLACK / 8


@pytest.mark.parametrize("boxes", [SMALL_FLEET, LARGE_FLEET])
def test_silent_members_cost_a_bounded_wait(boxes):
    clock, pools = pooled_fleet(lost=True, boxes=boxes)
    asking = next((pool for pool in pools if pool._coordinators.excludes_me()), pools[0])
    granted = []
    start(asking.take("s")).addCallback(append_result_to(granted))
    clock.advance(ANSWER_TIMEOUT_S)
    assert not granted
    clock.advance(ANSWER_TIMEOUT_S)
    assert granted == [False]


def test_a_second_member_is_asked_if_the_first_grants_no_retry():
    clock, pools = pooled_fleet()
    outside = next(pool for pool in pools if pool._coordinators.excludes_me())
    members = [pool for pool in pools if pool._coordinators.includes_me()]
    for pool in members:
        pool._shares.take = lambda _service, _now_s, pool=pool: pool is members[0]
    granted = []
    for _ in range(200):
        start(outside.take("s")).addCallback(append_result_to(granted))
    clock.advance(0)
    assert len(granted) == 200
    # Two of the four members are asked, and one of the four has retries left.
    assert 80 <= sum(granted) <= 120


def granted_to(pool, clock):
    """Return whether a box gets a retry."""
    granted = []
    start(pool.take("s")).addCallback(append_result_to(granted))
    clock.advance(0)
    return granted == [True]


def test_a_box_that_has_just_started_gets_retries_from_its_peers():
    """Guards against refused retries within one window after the start of a box."""
    clock, pools = pooled_fleet(boxes=SMALL_FLEET)
    started, *peers = pools
    for peer in peers:
        peer.note_request("s")
    clock.advance(WINDOW_S)
    # Its own share is empty, and each peer's holds five.
    assert sum(granted_to(started, clock) for _ in range(5 * len(peers))) >= 4 * len(peers)


@settings(max_examples=40, deadline=None)
@given(
    boxes=st.integers(1, 12),
    per_s=st.integers(0, 40),
    restarts=st.lists(st.integers(0, 11), max_size=6),
    only=st.sets(st.integers(0, 11), min_size=1),
)
def test_retries_granted_by_peers_stay_within_the_budget(boxes, per_s, restarts, only):
    """Some boxes send all retries that they can get, also from peers; others send none."""
    clock, pools = pooled_fleet(boxes=boxes)
    sent, asked = [], []
    for tick in range(300):
        if tick % 40 == 0 and restarts:
            restarted = restarts[tick // 40 % len(restarts)] % boxes
            pools[restarted]._shares._buckets.clear()
        for number, pool in enumerate(pools):
            for _ in range(per_s // 10 + (tick % 10 < per_s % 10)):
                pool.note_request("s")
                asked.append(clock.seconds())
            while number in only and granted_to(pool, clock):
                sent.append(clock.seconds())
        clock.advance(0.1)
    for end_s in (5.0, 10.0, 12.5, 20.0, 29.9):
        inside = [t for t in sent if end_s - WINDOW_S <= t <= end_s]
        served = [t for t in asked if end_s - WINDOW_S <= t <= end_s]
        assert len(inside) <= RATIO * len(served) + SLACK


@settings(max_examples=60, deadline=None)
@given(
    boxes=st.integers(2, 12),
    every=st.integers(2, 40),
    away=st.integers(1, 60),
    greedy_from=st.integers(0, 150),
)
def test_the_budget_holds_while_boxes_stop_and_the_others_split_the_slack(
    boxes, every, away, greedy_from
):
    """The others take over the share of a stopped box, but the retries that it sent still count."""
    live = dict.fromkeys(range(boxes))

    def fresh():
        return RetryShares(RATIO, SLACK, WINDOW_S, lambda: max(1, len(live)))

    shares = [fresh() for _ in range(boxes)]
    back_at, sent = {}, []
    for tick in range(400):
        now_s = tick * 0.1
        if tick % every == 0 and len(live) > 1:
            stopped = next(iter(live))
            del live[stopped]
            back_at[stopped] = tick + away
        for number in [n for n, at in back_at.items() if at <= tick]:
            del back_at[number]
            live[number], shares[number] = None, fresh()
        for number in live:
            while tick >= greedy_from and shares[number].take("s", now_s):
                sent.append(now_s)
            shares[number].left("s", now_s)
    for end in range(100, 400, 5):
        assert sum(end / 10 - WINDOW_S <= t <= end / 10 for t in sent) <= SLACK
