"""The operator of a soak, who writes versions, revokes API keys and evacuates data halls."""

import random
import time
from dataclasses import replace

from twisted.internet import defer

from gladedrum.errors import KVConflictError, KVUnavailableError, KVUnknownError
from gladedrum.platform import ABSENT, StoreClient, wire
from gladedrum.routes import Configuration, Organisation, Route, Service, ServiceShare
from gladedrum.standins.operator import CONFIGURATION_KEY, configuration_bytes
from gladedrum.standins.request_headers import CALLER_HOST
from gladedrum.utils import start

from .history import DEADLY_KINDS, Evacuation, History, Kind
from .targets import ENGINE
from .waiting import until

__all__ = ["KEYS", "TIME_LIMIT_S", "Operator"]

KEYS = ("main", "k1", "k2", "k3", "k4")
"""API keys in the first configuration; the first key is never revoked."""

COLD_START_S, COLD_PER_S = 2.0, 2.0
"""How long targets count as cold after a start, in seconds, and the requests per
second that they can take meanwhile: so few that the callers of a soak exceed them."""


class Operator:
    """Writes the configuration.

    Parameters
    ----------
    client : StoreClient
        Client of the store.
    history : History
        Receives acknowledged versions and revoked keys.
    rng : random.Random
        Source of the increments of the version number.
    """

    def __init__(self, client: StoreClient, history: History, rng: random.Random):
        self._client = client
        self._history = history
        self._rng = rng
        self._version = 0
        self._keys = list(KEYS)
        self._additional_routes = 0
        self._write_lock = defer.DeferredLock()
        self._evacuated_s: dict[str, float] = {}

    async def write_version(self) -> bool:
        """Write a new version; False if the store did not acknowledge it.

        Writes are serialized and conditional on the revision that was read, so that a delayed write
        cannot replace a newer version.
        """
        return await self._write_lock.run(lambda: start(self._write_next()))

    async def write_large_version(self) -> bool:
        """As `write_version`; this and all later versions are too large for datagrams."""
        self._additional_routes = ADDITIONAL_ROUTES
        return await self.write_version()

    async def _write_next(self) -> bool:
        self._version += self._rng.randint(1, 3)
        configuration = _configuration(self._version, self._keys, self._additional_routes)
        raw = configuration_bytes(configuration)
        try:
            before = await self._client.get(CONFIGURATION_KEY)
            revision = before.revision if before is not None else ABSENT
            await self._client.swap(CONFIGURATION_KEY, raw, revision)
        except (KVUnavailableError, KVUnknownError, KVConflictError):
            return False
        self._history.versions.append((time.monotonic(), self._version))
        return True

    async def revoke_key(self) -> None:
        """Revoke a key, unless only the first one is left."""
        if len(self._keys) > 1:
            key = self._keys.pop()
            await until("a key is revoked", self.write_version)
            self._history.keys_revoked[key] = time.monotonic()

    async def evacuate(self, data_hall: str) -> None:
        """Order the evacuation of a data hall."""
        key = wire.EVACUATION_PREFIX + data_hall
        await until("a data hall is evacuated", lambda: self._write({key: b"1"}, []))
        self._evacuated_s[data_hall] = time.monotonic()

    async def end_evacuation(self, data_hall: str) -> None:
        """End the evacuation of a data hall; does nothing if it has ended."""
        if data_hall not in self._evacuated_s:
            return
        from_s = self._evacuated_s.pop(data_hall)
        self._history.evacuations.append(Evacuation(data_hall, from_s, time.monotonic()))
        key = wire.EVACUATION_PREFIX + data_hall
        await until("an evacuation ends", lambda: self._write({}, [key]))

    async def end_evacuations(self) -> None:
        """End all evacuations."""
        for data_hall in tuple(self._evacuated_s):
            await self.end_evacuation(data_hall)

    async def _write(self, puts: dict[str, bytes], removals: list[str]) -> bool:
        try:
            await self._client.transact({}, puts, removals)
        except (KVUnavailableError, KVUnknownError):
            return False
        return True


ADDITIONAL_ROUTES, UNIQUE_BYTES = 500, 150
"""Number of additional routes in a large version, and of random bytes in the name of each: so it
neither compresses well nor resembles another version."""

TIME_LIMIT_S = 4.0
"""Time limit of a request in the routes, in seconds."""

PAUSE_OBJECTIVE_S = 0.1
"""Objective of the routes for the pause between events, in seconds: so short that a box assumes
that callers wait 2 s for an event."""


def _configuration(version: int, keys: list[str], additional_routes: int = 0) -> Configuration:
    """Return a configuration; all keys belong to an organisation named after the version."""
    routes = (
        _route(Kind.ONCE, "plain"),
        _route(Kind.REPEATABLE, "plain", repeatable=True, max_targets=2),
        _route(Kind.STREAM, "pool", streaming=True, resumable=True, max_targets=3),
        # Anonymous: boxes compare requests by organisation too, and its name changes with each
        # version.
        *(
            _route(kind, "pool", streaming=True, resumable=True, max_targets=2, anonymous=True)
            for kind in DEADLY_KINDS
        ),
    )
    unique = random.Random(version)
    names = [unique.randbytes(UNIQUE_BYTES).hex() for _ in range(additional_routes)]
    plain = routes[0]
    routes += tuple(replace(plain, name=name, path_prefix=f"/{name[:16]}/") for name in names)
    services = {
        name: Service(name, engine, COLD_START_S, COLD_PER_S)
        for name, engine in (("plain", None), ("pool", ENGINE))
    }
    organisations = {key: Organisation(f"org-{version}", None) for key in keys}
    return Configuration(version, routes, services, organisations)


def _route(kind: Kind, service: str, **fields: object) -> Route:
    return Route(
        name=kind.value,
        host=CALLER_HOST,
        path_prefix=f"/{kind.value}/",
        services=(ServiceShare(service, 1.0),),
        time_limit_s=TIME_LIMIT_S,
        objective_s=0.5,
        pause_objective_s=PAUSE_OBJECTIVE_S,
        **{"anonymous": False, **fields},
    )
