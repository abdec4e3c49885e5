"""Types of the operators' configuration, and the look-ups that each request needs.

Examples
--------
>>> route = Route(name="r", host="a.example", path_prefix="/x/", services=(ServiceShare("s", 1),))
>>> table = RouteTable(version=3, routes=(route,))
>>> table.find("A.example:80", "/x/y/2f?q=1").name
'r'
>>> table.find("a.example", "/other/") is None
True
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from ..scheduling.engine_model import EngineTraits

__all__ = [
    "CallerLimits",
    "Organisation",
    "Route",
    "RouteTable",
    "Service",
    "ServiceShare",
]


class ServiceShare(NamedTuple):
    """A service that a route leads to, and its share of the route's requests (any scale)."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which service, and what they may cost.

    Parameters
    ----------
    name, host, path_prefix : str
        Its name, and what it is chosen by; the prefix begins and ends with a slash.
    services : tuple of ServiceShare
        Where its requests go.
    repeatable : bool
        Whether a request may run more than once.
    streaming : bool
        Whether the answer is a series of events.
    resumable : bool
        Whether another target may continue a stream after an event id.
    time_limit_s : float
        The longest that a request may be held, in seconds.
    objective_s : float
        The time to the answer, or to its first event, that is aimed at, in seconds.
    pause_objective_s : float
        The longest pause between two events that is aimed at, in seconds.
    rank : int
        0 is the most urgent.
    max_targets : int
        The most targets that may run one request.
    anonymous : bool
        Whether a request needs no API key.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[ServiceShare, ...]
    repeatable: bool = False
    streaming: bool = False
    resumable: bool = False
    time_limit_s: float = 30.0
    objective_s: float = 1.0
    pause_objective_s: float = 1.0
    rank: int = 5
    max_targets: int = 1
    anonymous: bool = True

    @property
    def idempotent(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.resumable if self.streaming else self.repeatable


@dataclass(frozen=True, slots=True)
class Service:
    """What is known of a service as a whole.

    Parameters
    ----------
    name : str
        Its name.
    engine : EngineTraits or None
        The figures of its model engines, None for a plain service.
    """

    name: str
    engine: EngineTraits | None = None


class Organisation(NamedTuple):
    """A holder of API keys; its rank, if it has one, goes before a route's."""

    name: str
    rank: int | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take or rest."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_time_s: float = 3.0
    idle_time_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Rises with each version, in uneven steps.
    routes : tuple of Route
        In no particular order.
    services : dict of str to Service
        By name.
    organisations : dict of str to Organisation
        By API key.
    limits : CallerLimits
        Bounds on callers.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    _by_place: dict[tuple[str, str], Route] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_place = {(route.host.lower(), route.path_prefix): route for route in self.routes}
        object.__setattr__(self, "_by_place", by_place)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of a request's path, None if there is none."""
        name = host.rsplit(":", 1)[0].lower()
        path = target.split("?", 1)[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._by_place.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
