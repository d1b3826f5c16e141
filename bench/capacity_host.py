"""One host of the capacity benchmark in its own process.

``python -m bench.capacity_host SETTINGS [PROFILE]`` prints its addresses as JSON and
runs until its standard input is closed. It writes a profile to the file ``PROFILE``,
if one is given.
"""

from __future__ import annotations

import asyncio
import cProfile
import json
import sys
from pathlib import Path

from primroseford.daemon.host import create_host
from primroseford.daemon.host import wait_until_ready
from primroseford.daemon.settings import load_settings
from primroseford.logs import configure_logging


async def run(settings: Path, profile: str | None) -> None:
    """Run a host until standard input is closed."""
    host = create_host(load_settings(settings))
    await host.start()
    await wait_until_ready(host)
    addresses = {"callers": host.address, "operators": host.operator_address}
    print(json.dumps(addresses), flush=True)
    profiler = cProfile.Profile() if profile else None
    if profiler:
        profiler.enable()
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    if profiler:
        profiler.disable()
        profiler.dump_stats(profile)
    await host.stop()


if __name__ == "__main__":
    configure_logging("warning")
    asyncio.run(run(Path(sys.argv[1]), sys.argv[2] if len(sys.argv) > 2 else None))
