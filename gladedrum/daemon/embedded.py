"""Stand-ins that run inside the daemon, so that a box works without a platform.

They stand in for model engines, an echo service, the platform's directory (its list of boxes and
targets) and the key-value service.
"""

from typing import NamedTuple

from twisted.internet.interfaces import IListeningPort

from ..config import BOX_NAME, DATA_HALL, Item, Settings
from ..peers import PEER_HOST, PEER_PORT
from ..platform import DIRECTORY_URL, STORE
from ..standins._http import listen, port_of
from ..standins.boxlist import BoxList
from ..standins.engine import Engine
from ..standins.engine_core import EngineSpec
from ..standins.service import Service
from ..standins.store import StoreService

__all__ = ["EMBEDDED", "EMBEDDED_ENGINES", "EMBEDDED_MODEL", "Embedded", "start_embedded"]

EMBEDDED = Item(
    "standins", "embedded", False,
    "Whether this process brings stand-ins for the platform and the targets. For trials only.",
)  # fmt: skip
EMBEDDED_ENGINES = Item(
    "standins", "engines", 2, "How many model engines are stood in for.", minimum=1, maximum=64
)
EMBEDDED_MODEL = Item("standins", "model", "standin", "The model that they serve.")


class Embedded(NamedTuple):
    """Running stand-ins, and the settings with their addresses.

    Parameters
    ----------
    cfg : Settings
        The settings of the box, changed to use the stand-ins.
    standins : list
        The stand-ins.
    listening : list of IListeningPort
        Their listening sockets.
    """

    cfg: Settings
    standins: list
    listening: list[IListeningPort]

    def stop(self) -> None:
        """Stop all stand-ins."""
        for standin in self.standins:
            standin.stop()
        for listening in self.listening:
            listening.stopListening()


async def start_embedded(cfg: Settings) -> Embedded:
    """Start the stand-ins on free ports; return them with settings that use them."""
    spec = EngineSpec()
    engines = [Engine(spec, (cfg.get(EMBEDDED_MODEL),)) for _ in range(cfg.get(EMBEDDED_ENGINES))]
    engine_ports = [await listen(engine.app, 0) for engine in engines]
    service = Service()
    service_port = await listen(service.app, 0)
    hall = cfg.get(DATA_HALL)
    targets = [
        _engine_row(f"engine-{n}", port_of(port), hall, cfg.get(EMBEDDED_MODEL), spec)
        for n, port in enumerate(engine_ports, 1)
    ]
    targets.append(
        {
            "name": "echo-1",
            "kind": "service",
            "service": "echo",
            "url": f"http://127.0.0.1:{port_of(service_port)}",
            "data_hall": hall,
        }
    )
    box = {
        "name": cfg.get(BOX_NAME),
        "host": cfg.get(PEER_HOST),
        "peer_port": cfg.get(PEER_PORT),
        "data_hall": hall,
    }
    directory = BoxList({"boxes": [box], "targets": targets})
    directory_port = await listen(directory.app, 0)
    store = StoreService()
    store_port = await listen(store.app, 0)
    changed = cfg.replace(
        {
            DIRECTORY_URL: f"http://127.0.0.1:{port_of(directory_port)}",
            STORE: f"127.0.0.1:{port_of(store_port)}",
        }
    )
    ports = [*engine_ports, service_port, directory_port, store_port]
    return Embedded(changed, [*engines, service, directory, store], ports)


def _engine_row(name: str, port: int, hall: str, model: str, spec: EngineSpec) -> dict:
    return {
        "name": name,
        "kind": "engine",
        "url": f"http://127.0.0.1:{port}",
        "data_hall": hall,
        "models": [model],
        "memory_tokens": spec.memory_tokens,
        "prefill_tokens_per_s": spec.prefill_tokens_per_s,
        "attention_tokens": spec.attention_tokens,
        "decode_step_s": spec.decode_step_s,
        "chunk_tokens": spec.chunk_tokens,
    }
