"""What a box knows of its own link to targets, from the connections that it opens.

A connection that fails may be the fault of the target or of the box's link. A target is *impaired*
if the box's own link does not open connections there although a peer's does, or if all recent
connections to its *group* have failed: the targets of its service, or those of them in its data
hall.
"""

from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from ..fleet import TargetEntry

__all__ = ["Address", "Group", "LinkEvidence", "groups_of"]

Address = tuple[str, int]
"""IP address and port of a target."""

MIN_FAILED_TARGETS = 2
"""A group is impaired if connections to this many of its targets have failed and none has opened
since. One failed target is more likely to have ended."""

ENOUGH_FAILED = 4
"""A service is given up once connections to this many of its targets have failed, or to all if it
has fewer; trying all would take too long."""

SILENCE_S = 0.3
"""Open connections of a impaired group that have brought nothing for this long, in seconds, are
thought to be dead. Longer than the pauses of a stream."""

LOSSY_WINDOW_S, LOSSY_RECENT, MIN_LOSSY_LATE = 2.0, 6, 3
"""A group is lossy if of the last `LOSSY_RECENT` connections within `LOSSY_WINDOW_S` seconds at
least `MIN_LOSSY_LATE` were late, to more than one target, although others opened in time. A sound
link hardly ever loses two packets of three."""

LOSSY_UNTIL_OPENED = 3
"""It is so until this many connections in a row have opened in time."""

_NEVER_S = float("-inf")


class Group(NamedTuple):
    """The targets of a service, in one data hall or (empty) in all."""

    service: str
    data_hall: str = ""


class _Outcome(NamedTuple):
    """What came of a connection to a target of a group."""

    at_s: float
    address: Address
    late: bool


def groups_of(entry: TargetEntry) -> tuple[Group, Group]:
    """Return the groups of a target."""
    return Group(entry.service), Group(entry.service, entry.data_hall)


