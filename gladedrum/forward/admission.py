"""Whether a request may be forwarded at all: its route, its key, its marks."""

from dataclasses import dataclass
from http import HTTPStatus

from ..outcome import Failed, NotRun
from ..platform.heads import CallerMarks, caller_marks
from ..routes import Organisation, Route
from .configuration import ConfigurationKeeper
from .messages import CallerRequest

__all__ = ["Admission", "Admitted"]

KEY_MARGIN_S = 0.4
"""How long before the bound on keys a configuration is too old to trust a key, in seconds:
covers the way from the caller to this box."""

NO_CONFIGURATION_RETRY_S = 0.5
"""When a caller may come back to a box whose configuration is missing or too old, in seconds."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be forwarded.

    Parameters
    ----------
    route : Route
        Its route.
    organisation : Organisation or None
        Whose key came with it.
    marks : CallerMarks
        What its headers say.
    """

    route: Route
    organisation: Organisation | None
    marks: CallerMarks

    @property
    def urgency(self) -> int:
        """The rank that holds: the organisation's goes before the route's."""
        if self.organisation is not None and self.organisation.rank is not None:
            return self.organisation.rank
        return self.route.rank


class Admission:
    """Checks requests against the configuration in force.

    Parameters
    ----------
    configuration : ConfigurationKeeper
        The configuration and its age.
    key_bound_s : float
        After so long a key that was taken away must not work.
    """

    def __init__(self, configuration: ConfigurationKeeper, key_bound_s: float):
        self._configuration = configuration
        self._key_bound_s = key_bound_s - KEY_MARGIN_S

    def set_key_bound(self, key_bound_s: float) -> None:
        """Take over a changed bound."""
        self._key_bound_s = key_bound_s - KEY_MARGIN_S

    @property
    def keys_are_vouched_for(self) -> bool:
        """Whether the configuration is young enough to trust its keys."""
        return self._configuration.age_s < self._key_bound_s

    def check(self, req: CallerRequest) -> Admitted | Failed | NotRun:
        """Return the request's route and organisation, or why it isn't forwarded."""
        table = self._configuration.table
        if table is None:
            return NotRun("no configuration is known yet", NO_CONFIGURATION_RETRY_S)
        marks = caller_marks(req.headers)
        host = dict(req.headers).get(b"host", b"").decode("latin-1")
        route = table.find(host, req.target.decode("latin-1"))
        if route is None:
            return Failed("no route leads there", HTTPStatus.NOT_FOUND)
        if marks.key is None:
            if route.anonymous:
                return Admitted(route, None, marks)
            return Failed("an API key is needed", HTTPStatus.UNAUTHORIZED)
        if not self.keys_are_vouched_for:
            age_s = self._configuration.age_s
            reason = f"the configuration is {age_s:.1f} s old, too old to trust a key"
            return NotRun(reason, NO_CONFIGURATION_RETRY_S)
        organisation = table.organisations.get(marks.key)
        if organisation is None:
            return Failed("the API key is not known", HTTPStatus.UNAUTHORIZED)
        return Admitted(route, organisation, marks)
