"""The processes of a soak: each is ended by its own id only."""

import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

__all__ = ["Process", "free_port"]

PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
"""Where the system names the ports that it gives to outgoing connections."""

LEAST_PORT = 15_000
"""The least port that is used; usual services listen below."""

_claims: list[socket.socket] = []
"""What keeps the ports of this soak from others that are played on the machine; ends with it."""


class Process:
    """A program of the project, started and restarted under one name.

    Parameters
    ----------
    name : str
        Stands in the names of its logs.
    arguments : list of str
        What follows ``python -m``.
    directory : Path
        Where its output is kept, one file a start.
    """

    def __init__(self, name: str, arguments: list[str], directory: Path):
        self.name = name
        self._arguments = arguments
        self._directory = directory
        self._popen: subprocess.Popen[bytes] | None = None
        self._over = False
        self.starts_s: list[float] = []

    def start(self) -> None:
        """Start it; its standard output is one file, its standard error another."""
        if self._over:
            return
        stem = self._directory / f"{self.name}.{len(self.starts_s)}"
        self.starts_s.append(time.monotonic())
        with open(f"{stem}.out", "wb") as out, open(f"{stem}.err", "wb") as err:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self._arguments], stdout=out, stderr=err
            )

    @property
    def is_alive(self) -> bool:
        """Whether it runs, or is paused."""
        return self._popen is not None and self._popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it lives."""
        if self.is_alive:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self.send(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    def end(self) -> None:
        """End it at once and for good."""
        self._over = True
        self.kill()

    def outputs(self) -> list[Path]:
        """Return the files of standard output, a start each."""
        stems = [self._directory / f"{self.name}.{i}" for i in range(len(self.starts_s))]
        return [Path(f"{stem}.out") for stem in stems]


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that is free now, and that neither the system nor another soak gives away.

    A box keeps its ports over restarts, so one that an outgoing connection may get won't do.
    """
    first_given = int(PORT_RANGE.read_text().split()[0])
    while True:
        port = random.randrange(LEAST_PORT, first_given)
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if _claim(port):
            return port


def _claim(port: int) -> bool:
    """Claim a port for as long as this process lives; False if it is claimed already."""
    claim = socket.socket(socket.AF_UNIX)
    try:
        # A name without a file: the system frees it with the process.
        claim.bind(f"\0gladedrum-soak-{port}")
    except OSError:
        claim.close()
        return False
    _claims.append(claim)
    return True
