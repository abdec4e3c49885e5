"""The operators' HTTP page of condemned requests: listing and lifting."""

import json

import pytest
from twisted.web.test.requesthelper import DummyRequest

from gladedrum.forward.condemned_page import CondemnedPage
from gladedrum.forward.tests.support import World
from gladedrum.scheduling.suspects import TargetStart

DIGEST = bytes(range(16))


@pytest.fixture
def page():
    world = World()
    for number in (1, 2, 3):
        world.ctx.suspicion.note_lost(DIGEST, [f"t{number}"], "r", "org")
        world.view.suspects.note_ended(TargetStart(f"t{number}", 0), world.net.seconds())
    return CondemnedPage(world.ctx.suspicion, "secret")


def call(page, method, path=(), token=""):
    request = DummyRequest(list(path))
    request.postpath = list(path)
    request.method = method
    if token:
        request.requestHeaders.setRawHeaders("authorization", [f"Bearer {token}"])
    body = page.render(request)
    return request.responseCode, json.loads(body)


def test_page_lists_condemned_requests_with_targets_and_time_left(page):
    status, body = call(page, b"GET")
    (row,) = body["condemned"]
    assert status == 200
    assert row["request_digest"] == DIGEST.hex()
    assert (row["route"], row["organisation"]) == ("r", "org")
    assert row["targets"] == ["t1", "t2", "t3"]
    assert row["left_s"] == 600.0


def test_lifting_requires_the_token(page):
    path = [DIGEST.hex().encode()]
    assert call(page, b"DELETE", path)[0] == 401
    assert call(page, b"DELETE", path, "wrong")[0] == 401
    assert call(page, b"DELETE", [b"no digest"], "secret")[0] == 400
    assert call(page, b"DELETE", path, "secret") == (200, {"lifted": DIGEST.hex()})
    assert call(page, b"DELETE", path, "secret")[0] == 404
    assert call(page, b"GET")[1] == {"condemned": []}
