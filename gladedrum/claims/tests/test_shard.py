"""Every submitted operation gets a result, also after an internal error."""

from gladedrum.claims import (
    Applied,
    Claim,
    ClaimKey,
    ClaimShard,
    ClaimState,
    HeldByOther,
    ShardLimits,
)
from gladedrum.errors import KVUnavailableError, KVUnknownError
from gladedrum.platform.tests.store_case import StoreCase


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


class ForeignKeysTest(StoreCase):
    def submit(self, claim):
        shard = ClaimShard("claims/0/", self.store(), lambda: 0.0, ShardLimits())
        return shard.submit(ClaimKey("k", claim))

    # Guards against a key of another writer after which no request of its shard can be claimed.
    async def test_claims_are_made_beside_keys_that_name_no_bucket(self):
        for name in ("x", "-0000000001", "9" * 5000, "1", "\ud800", "\u0660" * 10):
            self.service.write("claims/0/" + name, b"{}")
        claim = Claim("request", "box", "body", ClaimState.RUNNING, 0.0)
        other = Claim("second", "box", "body", ClaimState.RUNNING, 0.0)
        assert await self.submit(claim) == Applied()
        assert await self.submit(other) == HeldByOther(claim)

    # Guards against a second run of a request whose claim another writer has replaced.
    async def test_no_claim_is_made_beside_a_malformed_bucket(self):
        claim = Claim("request", "box", "body", ClaimState.RUNNING, 0.0)
        for value in (b"", b"[]", b"\xff", b"[" * 100_000):
            self.service.write("claims/0/0000000001", value)
            with self.assertRaises(KVUnavailableError):
                await self.submit(claim)
