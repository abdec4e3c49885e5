"""Opening a connection by several paths: in which order, how many, and what is learned from it."""

from types import SimpleNamespace

import pytest

from gladedrum.connections.target_pool import CONNECT_TIMEOUT_S, ConnectFailedError
from gladedrum.fleet import TargetEntry
from gladedrum.forward.tests.support import Network
from gladedrum.paths.carriers import Carriers, PeerFacts
from gladedrum.paths.connector import PROOF_TIMEOUT_S, PathConnector
from gladedrum.paths.evidence import LinkEvidence
from gladedrum.paths.opening import CARRIER_INTERVAL_S, HEAD_START_S, MAX_CARRIERS
from gladedrum.paths.tests.pipes import Connecting

TARGETS = {
    f"t{i}": TargetEntry(f"t{i}", "pool", "10.0.0.1", 9000 + i, "hall", 8, False)
    for i in range(1, 4)
}


class Silence(Network):
    """A network in which no connection opens; `asked` holds the addresses and times."""

    def __init__(self):
        super().__init__()
        self.asked: list[tuple[tuple[str, int], float]] = []

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        connector = Connecting((host, port))
        factory.startedConnecting(connector)
        self.asked.append(((host, port), self.seconds()))
        return connector


def make_connector(net, peers=5):
    addresses = {f"p{i}": ("10.0.1.1", i) for i in range(peers)}
    facts = PeerFacts(lambda: addresses, lambda _n: 1.0, lambda _n: "hall", lambda _n: False)
    paths = PathConnector(
        net,
        "me",
        LinkEvidence(lambda: TARGETS),
        Carriers("me", "hall", facts),
        lambda: TARGETS,
        lambda _note: None,
    )
    paths.make_idle = lambda _address, _carrier: SimpleNamespace()
    return paths


def open_connection(paths, name="t1"):
    results = []
    paths.open(TARGETS[name], "id-1", paths.make_idle).addBoth(results.append)
    return results


# Guards against one silent carrier that uses up the time of a request, and against asking them all.
def test_silent_carriers_are_tried_one_after_the_other_beside_the_own_link():
    net = Silence()
    paths = make_connector(net)
    results = open_connection(paths)
    net.pump([0.01] * round((CONNECT_TIMEOUT_S + 0.05) / 0.01))
    own, *carriers = net.asked
    assert own == (("10.0.0.1", 9001), 0.0)
    assert len({address for address, _at_s in carriers}) == len(carriers) == MAX_CARRIERS
    times = [at_s for _address, at_s in carriers]
    assert times == pytest.approx(
        [HEAD_START_S + i * CARRIER_INTERVAL_S for i in range(3)], abs=0.02
    )
    assert results[0].check(ConnectFailedError)


def test_without_peers_the_own_link_has_all_the_time():
    net = Silence()
    results = open_connection(make_connector(net, peers=0))
    net.pump([0.01] * 70)
    assert len(net.asked) == 1
    assert not results


# Guards against a box that was stopped and takes the time for a fault of its link.
def test_a_timer_that_runs_late_is_no_evidence():
    net = Silence()
    paths = make_connector(net)
    open_connection(paths)
    net.advance(0.5)
    assert paths.counts["own late"] == 0
    assert len(net.asked) == 1
    net.advance(HEAD_START_S)
    assert paths.counts["own late"] == 1


# Guards against a verdict on a target while nothing shows that the own link is sound.
def test_a_failure_counts_only_once_the_link_is_proven():
    net = Silence()
    paths = make_connector(net)
    verdicts = []
    paths.confirm_failure(
        TARGETS["t1"], False, lambda: verdicts.append("counts"), lambda: verdicts.append("not")
    )
    net.pump([0.01] * 20)
    assert not verdicts
    assert ("10.0.0.1", 9002) in [address for address, _at_s in net.asked]
    paths.evidence.note_heard(("10.0.0.1", 9003), net.seconds())
    net.pump([0.01] * 5)
    assert verdicts == ["counts"]


def test_a_failure_without_proof_does_not_count():
    net = Silence()
    paths = make_connector(net)
    verdicts = []
    paths.confirm_failure(
        TARGETS["t1"], False, lambda: verdicts.append("counts"), lambda: verdicts.append("not")
    )
    net.pump([0.01] * round((PROOF_TIMEOUT_S + 0.1) / 0.01))
    assert verdicts == ["not"]
    assert paths.unconfirmed == 1


def test_a_box_without_peers_counts_failures_at_once():
    paths = make_connector(Silence(), peers=0)
    verdicts = []
    paths.confirm_failure(TARGETS["t1"], True, lambda: verdicts.append("counts"))
    assert verdicts == ["counts"]
