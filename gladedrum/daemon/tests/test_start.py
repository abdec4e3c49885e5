"""The callers' socket listens before the daemon is imported."""

import socket

from gladedrum.daemon.start import listen_early

SETTINGS = "[forward]\nenabled = {enabled}\ncallers = {callers}\n"


def settings(tmp_path, enabled="yes", callers="127.0.0.1:0"):
    path = tmp_path / "box.ini"
    path.write_text(SETTINGS.format(enabled=enabled, callers=callers))
    return ["--config", str(path)]


def test_a_caller_that_connects_before_the_box_runs_waits_for_it(tmp_path):
    listening = listen_early(settings(tmp_path))
    with listening, socket.create_connection(listening.getsockname(), timeout=5) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\n")
        listening.setblocking(True)
        accepted, _address = listening.accept()
        with accepted:
            assert accepted.recv(100) == b"GET / HTTP/1.1\r\n"


def test_only_a_box_that_forwards_listens_early(tmp_path):
    assert listen_early(settings(tmp_path, enabled="no")) is None
    assert listen_early(settings(tmp_path, enabled="perhaps")) is None
    assert listen_early([*settings(tmp_path), "--check"]) is None
    assert listen_early(["--config", str(tmp_path / "none.ini")]) is None
    assert listen_early([]) is None
    assert listen_early(["--config"]) is None


def test_an_address_that_cannot_be_listened_on_is_left_to_the_daemon_to_report(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        callers = f"127.0.0.1:{taken.getsockname()[1]}"
        assert listen_early(settings(tmp_path, callers=callers)) is None
    assert listen_early(settings(tmp_path, callers="nonsense")) is None
