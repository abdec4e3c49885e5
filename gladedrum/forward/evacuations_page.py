"""The operators' page of evacuated data halls, and of the work that still runs there."""

from typing import TypedDict

from ..beliefs.evacuations import ShownEvacuations
from ..beliefs.target_list import TargetListFollower
from ..placing.fleet_view import FleetView

__all__ = ["ShownHalls", "shown_evacuations"]


class _ShownHall(TypedDict):
    """An evacuated data hall: its listed targets, and the attempts known to run on them."""

    data_hall: str
    targets: int
    running: int


class ShownHalls(TypedDict):
    """The evacuated data halls, and the copy of the store's keys that says so."""

    data_halls: list[_ShownHall]
    copy: ShownEvacuations


def shown_evacuations(targets: TargetListFollower, view: FleetView) -> ShownHalls:
    """Return the evacuated data halls for operators.

    Boxes outside the coordinator group know only their own work.
    """
    evacuated = targets.evacuated()
    rows = [
        _ShownHall(
            data_hall=hall,
            targets=sum(entry.data_hall == hall for entry in evacuated),
            running=sum(
                len(view.state(entry.name).ledger.rows)
                for entry in evacuated
                if entry.data_hall == hall
            ),
        )
        for hall in sorted(targets.evacuations.halls)
    ]
    return ShownHalls(data_halls=rows, copy=targets.evacuations.shown())
