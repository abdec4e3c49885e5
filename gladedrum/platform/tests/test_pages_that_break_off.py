"""A listing ends only where the store says that there is no more.

Guards against targets or keys that count as removed, as an empty page was taken for the last one.
"""

import pytest
from twisted.trial.unittest import SynchronousTestCase

from gladedrum.errors import KVUnavailableError
from gladedrum.platform.store import StoreClient
from gladedrum.utils import JsonReply, start

ROW = {"key": "p/a", "value": "", "revision": 1}


class Store:
    """Answers with the pages of the test."""

    def __init__(self, pages):
        self.pages = list(pages)

    async def call_json(self, *_args, **_fields):
        return JsonReply(200, {"at": 1, **self.pages.pop(0)})


@pytest.mark.parametrize(
    "pages",
    [
        [{"items": [], "more": True}],
        [{"items": [ROW], "more": True}, {"items": [], "more": True}],
    ],
    ids=["the first page is empty", "the second page is empty"],
)
def test_an_empty_page_is_not_the_last_one_if_there_is_more(pages):
    listing = start(StoreClient("127.0.0.1:1", Store(pages)).list("p/"))
    SynchronousTestCase().failureResultOf(listing, KVUnavailableError)


def test_an_empty_page_ends_a_listing_if_there_is_no_more():
    pages = [{"items": [ROW], "more": True}, {"items": [], "more": False}]
    listing = start(StoreClient("127.0.0.1:1", Store(pages)).list("p/"))
    assert [item.key for item in SynchronousTestCase().successResultOf(listing).items] == ["p/a"]
