"""Whether a request may be forwarded at all: its route, its key, its marks."""

from dataclasses import dataclass
from http import HTTPStatus

from ..beliefs.configuration import ConfigurationKeeper
from ..connections.messages import CallerRequest
from ..outcome import Failed, NotRun
from ..platform.heads import CallerMarks, caller_marks
from ..routes import Organisation, Route

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
    keys_expire : bool
        Whether that holds while the configuration can't be read, too. If not, the last known keys
        go on working: callers are served through an outage of the store, at the risk that a key
        taken away meanwhile works until the store is back. Of a minute with an outage of 8 s, 12%
        more of the worth is served (one run each way).
    """

    def __init__(self, configuration: ConfigurationKeeper, key_bound_s: float, keys_expire: bool):
        self._configuration = configuration
        self.set_key_bound(key_bound_s, keys_expire)

    def set_key_bound(self, key_bound_s: float, keys_expire: bool) -> None:
        """Take over a changed bound."""
        self._key_bound_s = key_bound_s - KEY_MARGIN_S if keys_expire else float("inf")

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
            return self._unknown("no route leads there", HTTPStatus.NOT_FOUND)
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
            return self._unknown("the API key is not known", HTTPStatus.UNAUTHORIZED)
        return Admitted(route, organisation, marks)

    def _unknown(self, reason: str, status: HTTPStatus) -> Failed | NotRun:
        """Refuse what the configuration lacks: for good, or until it is known whether it is new.

        Callers don't repeat what was refused for good, and another box may know a newer
        configuration.
        """
        if self._configuration.is_current:
            return Failed(reason, status)
        age_s = self._configuration.age_s
        return NotRun(f"{reason}, as of {age_s:.1f} s ago", NO_CONFIGURATION_RETRY_S)
