"""Starts boxes by the deploy file's command, with settings filled from the deploy file's template.

The fields are those of a machine of `sites/anbudsljus-gd.toml`, but for names and addresses.
"""

import asyncio
import os
import re
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

__all__ = ["BOUNDS", "ROOT", "Box", "make_boxes"]

ROOT = Path(__file__).resolve().parents[2]

_BLOCK = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
_GAP = re.compile(r"\{\{([\w.]+)\}\}")

BOUNDS = {
    "contactMs": 3000, "drainMs": 2000, "graceS": 8, "lostMs": 200, "configMs": 2000,
    "strictRevoke": True, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "budgetSlack": 100, "holdMaxMs": 20000, "freeMs": 4000,
}  # fmt: skip
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
             "platform", "spans"]  # fmt: skip


def free_port(hosts: list[str]) -> int:
    """Return a port that is free on all these loopback addresses."""
    while True:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as sock:
                        sock.bind((host, port))
        except OSError:
            continue
        return port


def _fill(text: str, fields: dict) -> str:
    def value(name: str):
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                return None
        return found

    def block(match: re.Match) -> str:
        found = value(match[2])
        if match[1] == "^":
            return "" if found else match[3]
        return match[3].replace("{{.}}", str(found)) if found else ""

    def gap(match: re.Match) -> str:
        found = value(match[1])
        return ",".join(map(str, found)) if isinstance(found, list) else str(found or "")

    return _GAP.sub(gap, _BLOCK.sub(block, text))


class Box:
    """One box: its settings file and its process."""

    def __init__(self, name: str, fields: dict, folder: Path):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["box"]
        self.name = name
        self.front = fields["listen"]["front"]
        self.ready = fields["listen"]["ready"]
        self._folder = folder
        config = folder / f"{name}.ini"
        config.write_text(_fill((ROOT / role["template"]).read_text(), fields))
        words = role["run"].split()
        words[0] = sys.executable if words[0] == "python3" else words[0]
        self._command = [str(config) if w == "/etc/gladedrum/boot.toml" else w for w in words]
        self._process: subprocess.Popen | None = None
        self.starts = 0

    def start(self) -> None:
        """Start the process; its log goes to the folder."""
        self.starts += 1
        log = open(self._folder / f"{self.name}.{self.starts}.log", "wb")  # noqa: SIM115
        paths = f"{ROOT / 'target/deps'}:{ROOT}"
        env = {"PATH": os.environ["PATH"], "PYTHONPATH": paths, "LANG": "C.UTF-8"}
        self._process = subprocess.Popen(
            self._command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        """The exit code, None while the process runs."""
        return self._process.poll() if self._process is not None else None

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        while self._process is not None and self._process.poll() is None:
            await asyncio.sleep(0.005)

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        host, _colon, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"GET /api/ready HTTP/1.1\r\nHost: {self.ready}\r\n\r\n".encode())
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self, for_s: float = 15.0) -> bool:
        """Wait until the box says that it is ready."""
        end_s = asyncio.get_running_loop().time() + for_s
        while asyncio.get_running_loop().time() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


def make_boxes(store: str, hosts: list[str], folder: Path) -> list[Box]:
    """Return boxes at these loopback addresses, not yet started; all have the same ports."""
    front, ready, control, peers = (free_port(hosts) for _ in range(4))
    zones = ["sal-ett", "sal-tva", "sal-tre"]
    boxes = []
    for index, host in enumerate(hosts):
        fields = {
            "node": f"front-{index + 1}", "zone": zones[index % 3], "ip": host,
            "portRange": [peers, peers + 15],
            "seeds": [f"{other}:{control}" for other in hosts[:3]],
            "listen": {"front": f"{host}:{front}", "ready": f"{host}:{ready}"},
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "linkMbps": 1000.0},
            "bounds": BOUNDS, "platform": {"address": store}, "contracts": CONTRACTS,
        }  # fmt: skip
        boxes.append(Box(f"front-{index + 1}", fields, folder))
    return boxes
