"""Boxes as processes of their own, started as the deploy file says."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from .errors import CannotRunError
from .messages import read_answer
from .settings_template import fill_template

__all__ = ["BOUNDS", "Box", "Fleet", "is_built"]

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target/deps"
"""The packages, as the build of the deploy file leaves them."""
VENV_PYTHON = ROOT / ".venv/bin/python"
"""Used if only the project's own environment has been built."""

SETTINGS_PATH = "/etc/gladedrum/boot.toml"
"""Where the platform puts the settings; replaced by a file in a temporary folder."""

BOUNDS = {
    "drainMs": 2000,
    "configMs": 2000,
    "revokeMs": 5000,
    "strictRevoke": True,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 104,
    "budgetWindowS": 10,
    "holdMaxMs": 20000,
    "freeMs": 4000,
}
"""The bounds of the small deployment `hoeven-config` that the settings template uses."""

LIMITS = {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "linkMbps": 1000.0}
"""The limits of its machines."""

CONTRACTS = [
    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
    "platform", "spans",
]  # fmt: skip
"""The parts of the rules that are in force there."""

READY_WITHIN_S = 30
FIRST_PORT, LAST_PORT = 20000, 30000
PEER_PORTS = 16


def is_built():
    """Whether the packages that a box needs are there."""
    return DEPS.is_dir() or VENV_PYTHON.exists()


class Box:
    """A box.

    Parameters
    ----------
    fleet : Fleet
        The fleet that it belongs to.
    name, zone : str
        As in its settings.
    address : str
        Its loopback address.
    port : int
        The first of its ports; all boxes have the same ones.

    Attributes
    ----------
    callers, ready, control : (str, int)
        Addresses for clients, for the question whether it is ready, and for seeds.
    process : Popen or None
        Its process.
    """

    def __init__(self, fleet, name, zone, address, port):
        self.name = name
        self.callers, self.ready, self.control = [(address, port + n) for n in range(3)]
        self.process = None
        self._fleet = fleet
        self._zone = zone
        self._peer_ports = [port + 3, port + 3 + PEER_PORTS - 1]
        self._settings = fleet.folder / f"{name}.ini"
        self._log = fleet.folder / f"{name}.log"

    def start(self):
        """Start the process, for the first time."""
        template = (ROOT / "deploy/settings.ini").read_text()
        self._settings.write_text(fill_template(template, self._settings_values()))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["box"]
        words = [str(self._settings) if w == SETTINGS_PATH else w for w in role["run"].split()]
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["GLADEDRUM_NODE_FILE"] = str(self._settings)
        if DEPS.is_dir():
            env["PYTHONPATH"] = str(DEPS)
        else:
            words[0] = str(VENV_PYTHON)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self._fleet.record(f"box {self.name} starts")

    def _settings_values(self):
        address = self.callers[0]
        return {
            "node": self.name,
            "zone": self._zone,
            "ip": address,
            "portRange": self._peer_ports,
            "listen": {
                "front": f"{address}:{self.callers[1]}",
                "ready": f"{address}:{self.ready[1]}",
                "control": f"{address}:{self.control[1]}",
            },
            "seeds": [f"{box.control[0]}:{box.control[1]}" for box in self._fleet.boxes[:3]],
            "bootstrap": True,
            "bounds": BOUNDS,
            "limits": LIMITS,
            "platform": {"address": self._fleet.store_address},
            "contracts": CONTRACTS,
        }

    def send_signal(self, number):
        """Send the process a signal."""
        self._fleet.record(f"box {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        """Whether the box says that it is ready."""
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_answer(reader), 1)
            writer.close()
            return answer is not None and answer.status == 200
        return False

    def logged(self, message):
        """Return the rows of its log with a message."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if f'"message": "{message}"' in line]


class Fleet:
    """The boxes of a small deployment: each has a loopback address, and all have the same ports.

    Parameters
    ----------
    store_address : str
        IP:PORT of the store.
    record : Record
        Takes a line for each start and signal.
    zones : sequence of str
        The zones of the boxes.

    Attributes
    ----------
    boxes : list of Box
        The boxes.
    folder : Path
        A temporary folder for settings and logs.
    """

    def __init__(self, store_address, record, zones):
        self.store_address, self.record = store_address, record
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        net = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        addresses = [f"{net}.{n}" for n in range(1, len(zones) + 1)]
        port = _free_ports(addresses)
        self.boxes = []
        for zone, address in zip(zones, addresses, strict=True):
            name = f"front-{zone}-{len(self.boxes) + 1}"
            self.boxes.append(Box(self, name, zone, address, port))

    async def start(self):
        """Start all boxes, and wait until they are ready."""
        for box in self.boxes:
            box.start()
        end_s = time.monotonic() + READY_WITHIN_S
        while not all([await box.is_ready() for box in self.boxes]):
            if time.monotonic() > end_s:
                raise CannotRunError("the boxes do not get ready")
            await asyncio.sleep(0.2)
        self.record("all boxes are ready")

    def stop(self):
        """Kill what still runs of the processes that were started."""
        started = [box.process for box in self.boxes if box.process is not None]
        for process in started:
            process.kill()
        for process in started:
            process.wait()
        self._temporary.cleanup()


def _free_ports(addresses):
    """Return the first of the ports of a box, all of which are free on all addresses."""
    for _ in range(100):
        first = random.randrange(FIRST_PORT, LAST_PORT)
        with contextlib.suppress(OSError):
            for address in addresses:
                for port in range(first, first + 3 + PEER_PORTS):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((address, port))
            return first
    raise CannotRunError("no free ports")
