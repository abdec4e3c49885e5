"""A list of boxes and targets that can't be read as a whole changes nothing, and is read again."""

import json

import pytest
from twisted.web.http_headers import Headers

from gladedrum.config import parse_settings
from gladedrum.platform import Directory, DirectoryClient, DirectoryUnavailableError
from gladedrum.utils import LostAnswerError, start

BOX = {"name": "a", "host": "127.0.0.1", "peer_port": 1}
ENGINE = {"name": "e", "kind": "engine", "url": "http://127.0.0.1:2"}


class _Reply:
    """An answer that has come."""

    def __init__(self, code, body=b"", tag=""):
        self.code, self.body = code, body
        self.headers = Headers({b"etag": [tag]} if tag else {})


class _Lists:
    """The platform's lists; each has a tag, and is not sent to who knows it."""

    def __init__(self):
        self.rows, self.lost = {"boxes": [BOX], "targets": [ENGINE]}, set()

    async def send(self, _method, url, _body, headers, _timeout_s):
        kind = url.rpartition("/")[2]
        if kind in self.lost:
            raise LostAnswerError("lost")
        body = json.dumps({kind: self.rows[kind]}).encode()
        tag = str(hash(body))
        known = headers.get("if-none-match") == tag
        return _Reply(304) if known else _Reply(200, body, tag)

    async def read(self, response, _timeout_s):
        return response.body


def read(client: DirectoryClient) -> Directory:
    results = []
    start(client.read()).addBoth(results.append)
    if not isinstance(results[0], Directory):
        results[0].trap(DirectoryUnavailableError)
        return Directory()
    return results[0]


@pytest.mark.parametrize("wrong", ["targets lost", "targets wrong"])
def test_a_new_list_of_boxes_counts_though_the_targets_could_not_be_read_with_it(wrong):
    """Its tag was kept and its rows were not: until the next change no box was known."""
    lists = _Lists()
    client = DirectoryClient(parse_settings(""), lists)
    match wrong:
        case "targets lost":
            lists.lost = {"targets"}
        case "targets wrong":
            lists.rows["targets"] = [{"kind": "engine"}]
    assert read(client) == Directory()
    lists.lost, lists.rows["targets"] = set(), [ENGINE]
    found = read(client)
    assert [box.name for box in found.boxes] == ["a"]
    assert [target.name for target in found.targets] == ["e"]
    assert read(client) == found
