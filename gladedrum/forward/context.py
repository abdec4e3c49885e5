"""State and services shared by all forwarded requests of a box."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from .. import gossip
from ..beliefs.target_list import TargetListFollower
from ..connections.target_pool import TargetPool
from ..placing.choosing import Chooser
from ..placing.fleet_view import FleetView
from ..placing.placer import Placer
from ..placing.retry_pool import RetryPool
from ..placing.suspicion import Suspicion
from ..placing.target_rates import TargetRates
from ..routes import Service
from .admission import Admission
from .metrics import ForwardMetrics

__all__ = ["ForwardContext"]


@dataclass
class ForwardContext:
    """State and services shared by all forwarded requests of a box.

    Parameters
    ----------
    box : str
        The box's name, unique to this start of its process.
    data_hall : str
        The data hall of the box.
    clock : IReactorTime
        A monotonic clock.
    admission, targets, chooser, placer, view, pool, port : various
        Parts of the box, see their classes.
    retry_pool : RetryPool
        The retry budget.
    suspicion : Suspicion
        Knows which requests are suspected of crashing targets.
    rates : TargetRates
        The request rates that targets state.
    free_bound_s, reservation_most_s : float
        See `ForwardSettings`.
    metrics : ForwardMetrics
        The box's metrics.
    service_of : callable
        Returns a service by name.
    policy_of : callable
        Returns the name of the placement policy for an organisation and a route.
    rng : random.Random
        Random numbers, for choosing among a route's services and for jitter.
    """

    box: str
    data_hall: str
    clock: IReactorTime
    admission: Admission
    targets: TargetListFollower
    chooser: Chooser
    placer: Placer
    view: FleetView
    pool: TargetPool
    port: gossip.GossipPort
    retry_pool: RetryPool
    suspicion: Suspicion
    rates: TargetRates
    free_bound_s: float
    reservation_most_s: float
    metrics: ForwardMetrics
    service_of: Callable[[str], Service]
    policy_of: Callable[[str, str], str]
    rng: random.Random = field(default_factory=random.Random)
