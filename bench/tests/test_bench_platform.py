"""The benchmark of the platform client, with few calls."""

from __future__ import annotations

import aiohttp

from bench import bench_platform
from primroseford.platform.client import create_platform_client
from primroseford.platform.limiter import CallLimiter
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.serving import serve


async def test_bare_calls_read_another_path_than_the_client(monkeypatch):
    """Guards against a comparison with reads of an object that does not exist."""
    monkeypatch.setattr(bench_platform, "CALLS", 2 * bench_platform.CONCURRENCY)
    served = await serve(create_platform_application(create_platform_stand_in()))
    try:
        async with aiohttp.ClientSession() as session:
            limits = CallLimiter(bench_platform.UNLIMITED)
            client = create_platform_client(served.url, session, limits=limits)
            await bench_platform.run_calls(client, write=False)
            assert await bench_platform.run_bare_calls(served.url, session) > 0
    finally:
        await served.stop()
