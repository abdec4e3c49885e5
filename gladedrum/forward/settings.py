"""The settings of a forwarding box.

Most are set by the platform through `deploy/settings.ini`. The suffix of a name gives its unit:
``_ms`` for milliseconds, ``_s`` for seconds.
"""

import configparser
from typing import NamedTuple

from ..config import Item, Settings
from ..connections.memory_budget import REQUEST_SHARE
from ..platform.contracts import contract_buffer_mb, memory_bytes
from ..utils.machine import descriptor_limit

__all__ = ["FORWARDING", "ForwardSettings", "callers_address", "forward_settings", "forwards"]

_SECTION = "forward"

FORWARDING = Item(
    _SECTION, "enabled", False,
    "Whether this process forwards requests by the operator's routes, in place of serving the "
    "OpenAI interface.",
)  # fmt: skip
_CALLERS = Item(_SECTION, "callers", "127.0.0.1:8090", "IP:PORT on which callers are served.")
_READY = Item(_SECTION, "ready", "127.0.0.1:8091", "IP:PORT of the readiness and metrics pages.")
_PEERS = Item(
    _SECTION, "peers", "127.0.0.1:8092",
    "IP:PORT on which boxes tell of work (UDP) and carry each other's connections (TCP).",
)  # fmt: skip
_LEAVE_MS = Item(
    _SECTION, "leave_bound_ms", 2000.0,
    "After so long a target that leaves must get no new requests.", unit="ms", minimum=100,
)  # fmt: skip
_CHANGE_MS = Item(
    _SECTION, "change_bound_ms", 2000.0,
    "After so long a changed configuration must be in force.", unit="ms", minimum=500,
)  # fmt: skip
_KEY_MS = Item(
    _SECTION, "key_bound_ms", 5000.0,
    "After so long a key that was taken away must not work.", unit="ms", minimum=500,
)  # fmt: skip
_KEYS_EXPIRE = Item(
    _SECTION, "keys_expire", True,
    "Whether keys are refused once the configuration is older than key_bound_ms. If not, the last "
    "known keys go on working while the store can't be reached, and one that was taken away "
    "meanwhile works until then.",
)  # fmt: skip
_STOP_S = Item(
    _SECTION, "stop_s", 8.0, "How long a planned stop may take before the process is killed.",
    unit="s", minimum=0.5,
)  # fmt: skip
_RETRY_RATIO = Item(
    _SECTION, "retry_ratio", 0.2, "Repeats that the whole fleet may send, as a share of requests.",
    minimum=0, maximum=1,
)  # fmt: skip
_RETRY_SLACK = Item(
    _SECTION, "retry_slack", 100.0,
    "Repeats that the whole fleet may send beyond that in one window.", minimum=0,
)  # fmt: skip
_RETRY_WINDOW_S = Item(
    _SECTION, "retry_window_s", 10.0, "The window in which repeats are counted.", unit="s",
    minimum=1,
)  # fmt: skip
_RESERVATION_MAX_MS = Item(
    _SECTION, "reservation_most_ms", 20_000.0,
    "The longest that memory can be set aside on an engine by one order.", unit="ms", minimum=100,
)  # fmt: skip
_FREE_MS = Item(
    _SECTION, "free_bound_ms", 4000.0,
    "After so long memory of a request that has ended must be free.", unit="ms", minimum=100,
)  # fmt: skip


