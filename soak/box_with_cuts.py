"""``python -m soak.box_with_cuts MODE_FILE [GUARD] -- ARGS``: run a box whose links can be cut.

A proxy would accept the box's connections even while it passes nothing, so the links from one box
to all targets are cut within its process: the mode in a file, read at short intervals, applies to
connections to targets, not to those to other boxes, callers or the store. In the mode `LinkCut.ALL`
datagrams to and from other boxes are dropped, too.
"""

import sys
from pathlib import Path

from twisted.internet import endpoints, error, reactor, task
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from .links import LinkCut

__all__ = ["main"]

READ_INTERVAL_S = 0.02
"""Interval at which the file is read, in seconds."""


class Links:
    """The box's links to targets.

    Parameters
    ----------
    path : Path
        The file that holds a `LinkCut`.
    """

    def __init__(self, path: Path):
        self._path = path
        self.cut = LinkCut.NONE
        self.open: set[_Connection] = set()

    @property
    def brings_nothing(self) -> bool:
        """Whether nothing arrives from targets."""
        return self.cut in (LinkCut.SILENT, LinkCut.ANSWERS_LOST, LinkCut.ALL)

    @property
    def takes_nothing(self) -> bool:
        """Whether nothing reaches targets."""
        return self.cut in (LinkCut.SILENT, LinkCut.ALL)

    def update(self) -> None:
        """Read the file, and apply a changed mode to open connections."""
        try:
            cut = LinkCut(self._path.read_text())
        except (OSError, ValueError):
            return
        if cut is self.cut:
            return
        self.cut = cut
        for conn in tuple(self.open):
            conn.cut_changed()


class _Connection(ProtocolWrapper):
    """A connection to a target; a silent link holds back what is written, and is not read."""

    def __init__(self, factory: WrappingFactory, wrapped, links: Links):
        super().__init__(factory, wrapped)
        self._links = links
        self._held: list[bytes] = []
        self._is_reading = True

    def connectionMade(self) -> None:
        self._links.open.add(self)
        super().connectionMade()

    def connectionLost(self, reason) -> None:
        self._links.open.discard(self)
        super().connectionLost(reason)

    def write(self, data: bytes) -> None:
        if self._links.takes_nothing:
            self._held.append(data)
        else:
            super().write(data)

    def pauseProducing(self) -> None:
        self._is_reading = False
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self._is_reading = True
        if not self._links.brings_nothing:
            self.transport.resumeProducing()

    def cut_changed(self) -> None:
        """Apply a changed mode."""
        if self._links.cut is LinkCut.RESET:
            self.transport.abortConnection()
            return
        if self._links.brings_nothing:
            self.transport.pauseProducing()
        elif self._is_reading:
            self.transport.resumeProducing()
        held, self._held = b"".join(self._held), []
        if held and not self._links.takes_nothing:
            super().write(held)


class _Endpoint(endpoints.TCP4ClientEndpoint):
    """A client endpoint for targets."""

    links: Links

    def connect(self, factory):
        """Connect, unless the link is cut: the connection is then refused or hangs."""
        match self.links.cut:
            case LinkCut.RESET | LinkCut.REFUSE_NEW:
                return task.deferLater(reactor, 0.001, _fail, error.ConnectionRefusedError())
            case LinkCut.SILENT | LinkCut.ANSWERS_LOST | LinkCut.ALL:
                return task.deferLater(reactor, self._timeout, _fail, error.TimeoutError())
        wrapping = WrappingFactory(factory)
        wrapping.protocol = lambda factory, wrapped: _Connection(factory, wrapped, self.links)
        return super().connect(wrapping).addCallback(lambda conn: conn.wrappedProtocol)


def _fail(exc: Exception) -> None:
    raise exc


def _filter_datagrams(links: Links) -> None:
    """Drop the datagrams of all UDP ports that are opened from now on while `links` are cut."""
    listen = reactor.listenUDP

    def listen_filtered(port, proto, *args, **kwargs):
        receive = proto.datagramReceived
        proto.datagramReceived = lambda data, address: (
            None if links.cut is LinkCut.ALL else receive(data, address)
        )
        listening = listen(port, proto, *args, **kwargs)
        write = listening.write
        listening.write = lambda data, address=None: (
            None if links.cut is LinkCut.ALL else write(data, address)
        )
        return listening

    reactor.listenUDP = listen_filtered


def main(argv: list[str]) -> int:
    """Run a box, without a guard if one is named; return its exit code."""
    path, *rest = argv
    links = _Endpoint.links = Links(Path(path))
    from gladedrum.connections import target_pool
    from gladedrum.paths import opening, tunnel_server

    for module in (target_pool, opening, tunnel_server):
        module.TCP4ClientEndpoint = _Endpoint
    _filter_datagrams(links)
    reactor.callWhenRunning(task.LoopingCall(links.update).start, READ_INTERVAL_S)
    if rest[0] != "--":
        from .guards import run_without

        return run_without(rest[0], rest[2:])
    from gladedrum.daemon.start import main as run

    return run(rest[1:])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
