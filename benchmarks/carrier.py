"""Cost of connections that a box carries for peers.

``python -m benchmarks.carrier`` runs a tunnel server on real sockets. Boxes and a target are plain
sockets on another thread; the processor time is that of the server's thread. It records the time
to open and close a tunnel, to copy a piece of a stream and a megabyte, with frames and without (as
for boxes of earlier versions, in turn on the same tunnels' server), the memory of a tunnel, and the
bytes of the datagrams that boxes with impaired links and coordinators send.
"""

import argparse
import os
import socket
import statistics
import sys
import threading
import time
from typing import NamedTuple

from twisted.internet import reactor, threads

from benchmarks.measure import resident_bytes, save
from gladedrum.fleet import TargetEntry
from gladedrum.gossip.port import encode
from gladedrum.gossip.wire.ttypes import BoxRow, Gossip, LinkNote, TargetGroup
from gladedrum.paths.framing import FrameDecoder
from gladedrum.paths.tunnel_client import FRAMES_HEADER
from gladedrum.paths.tunnel_server import CarrierLimits, CarrierPolicy, TunnelServer

LOOPBACK = "127.0.0.1"

PIECE_BYTES = 170
"""Size of an event of a stream with its chunk framing, in bytes."""

BLOCK_BYTES = 65_536

TUNNELS = 200
"""Number of tunnels whose memory is measured: the default limit."""


ROUNDS = 8
"""How often tunnels with and without frames are measured in turn; the median counts."""


class Copying(NamedTuple):
    """The carrier's processor time for a piece and a megabyte, and its rate, in SI units."""

    piece_s: float
    megabyte_s: float
    bytes_per_s: float


def _ask(server_port: int, target_port: int, is_framed: bool = True) -> socket.socket:
    """Open a tunnel as a box does."""
    sock = socket.create_connection((LOOPBACK, server_port))
    head = f"CONNECT {LOOPBACK}:{target_port} HTTP/1.1\r\nhost: x\r\nx-target: t1\r\n"
    if is_framed:
        head += f"{FRAMES_HEADER.decode()}: 1\r\n"
    sock.sendall(f"{head}\r\n".encode())
    answer = b""
    while not answer.endswith(b"\r\n\r\n"):
        answer += sock.recv(4096)
    if not answer.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(f"no tunnel: {answer!r}")
    return sock


def _receive(sock: socket.socket, count: int, decoder: FrameDecoder | None) -> None:
    """Receive `count` bytes of the target."""
    while count:
        data = sock.recv(BLOCK_BYTES)
        parts = [data] if decoder is None else decoder.feed(data)
        count -= sum(map(len, parts))


def _server_cpu_s() -> float:
    """Return the processor time of the reactor's thread, in seconds; called on another one."""
    return threads.blockingCallFromThread(reactor, time.thread_time)


def _measure_copying(
    box_end: socket.socket, target_end: socket.socket, count: int, is_framed: bool
):
    decoder = FrameDecoder() if is_framed else None
    began_s = _server_cpu_s()
    for _ in range(count):
        target_end.sendall(b"e" * PIECE_BYTES)
        _receive(box_end, PIECE_BYTES, decoder)
    piece_s = (_server_cpu_s() - began_s) / count
    began_s, began_at_s, blocks = _server_cpu_s(), time.monotonic(), max(16, count // 4)
    sending = threading.Thread(target=target_end.sendall, args=(b"b" * BLOCK_BYTES * blocks,))
    sending.start()
    _receive(box_end, BLOCK_BYTES * blocks, decoder)
    sending.join()
    passed_s = time.monotonic() - began_at_s
    megabyte_s = (_server_cpu_s() - began_s) / blocks * 1e6 / BLOCK_BYTES
    return Copying(piece_s, megabyte_s, blocks * BLOCK_BYTES / passed_s)


def _measure(target: socket.socket, server_port: int, target_port: int, count: int) -> dict:
    def open_one(is_framed: bool = True) -> tuple[socket.socket, socket.socket]:
        box_end = _ask(server_port, target_port, is_framed)
        return box_end, target.accept()[0]

    for box_end, target_end in [open_one() for _ in range(20)]:
        box_end.close()
        target_end.close()
    began_s = _server_cpu_s()
    for _ in range(count):
        box_end, target_end = open_one()
        box_end.close()
        _receive_end(target_end)
    open_s = (_server_cpu_s() - began_s) / count

    measured: dict[bool, list[Copying]] = {True: [], False: []}
    for is_framed in [True, False] * ROUNDS:
        ends = open_one(is_framed)
        measured[is_framed].append(_measure_copying(*ends, count // ROUNDS, is_framed))
        for sock in ends:
            sock.close()
    framed, bare = (
        Copying(*map(statistics.median, zip(*measured[kind], strict=True)))
        for kind in (True, False)
    )

    before = resident_bytes(os.getpid())
    ends = [open_one() for _ in range(TUNNELS - 1)]
    memory = (resident_bytes(os.getpid()) - before) / len(ends)
    for pair in ends:
        for sock in pair:
            sock.close()
    return {
        "open_ms": 1000 * open_s,
        "piece_us": 1e6 * framed.piece_s,
        "megabyte_ms": 1000 * framed.megabyte_s,
        "megabytes_per_s": framed.bytes_per_s / 1e6,
        "bare_piece_us": 1e6 * bare.piece_s,
        "bare_megabyte_ms": 1000 * bare.megabyte_s,
        "bare_megabytes_per_s": bare.bytes_per_s / 1e6,
        "tunnel_bytes": memory,
    }


def _receive_end(sock: socket.socket) -> None:
    with sock:
        while sock.recv(BLOCK_BYTES):
            pass


def _datagram_bytes() -> dict:
    name = "front-some-hall-17.0123abcd"
    group = TargetGroup("gladedrum-pool", "some-hall-1")
    rows = [
        BoxRow(f"front-some-hall-{i}.0123abcd", "10.200.100.100", 8000, 2.15, "some-hall-1")
        for i in range(8)
    ]
    return {
        "note_bytes": len(encode(Gossip(name, link=LinkNote([group, group], True)))),
        "carriers_bytes": len(encode(Gossip(name, carriers=rows))),
    }


def main() -> int:
    """Run the benchmark, print the results and save them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=2000, help="tunnels opened, pieces copied")
    args = parser.parse_args()
    target = socket.create_server((LOOPBACK, 0), backlog=512)
    target_port = target.getsockname()[1]
    entry = TargetEntry("t1", "pool", LOOPBACK, target_port, "hall", 8, False)
    policy = CarrierPolicy(
        lambda: CarrierLimits(10 * TUNNELS),
        lambda _name: entry,
        lambda _entry: False,
        lambda: 0,
        lambda _entry: None,
        lambda _entry, _reason: None,
    )
    port = reactor.listenTCP(0, TunnelServer(reactor, policy), backlog=512, interface=LOOPBACK)
    results: list[dict] = []
    measuring = threads.deferToThread(
        _measure, target, port.getHost().port, target_port, args.count
    )
    measuring.addCallback(results.append)
    measuring.addErrback(lambda failure: failure.printTraceback())
    measuring.addBoth(lambda _result: reactor.stop())
    reactor.run()
    if not results:
        return 1
    result = {**results[0], **_datagram_bytes()}
    print(result)
    save("carrier", result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
