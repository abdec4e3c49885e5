"""Settings for the bodies of callers' requests."""

from ..config import Item, Settings
from ..utils.limited_site import LimitedSite

__all__ = ["BODY_TIME", "MAX_BODY", "make_site"]

MAX_BODY = Item(
    "entry", "max_body_bytes", 16_000_000, "The largest request body that is taken.",
    unit="bytes", minimum=1_000,
)  # fmt: skip
BODY_TIME = Item(
    "entry", "body_time_s", 30.0, "How long a request body may take to arrive.",
    unit="s", minimum=0.1, maximum=3_600,
)  # fmt: skip


def make_site(reactor, resource, cfg: Settings) -> LimitedSite:
    """Return a site with the limits of these settings."""
    return LimitedSite(reactor, resource, cfg.get(MAX_BODY), cfg.get(BODY_TIME))
