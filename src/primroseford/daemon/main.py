"""Entry point of the daemon: ``primrosefordd --settings FILE``."""

from __future__ import annotations

import argparse
import asyncio
import gc
import math
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from primroseford import __version__
from primroseford.daemon.host import create_host
from primroseford.daemon.host import wait_until_ready
from primroseford.daemon.settings import SettingsError
from primroseford.daemon.settings import load_settings
from primroseford.errors import PrimrosefordError
from primroseford.logs import configure_logging

if TYPE_CHECKING:
    from primroseford.daemon.host import Host
    from primroseford.daemon.settings import Settings

EXIT_START_FAILED = 1
EXIT_SETTINGS_INVALID = 2
GC_FIRST_THRESHOLD = 5_000
"""Allocations between collections of the youngest generation. A request creates few
reference cycles, and Python's default of 700 collects after every few requests."""


def main(arguments: list[str] | None = None) -> int:
    """Run a host until SIGTERM or SIGINT.

    :param arguments: command-line arguments without the program's name
    :returns: exit code
    """
    parser = argparse.ArgumentParser(
        prog="primrosefordd", description="Serve online and batch inference."
    )
    parser.add_argument("--settings", type=Path, required=True, help="YAML file")
    parser.add_argument("--version", action="version", version=__version__)
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    configure_logging(settings.log_level)
    try:
        asyncio.run(run_host(settings))
    except PrimrosefordError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    except OSError as error:
        print(f"the host cannot start: {error}", file=sys.stderr)
        return EXIT_START_FAILED
    return 0


async def run_host(settings: Settings) -> None:
    """Run a host until SIGTERM or SIGINT, then stop it gracefully.

    :param settings: validated settings
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    host = create_host(settings)
    try:
        await host.start()
    except BaseException:
        await host.stop()
        raise
    freeze_task = asyncio.create_task(freeze_startup_objects(host))
    await stop_requested.wait()
    freeze_task.cancel()
    await host.stop_gracefully()


async def freeze_startup_objects(host: Host) -> None:
    """Exempt the objects created at startup from garbage collection.

    A full collection that traverses the modules and the first configuration blocks
    the event loop, and so all requests, for about 40 ms.

    :param host: a started host
    """
    await wait_until_ready(host, math.inf)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_FIRST_THRESHOLD, *gc.get_threshold()[1:])


if __name__ == "__main__":
    sys.exit(main())
