"""In a large fleet a few boxes decide for all; without them a box decides alone."""

import itertools

from gladedrum import gossip
from gladedrum.beliefs.circle import ASK_S, CIRCLE_SIZE, READERS, SMALL_FLEET, Circle
from gladedrum.forward.tests.support import World
from gladedrum.placing.placer import MAX_MEMBERS_ASKED, WARM_UP_S
from gladedrum.placing.work_plan import WorkPlan, work_id_of
from gladedrum.platform import wire as platform_wire
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.scheduling.questions import WaitingQuestions

BOXES = {f"b{i}": ("10.0.1.1", i) for i in range(30)}


def test_all_boxes_of_a_small_fleet_decide_and_a_few_of_a_large_one():
    small = dict(list(BOXES.items())[: SMALL_FLEET - 1])
    assert Circle("me", lambda: small).includes_me()
    members = {name: Circle(name, lambda n=name: _others(n)).members() for name in BOXES}
    assert len({tuple(names) for names in members.values()}) == 1
    assert len(members["b0"]) == CIRCLE_SIZE


def test_the_boxes_with_the_most_cores_decide_for_a_large_fleet():
    """Hot spot: four boxes with a quarter of the cores of others could not keep up with a burst."""
    large = {"b3", "b7", "b11", "b19", "b23"}
    capacity = {name: 2.15 if name in large else 0.516 for name in BOXES}
    circles = [Circle(name, lambda n=name: _others(n), capacity.get) for name in BOXES]
    assert {frozenset(circle.members()) for circle in circles} == {frozenset(circles[0].members())}
    assert set(circles[0].members()) < large
    assert {circle.arbiters()[0] for circle in circles} < large


def _others(name):
    return {other: address for other, address in BOXES.items() if other != name}


class Datagrams:
    """A transport that delivers to the box at the address, or loses all."""

    def __init__(self, worlds):
        self.worlds = worlds
        self.lost = False
        self.sent = 0

    def write(self, data, address):
        self.sent += 1
        if self.lost:
            return
        told = gossip.decode(data)
        world = self.worlds.get(address[1])
        if world is not None and told.box != world.port._box:
            world.view.take(told, world.targets.entries.keys(), world.net.seconds())
            world.ctx.placer.take(told, (told.box, world.addresses[told.box]))
            world.net.advance(0)


def two_boxes():
    """Return a box outside the circle, one that answers for all members, and their wire."""
    worlds = [
        World(targets=2, engine=EngineTraits(), streaming=True, resumable=True, max_targets=2)
        for _ in range(2)
    ]
    outside, inside = worlds
    inside.port._box = "inside"
    outside.addresses = inside.addresses = {"me": 1, "inside": 2}
    wire = Datagrams({1: outside, 2: inside})
    outside.port.transport = inside.port.transport = wire
    circle = outside.ctx.placer._circle
    circle.members = lambda: ["m1", "m2", "m3"]
    circle.address = lambda _name: ("10.0.1.1", 2)
    inside.ctx.placer._is_cold = lambda: False
    return outside, inside, wire


def test_a_member_of_the_circle_places_the_request_and_remembers_it():
    outside, inside, _wire = two_boxes()
    outside.caller().ask(b"body")
    target = outside.attempt()
    name = f"t{target.place[1] - 9000}"
    assert len(inside.view.state(name).ledger.rows) == 1
    assert len(outside.view.state(name).ledger.rows) == 1


def test_a_silent_circle_costs_a_bounded_wait_and_then_the_box_decides_alone():
    outside, _inside, wire = two_boxes()
    wire.lost = True
    outside.caller().ask(b"body")
    outside.run(ASK_S * MAX_MEMBERS_ASKED + 0.01, step_s=0.01)
    assert len(outside.net.opened) == 1
    before = wire.sent
    outside.caller().ask(b"body")
    outside.run(ASK_S + 0.01, step_s=0.01)
    assert len(outside.net.opened) == 2
    assert wire.sent - before <= 2


