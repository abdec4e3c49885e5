"""A failed read of the directory changes nothing, and the next read returns the complete list."""

import json

import pytest
from twisted.web.http_headers import Headers

from gladedrum.config import parse_settings
from gladedrum.platform import Directory, DirectoryClient, DirectoryUnavailableError
from gladedrum.utils import LostAnswerError, start

BOX = {"name": "a", "host": "127.0.0.1", "peer_port": 1}
ENGINE = {"name": "e", "kind": "engine", "url": "http://127.0.0.1:2"}


class _Answer:
    """An answer of the platform."""

    def __init__(self, code, body=b"", tag=""):
        self.code, self.body = code, body
        self.headers = Headers({b"etag": [tag]} if tag else {})


class _Platform:
    """The platform's lists; answers 304 to a client that already has the current tag.

    Requests for the lists in `lost` get no answer.
    """

    def __init__(self):
        self.rows, self.lost = {"boxes": [BOX], "targets": [ENGINE]}, set()

    async def send(self, _method, url, _body, headers, _timeout_s):
        kind = url.rpartition("/")[2]
        if kind in self.lost:
            raise LostAnswerError("lost")
        body = json.dumps({kind: self.rows[kind]}).encode()
        tag = str(hash(body))
        known = headers.get("if-none-match") == tag
        return _Answer(304) if known else _Answer(200, body, tag)

    async def read(self, response, _timeout_s):
        return response.body


def read(client: DirectoryClient) -> Directory:
    results = []
    start(client.read()).addBoth(results.append)
    if not isinstance(results[0], Directory):
        results[0].trap(DirectoryUnavailableError)
        return Directory()
    return results[0]


@pytest.mark.parametrize("failure", ["targets lost", "targets malformed"])
def test_boxes_are_read_after_a_failed_read_of_the_targets(failure):
    """A tag stored without its rows would hide all boxes until the list changes."""
    lists = _Platform()
    client = DirectoryClient(parse_settings(""), lists)
    match failure:
        case "targets lost":
            lists.lost = {"targets"}
        case "targets malformed":
            lists.rows["targets"] = {"kind": "engine"}
    assert read(client) == Directory()
    lists.lost, lists.rows["targets"] = set(), [ENGINE]
    found = read(client)
    assert [box.name for box in found.boxes] == ["a"]
    assert [target.name for target in found.targets] == ["e"]
    assert read(client) == found


ODD_ROWS = [
    7, None, [], {"kind": "engine"}, {**BOX, "peer_port": 70_000}, {**BOX, "peer_port": "x"},
    {**BOX, "peer_port": 10**400}, {**BOX, "host": None}, {**ENGINE, "models": 3},
    {**ENGINE, "memory_tokens": "many"}, {**ENGINE, "url": 8},
]  # fmt: skip


# Guards against one odd row that takes away all boxes and targets.
@pytest.mark.parametrize("row", ODD_ROWS, ids=lambda row: ascii(row)[:60])
def test_boxes_and_targets_are_read_beside_an_odd_row(row):
    lists = _Platform()
    odd = {**row, "name": "odd"} if isinstance(row, dict) and "name" in row else row
    lists.rows["boxes" if isinstance(row, dict) and "host" in row else "targets"].append(odd)
    found = read(DirectoryClient(parse_settings(""), lists))
    assert [box.name for box in found.boxes] == ["a"]
    assert [target.name for target in found.targets] == ["e"]
