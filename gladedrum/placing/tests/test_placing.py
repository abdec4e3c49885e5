"""In a large fleet the coordinators decide for all; if they don't answer, a box decides alone."""

import itertools

from gladedrum import gossip
from gladedrum.beliefs.coordinators import (
    ANSWER_TIMEOUT_S,
    GROUP_SIZE,
    READER_COUNT,
    SMALL_FLEET,
    CoordinatorGroup,
)
from gladedrum.forward.tests.support import World
from gladedrum.placing.placer import MAX_MEMBERS_ASKED, WARM_UP_S
from gladedrum.placing.work_plan import WorkPlan, work_id_of
from gladedrum.platform import wire as platform_wire
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.scheduling.questions import WaitingQuestions

BOXES = {f"b{i}": ("10.0.1.1", i) for i in range(30)}


def test_all_boxes_of_a_small_fleet_decide_and_a_few_boxes_of_a_large_one():
    small = dict(list(BOXES.items())[: SMALL_FLEET - 1])
    assert CoordinatorGroup("me", lambda: small).includes_me()
    members = {name: CoordinatorGroup(name, lambda n=name: _others(n)).members() for name in BOXES}
    assert len({tuple(names) for names in members.values()}) == 1
    assert len(members["b0"]) == GROUP_SIZE


def test_the_boxes_with_the_most_cores_decide_for_a_large_fleet():
    """Guards against a hot spot: small boxes as deciders can't keep up with bursts."""
    large = {"b3", "b7", "b11", "b19", "b23"}
    capacity = {name: 2.15 if name in large else 0.516 for name in BOXES}
    groups = [CoordinatorGroup(name, lambda n=name: _others(n), capacity.get) for name in BOXES]
    assert {frozenset(group.members()) for group in groups} == {frozenset(groups[0].members())}
    assert set(groups[0].members()) < large
    assert {group.ranked_members()[0] for group in groups} < large


def _others(name):
    return {other: address for other, address in BOXES.items() if other != name}


class Datagrams:
    """A transport that delivers to the box at the address, or drops everything."""

    def __init__(self, worlds):
        self.worlds = worlds
        self.lost = False
        self.sent = 0

    def write(self, data, address):
        self.sent += 1
        if self.lost:
            return
        message = gossip.decode(data)
        world = self.worlds.get(address[1])
        if world is not None and message.box != world.port._box:
            world.view.receive(message, world.targets.entries.keys(), world.net.seconds())
            world.ctx.placer.receive(message, (message.box, world.addresses[message.box]))
            world.net.advance(0)


def outside_and_inside_box():
    """Return a box outside the group, a box that answers for all members, and their transport."""
    worlds = [
        World(targets=2, engine=EngineTraits(), streaming=True, resumable=True, max_targets=2)
        for _ in range(2)
    ]
    outside, inside = worlds
    inside.port._box = "inside"
    outside.addresses = inside.addresses = {"me": 1, "inside": 2}
    wire = Datagrams({1: outside, 2: inside})
    outside.port.transport = inside.port.transport = wire
    coordinators = outside.ctx.placer._coordinators
    coordinators.members = lambda: ["m1", "m2", "m3"]
    coordinators.address = lambda _name: ("10.0.1.1", 2)
    inside.ctx.placer._is_cold = lambda: False
    return outside, inside, wire


def test_a_decider_places_the_request_and_records_it():
    outside, inside, _wire = outside_and_inside_box()
    outside.caller().send_request(b"body")
    target = outside.attempt()
    name = f"t{target.address[1] - 9000}"
    assert len(inside.view.state(name).ledger.rows) == 1
    assert len(outside.view.state(name).ledger.rows) == 1


def test_silent_deciders_cost_a_bounded_wait_and_then_the_box_decides_alone():
    outside, _inside, wire = outside_and_inside_box()
    wire.lost = True
    outside.caller().send_request(b"body")
    outside.run(ANSWER_TIMEOUT_S * MAX_MEMBERS_ASKED + 0.01, step_s=0.01)
    assert len(outside.net.opened) == 1
    before = wire.sent
    outside.caller().send_request(b"body")
    outside.run(ANSWER_TIMEOUT_S + 0.01, step_s=0.01)
    assert len(outside.net.opened) == 2
    assert wire.sent - before <= 2


