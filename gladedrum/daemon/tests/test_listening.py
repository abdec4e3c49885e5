"""A forwarding box opens the callers' socket before the whole daemon is imported."""

import socket

from gladedrum.forward import callers_address
from gladedrum.utils.listening import open_early_socket


def test_caller_that_connects_before_the_box_runs_waits():
    listening = open_early_socket(("127.0.0.1", 0))
    with listening, socket.create_connection(listening.getsockname(), timeout=5) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\n")
        listening.setblocking(True)
        accepted, _address = listening.accept()
        with accepted:
            assert accepted.recv(100) == b"GET / HTTP/1.1\r\n"


def test_unusable_address_is_left_for_the_daemon_to_report():
    with socket.socket() as used:
        used.bind(("127.0.0.1", 0))
        used.listen()
        assert open_early_socket(used.getsockname()) is None
    assert open_early_socket(None) is None


def test_address_is_read_from_the_settings_file(tmp_path):
    path = tmp_path / "box.ini"
    path.write_text("[forward]\ncallers = 127.0.0.1:81\n")
    assert callers_address(str(path)) == ("127.0.0.1", 81)
    path.write_text("[forward]\ncallers = nonsense\n")
    assert callers_address(str(path)) is None
    path.write_text("no settings")
    assert callers_address(str(path)) is None
