"""A reader of the logs that stands still neither blocks the process nor fills its memory."""

import contextlib
import json
import os

from gladedrum.telemetry.logs import BoundedLines


def line(number):
    return json.dumps({"number": number, "text": "x" * 200}) + "\n"


def test_a_full_pipe_neither_blocks_nor_tears_lines_and_what_is_dropped_is_counted():
    read_end, write_end = os.pipe()
    stream = BoundedLines(write_end, most=50)
    for number in range(2000):
        stream.write(line(number))
        stream.flush()
    got = b""
    os.set_blocking(read_end, False)
    for _ in range(100):
        with contextlib.suppress(BlockingIOError):
            got += os.read(read_end, 65_536)
        stream.write(line(9999))
        stream.flush()
    rows = [json.loads(row) for row in got.splitlines()[:-1]]
    numbers = [row["number"] for row in rows if "number" in row]
    assert numbers == sorted(numbers)
    dropped = sum(row.get("count", 0) for row in rows)
    assert dropped > 1000
    assert len({n for n in numbers if n < 2000}) + dropped >= 2000


def test_a_closed_reader_is_no_error():
    read_end, write_end = os.pipe()
    os.close(read_end)
    stream = BoundedLines(write_end)
    stream.write(line(1))
    stream.flush()
