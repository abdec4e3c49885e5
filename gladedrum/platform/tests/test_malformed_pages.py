"""Answers of a store that doesn't keep its own format fail as if it were away."""

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