def test_a_target_known_here_as_leaving_is_not_used_even_if_a_decider_chose_it():
    outside, inside, _wire = outside_and_inside_box()
    outside.list_targets(2, leaving=("t1",))
    inside.list_targets(1)
    outside.caller().send_request(b"body")
    outside.run(0.2)
    assert [side.address[1] for side in outside.net.opened] == [9002]


def test_long_prompts_are_placed_by_one_box_and_short_ones_by_each_of_a_small_fleet():
    """Guards against two long prompts placed on the same idle engines at the same moment."""
    outside, inside, wire = outside_and_inside_box()
    outside.ctx.placer._coordinators.includes_me = lambda: True
    outside.ctx.placer._coordinators.ranked_members = lambda: ["m1"]
    outside.ctx.placer._is_cold = lambda: False
    size = b"%s: %d,200\r\n"
    outside.caller().send_request(b"body", extra=size % (platform_wire.TOKEN_USAGE, 5_000))
    outside.run()
    assert wire.sent == 0
    outside.caller().send_request(b"body", extra=size % (platform_wire.TOKEN_USAGE, 130_000))
    outside.run()
    assert wire.sent == 2
    assert sum(len(inside.view.state(name).ledger.rows) for name in ("t1", "t2")) > 0


def test_all_boxes_of_a_small_fleet_agree_on_the_two_that_read_the_list():
    names = {f"b{i}": ("10.0.0.1", i) for i in range(9)}
    groups = [
        CoordinatorGroup(me, lambda me=me: {n: a for n, a in names.items() if n != me})
        for me in names
    ]
    assert len({tuple(group.readers()) for group in groups}) == 1
    assert sum(not group.follows_readers() for group in groups) == READER_COUNT
    assert not CoordinatorGroup("alone", dict).follows_readers()


def test_boxes_with_the_same_knowledge_agree_on_the_first_ranked_member():
    first_members = {
        CoordinatorGroup(name, lambda n=name: _others(n)).ranked_members()[0] for name in BOXES
    }
    assert len(first_members) == 1


def test_a_cold_member_leaves_decisions_to_members_that_know_the_work():
    """Guards against members with an empty ledger that send all work to the same engines."""
    outside, inside, wire = outside_and_inside_box()
    inside.ctx.placer._is_cold = lambda: True
    outside.caller().send_request(b"body")
    outside.run(0.01, step_s=0.001)
    # Both members asked are cold; the first is asked again and then decides.
    assert wire.sent == 2 * (MAX_MEMBERS_ASKED + 1)
    assert sum(len(inside.view.state(name).ledger.rows) for name in ("t1", "t2")) == 1


def test_a_member_that_disappears_while_it_is_asked_is_skipped():
    """Guards against requests that are cut without an answer after a restart of all boxes."""
    outside, inside, wire = outside_and_inside_box()
    inside.ctx.placer._is_cold = lambda: True
    addresses = {"m1": ("10.0.1.1", 2), "m2": ("10.0.1.1", 2), "m3": ("10.0.1.1", 2)}
    outside.ctx.placer._coordinators = coordinators = CoordinatorGroup("me", lambda: addresses)
    coordinators.members = lambda: ["m1", "m2", "m3"]
    write = wire.write

    def write_and_restart(data, address):
        addresses.clear()
        write(data, address)

    wire.write = write_and_restart
    caller = outside.caller()
    caller.send_request(b"body")
    outside.run(0.1, step_s=0.01)
    assert len(outside.net.opened) == 1
    assert caller.transport.closed == ""


def test_a_cold_member_places_requests_for_plain_services_itself():
    """Plain services need no ledger of long work, and a silent peer would cost more time."""
    world = World()
    world.ctx.placer._coordinators.members = lambda: ["other", "me"]
    world.ctx.placer._coordinators.address = lambda _name: ("10.0.1.1", 2)
    assert world.ctx.placer._is_cold()
    world.caller().send_request()
    assert len(world.net.opened) == 1


def test_a_box_is_cold_until_it_has_received_notes_on_all_work_for_the_warm_up_time():
    world = World()
    assert world.ctx.placer._is_cold()
    world.run(WARM_UP_S + 0.1)
    assert not world.ctx.placer._is_cold()
    world.ctx.placer._coordinators.members = lambda: ["other"]
    assert world.ctx.placer._is_cold()


