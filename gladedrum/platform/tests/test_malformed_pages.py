"""Answers of a store that doesn't keep its own format fail as if it were away."""

from urllib.parse import parse_qs, urlsplit

import pytest
from twisted.trial.unittest import SynchronousTestCase

from gladedrum.errors import KVUnavailableError, KVUnknownError
from gladedrum.platform.store import Revision, StoreClient
from gladedrum.utils import JsonReply, start

ODD_BODIES = [
    None, [], 7, "x", {"items": 7}, {"items": [7]}, {"items": [{}]}, {"items": [{"key": "a"}]},
    {"items": [{"key": 7, "revision": 1}]}, {"items": [{"key": "a", "revision": "x"}]},
    {"items": [{"key": "a", "revision": 10**400}]}, {"items": [], "at": "x"},
    {"items": [{"key": "a", "revision": 1, "value": 7}]},
]  # fmt: skip


class OddStore:
    def __init__(self, body):
        self.body = body

    async def call_json(self, *_args, **_fields):
        return JsonReply(200, self.body)


def client(body):
    return StoreClient("127.0.0.1:1", OddStore(body))


# Guards against an answer that ends the task which reads it, in place of the read.
@pytest.mark.parametrize("body", ODD_BODIES, ids=lambda body: ascii(body)[:60])
def test_malformed_answers_fail_the_call_that_gets_them(body):
    case = SynchronousTestCase()
    case.failureResultOf(start(client(body).list("p/")), KVUnavailableError)
    events = {**body, "events": body["items"]} if isinstance(body, dict) else body
    watch = start(client(events).watch("p/", Revision(0, 1), 1.0))
    case.failureResultOf(watch, KVUnavailableError)
    case.failureResultOf(start(client(body).transact({}, {})), KVUnknownError)
    case.failureResultOf(start(client(body).grant_lease(1.0)), KVUnknownError)


class PagedStore:
    """Answers with pages of two keys, those after the named one."""

    def __init__(self, keys):
        self.keys = keys

    async def call_json(self, _method, url, *_args, **_fields):
        query = parse_qs(urlsplit(url).query)
        after = query.get("afterRevision", [""])[0]
        keys = [key for key in self.keys if key > after][:2]
        rows = [{"key": key, "value": "", "revision": 1} for key in keys]
        return JsonReply(200, {"items": rows, "more": keys[-1:] != self.keys[-1:], "at": 1})


# Guards against a key that can't be encoded at the end of a page, after which no page is read.
def test_pages_are_read_beside_a_key_that_cannot_be_named():
    keys = ["p/a", "p/\ud800", "p/\ue000", "p/\ue001"]
    listing = start(StoreClient("127.0.0.1:1", PagedStore(keys)).list("p/"))
    read = SynchronousTestCase().successResultOf(listing)
    assert {item.key for item in read.items} == set(keys)
