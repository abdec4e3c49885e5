"""The processes of a soak; signals are sent to their process ids only."""

import random
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

__all__ = ["Process", "free_port"]

PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
"""File with the range of ephemeral ports, which the system assigns to outgoing connections."""

MIN_PORT = 15_000
"""Lowest port to use; common services listen below it."""

_port_locks: list[socket.socket] = []
"""Sockets that reserve the ports of this soak against other soaks on the same machine."""


class Process:
    """A program of the project that can be restarted.

    Parameters
    ----------
    name : str
        Name of the process, used in the names of its output files.
    arguments : list of str
        Arguments of ``python -m``.
    directory : Path
        Directory for the output files of each start.
    """

    def __init__(self, name: str, arguments: list[str], directory: Path):
        self.name = name
        self._arguments = arguments
        self._directory = directory
        self._popen: subprocess.Popen[bytes] | None = None
        self._ended = False
        self.starts_s: list[float] = []

    def start(self) -> None:
        """Start the process, unless `end` was called.

        Standard output and standard error go to a file each.
        """
        if self._ended:
            return
        stem = self._directory / f"{self.name}.{len(self.starts_s)}"
        self.starts_s.append(time.monotonic())
        with open(f"{stem}.out", "wb") as out, open(f"{stem}.err", "wb") as err:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self._arguments], stdout=out, stderr=err
            )

    @property
    def is_alive(self) -> bool:
        """Whether the process exists, running or paused."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def resident_mb(self) -> float | None:
        """Resident memory of the process, in MB; None if it is not running."""
        try:
            pages = Path(f"/proc/{self._popen.pid}/statm").read_text().split()[1]
        except (AttributeError, IndexError, OSError):
            return None
        return int(pages) * resource.getpagesize() / 1e6

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is alive."""
        if self.is_alive:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    def end(self) -> None:
        """Kill the process and prevent further starts."""
        self._ended = True
        self.kill()

    def outputs(self) -> list[Path]:
        """Return the files with standard output, one for each start."""
        stems = [self._directory / f"{self.name}.{i}" for i in range(len(self.starts_s))]
        return [Path(f"{stem}.out") for stem in stems]


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a random free port and reserve it against other soaks.

    A box keeps its ports across restarts, so the port lies outside of the ephemeral range.
    """
    first_ephemeral = int(PORT_RANGE.read_text().split()[0])
    while True:
        port = random.randrange(MIN_PORT, first_ephemeral)
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if _lock_port(port):
            return port


def _lock_port(port: int) -> bool:
    """Reserve a port for the lifetime of this process; False if another soak has reserved it."""
    lock = socket.socket(socket.AF_UNIX)
    try:
        # An abstract socket address: the system frees it when this process exits.
        lock.bind(f"\0gladedrum-soak-{port}")
    except OSError:
        lock.close()
        return False
    _port_locks.append(lock)
    return True
