"""A small fleet of boxes, targets and platform stand-ins as separate processes."""

import tempfile
from pathlib import Path

from .processes import BoxProcess, Process, Standin, http_json, wait_for

MODEL = "standin"
ENGINE_FLAGS = {
    "memory-tokens": 400_000,
    "prefill-tokens-per-s": 2_000_000,
    "decode-step-s": 0.002,
    "chunk-tokens": 2_048,
}

FAST_INTERVALS = """\
[peers]
heartbeat_interval_s = 0.2
heartbeat_timeout_s = 0.5
[platform]
directory_interval_s = 0.2
[targets]
poll_interval_s = 0.2
renewal_s = 2
orphan_grace_s = 1
[table]
pull_interval_s = 0.2
"""
"""Shorter than the defaults, so that scenarios take less time."""

_SETTINGS = """\
[box]
name = {name}
data_hall = {hall}
[entry]
{entry}[operators]
port = 0
token = secret
{intervals}
[traces]
exporter = {exporter}
path = {traces}
"""


class Fleet:
    """All processes that a scenario has started."""

    def __init__(self, intervals: str = FAST_INTERVALS) -> None:
        self._intervals = intervals
        self._directory = tempfile.TemporaryDirectory(prefix="gladedrum-")
        self.path = Path(self._directory.name)
        self.boxes: dict[str, BoxProcess] = {}
        self.engines: dict[str, Standin] = {}
        self.services: dict[str, Standin] = {}
        self.leaving: set[str] = set()
        self.halls: dict[str, str] = {}
        self._engine_rows: dict[str, dict] = {}
        self.store: Standin | None = None
        self.boxlist: Standin | None = None

    def start_platform(self) -> None:
        self.store = Standin("store", "store", [], self.path)
        self.boxlist = Standin("boxlist", "boxlist", [], self.path)

    def start_engine(self, name: str, hall: str = "hall-1", **flags: object) -> Standin:
        merged = {**ENGINE_FLAGS, **{k.replace("_", "-"): v for k, v in flags.items()}}
        arguments = [f"--{flag}={value}" for flag, value in merged.items()]
        engine = Standin("engine", name, arguments, self.path)
        self.engines[name] = engine
        self._engine_rows[name] = {
            "name": name,
            "kind": "engine",
            "url": engine.url,
            "data_hall": hall,
            "models": [MODEL],
            "memory_tokens": merged["memory-tokens"],
            "prefill_tokens_per_s": merged["prefill-tokens-per-s"],
            "decode_step_s": merged["decode-step-s"],
            "chunk_tokens": merged["chunk-tokens"],
        }
        return engine

    def start_service(self, name: str) -> Standin:
        self.services[name] = Standin("service", name, [], self.path)
        return self.services[name]

    def start_box(
        self, name: str, hall: str = "hall-1", entry: str = "port = 0\n", traces: bool = True
    ) -> BoxProcess:
        settings = _SETTINGS.format(
            name=name,
            hall=hall,
            entry=entry,
            intervals=self._interval_settings(),
            exporter="file" if traces else "none",
            traces=self.path / f"{name}.traces",
        )
        self.halls[name] = hall
        self.boxes[name] = BoxProcess(name, settings, self.path)
        return self.boxes[name]

    def _interval_settings(self) -> str:
        """Return the settings sections with intervals, with the addresses filled in."""
        ports = "[peers]\nport = 0\n"
        store = self.store.url.removeprefix("http://")
        urls = f"[platform]\nstore = {store}\ndirectory_url = {self.boxlist.url}\n"
        text = self._intervals.replace("[peers]\n", ports)
        return text.replace("[platform]\n", urls)

    def publish(self) -> None:
        """Publish the current lists of boxes and targets."""
        boxes = [
            {
                "name": name,
                "host": "127.0.0.1",
                "peer_port": box.port("peers"),
                "data_hall": self.halls[name],
                "leaving": name in self.leaving,
            }
            for name, box in self.boxes.items()
        ]
        targets = [
            {**row, "leaving": name in self.leaving} for name, row in self._engine_rows.items()
        ]
        targets += [
            {"name": name, "kind": "service", "service": "echo", "url": service.url}
            for name, service in self.services.items()
        ]
        http_json("PUT", f"{self.boxlist.url}/v1/boxes", {"boxes": boxes})
        http_json("PUT", f"{self.boxlist.url}/v1/targets", {"targets": targets})

    def wait_until_ready(self) -> None:
        """Wait until every box is ready and knows all other boxes and all targets."""
        peer_count = len(self.boxes) - 1

        def knows_all(box: BoxProcess) -> bool:
            status = box.status()
            engines = {t["name"] for t in status["listed_targets"]}
            return len(status["peers"]) == peer_count and engines == {
                *self._engine_rows,
                *self.services,
            }

        for name, box in self.boxes.items():
            wait_for(f"{name} to be ready", box.ready)
            wait_for(f"{name} to know its peers and targets", lambda b=box: knows_all(b))

    def free_tokens(self, engine: str) -> int:
        """Return an engine's free memory, computed from its sessions instead of its report."""
        rows = http_json("GET", f"{self.engines[engine].url}/sessions")["sessions"]
        used = sum(row["memory_tokens"] for row in rows if row["running"])
        return self._engine_rows[engine]["memory_tokens"] - used

    def runs(self) -> list[str]:
        """Return the ids of all sessions started by engines that are still alive."""
        return [
            run
            for engine in self.engines.values()
            if engine.alive()
            for run in http_json("GET", f"{engine.url}/runs")["runs"]
        ]

    def processes(self) -> list[Process]:
        platform = [p for p in (self.store, self.boxlist) if p is not None]
        return [*self.boxes.values(), *self.engines.values(), *self.services.values(), *platform]

    def stop(self) -> None:
        for process in self.processes():
            process.stop()
        self._directory.cleanup()
