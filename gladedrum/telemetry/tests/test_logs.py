"""A stalled reader of the logs neither blocks the process nor fills its memory."""

import contextlib
import json
import os

from gladedrum.telemetry.logs import BoundedLineStream


def line(number):
    return json.dumps({"number": number, "text": "x" * 200}) + "\n"


def test_full_pipe_neither_blocks_nor_truncates_lines_and_counts_dropped_ones():
    read_end, write_end = os.pipe()
    stream = BoundedLineStream(write_end, max_lines=50)
    for number in range(2000):
        stream.write(line(number))
        stream.flush()
    received = b""
    os.set_blocking(read_end, False)
    for _ in range(100):
        with contextlib.suppress(BlockingIOError):
            received += os.read(read_end, 65_536)
        stream.write(line(9999))
        stream.flush()
    rows = [json.loads(row) for row in received.splitlines()[:-1]]
    numbers = [row["number"] for row in rows if "number" in row]
    assert numbers == sorted(numbers)
    dropped = sum(row.get("count", 0) for row in rows)
    assert dropped > 1000
    assert len({n for n in numbers if n < 2000}) + dropped >= 2000


def test_closed_reader_is_not_an_error():
    read_end, write_end = os.pipe()
    os.close(read_end)
    stream = BoundedLineStream(write_end)
    stream.write(line(1))
    stream.flush()
