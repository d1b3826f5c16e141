"""Structured logging: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import os
import sys
from collections import deque
from typing import TextIO

import structlog

MAX_PENDING_LINES = 2_000
"""Lines buffered for a slow reader, about 600 KB."""
RESERVED_LINES = 500
"""Of these, lines reserved for warnings, errors and refusals, dropped last."""
PRIORITY_MARKERS = ("level='warning'", "level='error'", "event='request refused'")


class BoundedOutput:
    """Writes lines to a file descriptor without blocking on a slow reader.

    Lines that cannot be written at once are buffered. When the buffer is full, lines
    are dropped and counted, and the count is logged once the buffer has been written.

    :param descriptor: file descriptor, set to non-blocking mode
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write or buffer a line, or drop it if the buffer is full."""
        line = text.encode(errors="replace")
        if not self.pending and not self.dropped_lines:
            self._write_line(line)
            return
        prioritised = any(mark in text for mark in PRIORITY_MARKERS)
        bound = MAX_PENDING_LINES - (0 if prioritised else RESERVED_LINES)
        if len(self.pending) >= bound:
            self.dropped_lines += 1
        else:
            self.pending.append(line)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self.pending:
            if not self._write_line(self.pending.popleft()):
                return
        if self.dropped_lines:
            dropped, self.dropped_lines = self.dropped_lines, 0
            self._write_line(f"event='log lines left out' count={dropped}\n".encode())

    def _write_line(self, line: bytes) -> bool:
        try:
            written = os.write(self.descriptor, line)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe; no other output could report that.
            return False
        if written < len(line):
            self.pending.appendleft(line[written:])
            return False
        return True


def configure_logging(level: str = "info", stream: TextIO | None = None) -> None:
    """Write all log events to a stream as key=value lines.

    :param level: lowest level that is logged, for example ``"info"``
    :param stream: stream whose file descriptor is written without blocking; by
        default standard error, with blocking writes
    """
    level_number = logging.getLevelNamesMapping()[level.upper()]
    output = sys.stderr if stream is None else BoundedOutput(stream.fileno())
    shared_processors = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    renderer = structlog.processors.KeyValueRenderer(
        key_order=["timestamp", "level", "event"], sort_keys=True
    )
    # Libraries report crashed services and tasks through the logging module.
    handler = logging.StreamHandler(output)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                renderer,
            ],
            foreign_pre_chain=[structlog.stdlib.add_logger_name, *shared_processors],
        )
    )
    logging.basicConfig(level=logging.ERROR, handlers=[handler], force=True)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            *shared_processors,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=structlog.WriteLoggerFactory(output),
        # Without caching, module-level loggers follow a later configuration.
        cache_logger_on_first_use=False,
    )
