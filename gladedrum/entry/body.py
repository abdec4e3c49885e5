"""Settings for the bodies of callers' requests."""

from ..config import Item, Settings
from ..platform.contracts import memory_bytes
from ..utils.limited_site import LimitedSite
from ..utils.request_memory import RequestMemory

__all__ = ["BODY_TIME", "MAX_BODY", "make_site", "request_memory"]

MAX_BODY = Item(
    "entry", "max_body_bytes", 16_000_000, "The largest request body that is taken.",
    unit="bytes", minimum=1_000,
)  # fmt: skip
BODY_TIME = Item(
    "entry", "body_time_s", 30.0, "How long a request body may take to arrive.",
    unit="s", minimum=0.1, maximum=3_600,
)  # fmt: skip


REQUEST_MEMORY_SHARE = 0.25
"""Share of the box's memory for the bodies of the requests at one port."""


def request_memory(cfg: Settings) -> RequestMemory:
    """Return the memory for the requests at one port, by the memory of the box."""
    return RequestMemory(REQUEST_MEMORY_SHARE * memory_bytes(cfg))


def make_site(reactor, resource, cfg: Settings) -> LimitedSite:
    """Return a site with the limits of these settings."""
    return LimitedSite(
        reactor, resource, cfg.get(MAX_BODY), cfg.get(BODY_TIME), request_memory(cfg)
    )
