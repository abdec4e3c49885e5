"""Types of the operators' configuration, and the lookup of a request's route.

Examples
--------
>>> route = Route(name="r", host="a.example", path_prefix="/x/", services=(ServiceShare("s", 1),))
>>> configuration = Configuration(version=3, routes=(route,))
>>> configuration.find("A.example:80", "/x/y/2f?q=1").name
'r'
>>> configuration.find("a.example", "/other/") is None
True
"""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from ..scheduling.engine_model import EngineTraits
from ..scheduling.ranked_placement import VALID_RANKS

__all__ = [
    "CallerLimits",
    "Configuration",
    "Organisation",
    "Route",
    "Service",
    "ServiceShare",
]


class ServiceShare(NamedTuple):
    """A service of a route; it gets requests in proportion to its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Sends requests with a host and path prefix to services, with limits and objectives.

    Parameters
    ----------
    name : str
        The route's name.
    host, path_prefix : str
        The host and the start of the path of its requests; the prefix begins and ends with a
        slash.
    services : tuple of ServiceShare
        The services to which its requests go.
    repeatable : bool
        Whether a request that is not streamed may run more than once; see `idempotent`.
    streaming : bool
        Whether the answer is a series of events.
    resumable : bool
        Whether another target may resume a stream after a given event id; see `idempotent`.
    time_limit_s : float
        The maximum time that a request may be held, in seconds.
    objective_s : float
        The objective for the time to the answer, or to its first event, in seconds.
    pause_objective_s : float
        The objective for the longest pause between two events, in seconds.
    rank : int
        The priority; 0 is the most urgent.
    max_targets : int
        The maximum number of targets that may run one request, one after another or at once.
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
        """Whether a request may be sent again if it may have run already."""
        return self.resumable if self.streaming else self.repeatable


@dataclass(frozen=True, slots=True)
class Service:
    """Properties that all targets of a service share.

    Parameters
    ----------
    name : str
        The service's name.
    engine : EngineTraits or None
        The performance figures of its model engines; None if it has no model engines.
    cold_start_s : float
        How long a target is cold after a start during traffic, in seconds.
    cold_per_s : float
        Requests per second that a cold target can take from all boxes together; 0: no limit.
    """

    name: str
    engine: EngineTraits | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Organisation(NamedTuple):
    """A customer with API keys; its rank, if any, takes precedence over a route's."""

    name: str
    rank: int | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the sizes of a caller's requests, and on the time to send them or to stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_time_s: float = 3.0
    idle_time_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Increases with each version, not always by one.
    routes : tuple of Route
        All routes, in no particular order.
    services : dict of str to Service
        The services, by name.
    organisations : dict of str to Organisation
        The organisations, by API key.
    limits : CallerLimits
        Limits on callers.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    _by_prefix: dict[tuple[str, str], Route] = field(init=False, repr=False, compare=False)
    _ranks: dict[str, tuple[int, ...]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_prefix = {(route.host.lower(), route.path_prefix): route for route in self.routes}
        object.__setattr__(self, "_by_prefix", by_prefix)
        ranks: dict[str, set[int]] = defaultdict(set)
        for route, share in ((r, s) for r in self.routes for s in r.services):
            if route.rank in VALID_RANKS:
                ranks[share.service].add(route.rank)
        by_service = {service: tuple(sorted(found)) for service, found in ranks.items()}
        object.__setattr__(self, "_ranks", by_service)

    def invalid_ranks(self) -> list[str]:
        """Return the names of the routes and organisations whose ranks are invalid, sorted."""
        ranks = {(route.name, route.rank) for route in self.routes}
        ranks |= {(row.name, row.rank) for row in self.organisations.values()}
        return sorted({n for n, rank in ranks if rank is not None and rank not in VALID_RANKS})

    def ranks_of(self, service: str) -> tuple[int, ...]:
        """Return the different valid ranks of the routes of a service, the most urgent first."""
        return self._ranks.get(service, ())

    def find(self, host: str, path_and_query: str) -> Route | None:
        """Return the route of a request: that with the longest matching prefix, or None.

        Parameters
        ----------
        host : str
            The request's ``Host``, with or without a port.
        path_and_query : str
            The target of the HTTP request line.
        """
        name = host.rsplit(":", 1)[0].lower()
        path = path_and_query.split("?", 1)[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._by_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
