"""What all forwarded requests of a box share."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from .. import gossip
from ..beliefs.target_list import TargetKeeper
from ..connections.target_pool import TargetPool
from ..placing.choosing import Chooser
from ..placing.fleet_view import FleetView
from ..placing.placer import Placer
from ..placing.repeat_pool import RepeatPool
from ..placing.suspicion import Suspicion
from ..placing.target_rates import TargetRates
from ..routes import Service
from .admission import Admission
from .measures import ForwardMetrics

__all__ = ["ForwardContext"]


@dataclass
class ForwardContext:
    """What all requests of a box share.

    Parameters
    ----------
    box : str
        This start of this box.
    clock : IReactorTime
        A monotonic clock.
    data_hall : str
        Where it stands.
    admission, targets, chooser, placer, view, pool, port : various
        The box's parts.
    repeats : RepeatPool
        The repeats that may be sent.
    suspicion : Suspicion
        Which requests may end targets.
    rates : TargetRates
        The rates that targets name.
    free_bound_s, reservation_most_s : float
        See `ForwardSettings`.
    metrics : ForwardMetrics
        Counters and histograms.
    service_of : callable
        Returns what is known of a service, by its name.
    policy_of : callable
        Returns the policy that the table names for an organisation and a route.
    rng : random.Random
        For the shares of services.
    """

    box: str
    data_hall: str
    clock: IReactorTime
    admission: Admission
    targets: TargetKeeper
    chooser: Chooser
    placer: Placer
    view: FleetView
    pool: TargetPool
    port: gossip.GossipPort
    repeats: RepeatPool
    suspicion: Suspicion
    rates: TargetRates
    free_bound_s: float
    reservation_most_s: float
    metrics: ForwardMetrics
    service_of: Callable[[str], Service]
    policy_of: Callable[[str, str], str]
    rng: random.Random = field(default_factory=random.Random)
