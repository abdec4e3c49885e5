"""Crowds of callers that don't end their requests, on boxes with little memory (real processes).

What is checked doesn't depend on the machine's speed: the box lives, stays within its memory and
its descriptors, and answers an ordinary request beside the crowd and after it.
"""

import struct

import pytest

from .crowd import Crowd
from .deployment import OpenAIBox, request_head, running, wait_until

MEMORY_MB = 128
"""Memory of the box in the test, in MB. At rest a box has some 45 MB."""

CROWD = 60
"""Number of callers; their whole bodies together are twice the memory of the box."""

BODY_BYTES = 4_194_304
"""The longest body that the configuration allows."""

PLATFORM = f"memory_mb = {MEMORY_MB}"


def with_length(length: int, sent: int, *headers: str) -> bytes:
    return request_head("POST", f"Content-Length: {length}", *headers) + b"x" * sent


def chunk(size: int, sent: int | None = None) -> bytes:
    """Return a chunk that announces `size` bytes and has `sent` of them, or all."""
    data = b"x" * (size if sent is None else sent)
    return b"%x\r\n" % size + data + (b"\r\n" if sent is None else b"")


def in_chunks(*chunks: bytes) -> bytes:
    return request_head("POST", "Transfer-Encoding: chunked") + b"".join(chunks)


MIB = 1_048_576
PAYLOADS = {
    "chunks-of-1-mib-short-of-the-end": in_chunks(*[chunk(MIB)] * 3, chunk(MIB, MIB - 1)),
    "one-chunk-short-by-a-byte": in_chunks(chunk(BODY_BYTES, BODY_BYTES - 1)),
    "chunks-of-one-byte": in_chunks(chunk(1) * 80_000),
    "chunks-of-100-bytes": in_chunks(chunk(100) * 40_000),
    "expect-100-continue": with_length(BODY_BYTES, BODY_BYTES - 65_536, "Expect: 100-continue"),
    "length-short-by-a-byte": with_length(BODY_BYTES, BODY_BYTES - 1),
    "length-of-1-gb": with_length(10**9, 40 * MIB),
    "chunks-of-1-mib-without-end": in_chunks(chunk(MIB) * 40),
    "chunk-of-2-gb": in_chunks(chunk(2 * 10**9, 40 * MIB)),
    "head-short-of-its-end": request_head("GET", f"X-A: {'a' * 15_000}")[:-2],
}


def assert_sound(box, memory_mb=MEMORY_MB):
    assert box.is_alive
    assert box.peak_bytes <= memory_mb * 1_000_000


# Guards against a box that ends, or serves nobody, as callers send bodies that they don't end.
@pytest.mark.parametrize("case", PAYLOADS)
def test_crowd_of_unfinished_requests_leaves_the_box_within_its_memory(case, tmp_path):
    with running(tmp_path, boxes=1, platform=PLATFORM) as deployment:
        deployment.start()
        (box,) = deployment.boxes
        with Crowd(box.address, PAYLOADS[case], CROWD) as crowd:
            crowd.send()
            assert box.ask().status == 200
            assert_sound(box)
        assert box.ask().status == 200
        assert box.ask("POST", b"x" * BODY_BYTES).status == 200
        assert_sound(box)


DESCRIPTORS = 256
"""Limit of the box's process on open descriptors in the test; at rest it has some 30."""


# Guards against connections that leave no descriptor for targets, the store and peers.
@pytest.mark.parametrize("payload", [b"", b"GET / HTTP/1.1\r\n"], ids=["silent", "begun"])
def test_crowd_of_connections_leaves_descriptors_for_all_else(payload, tmp_path):
    with running(tmp_path, boxes=1, platform=PLATFORM) as deployment:
        deployment.start(descriptors=DESCRIPTORS)
        (box,) = deployment.boxes
        with Crowd(box.address, payload, 2 * DESCRIPTORS) as crowd:
            crowd.send()
            assert box.ask().status == 200
            assert box.is_alive
            assert box.descriptors <= DESCRIPTORS * 3 // 4
        assert box.ask().status == 200
        assert box.is_ready()
        assert_sound(box)


PAGE_REQUEST = b"POST /table/edits HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES


# Guards against the same crowd at the port of the operators' pages.
def test_crowd_at_the_operators_pages_leaves_the_box_within_its_memory(tmp_path):
    with running(tmp_path, boxes=1, platform=PLATFORM) as deployment:
        deployment.start()
        (box,) = deployment.boxes
        with Crowd(box.ready_address, PAGE_REQUEST + b"x" * (BODY_BYTES - 1), CROWD) as crowd:
            crowd.send()
            assert box.ask().status == 200
            assert_sound(box)
        assert box.ask().status == 200
        assert box.is_ready()
        assert_sound(box)


# Guards against connections without a request at the ports of the operators' pages and tunnels.
@pytest.mark.parametrize("port", ["ready", "tunnels"])
def test_crowd_at_another_port_leaves_descriptors_for_all_else(port, tmp_path):
    with running(tmp_path, boxes=1, platform=PLATFORM) as deployment:
        deployment.start(descriptors=DESCRIPTORS)
        (box,) = deployment.boxes
        address = box.ready_address if port == "ready" else box.peers_address
        with Crowd(address, b"CONNECT a:1 HTTP/1.1\r\n", 2 * DESCRIPTORS) as crowd:
            crowd.send()
            assert box.ask().status == 200
            assert box.is_alive
            assert box.descriptors <= DESCRIPTORS * 3 // 4
        assert box.ask().status == 200
        assert box.is_ready()
        assert_sound(box)


OPENAI_MEMORY_MB = 256
"""Memory of a box that serves the OpenAI interface in the test, in MB, with engines inside."""

OPENAI_BYTES = 8_000_000
"""Bytes that each caller of the OpenAI interface sends, of 16 MB that a body may have."""

COMPLETION = b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
OPENAI_PAYLOADS = {
    "callers": COMPLETION % (OPENAI_BYTES + 1) + b"x" * OPENAI_BYTES,
    "operators": COMPLETION % (OPENAI_BYTES + 1) + b"x" * OPENAI_BYTES,
    "peers": struct.pack("!I", OPENAI_BYTES + 1) + b"x" * OPENAI_BYTES,
}


# Guards against the same crowd on the OpenAI side, at each of its ports.
@pytest.mark.parametrize("port", OPENAI_PAYLOADS)
def test_crowd_at_an_openai_box_leaves_it_within_its_memory(port, tmp_path):
    box = OpenAIBox(tmp_path, platform=f"memory_mb = {OPENAI_MEMORY_MB}")
    try:
        box.start()
        wait_until("the box serves", box.serves)
        with Crowd(box.addresses[port], OPENAI_PAYLOADS[port], CROWD) as crowd:
            crowd.send()
            assert box.serves()
            assert_sound(box, OPENAI_MEMORY_MB)
        assert box.serves()
        assert_sound(box, OPENAI_MEMORY_MB)
    finally:
        box.kill()
