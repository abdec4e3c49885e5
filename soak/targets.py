"""A target of a soak: the process of the stand-in, its link and its fault switches."""

import json
import time
from pathlib import Path

from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.utils import LostAnswerError, NotSentError, WebClient

from .plan import DATA_HALLS
from .processes import Process, free_port
from .proxy import LOOPBACK, LinkProxy

__all__ = ["ENGINE", "SoakTarget"]

ENGINE = EngineTraits(slots=8, memory_tokens=232_000)
"""Traits of the targets of service ``pool`` in the configuration."""

SERVE_ON_S = 6.0
"""How long a leaving target keeps serving, in seconds: `LEAVE_BOUND_S`, then the longest stream
with a pause in it."""

CALL_TIMEOUT_S = 2.0
"""Timeout of the soak's own calls to a target, in seconds."""


class SoakTarget:
    """One target.

    Parameters
    ----------
    index : int
        Index of the target, from 0.
    directory : Path
        Directory for its output files.
    store_port : int
        Port of the store.
    service : str
        Service that it belongs to.
    runs : Path or None
        Directory in which all targets count the runs of requests; None if each counts its own.

    Attributes
    ----------
    may_start_s : float
        Earliest time of its next start, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        index: int,
        directory: Path,
        store_port: int,
        service: str,
        runs: Path | None = None,
    ):
        self.port = free_port()
        self.link = LinkProxy(self.port)
        arguments = [
            "gladedrum.standins.target", "--port", str(self.port), "--service", service,
            "--hall", f"hall-{index % DATA_HALLS}", "--address", f"{LOOPBACK}:{self.link.port}",
            "--store", f"{LOOPBACK}:{store_port}", "--memory-tokens", str(ENGINE.memory_tokens),
            "--serve-on-s", str(SERVE_ON_S),
        ]  # fmt: skip
        if runs is not None:
            arguments += ["--runs", str(runs)]
        self.process = Process(f"target-{index}", arguments, directory)
        self.may_start_s = 0.0

    def kill(self, downtime_s: float) -> None:
        """Kill the process; it is not restarted for `downtime_s` seconds."""
        self.may_start_s = time.monotonic() + downtime_s
        self.process.kill()

    async def set_switches(self, web: WebClient, switches: dict[str, object]) -> None:
        """Set fault switches; no effect on a target that is restarting."""
        url = f"http://{LOOPBACK}:{self.port}/switches"
        try:
            await web.call_json("POST", url, switches, CALL_TIMEOUT_S)
        except Exception as exc:  # the target is restarting
            print(json.dumps({"what": "switch not set", "reason": repr(exc)}))

    async def reserved_tokens(self, web: WebClient) -> int | None:
        """Return the memory reserved on the target, in tokens; None while it restarts."""
        url = f"http://{LOOPBACK}:{self.port}/api/report"
        try:
            reply = await web.call_json("GET", url, None, CALL_TIMEOUT_S)
        except (NotSentError, LostAnswerError):
            return None
        return sum(row["tokens"] for row in reply.body["tickets"])
