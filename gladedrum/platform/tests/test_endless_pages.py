"""Pages of the store that do not end.

Guards against a listing that reads page after page into memory, as the store says each time that
there is more.
"""

import base64

import pytest
from twisted.trial.unittest import SynchronousTestCase

from gladedrum.errors import KVUnavailableError
from gladedrum.platform.store import MAX_LISTED_BYTES, StoreClient
from gladedrum.utils import JsonReply, start

VALUE = base64.b64encode(b"x" * 900_000).decode()


class PagedStore:
    """Answers each read with one item, and that there is more; `keys` yields the keys."""

    def __init__(self, keys):
        self.keys = keys
        self.calls = 0

    async def call_json(self, *_args, **_fields):
        self.calls += 1
        item = {"key": next(self.keys), "value": VALUE, "revision": 1}
        return JsonReply(200, {"items": [item], "more": True, "at": 1})


@pytest.mark.parametrize(
    ("keys", "max_calls"),
    [
        (lambda: iter(lambda: "a", None), 2),
        (lambda: (f"{number:09}" for number in range(10**9)), MAX_LISTED_BYTES // 900_000 + 1),
    ],
    ids=["the same page", "new pages"],
)
def test_pages_are_not_read_without_end(keys, max_calls):
    web = PagedStore(keys())
    listing = start(StoreClient("127.0.0.1:1", web).list("p/"))
    SynchronousTestCase().failureResultOf(listing, KVUnavailableError)
    assert web.calls <= max_calls
