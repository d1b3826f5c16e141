from __future__ import annotations

import logging
import os

import pytest

from primroseford.logs import configure_logging


@pytest.fixture
def read_line():
    """A function that returns the one line that was written since."""
    reading, writing = os.pipe()
    with os.fdopen(reading, "rb") as reader, os.fdopen(writing, "w") as writer:
        configure_logging(stream=writer)

        def read() -> str:
            return reader.raw.read(100_000).decode()

        yield read
    logging.basicConfig(level=logging.WARNING, force=True)


def test_failure_in_a_library_is_one_line(read_line):
    """Guards against tracebacks over many lines among key=value lines."""
    try:
        raise ValueError("no such thing")
    except ValueError:
        logging.getLogger("asyncio").exception("callback failed: %s", "x")
    line = read_line()
    assert line.count("\n") == 1
    assert "level='error' event='callback failed: x'" in line
    assert "logger='asyncio'" in line and "ValueError: no such thing" in line