def test_a_target_that_leaves_here_is_not_used_though_the_circle_chose_it():
    outside, inside, _wire = two_boxes()
    outside.list_targets(2, leaving=("t1",))
    inside.list_targets(1)
    outside.caller().ask(b"body")
    outside.run(0.2)
    assert [side.place[1] for side in outside.net.opened] == [9002]


def test_long_prompts_are_placed_by_one_box_and_short_ones_by_each_of_a_small_fleet():
    """Found on a quiet day: two dossiers took the same idle engines at the same moment."""
    outside, inside, wire = two_boxes()
    outside.ctx.placer._circle.includes_me = lambda: True
    outside.ctx.placer._circle.arbiters = lambda: ["m1"]
    outside.ctx.placer._is_cold = lambda: False
    size = b"%s: %d,200\r\n"
    outside.caller().ask(b"body", extra=size % (platform_wire.TOKENS_IN_OUT, 5_000))
    outside.run()
    assert wire.sent == 0
    outside.caller().ask(b"body", extra=size % (platform_wire.TOKENS_IN_OUT, 130_000))
    outside.run()
    assert wire.sent == 2
    assert sum(len(inside.view.state(name).ledger.rows) for name in ("t1", "t2")) > 0


def test_two_boxes_of_a_small_fleet_read_the_list_and_all_agree_which():
    names = {f"b{i}": ("10.0.0.1", i) for i in range(9)}
    circles = [
        Circle(me, lambda me=me: {n: a for n, a in names.items() if n != me}) for me in names
    ]
    assert len({tuple(circle.readers()) for circle in circles}) == 1
    assert sum(not circle.leaves_list_to_others() for circle in circles) == READERS
    assert not Circle("alone", dict).leaves_list_to_others()


def test_all_boxes_that_know_the_same_name_the_same_arbiter():
    arbiters = {Circle(name, lambda n=name: _others(n)).arbiters()[0] for name in BOXES}
    assert len(arbiters) == 1


def test_a_member_that_has_just_started_leaves_decisions_to_those_that_know_the_work():
    """Found on a grown day with restarts: members without a ledger sent all to the same engines."""
    outside, inside, wire = two_boxes()
    inside.ctx.placer._is_cold = lambda: True
    outside.caller().ask(b"body")
    outside.run(0.01, step_s=0.001)
    # Both members asked are cold; the first is asked again and decides all the same.
    assert wire.sent == 2 * (MAX_MEMBERS_ASKED + 1)
    assert sum(len(inside.view.state(name).ledger.rows) for name in ("t1", "t2")) == 1


def test_a_member_that_goes_while_it_is_asked_is_passed_over():
    """Found by an incident: after a restart of all boxes requests were cut without an answer."""
    outside, inside, wire = two_boxes()
    inside.ctx.placer._is_cold = lambda: True
    addresses = {"m1": ("10.0.1.1", 2), "m2": ("10.0.1.1", 2), "m3": ("10.0.1.1", 2)}
    outside.ctx.placer._circle = circle = Circle("me", lambda: addresses)
    circle.members = lambda: ["m1", "m2", "m3"]
    write = wire.write

    def write_and_restart(data, address):
        addresses.clear()
        write(data, address)

    wire.write = write_and_restart
    caller = outside.caller()
    caller.ask(b"body")
    outside.run(0.1, step_s=0.01)
    assert len(outside.net.opened) == 1
    assert caller.wire.closed == ""


def test_a_cold_member_places_requests_for_plain_services_itself():
    """What a plain service has to do is told quickly; a silent peer would cost more."""
    world = World()
    world.ctx.placer._circle.members = lambda: ["other", "me"]
    world.ctx.placer._circle.address = lambda _name: ("10.0.1.1", 2)
    assert world.ctx.placer._is_cold()
    world.caller().ask()
    assert len(world.net.opened) == 1


def test_a_box_is_cold_until_it_has_heard_of_all_work_for_a_while():
    world = World()
    assert world.ctx.placer._is_cold()
    world.run(WARM_UP_S + 0.1)
    assert not world.ctx.placer._is_cold()
    world.ctx.placer._circle.members = lambda: ["other"]
    assert world.ctx.placer._is_cold()


