"""Entry point of the daemon: ``primrosefordd --settings FILE``."""

from __future__ import annotations

import argparse
import asyncio
import gc
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from primroseford import __version__
from primroseford.daemon.host import create_host
from primroseford.daemon.settings import SettingsError
from primroseford.daemon.settings import load_settings
from primroseford.logs import configure_logging

if TYPE_CHECKING:
    from primroseford.daemon.settings import Settings

EXIT_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Run a host until SIGTERM or SIGINT.

    :param arguments: command line without the program's name
    :returns: exit status
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
        return EXIT_SETTINGS
    configure_logging(settings.log_level)
    asyncio.run(run_host(settings))
    return 0


async def run_host(settings: Settings) -> None:
    """Run a host until a signal asks it to stop.

    :param settings: checked settings
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    host = create_host(settings)
    await host.start()
    # What lives as long as the process is left out of later full collections, which
    # stop the event loop.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await host.stop_gracefully()


if __name__ == "__main__":
    sys.exit(main())
