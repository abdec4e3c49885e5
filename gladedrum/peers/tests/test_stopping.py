"""Requests survive the stop of their box and its removal from the platform's list."""

from twisted.internet import defer
from twisted.internet.task import Clock

from gladedrum.config import parse_settings
from gladedrum.entry import Placer, Reservation
from gladedrum.peers import Membership, OwnerGateway, PeerLostError, Peers
from gladedrum.peers.records import record_of_quote, record_of_reserve
from gladedrum.platform import Box, Directory, Target
from gladedrum.scheduling import Grant, Job, Quote, Refused
from gladedrum.targets.owner import LEAVING_REASON
from gladedrum.telemetry import Metrics
from gladedrum.utils import start

ME, OTHER = Box("me", "127.0.0.1", 1), Box("other", "127.0.0.1", 2)
ENGINES = tuple(
    Target(f"e{number}", "engine", "http://127.0.0.1:3", models=("m",), memory_tokens=10_000)
    for number in range(8)
)
JOB = Job("job", "org", "class", 1000, 10, 0.0, 1000.0)


class _Owners:
    """Replaces the queues of this box: a request waits until `waiting` fires."""

    def __init__(self):
        self.waiting = defer.Deferred()

    def now_s(self):
        return 0.0

    def quote(self, _target, _job, _policy):
        return Quote(0.1, 1.0)

    def reserve(self, _target, _job, _policy):
        return self.waiting


class _Links:
    """Replaces the links to all other boxes; `answers` holds a function for each method."""

    def __init__(self, **answers):
        self.answers, self.called = answers, []

    def link(self, box):
        self.called.append(box.name)
        return self

    async def call(self, name, *args, **_options):
        return self.answers[name](*args)


def lost(*_args):
    raise PeerLostError("no answer")


def fleet(clock):
    membership = Membership(ME, clock.seconds)
    membership.update(Directory((ME, OTHER), ENGINES))
    return membership


def owners_of(membership):
    return {membership.owner_of(engine).name for engine in ENGINES}


def test_a_stopping_box_never_owns_targets_again():
    """If its own leaving mark expired, it would renew its running requests with itself, and the
    real owners would drop them."""
    clock = Clock()
    membership = fleet(clock)
    assert owners_of(membership) == {"me", "other"}
    membership.note_leaving("me")
    assert owners_of(membership) == {"other"}
    clock.advance(3600.0)
    assert owners_of(membership) == {"other"}


def test_a_request_that_waits_at_its_own_box_is_placed_elsewhere_when_the_box_stops():
    """Guards against refusing the box's own requests with the reason meant for other boxes."""
    membership, owners = fleet(Clock()), _Owners()
    own = tuple(engine for engine in ENGINES if membership.owner_of(engine) == ME)
    membership.update(Directory((ME, OTHER), own))
    links = _Links(
        quote=lambda names, _job: [record_of_quote(name, Quote(0.1, 2.0)) for name in names],
        reserve=lambda *_args: record_of_reserve(Grant(JOB, 0)),
    )
    gateway = OwnerGateway(membership, links, owners, Metrics())
    placer = Placer(Clock(), parse_settings(""), membership, gateway)
    results = []
    start(placer.place(JOB, "m", "fair_slack")).addBoth(results.append)
    assert not results
    owners.waiting.callback(Refused(LEAVING_REASON, 1.0))
    ((placed,),) = results
    assert isinstance(placed, Reservation)
    assert placed.owner.name == "other"


def live_sessions(membership, links, box="other"):
    gateway = OwnerGateway(membership, links, _Owners(), Metrics())
    results = []
    start(gateway.live_sessions(box, ["s"])).addBoth(results.append)
    return results[0]


def test_a_box_that_has_left_the_list_is_still_asked_for_its_sessions():
    """Guards against cancelling answers as orphaned while the box still relays them."""
    membership = fleet(Clock())
    membership.update(Directory((ME,), ENGINES))
    assert live_sessions(membership, _Links(live_sessions=lambda ids: ids)) == ["s"]
    assert live_sessions(membership, _Links(live_sessions=lost)) == []
    assert live_sessions(membership, _Links(), "never heard of") == []


def test_the_sessions_of_a_listed_box_that_does_not_answer_are_unknown():
    assert live_sessions(fleet(Clock()), _Links(live_sessions=lost)) is None


def test_a_link_with_a_pending_call_stays_open_when_its_box_leaves_the_list():
    membership = fleet(Clock())
    peers = Peers(Clock(), parse_settings(""), membership)
    closed = []
    for name, pending_calls in (("other", 1), ("idle", 0)):
        link = peers.link(Box(name, "127.0.0.1", 2))
        link._pending_calls, link.close = pending_calls, lambda name=name: closed.append(name)
        link._heartbeat_pending = True
    membership.update(Directory((ME,), ENGINES))
    peers._send_heartbeats()
    assert closed == ["idle"]
