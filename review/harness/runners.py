"""Stand-in for a runner."""

import asyncio
import contextlib
import json
import socket

from .messages import encode_answer, read_request

__all__ = ["JSON", "Runner", "encode_head"]

HEARTBEAT_S = 1.2
"""How often a runner writes its entry, in seconds."""

JSON = {"Content-Type": "application/json"}
"""Headers of an answer that carries JSON."""


class Runner:
    """A runner: keeps its entry in the store, and serves one message at a time on a connection.

    Parameters
    ----------
    store : Store
        Holds its entry.
    record : Record
        Takes a line for each request that it runs.
    runner_id, service, zone : str
        As in its entry.
    slots : int
        As in its entry.
    backlog : int
        The length of the queue of new connections.

    Attributes
    ----------
    runs : list of str
        The ids of the requests that it began to run.
    """

    def __init__(self, store, record, runner_id, service, zone, slots=6, backlog=128):
        self.id, self.service, self.zone, self.slots = runner_id, service, zone, slots
        self.record = record
        self.runs = []
        self._store = store
        self._sock = socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(backlog)
        self._sock.setblocking(False)
        self._accepting = None
        self._beating = None
        self._tasks = set()
        self._filler = None

    def start(self):
        """Register, and accept connections."""
        self._beating = asyncio.ensure_future(self._beat())
        self.resume_accepting()

    def stop(self):
        """End."""
        for task in (self._beating, self._accepting, *self._tasks):
            task.cancel()
        if self._filler is not None:
            self._filler.close()
        self._sock.close()

    async def _beat(self):
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self._sock.getsockname()[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
        }
        while True:
            entry["seq"] += 1
            self._store.put_json(f"servers/{self.id}", entry)
            await asyncio.sleep(HEARTBEAT_S)

    # New connections.

    async def fill_queue(self):
        """Stop to accept, and let the queue run full: opening packets are dropped from now on.

        The runner needs a backlog of 0, so that one connection fills the queue.
        """
        self._accepting.cancel()
        await asyncio.sleep(0)
        self._filler = socket.socket()
        self._filler.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self._filler, self._sock.getsockname())

    def resume_accepting(self):
        """Accept connections again."""
        self._accepting = asyncio.ensure_future(self._accept())

    async def _accept(self):
        while True:
            conn, _ = await asyncio.get_running_loop().sock_accept(self._sock)
            if self._filler is not None:
                # The first connection in the queue is the one that fills it.
                conn.close()
                self._filler.close()
                self._filler = None
                continue
            task = asyncio.ensure_future(self._serve_connection(conn))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve_connection(self, conn):
        reader, writer = await asyncio.open_connection(sock=conn)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (req := await read_request(reader)) is not None:
                if not await self._serve(req, writer):
                    break
        writer.close()

    # Messages.

    async def _serve(self, req, writer):
        """Serve one message; return whether the connection stays open."""
        if req.path == "/api/report":
            await self.send_report(writer)
            return True
        if req.path == "/api/order":
            writer.write(encode_answer(200, JSON, b'{"free":200000}'))
            return True
        if req.headers.get("x-gladedrum-target-instance", self.id) != self.id:
            writer.write(encode_answer(421, {"X-Gladedrum-Instance-Id": self.id}, b""))
            return True
        request_id = req.headers.get("x-gladedrum-request-id", "")
        self.runs.append(request_id)
        self.record(f"runner {self.id} runs request {request_id}")
        return await self.run(req, request_id, writer)

    async def send_report(self, writer):
        """Answer a call for the load report."""
        writer.write(encode_answer(200, JSON, self.report()))
        await writer.drain()

    def report(self):
        """Return the body of a load report."""
        body = {
            "stage": "dual",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "waiting": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 232000,
            "handles": 0,
        }
        return json.dumps(body).encode()

    async def run(self, req, request_id, writer):
        """Run and answer a request; return whether the connection stays open."""
        raise NotImplementedError


def encode_head(runner_id, request_id, **headers):
    """Return the bytes of the head of a success, signed by its runner.

    In the names of `headers`, an underscore stands for a hyphen.
    """
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Gladedrum-Request-Id: {request_id}",
        f"X-Gladedrum-Response-Seal: {runner_id}.{request_id}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