class LinkEvidence:
    """Judges from the connections over a box's own link which targets it reaches.

    All times are in seconds, by the monotonic clock that the caller uses.

    Parameters
    ----------
    entries : callable
        Returns the list of targets by name; the same mapping until the list changes.
    """

    def __init__(self, entries: Callable[[], Mapping[str, TargetEntry]]):
        self._entries = entries
        self._indexed: Mapping[str, TargetEntry] | None = None
        self._members: dict[Group, set[Address]] = {}
        self._in_hall: dict[str, set[Address]] = {}
        self._groups: dict[Address, set[Group]] = {}
        self._halls: dict[Address, set[str]] = {}
        self._failed_s: dict[Address, float] = {}
        self._connected_s: dict[Address, float] = {}
        self._heard_s: dict[Address, float] = {}
        self._carried: set[Address] = set()
        self._impaired_since_s: dict[Group, float] = {}
        self._outcomes: dict[Group, deque[_Outcome]] = {}
        self._lossy: set[Group] = set()

    def note_connected(self, address: Address, now_s: float) -> None:
        """Record that the own link has opened a connection to a target.

        It ends the impairment of everything that was impaired together with this target.
        """
        self._update_index()
        self._connected_s[address] = now_s
        cleared = {address}
        for group in self._groups.get(address, ()):
            if self._is_still_lossy(group, _Outcome(now_s, address, late=False)):
                continue
            if self._impaired_since_s.pop(group, None) is not None:
                cleared |= self._members[group]
        for member in cleared:
            self._failed_s.pop(member, None)
            self._carried.discard(member)

    def note_heard(self, address: Address, now_s: float) -> None:
        """Record that bytes have arrived over the own link from a target."""
        self._heard_s[address] = now_s

    def note_failed(self, address: Address, now_s: float) -> None:
        """Record that the own link did not open a connection to a target in time."""
        self._update_index()
        self._failed_s.setdefault(address, now_s)
        for group in self._groups.get(address, ()):
            self._add_outcome(group, _Outcome(now_s, address, late=True))
            if group not in self._impaired_since_s and self._has_failed(group):
                self._impaired_since_s[group] = now_s

    def note_carried(self, address: Address) -> None:
        """Record that a peer has opened a connection to a target."""
        self._carried.add(address)

    def _has_failed(self, group: Group) -> bool:
        members = self._members[group]
        failed = members & self._failed_s.keys()
        if len(failed) < MIN_FAILED_TARGETS:
            return False
        first_s = min(self._failed_s[address] for address in failed)
        return all(self._connected_s.get(address, _NEVER_S) < first_s for address in members)

    def _add_outcome(self, group: Group, outcome: _Outcome) -> None:
        outcomes = self._outcomes.setdefault(group, deque(maxlen=LOSSY_RECENT))
        outcomes.append(outcome)
        recent = [row for row in outcomes if outcome.at_s - row.at_s <= LOSSY_WINDOW_S]
        late = [row.address for row in recent if row.late]
        if len(recent) > len(late) >= MIN_LOSSY_LATE and len(set(late)) > 1:
            self._lossy.add(group)
            self._impaired_since_s.setdefault(group, outcome.at_s)

    def _is_still_lossy(self, group: Group, outcome: _Outcome) -> bool:
        """Record a connection that has opened; return whether its group counts as lossy."""
        outcomes = self._outcomes.setdefault(group, deque(maxlen=LOSSY_RECENT))
        outcomes.append(outcome)
        last = [row.late for row in outcomes][-LOSSY_UNTIL_OPENED:]
        if group in self._lossy and not any(last):
            self._lossy.discard(group)
            outcomes.clear()
        return group in self._lossy

    def is_lossy(self, address: Address) -> bool:
        """Whether the own link to a target's service or data hall loses packets."""
        return any(group in self._lossy for group in self._groups.get(address, ()))

    # Judgements.

    def is_impaired(self, address: Address) -> bool:
        """Whether the own link is thought not to open connections to a target."""
        if not self._failed_s:
            return False
        self._update_index()
        if address in self._failed_s and address in self._carried:
            return True
        return any(group in self._impaired_since_s for group in self._groups.get(address, ()))

    def have_failed(self, addresses: Collection[Address]) -> bool:
        """Whether connections to these targets have failed, to `ENOUGH_FAILED` of them if many."""
        failed = sum(address in self._failed_s for address in addresses)
        return 0 < min(len(addresses), ENOUGH_FAILED) <= failed

    def is_carried(self, address: Address) -> bool:
        """Whether a peer has reached a target since the own link has failed to."""
        return address in self._failed_s and address in self._carried

    def is_silent(self, address: Address, now_s: float) -> bool:
        """Whether a target is impaired and open connections of its groups are silent as well.

        If they are not, the link only fails to open connections, and open ones are worth keeping.
        """
        if not self.is_impaired(address):
            return False
        impaired = [g for g in self._groups.get(address, ()) if g in self._impaired_since_s]
        members = set().union(*(self._members[group] for group in impaired)) or {address}
        since_s = min(
            (self._impaired_since_s[group] for group in impaired),
            default=self._failed_s.get(address, _NEVER_S),
        )
        last_s = max(self._heard_s.get(member, _NEVER_S) for member in members)
        return last_s <= since_s and now_s - last_s >= SILENCE_S

    def is_proven(self, address: Address, since_s: float, by_connection: bool) -> bool | None:
        """Whether other targets show that the link to a target is sound since `since_s`.

        That needs another target of its service, and another one in its data hall, that was
        connected or heard since then; with `by_connection`, bytes on open connections are not
        enough. None if the target is alone in both.
        """
        needed = [members for members in self._others(address) if members]
        if not needed:
            return None
        return all(
            any(
                self._connected_s.get(member, _NEVER_S) > since_s
                or (not by_connection and self._heard_s.get(member, _NEVER_S) > since_s)
                for member in members
            )
            for members in needed
        )

    def proof_candidates(self, address: Address) -> set[Address]:
        """Return targets whose connections would prove the link to a target; see `is_proven`."""
        sound = (members - self._failed_s.keys() for members in self._others(address))
        return {min(members) for members in sound if members}

    def local_group(self, address: Address) -> Group | None:
        """Return the group of a target's service in its data hall, None if it is not listed."""
        self._update_index()
        return max(self._groups.get(address, ()), default=None)

    def members(self, group: Group) -> set[Address]:
        """Return the targets of a group."""
        self._update_index()
        return self._members.get(group, set())

    def _others(self, address: Address) -> list[set[Address]]:
        """Return the other targets of a target's service, and those in its data hall."""
        self._update_index()
        services = (g for g in self._groups.get(address, ()) if not g.data_hall)
        halls = self._halls.get(address, ())
        found = [self._members[group] for group in services]
        return [members - {address} for members in [*found, *(self._in_hall[h] for h in halls)]]

    @property
    def impaired_groups(self) -> dict[Group, float]:
        """The impaired groups, and since when."""
        self._update_index()
        return self._impaired_since_s

    @property
    def impaired_targets(self) -> list[Address]:
        """The targets that are impaired one by one, not for one of their groups."""
        self._update_index()
        return [
            address
            for address in self._failed_s
            if address in self._carried
            and not any(group in self._impaired_since_s for group in self._groups.get(address, ()))
        ]

    def probe_candidates(self) -> list[list[Address]]:
        """Return the targets of which one each should be tried to find the way back.

        One list for each impaired group, and one for all targets that are impaired one by one.
        """
        groups = [sorted(self._members[group]) for group in self.impaired_groups]
        single = self.impaired_targets
        return [*groups, single] if single else groups

    def _update_index(self) -> None:
        """Rebuild the groups if the list has changed, and forget targets that are gone."""
        entries = self._entries()
        if entries is self._indexed:
            return
        self._indexed = entries
        self._members, self._groups, self._in_hall, self._halls = {}, {}, {}, {}
        for entry in entries.values():
            address = (entry.host, entry.port)
            self._in_hall.setdefault(entry.data_hall, set()).add(address)
            self._halls.setdefault(address, set()).add(entry.data_hall)
            for group in groups_of(entry):
                self._members.setdefault(group, set()).add(address)
                self._groups.setdefault(address, set()).add(group)
        for kept in (self._failed_s, self._connected_s, self._heard_s):
            _drop(kept, kept.keys() - self._groups.keys())
        self._carried &= self._groups.keys()
        for groups in (self._impaired_since_s, self._outcomes):
            _drop(groups, groups.keys() - self._members.keys())
        self._lossy &= self._members.keys()


def _drop(mapping: dict, keys: Iterable) -> None:
    for key in tuple(keys):
        del mapping[key]
