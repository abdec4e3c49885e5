"""Processor time of a forwarding box from the start of its process to the first served request.

``python -m benchmarks.start_time`` starts a store and a plain target, and then the box again and
again, each time until a caller has its first answer. It also starts the box with ``--check``,
which only imports the modules and reads the settings: the share of the imports. Each variant
differs in what is installed:

- ``built``: the packages of `deploy/requirements.lock`, and the box with compiled bytecode, as the
  build of `deploy/system.toml` leaves them;
- ``no bytecode``: the same without bytecode of the box's own modules;
- ``with TLS``: the whole environment of the benchmark, which includes pyOpenSSL, without bytecode
  of the box's own modules.

``--against`` also measures another checkout of the repository, with the store and the target of
this one; starts of all variants take turns, so that other load on the machine meets them alike.
"""

import argparse
import importlib.metadata
import os
import shutil
import signal
import socket
import statistics
import subprocess
import sys
import sysconfig
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from twisted.internet import task

from benchmarks.measure import save
from gladedrum.platform import ABSENT, StoreClient
from gladedrum.routes import Configuration, Organisation, Route, Service, ServiceShare
from gladedrum.standins.operator import CONFIGURATION_KEY, configuration_bytes
from gladedrum.standins.request_headers import CALLER_HOST, caller_headers
from gladedrum.utils import WebClient, sleep, start

ROOT = Path(__file__).parent.parent
LOCK = ROOT / "deploy" / "requirements.lock"
NANOSECONDS = 1e-9
START_TIMEOUT_S = 30.0
TIME_LIMIT_S = 5.0
KEY = "first"
CONNECT_INTERVAL_S = 0.002
BOX = ("gladedrum.daemon.start",)

_SETTINGS = """\
[box]
name = box-1
[forward]
enabled = yes
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
peers = 127.0.0.1:{peers}
[platform]
store = 127.0.0.1:{store}
"""


class Variant(NamedTuple):
    """What is installed: the directories of modules, in the order of the search."""

    name: str
    paths: tuple[Path, ...]

    @property
    def environment(self) -> dict[str, str]:
        """The environment of the processes; they write no bytecode themselves."""
        paths = os.pathsep.join(map(str, self.paths))
        return os.environ | {"PYTHONPATH": paths, "PYTHONDONTWRITEBYTECODE": "1"}


def make_variants(directory: Path, tree: Path, suffix: str = "") -> list[Variant]:
    """Copy the package of a checkout; `directory` also has the packages that it needs."""
    plain, compiled = directory / f"plain{suffix}", directory / f"compiled{suffix}"
    for copy in (plain, compiled):
        ignore = shutil.ignore_patterns("__pycache__")
        shutil.copytree(tree / "gladedrum", copy / "gladedrum", ignore=ignore)
    _compile(compiled)
    locked, everything = directory / "locked", Path(sysconfig.get_path("purelib"))
    return [
        Variant(f"built{suffix}", (compiled, locked)),
        Variant(f"no bytecode{suffix}", (plain, locked)),
        Variant(f"with TLS{suffix}", (plain, everything)),
    ]


def link_locked(locked: Path) -> None:
    """Make a directory with links to the installed packages of `deploy/requirements.lock`."""
    locked.mkdir()
    for line in LOCK.read_text().splitlines():
        distribution = importlib.metadata.distribution(line.partition("==")[0])
        for name in {file.parts[0] for file in distribution.files or ()} - {"..", "__pycache__"}:
            link = locked / name
            if not link.exists():
                link.symlink_to(distribution.locate_file(name))
    _compile(locked, "-l")  # modules outside of packages; the packages have their bytecode


def _compile(directory: Path, *options: str) -> None:
    subprocess.run([sys.executable, "-m", "compileall", "-q", *options, directory], check=True)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def cpu_s(pid: int) -> float:
    """Return the processor time of a process's threads, with a resolution of nanoseconds."""
    rows = [path.read_text() for path in Path(f"/proc/{pid}/task").glob("*/schedstat")]
    return sum(int(row.split()[0]) for row in rows) * NANOSECONDS


def checked_cpu_s(variant: Variant, arguments: list[str]) -> float:
    """Run Python to its end and return its processor time."""
    popen = subprocess.Popen(
        [sys.executable, "-S", *arguments], env=variant.environment, cwd="/",
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
    )  # fmt: skip
    _, status, usage = os.wait4(popen.pid, 0)
    popen.returncode = os.waitstatus_to_exitcode(status)
    if popen.returncode:
        raise SystemExit(f"{arguments} ended with exit code {popen.returncode}")
    return usage.ru_utime + usage.ru_stime


def count_modules(variant: Variant, arguments: list[str]) -> int:
    """Return how many modules Python imports when it runs with these arguments."""
    result = subprocess.run(
        [sys.executable, "-S", "-X", "importtime", *arguments], env=variant.environment, cwd="/",
        check=True, capture_output=True, text=True,
    )  # fmt: skip
    return sum(line.startswith("import time:") for line in result.stderr.splitlines()) - 1


