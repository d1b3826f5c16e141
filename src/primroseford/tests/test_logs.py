from __future__ import annotations

import logging
import os

import pytest

from primroseford.logs import configure_logging


@pytest.fixture
def read_output():
    """A function that returns the log output written since the last call."""
    read_descriptor, write_descriptor = os.pipe()
    with (
        os.fdopen(read_descriptor, "rb") as reader,
        os.fdopen(write_descriptor, "w") as writer,
    ):
        configure_logging(stream=writer)

        def read() -> str:
            return reader.raw.read(100_000).decode()

        yield read
    logging.basicConfig(level=logging.WARNING, force=True)


def test_failure_in_a_library_is_one_line(read_output):
    """Guards against multi-line tracebacks among key=value lines."""
    try:
        raise ValueError("no such thing")
    except ValueError:
        logging.getLogger("asyncio").exception("callback failed: %s", "x")
    output = read_output()
    assert output.count("\n") == 1
    assert "level='error' event='callback failed: x'" in output
    assert "logger='asyncio'" in output and "ValueError: no such thing" in output
