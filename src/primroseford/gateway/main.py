"""Entry point of the gateway host's process."""

from __future__ import annotations

import asyncio
import ctypes
import gc
import os
import signal
import sys
from contextlib import suppress

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.gateway.host import create_fleet_host
from primroseford.logs import configure_logging
from primroseford.platform.settings import PATH_VARIABLE
from primroseford.platform.settings import load_node_settings

EXIT_INVALID_SETTINGS = 2
MALLOPT_OPTIONS = {-3: 128 * 1024, -1: 1024 * 1024}
"""Options of glibc's ``mallopt``, M_MMAP_THRESHOLD and M_TRIM_THRESHOLD, in bytes. By
default the threshold for allocations of their own mappings rises with the largest one
freed, so that freed bodies stay in a fragmented heap: a host retained 98 to 137 MB
after a crowd of complete bodies instead of 60 to 64 MB."""

log = structlog.get_logger()


def configure_allocator() -> None:
    """Return the memory of freed bodies to the system; no effect without glibc."""
    with suppress(AttributeError, OSError):
        mallopt = ctypes.CDLL(None).mallopt
        for option, value in MALLOPT_OPTIONS.items():
            mallopt(option, value)


async def serve(path: str) -> None:
    """Run a host until SIGTERM or SIGINT.

    :param path: settings file
    """
    # The start script disables the collector while modules are imported.
    gc.enable()
    host = create_fleet_host(load_node_settings(path))
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _validate_settings, path)
    await host.start()
    # Most objects allocated so far live as long as the process; later collections need
    # not scan them.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await host.drain()
    await host.stop()


def _validate_settings(path: str) -> None:
    """Validate the settings file on SIGHUP; changes take effect at the next start."""
    try:
        settings = load_node_settings(path)
    except PrimrosefordError as error:
        log.error("settings file is invalid", reason=str(error))
        return
    log.info(
        "settings file is valid; it takes effect at the next start", host=settings.host
    )


def main() -> int:
    """Run the program and return its exit code."""
    configure_allocator()
    configure_logging(stream=sys.stdout)
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        asyncio.run(serve(path))
    except PrimrosefordError as error:
        log.error("host not started", reason=str(error), settings=path)
        return EXIT_INVALID_SETTINGS
    return 0
