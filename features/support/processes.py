"""Processes of a scenario, HTTP calls to them, and waiting for conditions with a timeout."""

import contextlib
import json
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

T = TypeVar("T")
WAIT_S = 30.0
_STEP_S = 0.02


def wait_for(what: str, condition: Callable[[], T], wait_s: float = WAIT_S) -> T:
    """Poll `condition` and return its first true value.

    Raises
    ------
    AssertionError
        After `wait_s` seconds, with `what` in its message.
    """
    end_s = time.monotonic() + wait_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end_s:
            raise AssertionError(f"timed out after {wait_s:g} s waiting for {what}")
        time.sleep(_STEP_S)


def http_json(method: str, url: str, body: object = None) -> dict:
    """Make an HTTP call and return its decoded response, whatever its status is."""
    return call_json(method, url, body)[1]


def call_json(
    method: str, url: str, body: object = None, headers: dict[str, str] | None = None
) -> tuple[int, dict]:
    """Make an HTTP call and return the status and the decoded response."""
    data = None if body is None else json.dumps(body).encode()
    sent = {"content-type": "application/json", **(headers or {})}
    call = urllib.request.Request(url, data, sent, method=method)
    try:
        with urllib.request.urlopen(call, timeout=20) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read())


class Process:
    """A process of the scenario, with its standard output and its log."""

    def __init__(self, name: str, arguments: list[str], directory: Path):
        self.name = name
        self.log = directory / f"{name}.log"
        self.out = directory / f"{name}.out"
        with open(self.log, "wb") as log, open(self.out, "wb") as out:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=out, stderr=log
            )

    def alive(self) -> bool:
        return self.popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        self.popen.send_signal(number)

    def kill(self) -> None:
        self.send(signal.SIGKILL)
        self.popen.wait()

    def stop(self) -> None:
        if self.alive():
            with contextlib.suppress(ProcessLookupError):
                self.send(signal.SIGCONT)
                self.send(signal.SIGKILL)
            self.popen.wait()

    def log_rows(self) -> list[dict]:
        rows = []
        for line in self.out.read_text().splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows


class Standin(Process):
    """A stand-in program, which prints its port on the first line of its output."""

    def __init__(self, kind: str, name: str, flags: list[str], directory: Path):
        super().__init__(name, [f"gladedrum.standins.{kind}", *flags], directory)
        line = wait_for(f"{name} to print its port", self._first_line)
        self.port = json.loads(line)["port"]
        self.url = f"http://127.0.0.1:{self.port}"

    def _first_line(self) -> str:
        assert self.alive(), self.log.read_text()
        text = self.out.read_text()
        return text.splitlines()[0] if "\n" in text else ""

    def switch(self, **switches: object) -> None:
        http_json("POST", f"{self.url}/switches", switches)


class BoxProcess(Process):
    """A box; its ports are read from its log."""

    def __init__(self, name: str, settings: str, directory: Path):
        path = directory / f"{name}.ini"
        path.write_text(settings)
        super().__init__(name, ["gladedrum.daemon.main", "--config", str(path)], directory)
        self._ports: dict[str, int] = {}

    def port(self, listener: str) -> int:
        """Return the port of a listener, such as ``callers``; waits until it is logged."""
        if listener not in self._ports:
            self._ports[listener] = wait_for(
                f"{self.name} to listen for {listener}", lambda: self._logged_port(listener)
            )
        return self._ports[listener]

    @property
    def operators_url(self) -> str:
        return f"http://127.0.0.1:{self.port('operators')}"

    def ready(self) -> bool:
        return http_json("GET", f"{self.operators_url}/readyz")["ready"]

    def status(self) -> dict:
        return http_json("GET", f"{self.operators_url}/status")

    def _logged_port(self, listener: str) -> int:
        assert self.alive(), self.log.read_text()
        rows = [r for r in self.log_rows() if r.get("message") == "listening"]
        return next((r["port"] for r in rows if r["what"] == listener), 0)
