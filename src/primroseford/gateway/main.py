"""Entry point of the gateway host's process."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.gateway.host import create_fleet_host
from primroseford.logs import configure_logging
from primroseford.platform.settings import PATH_VARIABLE
from primroseford.platform.settings import load_node_settings

EXIT_INVALID_SETTINGS = 2

log = structlog.get_logger()


async def serve(path: str) -> None:
    """Run a host until SIGTERM.

    :param path: settings file
    """
    gc.enable()
    host = create_fleet_host(load_node_settings(path))
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _validate_settings, path)
    await host.start()
    # Most objects allocated so far live as long as the process.
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
        log.error("changed settings are invalid", reason=str(error))
        return
    log.info("settings read again", host=settings.host)


def main() -> int:
    """Run the program and return its exit code."""
    configure_logging(stream=sys.stdout)
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        asyncio.run(serve(path))
    except PrimrosefordError as error:
        log.error("host not started", reason=str(error), settings=path)
        return EXIT_INVALID_SETTINGS
    return 0
