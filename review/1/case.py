"""A box is killed while it carries an answer without a length for another box."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import (
    CannotRunError,
    Client,
    Fleet,
    Runner,
    Store,
    configuration,
    encode_head,
    plain_service,
    route,
    run_case,
)

ZONES = ["hal-a", "hal-b", "hal-c"]

PIECES, PIECE_BYTES, PIECE_S = 8, 200, 0.25
"""A body of 1,600 bytes, written within two seconds."""
BODY = b"".join(b"%d" % n * PIECE_BYTES for n in range(PIECES))

QUEUE_FULL_S = 0.06
"""How long the runners' queues of new connections are full, in seconds: one opening packet of the
box is dropped, and after 0.1 s it connects through a peer."""

KILL_AFTER_PIECES = 3
SETTLE_S = 5
TRIES = 10


class UnframedRunner(Runner):
    """Answers without a length, piece by piece, and closes the connection at the end."""

    pieces_sent = 0

    async def run(self, _req, request_id, writer):
        """Run and answer a request."""
        head = {"Content_Type": "application/octet-stream", "Connection": "close"}
        writer.write(encode_head(self.id, request_id, **head))
        self.pieces_sent = 0
        for first in range(0, len(BODY), PIECE_BYTES):
            if writer.transport.is_closing():
                self.record(f"runner {self.id} loses the connection of {request_id}")
                return False
            writer.write(BODY[first : first + PIECE_BYTES])
            self.pieces_sent += 1
            await asyncio.sleep(PIECE_S)
        self.record(f"runner {self.id} has sent all {len(BODY)} bytes for {request_id}")
        return False


async def find_carrier(fleet, box, request_id):
    """Return the box that carries a request of `box`, None if none does."""
    for _ in range(40):
        for row in box.logged("tunnel opened"):
            if row["request_id"] == request_id:
                name = row["carrier"].rpartition(".")[0]
                return next(other for other in fleet.boxes if other.name == name)
        await asyncio.sleep(0.02)
    return None


async def send_through_peer(record, fleet, runners):
    """Send a request that a peer carries; return its client, its answer to come, and the peer."""
    box = fleet.boxes[0]
    for _ in range(TRIES):
        client = Client(record, box, "POST", "/puxa403/2f", body=b"order")
        for runner in runners:
            await runner.fill_queue()
        record("the runners' queues of new connections are full")
        asking = asyncio.ensure_future(client.run())
        await asyncio.sleep(QUEUE_FULL_S)
        for runner in runners:
            runner.resume_accepting()
        record("the runners accept connections again")
        carrier = await find_carrier(fleet, box, client.id)
        if carrier is not None:
            record(f"box {carrier.name} carries the request of {box.name}")
            return client, asking, carrier
        await asking
    raise CannotRunError("no request was carried by a peer")


async def case(record, to_stop, has_trouble):
    """Run the case; return whether the rule held."""
    store = Store()
    await store.start()
    to_stop.append(store.stop)
    runners = [
        UnframedRunner(store, record, f"i-{zone}-app", "config-app", zone, backlog=0)
        for zone in ZONES
    ]
    for runner in runners:
        runner.start()
        to_stop.append(runner.stop)
    routes = [route("bevestig", "/puxa403/", "unsafe", "config-app", 10000, 2000, 1)]
    store.put_json("op/config", configuration(routes, [plain_service("config-app")]))
    fleet = Fleet(store.address, record, [*ZONES, ZONES[0]])
    to_stop.append(fleet.stop)
    await fleet.start()
    await asyncio.sleep(SETTLE_S)

    client, asking, carrier = await send_through_peer(record, fleet, runners)
    runner = next(runner for runner in runners if client.id in runner.runs)
    while runner.pieces_sent < KILL_AFTER_PIECES:
        await asyncio.sleep(0.02)
    await asyncio.sleep(PIECE_S / 2)
    if has_trouble:
        carrier.send_signal(signal.SIGKILL)
    await asking
    await asyncio.sleep(2 * PIECE_S)

    record(f"the runner's whole body has {len(BODY)} bytes")
    is_whole = client.is_success and client.answer.body == BODY
    if not has_trouble and not is_whole:
        raise CannotRunError("the answer did not arrive whole without the disruption")
    return is_whole or not client.is_success


run_case(Path(__file__).parent, case)
