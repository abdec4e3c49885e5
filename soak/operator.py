"""The operator of a soak: writes versions of the configuration and takes keys away."""

import random
import time

from twisted.internet import defer

from gladedrum.errors import KVConflictError, KVUnavailableError, KVUnknownError
from gladedrum.platform import ABSENT, StoreClient
from gladedrum.routes import Organisation, Route, RouteTable, Service, ServiceShare
from gladedrum.standins.operator import CONFIGURATION_KEY, configuration_bytes
from gladedrum.standins.wire_heads import CALLER_HOST
from gladedrum.utils import start

from .history import History, Kind
from .targets import ENGINE
from .waiting import until

__all__ = ["KEYS", "TIME_LIMIT_S", "Operator"]

KEYS = ("main", "k1", "k2", "k3", "k4")
"""The operator's keys; the first is never taken away."""


class Operator:
    """Writes the configuration.

    Parameters
    ----------
    client : StoreClient
        The store.
    history : History
        Where versions and keys that were taken away are noted.
    rng : random.Random
        Decides by how much versions rise.
    """

    def __init__(self, client: StoreClient, history: History, rng: random.Random):
        self._client = client
        self._history = history
        self._rng = rng
        self._version = 0
        self._keys = list(KEYS)
        self._one_write = defer.DeferredLock()

    async def put_version(self) -> bool:
        """Write a new version; False if the store did not say that it has taken it.

        One after another, and only over the version that was read: a write that the store does
        late must not take the place of a newer one.
        """
        return await self._one_write.run(self._put)

    def _put(self) -> defer.Deferred[bool]:
        return start(self._put_next())

    async def _put_next(self) -> bool:
        self._version += self._rng.randint(1, 3)
        raw = configuration_bytes(_table(self._version, self._keys))
        try:
            before = await self._client.get(CONFIGURATION_KEY)
            revision = before.revision if before is not None else ABSENT
            await self._client.swap(CONFIGURATION_KEY, raw, revision)
        except (KVUnavailableError, KVUnknownError, KVConflictError):
            return False
        self._history.versions.append((time.monotonic(), self._version))
        return True

    async def take_key(self) -> None:
        """Take a key away, if another than the first is left."""
        if len(self._keys) > 1:
            key = self._keys.pop()
            await until("a key is taken away", self.put_version)
            self._history.keys_taken[key] = time.monotonic()


TIME_LIMIT_S = 4.0
"""How long the routes let a request take, in seconds."""

PAUSE_OBJECTIVE_S = 0.1
"""The pause between events that routes aim at, in seconds: so small that a box counts on callers
who wait 2 s for an event."""


def _table(version: int, keys: list[str]) -> RouteTable:
    """Return a version: all keys belong to an organisation whose name tells the version."""
    routes = (
        _route(Kind.ONCE, "plain"),
        _route(Kind.REPEATABLE, "plain", repeatable=True, max_targets=2),
        _route(Kind.STREAM, "pool", streaming=True, resumable=True, max_targets=3),
        # Without a key: its owner has another name in each version, and so it would be another one.
        _route(Kind.DEADLY, "pool", streaming=True, resumable=True, max_targets=2, anonymous=True),
    )
    services = {"plain": Service("plain"), "pool": Service("pool", ENGINE)}
    organisations = {key: Organisation(f"org-{version}", None) for key in keys}
    return RouteTable(version, routes, services, organisations)


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
