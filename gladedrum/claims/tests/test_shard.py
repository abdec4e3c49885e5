"""Every submitted operation gets a result, also after an internal error."""

from gladedrum.claims import Claim, ClaimKey, ClaimShard, ClaimState, ShardLimits
from gladedrum.errors import KVUnknownError


class _BrokenKV:
    async def get_prefix(self, prefix):
        raise RuntimeError("internal error")


def test_an_internal_error_fails_all_pending_operations():
    """Otherwise their callers would wait forever."""
    shard = ClaimShard("claims/0/", _BrokenKV(), lambda: 0.0, ShardLimits())
    claim = Claim("request", "box", "body", ClaimState.RUNNING, 0.0)
    results = []
    for _ in range(2):
        shard.submit(ClaimKey("k", claim)).addErrback(lambda f: results.append(f.type))
    assert results == [KVUnknownError, KVUnknownError]
