"""A target of a soak: the stand-in's process, its link and its switches."""

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
"""What each model engine is, as the operator tells it."""

SERVE_ON_S = 6.0
"""How long a leaving target serves on, in seconds: what begins within the bound on leaving, the
longest stream, and a pause amid it."""

ANSWER_S = 2.0
"""How long a target may take to answer the soak itself, in seconds."""


class SoakTarget:
    """One target.

    Parameters
    ----------
    index : int
        Its number, from 0.
    directory : Path
        Where its outputs go.
    store_port : int
        The port of the store.
    service : str
        The service that it belongs to.

    Attributes
    ----------
    may_start_s : float
        Before this time, by the monotonic clock in seconds, it is not started again.
    """

    def __init__(self, index: int, directory: Path, store_port: int, service: str):
        self.port = free_port()
        self.link = LinkProxy(self.port)
        arguments = [
            "gladedrum.standins.target", "--port", str(self.port), "--service", service,
            "--hall", f"hall-{index % DATA_HALLS}", "--address", f"{LOOPBACK}:{self.link.port}",
            "--store", f"{LOOPBACK}:{store_port}", "--memory-tokens", str(ENGINE.memory_tokens),
            "--serve-on-s", str(SERVE_ON_S),
        ]  # fmt: skip
        self.process = Process(f"target-{index}", arguments, directory)
        self.may_start_s = 0.0

    def kill(self, away_s: float) -> None:
        """Kill it; it is not started again for `away_s` seconds."""
        self.may_start_s = time.monotonic() + away_s
        self.process.kill()

    async def set_switches(self, web: WebClient, switches: dict[str, object]) -> None:
        """Set failure switches; a target that is being restarted is passed over."""
        url = f"http://{LOOPBACK}:{self.port}/switches"
        try:
            await web.call_json("POST", url, switches, ANSWER_S)
        except Exception as exc:  # the target is being restarted: the fault does not strike
            print(json.dumps({"what": "switch not set", "reason": repr(exc)}))

    async def reserved_tokens(self, web: WebClient) -> int | None:
        """Return how much memory is still set aside on it, in tokens; None while it restarts."""
        url = f"http://{LOOPBACK}:{self.port}/api/report"
        try:
            reply = await web.call_json("GET", url, None, ANSWER_S)
        except (NotSentError, LostAnswerError):
            return None
        return sum(row["tokens"] for row in reply.body["tickets"])
