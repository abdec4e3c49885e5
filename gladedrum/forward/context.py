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
    admission : Admission
        Checks routes and API keys.
    targets : TargetListFollower
        The list of targets.
    chooser, placer : Chooser and Placer
        Place requests: from this box's own view, and in coordination with the other boxes.
    view : FleetView
        What is known of each target: its work, reports and failures.
    pool : TargetPool
        Connections to targets.
    port : GossipPort
        Datagrams to and from the other boxes.
    retry_pool : RetryPool
        The retry budget.
    suspicion : Suspicion
        Knows which requests are suspected of crashing targets.
    rates : TargetRates
        The request rates that targets state.
    free_bound_s : float
        Time after the end of a request within which its memory must be free, in seconds.
    reservation_most_s : float
        The longest time for which one call may reserve memory on an engine, in seconds.
    metrics : ForwardMetrics
        The box's metrics.
    service_of : callable
        Returns a service by name.
    policy_of : callable
        Returns the name of the placement policy that the table sets for an organisation and a
        route, empty if it sets none.
    rng : random.Random
        Random numbers, for choosing among a route's services and for jitter.
    ranks_of : callable
        Returns the different ranks of the routes of a service.
    is_draining : bool
        Whether the box is stopping, so that no request waits for a better placement.
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
    ranks_of: Callable[[str], tuple[int, ...]] = lambda _service: ()
    is_draining: bool = False
