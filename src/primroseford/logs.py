"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import os
import sys
from collections import deque
from typing import TextIO

import structlog

MAX_PENDING_LINES = 2_000
"""Lines that wait for a reader who is slow, about 600 KB."""
RESERVED_LINES = 500
"""Part of these for warnings and refusals, which are the last to be left out."""
URGENT_MARKS = ("level='warning'", "level='error'", "event='request refused'")


class BoundedOutput:
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines that the descriptor does not take wait; beyond a bound they are left out and
    counted, and the count is written once lines are taken again.

    :param descriptor: file descriptor, which is made non-blocking
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or keep it for later."""
        line = text.encode(errors="replace")
        if not self.pending and not self.dropped_lines:
            self._send(line)
            return
        urgent = any(mark in text for mark in URGENT_MARKS)
        bound = MAX_PENDING_LINES - (0 if urgent else RESERVED_LINES)
        if len(self.pending) >= bound:
            self.dropped_lines += 1
        else:
            self.pending.append(line)
        self.flush()

    def flush(self) -> None:
        """Write waiting lines while the descriptor takes them."""
        while self.pending:
            if not self._send(self.pending.popleft()):
                return
        if self.dropped_lines:
            count, self.dropped_lines = self.dropped_lines, 0
            self._send(f"event='log lines left out' count={count}\n".encode())

    def _send(self, line: bytes) -> bool:
        try:
            written = os.write(self.descriptor, line)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; there is nowhere to tell it.
            return False
        if written < len(line):
            self.pending.appendleft(line[written:])
            return False
        return True


def configure_logging(level: str = "info", stream: TextIO | None = None) -> None:
    """Send all events to a stream as key=value lines.

    :param level: lowest level that is written, for example ``"info"``
    :param stream: a stream with a descriptor that is written without blocking;
        standard error, written directly, if nothing
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    output = sys.stderr if stream is None else BoundedOutput(stream.fileno())
    fields = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    render = structlog.processors.KeyValueRenderer(
        key_order=["timestamp", "level", "event"], sort_keys=True
    )
    # Libraries report crashes of services and tasks through the standard module.
    handler = logging.StreamHandler(output)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                render,
            ],
            foreign_pre_chain=[structlog.stdlib.add_logger_name, *fields],
        )
    )
    logging.basicConfig(level=logging.ERROR, handlers=[handler], force=True)
    structlog.configure(
        processors=[structlog.contextvars.merge_contextvars, *fields, render],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(output),
        # Loggers are bound late, so that a later configuration takes effect.
        cache_logger_on_first_use=False,
    )