def test_boxes_that_know_nothing_of_each_other_take_different_ones_of_equal_targets():
    """Found on a grown day: after a loss of all power all boxes took the first target by name."""
    taken = set()
    for index in range(8):
        world = World(targets=8, engine=EngineTraits(), streaming=True, resumable=True)
        world.ctx.chooser._box = f"box-{index}"
        world.caller().ask(b"body")
        taken.add(world.attempt().place)
    assert len(taken) >= 4


def test_a_member_that_sees_no_hope_says_when_to_come_back():
    outside, inside, _wire = two_boxes()
    for name, again in itertools.product(inside.targets.entries, range(8)):
        plan = WorkPlan(f"{name}-{again}", (name,), 200_000, 0)
        inside.view.note_placed(plan, inside.net.seconds())
        inside.view.state(name).ledger.tokens = 0.0
    caller = outside.caller()
    caller.ask(extra=b"%s: 5000,100\r\n" % platform_wire.TOKENS_IN_OUT)
    assert caller.status == 503
    assert outside.outcomes[0].retry_after_s > 1.0
    assert not outside.net.opened


def ask_slowly(outside, wire, held):
    """Ask for a place while the members' answers are held back; they end up in `held`."""
    deliver = wire.write

    def hold(data, address):
        told = gossip.decode(data)
        if told.choices:
            held.append((data, address))
        else:
            deliver(data, address)

    wire.write = hold
    outside.caller().ask(b"body")
    outside.run(ASK_S * MAX_MEMBERS_ASKED + 0.1, step_s=0.01)
    wire.write = deliver


def test_work_that_a_member_has_placed_too_late_is_withdrawn():
    """Metastable failure: work that ran elsewhere stayed in the ledgers, which placed by it."""
    outside, inside, wire = two_boxes()
    held = []
    ask_slowly(outside, wire, held)
    assert len(held) == MAX_MEMBERS_ASKED
    assert len(outside.net.opened) == 1
    assert rows_of(inside) == MAX_MEMBERS_ASKED
    outside.port._peers = lambda: [("10.0.1.1", 2)]
    for data, address in held:
        wire.write(data, address)
    outside.run(0.05, step_s=0.01)
    assert rows_of(inside) == 0
    assert rows_of(outside) == 1


def test_a_member_whose_answer_was_late_is_asked_again_and_waited_for_longer():
    outside, _inside, wire = two_boxes()
    held = []
    ask_slowly(outside, wire, held)
    members = outside.ctx.placer._members
    asked = set(members._avoided_until_s)
    assert len(asked) == MAX_MEMBERS_ASKED
    for data, address in held:
        wire.write(data, address)
    assert not members._avoided_until_s
    assert all(members._times.wait_s(member) > ASK_S for member in asked)


def test_a_choice_that_can_not_be_followed_is_withdrawn():
    outside, inside, _wire = two_boxes()
    outside.list_targets(0)
    outside.port._peers = lambda: [("10.0.1.1", 2)]
    outside.caller().ask(b"body")
    outside.run(0.05, step_s=0.01)
    assert rows_of(inside) == 0


def test_a_member_with_more_questions_than_it_can_answer_says_so_at_once():
    outside, inside, _wire = two_boxes()
    inside.ctx.placer._questions = WaitingQuestions(-1.0)
    outside.caller().ask(b"body")
    outside.run(0.005, step_s=0.001)
    assert len(outside.net.opened) == 1
    assert rows_of(inside) == 0


def test_work_of_a_box_that_has_started_anew_is_forgotten():
    world = World(targets=2)
    for box, number in (("b1.aa", 1), ("b1.aa", 2), ("b2.bb", 1)):
        plan = WorkPlan(f"{work_id_of(box, number)}.1", ("t1",), 5_000, 100)
        world.view.note_placed(plan, world.net.seconds())
    world.view.forget_work_of("b1.aa")
    assert list(world.view.state("t1").ledger.rows) == ["b2.bb_1.1"]


def rows_of(world):
    return sum(len(world.view.state(name).ledger.rows) for name in ("t1", "t2"))