def first_answer(port: int, request: bytes) -> None:
    """Send a request as soon as the port accepts connections, and wait for status 200."""
    deadline_s, answer = time.monotonic() + START_TIMEOUT_S, b""
    while time.monotonic() < deadline_s:
        try:
            with socket.create_connection(("127.0.0.1", port), START_TIMEOUT_S) as sock:
                sock.sendall(request)
                answer = sock.recv(4096)
                if answer.startswith(b"HTTP/1.1 200"):
                    return
        except ConnectionRefusedError:
            pass
        time.sleep(CONNECT_INTERVAL_S)
    raise SystemExit(f"no request was served, last answer: {answer!r}")


@contextmanager
def running(arguments: list[str], environment: dict[str, str]) -> Iterator[subprocess.Popen]:
    """Run a Python process; at the end stop it as planned, or else kill it."""
    popen = subprocess.Popen(
        [sys.executable, "-S", "-m", *arguments], env=environment, cwd="/",
        stdout=subprocess.DEVNULL,
    )  # fmt: skip
    try:
        yield popen
    finally:
        popen.send_signal(signal.SIGTERM)
        try:
            popen.wait(10)
        except subprocess.TimeoutExpired:
            popen.kill()
            popen.wait()


def measure_start(variant: Variant, settings: Path, callers: int) -> dict[str, float]:
    """Return the processor time of a start until the first answer, and of its imports alone."""
    headers = caller_headers("first", TIME_LIMIT_S, KEY, 0, 0)
    lines = [b"GET /first/ HTTP/1.1", *(name + b": " + value for name, value in headers)]
    request = b"\r\n".join([*lines, b"", b""])
    began_s = time.monotonic()
    with running([*BOX, "--config", str(settings)], variant.environment) as box:
        first_answer(callers, request)
        served = {"cpu_s": cpu_s(box.pid), "elapsed_s": time.monotonic() - began_s}
    check = ["-m", *BOX, "--check", "--config", str(settings)]
    imports = {
        "imports_cpu_s": checked_cpu_s(variant, check),
        "interpreter_cpu_s": checked_cpu_s(variant, ["-c", "pass"]),
    }
    return served | imports


def summary(variant: Variant, rows: list[dict[str, float]], settings: Path) -> dict[str, float]:
    """Return the smallest values of several starts, the median, and the share of the imports."""
    least = {name: min(row[name] for row in rows) for name in rows[0]}
    return least | {
        "cpu_median_s": statistics.median(row["cpu_s"] for row in rows),
        "imports_share": least["imports_cpu_s"] / least["cpu_s"],
        "modules": count_modules(variant, ["-m", *BOX, "--check", "--config", str(settings)]),
    }


async def write_configuration(reactor, store_port: int) -> None:
    """Write a configuration with one route to the store, once it accepts calls."""
    route = Route("first", CALLER_HOST, "/first/", (ServiceShare("plain", 1.0),))
    services, organisations = {"plain": Service("plain")}, {KEY: Organisation("caller", None)}
    raw = configuration_bytes(Configuration(1, (route,), services, organisations))
    client = StoreClient(f"127.0.0.1:{store_port}", WebClient(reactor))
    deadline_s = reactor.seconds() + START_TIMEOUT_S
    while True:
        try:
            await client.swap(CONFIGURATION_KEY, raw, ABSENT)
            return
        except Exception:
            if reactor.seconds() > deadline_s:
                raise
            await sleep(reactor, 0.05)


def main() -> int:
    """Run the benchmark, print the results and save them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=10, help="starts of each variant")
    parser.add_argument("--against", type=Path, help="another checkout to measure")
    args = parser.parse_args()
    store, target, callers = free_port(), free_port(), free_port()
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        settings = directory / "box.ini"
        ports = {"ready": free_port(), "peers": free_port(socket.SOCK_DGRAM)}
        settings.write_text(_SETTINGS.format(callers=callers, store=store, **ports))
        link_locked(directory / "locked")
        variants = make_variants(directory, ROOT)
        if args.against:
            variants += make_variants(directory, args.against.absolute(), " of the other")
        own = Variant("own", (ROOT, Path(sysconfig.get_path("purelib")))).environment
        target_arguments = [
            "gladedrum.standins.target", "--port", str(target), "--service", "plain",
            "--address", f"127.0.0.1:{target}", "--store", f"127.0.0.1:{store}",
        ]  # fmt: skip
        with (
            running(["gladedrum.standins.store", "--port", str(store)], own),
            running(target_arguments, own),
        ):
            try:
                task.react(lambda reactor: start(write_configuration(reactor, store)))
            except SystemExit as exc:
                if exc.code:
                    raise
            rounds = [
                [measure_start(variant, settings, callers) for variant in variants]
                for _ in range(args.starts)
            ]
        results = {
            variant.name: summary(variant, list(rows), settings)
            for variant, rows in zip(variants, zip(*rounds, strict=True), strict=True)
        }
    for variant, row in results.items():
        print(variant, {key: round(value, 3) for key, value in row.items()})
    save("start_time", {"starts": args.starts, "variants": results})
    return 0


if __name__ == "__main__":
    sys.exit(main())
