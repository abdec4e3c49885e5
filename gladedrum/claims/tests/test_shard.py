"""Whoever waits for a claim always gets an answer."""

from gladedrum.claims import Claim, ClaimShard, ClaimState, ShardLimits, Take
from gladedrum.errors import KVUnknownError


class _BrokenKV:
    async def get_prefix(self, prefix):
        raise RuntimeError("a fault of ours")


def test_a_fault_in_writing_is_told_to_all_who_wait():
    """A fault once left them waiting for ever."""
    shard = ClaimShard("claims/0/", _BrokenKV(), lambda: 0.0, ShardLimits())
    claim = Claim("request", "box", "body", ClaimState.RUNNING, 0.0)
    results = []
    for _ in range(2):
        shard.submit(Take("k", claim)).addErrback(lambda f: results.append(f.type))
    assert results == [KVUnknownError, KVUnknownError]
