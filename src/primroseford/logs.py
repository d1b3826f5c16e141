"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import sys

import structlog


def configure_logging(level: str = "info") -> None:
    """Send all events to standard error as key=value lines.

    :param level: lowest level that is written, for example ``"info"``
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "event"], sort_keys=True
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        # Loggers are bound late, so that a later configuration takes effect.
        cache_logger_on_first_use=False,
    )