_SEEDS = Item(
    _SECTION, "seeds", (),
    "IP:PORT of boxes that may be asked at the start; of each only the IP counts, since all boxes "
    "hear each other on the same port. They may be gone.",
)  # fmt: skip
_FIRST_START = Item(
    _SECTION, "first_start", False,
    "Whether the whole fleet starts for the first time, so that callers come seconds later. Boxes "
    "that are no seeds then wait for the seeds to tell them what the store says.",
)  # fmt: skip
_CORE_SHARE = Item(
    _SECTION, "core_share", 0.0,
    "The share of its cores that this box may use; 0: not known. In a large fleet the boxes that "
    "may use most decide for the others.", minimum=0,
)  # fmt: skip
_CORES = Item(
    _SECTION, "cores", 1.0, "The cores of this box; fractions count.", unit="cores", minimum=0,
)  # fmt: skip
_ANSWER_BUFFER_MB = Item(
    _SECTION, "answer_buffer_mb", -1.0,
    "Memory for requests, and for answers that callers have not read yet; at least 16 is useful. "
    "Answers are read from targets as fast as these send them, and only paused, or dropped with a "
    "broken connection, when it is used up. 0: off, a target is then read no faster than the "
    "caller reads. -1: as the deployment's contracts say.", unit="MB", minimum=-1,
)  # fmt: skip
_REQUEST_MEMORY_MB = Item(
    _SECTION, "request_memory_mb", -1.0,
    "Memory for the requests that callers send or have sent, all together, two copies of each. A "
    "request that finds no room is refused as not run; if others have not come whole and have "
    "stalled, those that wait longest are refused in its place. -1: a quarter of the memory of the "
    "box, or the part for requests of answer_buffer_mb.", unit="MB", minimum=-1,
)  # fmt: skip
_CONNECTION_LIMIT = Item(
    _SECTION, "connection_limit", 0,
    "The most connections of callers. Beyond that, connections without a request are closed, those "
    "that are idle for longest first. 0: half of the process's descriptors, or as many as take a "
    "quarter of the memory of the box, whichever are fewer.", minimum=0,
)  # fmt: skip
_COLD_OVERAGE = Item(
    _SECTION, "cold_overage", 0.0,
    "How many requests a cold target may get in any one second from all boxes together, as a "
    "factor on the rate that its service's configuration gives; 0: cold targets are treated as "
    "others.",
    minimum=0,
)  # fmt: skip
_COLD_SLACK = Item(
    _SECTION, "cold_slack", 0.0,
    "Requests that a cold target may get beyond that in any one second.", minimum=0,
)  # fmt: skip
_TUNNEL_LIMIT = Item(
    _SECTION, "tunnel_limit", 200,
    "The most connections to targets that this box carries at once for boxes whose own links there "
    "have failed. 0: it carries none, and uses no other box's links itself.", minimum=0,
)  # fmt: skip
_LINK_MBPS = Item(
    _SECTION, "link_mbps", 0.0,
    "The bandwidth of this box's link, of which other boxes' connections get half; 0: not known.",
    unit="Mbit/s", minimum=0,
)  # fmt: skip
_KEEP_CALLERS = Item(
    _SECTION, "keep_callers", False,
    "Whether callers may send further requests on a connection. The balancer steers new "
    "connections only, so a kept one stays with a box that has died or lost the store.",
)  # fmt: skip


REQUEST_MEMORY_SHARE = 0.25
"""Share of the box's memory for the requests of callers."""

CONNECTION_MEMORY_SHARE, CONNECTION_BYTES = 0.25, 32_768
"""Share of the box's memory for callers' connections, and what one takes without a request: the
objects of the connection, and what was read before its request was refused."""

PAGE_MEMORY_SHARE = 0.125
"""Share of the box's memory for the bodies of requests for operators' pages."""

CALLERS_DESCRIPTOR_SHARE, PAGES_DESCRIPTOR_SHARE, TUNNELS_DESCRIPTOR_SHARE = 0.5, 0.1, 0.15
"""Shares of the process's descriptors for callers, for operators' pages, and for boxes that ask for
tunnels. The rest is for connections to targets, the store and other boxes."""


class ForwardSettings(NamedTuple):
    """The values of the section, with times in seconds and parsed addresses.

    Attributes have the names and meanings of the settings, with the suffix ``_s`` for ``_ms``,
    except that `answer_buffer_bytes` and `request_memory_bytes` are in bytes, and they and
    `connection_limit` include what follows from the deployment's contracts and the machine;
    `page_memory_bytes`, `page_connections` and `tunnel_connections` are limits on the pages of
    operators and on the tunnels of other boxes; `link_bytes_per_s` is the bandwidth of the link (0:
    not known), `capacity` is the number of cores that this box may use (0: not known), `seeds`
    excludes this box, and `waits_for_seeds` is true if the fleet starts for the first time and this
    box is not a seed.
    """

    callers: tuple[str, int]
    ready: tuple[str, int]
    peers: tuple[str, int]
    leave_bound_s: float
    change_bound_s: float
    key_bound_s: float
    keys_expire: bool
    stop_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    reservation_most_s: float
    free_bound_s: float
    keep_callers: bool
    answer_buffer_bytes: int
    request_memory_bytes: float
    connection_limit: int
    page_memory_bytes: float
    page_connections: int
    tunnel_connections: int
    cold_overage: float
    cold_slack: float
    tunnel_limit: int
    link_bytes_per_s: float
    capacity: float
    seeds: tuple[tuple[str, int], ...]
    waits_for_seeds: bool


