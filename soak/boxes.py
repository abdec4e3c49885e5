"""A box of a soak: its process, its links and its settings file."""

import socket
import time
from pathlib import Path

from gladedrum.utils import WebClient

from .links import LinkCut
from .plan import DATA_HALLS
from .processes import Process, free_port
from .proxy import LOOPBACK, LinkProxy

__all__ = [
    "ANSWER_BUFFER_MB",
    "CHANGE_BOUND_S",
    "COLD_OVERAGE",
    "COLD_SLACK",
    "EVACUATION_BOUND_S",
    "FREE_BOUND_S",
    "KEY_BOUND_S",
    "LEAVE_BOUND_S",
    "OPERATOR_TOKEN",
    "STOP_S",
]
__all__ += ["SoakBox"]

LEAVE_BOUND_S, CHANGE_BOUND_S, KEY_BOUND_S, FREE_BOUND_S = 2.0, 2.0, 5.0, 4.0
"""Bounds in the settings of the boxes, in seconds: until a leaving target receives no more
requests, a changed configuration is in force, a revoked key is refused, and unused memory is
released."""

EVACUATION_BOUND_S = 5.0
"""Time after the order to evacuate a data hall from which boxes send no new work there, in seconds;
no setting, boxes are faster."""

COLD_OVERAGE, COLD_SLACK = 1.5, 5.0
"""A cold target receives at most `COLD_OVERAGE` times its rate plus `COLD_SLACK` requests a
second."""

STOP_S = 8.0
"""Time after which a box that stops gracefully is killed, in seconds: long enough for a stream that
it accepts late to use the whole time limit of its route, also if its target pauses."""

RETRY_SLACK = 10
"""Setting `retry_slack` of a new box, in retries: small enough that the retry budget runs out when
all streams of a box move to other targets at once."""

ANSWER_BUFFER_MB = 16.0
"""Memory budget of a box in seeds with slow callers, in MB: the responses to a few of them exceed
it."""

READY_CALL_TIMEOUT_S = 1.0
"""Timeout of a call to the readiness endpoint, in seconds."""

OPERATOR_TOKEN = "operator-of-the-soak"
"""Token that authorizes edits of the table."""

_SETTINGS = """\
[box]
name = {name}
data_hall = hall-{hall}
[forward]
enabled = yes
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
peers = 127.0.0.1:{peers}
leave_bound_ms = {leave_ms:.0f}
change_bound_ms = {change_ms:.0f}
key_bound_ms = {key_ms:.0f}
free_bound_ms = {free_ms:.0f}
stop_s = {stop_s}
keep_callers = {keep}
retry_slack = {retry_slack}
answer_buffer_mb = {answer_buffer_mb}
cold_overage = {cold_overage}
cold_slack = {cold_slack}
[platform]
store = 127.0.0.1:{store}
[operators]
token = {operator}
"""


class SoakBox:
    """One box.

    Parameters
    ----------
    index : int
        Index of the box, from 0.
    directory : Path
        Directory for its settings and output files.
    store_port : int
        Port of the store; the box connects through a link.
    guard : str
        The guard that is disabled in it, empty for none; see `guards`.
    answer_buffer_mb : float
        Its memory budget for answers that callers have not read, in MB; 0 for none.

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
        guard: str = "",
        answer_buffer_mb: float = 0.0,
    ):
        self._answer_buffer_mb = answer_buffer_mb
        self.index = index
        self.callers_port = free_port()
        self.ready_port = free_port()
        self.peers_port = free_port(socket.SOCK_DGRAM)
        self.store_link = LinkProxy(store_port)
        self.caller_link = LinkProxy(self.callers_port)
        self.path = directory / f"box-{index}.ini"
        self.write_settings(RETRY_SLACK)
        self._cut_path = directory / f"box-{index}.cut"
        self.cut_links(LinkCut.NONE)
        self.process = Process(
            f"box-{index}",
            [
                "soak.box_with_cuts", str(self._cut_path), *([guard] if guard else []), "--",
                "--config", str(self.path),
            ],
            directory,
        )  # fmt: skip
        self.may_start_s = 0.0

    def write_settings(self, retry_slack: int) -> None:
        """Write the settings file."""
        text = _SETTINGS.format(
            name=f"box-{self.index}", hall=self.index % DATA_HALLS, callers=self.callers_port,
            ready=self.ready_port, peers=self.peers_port, leave_ms=LEAVE_BOUND_S * 1000,
            change_ms=CHANGE_BOUND_S * 1000, key_ms=KEY_BOUND_S * 1000,
            free_ms=FREE_BOUND_S * 1000, stop_s=STOP_S, store=self.store_link.port,
            keep="yes" if self.index % 2 else "no", retry_slack=retry_slack,
            operator=OPERATOR_TOKEN, answer_buffer_mb=self._answer_buffer_mb,
            cold_overage=COLD_OVERAGE, cold_slack=COLD_SLACK,
        )  # fmt: skip
        self.path.write_text(text)

    def cut_links(self, cut: LinkCut) -> None:
        """Cut the links to all targets, or to other boxes too, or mend them."""
        written = self._cut_path.with_suffix(".new")
        written.write_text(cut.value)
        written.replace(self._cut_path)

    def kill(self, downtime_s: float) -> None:
        """Kill the process; it is not restarted for `downtime_s` seconds."""
        self.may_start_s = time.monotonic() + downtime_s
        self.process.kill()

    async def is_ready(self, web: WebClient) -> bool:
        """Whether the box reports that it accepts requests."""
        url = f"http://{LOOPBACK}:{self.ready_port}/api/ready"
        try:
            response = await web.send("GET", url, None, None, READY_CALL_TIMEOUT_S)
            await web.read(response, READY_CALL_TIMEOUT_S)
        except Exception:  # not listening yet
            return False
        return response.code == 200