def test_boxes_without_knowledge_of_each_other_spread_over_equal_targets():
    """Guards against all boxes picking the first target by name after a fleet restart."""
    chosen = set()
    for index in range(8):
        world = World(targets=8, engine=EngineTraits(), streaming=True, resumable=True)
        world.ctx.chooser._box = f"box-{index}"
        world.caller().send_request(b"body")
        chosen.add(world.attempt().address)
    assert len(chosen) >= 4


def test_a_decider_that_can_not_serve_in_time_says_when_to_retry():
    outside, inside, _wire = outside_and_inside_box()
    for name, again in itertools.product(inside.targets.entries, range(8)):
        plan = WorkPlan(f"{name}-{again}", (name,), 200_000, 0)
        inside.view.note_placed(plan, inside.net.seconds())
        inside.view.state(name).ledger.tokens = 0.0
    caller = outside.caller()
    caller.send_request(extra=b"%s: 5000,100\r\n" % platform_wire.TOKEN_USAGE)
    assert caller.status == 503
    assert outside.outcomes[0].retry_after_s > 1.0
    assert not outside.net.opened


def ask_slowly(outside, wire, held):
    """Ask for a placement; the coordinators' answers are added to `held` instead of delivered."""
    deliver = wire.write

    def hold(data, address):
        message = gossip.decode(data)
        if message.choices:
            held.append((data, address))
        else:
            deliver(data, address)

    wire.write = hold
    outside.caller().send_request(b"body")
    outside.run(ANSWER_TIMEOUT_S * MAX_MEMBERS_ASKED + 0.1, step_s=0.01)
    wire.write = deliver


def test_a_placement_that_arrives_too_late_is_withdrawn():
    """Guards against metastable failure: ledgers that keep counting work that runs elsewhere."""
    outside, inside, wire = outside_and_inside_box()
    held = []
    ask_slowly(outside, wire, held)
    assert len(held) == MAX_MEMBERS_ASKED
    assert len(outside.net.opened) == 1
    assert rows_of(inside) == MAX_MEMBERS_ASKED
    outside.port._members = lambda: [("10.0.1.1", 2)]
    for data, address in held:
        wire.write(data, address)
    outside.run(0.05, step_s=0.01)
    assert rows_of(inside) == 0
    assert rows_of(outside) == 1


def test_a_late_answer_makes_its_member_available_again_with_a_longer_timeout():
    outside, _inside, wire = outside_and_inside_box()
    held = []
    ask_slowly(outside, wire, held)
    client = outside.ctx.placer._client
    asked = set(client._avoided_until_s)
    assert len(asked) == MAX_MEMBERS_ASKED
    for data, address in held:
        wire.write(data, address)
    assert not client._avoided_until_s
    assert all(client._times.wait_s(member) > ANSWER_TIMEOUT_S for member in asked)


def test_a_choice_that_can_not_be_used_is_withdrawn():
    outside, inside, _wire = outside_and_inside_box()
    outside.list_targets(0)
    outside.port._members = lambda: [("10.0.1.1", 2)]
    outside.caller().send_request(b"body")
    outside.run(0.05, step_s=0.01)
    assert rows_of(inside) == 0


def test_an_overloaded_member_answers_busy_at_once():
    outside, inside, _wire = outside_and_inside_box()
    inside.ctx.placer._questions = WaitingQuestions(-1.0)
    outside.caller().send_request(b"body")
    outside.run(0.005, step_s=0.001)
    assert len(outside.net.opened) == 1
    assert rows_of(inside) == 0


def test_work_of_a_restarted_box_is_dropped():
    world = World(targets=2)
    for box, number in (("b1.aa", 1), ("b1.aa", 2), ("b2.bb", 1)):
        plan = WorkPlan(f"{work_id_of(box, number)}.1", ("t1",), 5_000, 100)
        world.view.note_placed(plan, world.net.seconds())
    world.view.forget_work_of("b1.aa")
    assert list(world.view.state("t1").ledger.rows) == ["b2.bb_1.1"]


def rows_of(world):
    return sum(len(world.view.state(name).ledger.rows) for name in ("t1", "t2"))