def forwards(path: str) -> bool:
    """Whether a settings file is that of a forwarding box; False if it cannot be read."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding="utf-8")
        return parser.getboolean(_SECTION, FORWARDING.key, fallback=FORWARDING.default)
    except (configparser.Error, UnicodeDecodeError, ValueError):
        # `load_settings` reports the error and its position.
        return False


def callers_address(path: str) -> tuple[str, int] | None:
    """Return the address for callers, None if the settings file or the address is invalid.

    A file that does not set it gives the default. Used to listen before the modules of the box,
    which declare the other settings, are imported.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding="utf-8")
        return _address(parser.get(_SECTION, _CALLERS.key, fallback=_CALLERS.default))
    except (configparser.Error, UnicodeDecodeError, ValueError):
        # `load_settings` reports the error and its position.
        return None


def forward_settings(cfg: Settings) -> ForwardSettings:
    """Return the values of the section; raises `ValueError` if an address is not IP:PORT."""
    return ForwardSettings(
        callers=_address(cfg.get(_CALLERS)),
        ready=_address(cfg.get(_READY)),
        peers=_address(cfg.get(_PEERS)),
        leave_bound_s=cfg.get(_LEAVE_MS) / 1000,
        change_bound_s=cfg.get(_CHANGE_MS) / 1000,
        key_bound_s=cfg.get(_KEY_MS) / 1000,
        keys_expire=cfg.get(_KEYS_EXPIRE),
        stop_s=cfg.get(_STOP_S),
        retry_ratio=cfg.get(_RETRY_RATIO),
        retry_slack=cfg.get(_RETRY_SLACK),
        retry_window_s=cfg.get(_RETRY_WINDOW_S),
        reservation_most_s=cfg.get(_RESERVATION_MAX_MS) / 1000,
        free_bound_s=cfg.get(_FREE_MS) / 1000,
        keep_callers=cfg.get(_KEEP_CALLERS),
        answer_buffer_bytes=round(1_000_000 * _answer_buffer_mb(cfg)),
        request_memory_bytes=_request_memory_bytes(cfg),
        connection_limit=_connection_limit(cfg),
        page_memory_bytes=PAGE_MEMORY_SHARE * memory_bytes(cfg),
        page_connections=int(PAGES_DESCRIPTOR_SHARE * descriptor_limit()),
        tunnel_connections=int(TUNNELS_DESCRIPTOR_SHARE * descriptor_limit()),
        cold_overage=cfg.get(_COLD_OVERAGE),
        cold_slack=cfg.get(_COLD_SLACK),
        tunnel_limit=cfg.get(_TUNNEL_LIMIT),
        link_bytes_per_s=cfg.get(_LINK_MBPS) * 1_000_000 / 8,
        capacity=cfg.get(_CORE_SHARE) * cfg.get(_CORES),
        seeds=_other_seeds(cfg),
        waits_for_seeds=cfg.get(_FIRST_START) and len(_other_seeds(cfg)) == len(cfg.get(_SEEDS)),
    )


def _answer_buffer_mb(cfg: Settings) -> float:
    size_mb = cfg.get(_ANSWER_BUFFER_MB)
    return contract_buffer_mb(cfg) if size_mb < 0 else size_mb


def _request_memory_bytes(cfg: Settings) -> float:
    size_mb = cfg.get(_REQUEST_MEMORY_MB)
    if size_mb >= 0:
        return 1_000_000 * size_mb
    limit = REQUEST_MEMORY_SHARE * memory_bytes(cfg)
    buffer_bytes = 1_000_000 * _answer_buffer_mb(cfg)
    return min(limit, REQUEST_SHARE * buffer_bytes) if buffer_bytes else limit


def _connection_limit(cfg: Settings) -> int:
    by_memory = CONNECTION_MEMORY_SHARE * memory_bytes(cfg) / CONNECTION_BYTES
    by_descriptors = CALLERS_DESCRIPTOR_SHARE * descriptor_limit()
    return cfg.get(_CONNECTION_LIMIT) or max(1, int(min(by_memory, by_descriptors)))


def _other_seeds(cfg: Settings) -> tuple[tuple[str, int], ...]:
    """Return the peer addresses of the configured seeds, without this box."""
    own = _address(cfg.get(_PEERS))
    addresses = ((_address(text)[0], own[1]) for text in cfg.get(_SEEDS))
    return tuple(address for address in addresses if address != own)


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"{text!r} is not IP:PORT")
    return host, int(port)
