"""Costs of the platform client, its watch, and leases, against the stand-in.

The stand-in runs in its own process. Client costs are CPU time of this process, so
that the stand-in's speed does not affect them.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp

from bench.report import Report
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.lease.keeper import create_lease_keeper
from primroseford.platform.client import create_platform_client
from primroseford.platform.limiter import CallLimiter
from primroseford.platform.limiter import CallLimits
from primroseford.platform.objects import EventType
from primroseford.platform.reflector import create_reflector

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from primroseford.platform.client import PlatformClient
    from primroseford.platform.view import Delta

COMMAND = 'make bench ARGS="platform"'
CALLS = 4_000
CONCURRENCY = 16
EVENTS = 4_000
LEASE_SECONDS = 10.0
SPEC = {"rate": 100, "burst": 100, "weight": 1}
UNLIMITED = CallLimits(rate=1e9, burst=1e9)
MAX_STORE_CALLS_PER_SECOND = 300
"""Lower bound of the "several hundred" writes a second that the store accepts."""


@asynccontextmanager
async def stand_in() -> AsyncIterator[str]:
    """Run the platform's stand-in in its own process and yield its URL."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "primroseford.standins"),
        *("--listen", "127.0.0.1:0", "--kind", "platform"),
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        line = await process.stdout.readline()
        yield line.decode().removeprefix("listening on ").strip()
    finally:
        process.terminate()
        await process.wait()


async def counted_calls(url: str, session: aiohttp.ClientSession) -> int:
    """Return the number of calls that the stand-in has received."""
    async with session.get(url + "/control/counts") as response:
        return sum((await response.json())["calls"].values())


async def run_calls(client: PlatformClient, write: bool) -> tuple[float, float]:
    """Return (wall seconds, CPU seconds) of ``CALLS`` calls.

    :param write: measure conditional updates instead of reads
    """

    async def run_worker(number: int) -> None:
        version = (await client.create("bench", f"o{write}-{number}", SPEC)).version
        for _ in range(CALLS // CONCURRENCY):
            name = f"o{write}-{number}"
            if write:
                version = (await client.update("bench", name, SPEC, version)).version
            else:
                await client.get("bench", name)

    started = time.perf_counter(), time.process_time()
    await asyncio.gather(*(run_worker(number) for number in range(CONCURRENCY)))
    return time.perf_counter() - started[0], time.process_time() - started[1]


async def run_bare_calls(url: str, session: aiohttp.ClientSession) -> float:
    """Return the CPU seconds of the same reads with plain aiohttp."""
    path = f"{url}/objects/bench/oFalse-0"

    async def run_worker() -> None:
        for _ in range(CALLS // CONCURRENCY):
            async with session.get(path) as response:
                response.raise_for_status()
                json.loads(await response.read())

    started = time.process_time()
    await asyncio.gather(*(run_worker() for _ in range(CONCURRENCY)))
    return time.process_time() - started


async def measure_calls(
    report: Report, url: str, session: aiohttp.ClientSession, client: PlatformClient
) -> None:
    """Add the cost of reads and conditional updates."""
    note = f"{CALLS} calls, {CONCURRENCY} at a time"
    read_wall, read_cpu = await run_calls(client, write=False)
    bare_cpu = await run_bare_calls(url, session)
    write_wall, write_cpu = await run_calls(client, write=True)
    report.add_figure("reads a second of client CPU", CALLS / read_cpu, "1/s", note)
    report.add_figure(
        "bare aiohttp reads a second of CPU", CALLS / bare_cpu, "1/s", note
    )
    report.add_figure("client read cost over bare", read_cpu / bare_cpu, "ratio", note)
    report.add_figure("updates a second of client CPU", CALLS / write_cpu, "1/s", note)
    report.add_figure("reads a second, wall", CALLS / read_wall, "1/s", note)
    report.add_figure("updates a second, wall", CALLS / write_wall, "1/s", note)


async def measure_watch(report: Report, client: PlatformClient) -> None:
    """Add the CPU time of a watch event, measured on a backlog of events."""
    received = 0
    done = asyncio.Event()

    def count(delta: Delta) -> None:
        nonlocal received
        received += sum(event.type is EventType.MODIFIED for event in delta.events)
        if received >= EVENTS:
            done.set()

    item = await client.create("watched", "a", SPEC)
    reflector = create_reflector(client, "watched", count, purpose="bench")
    # The view is reset to the version before the updates, so that the watch delivers
    # all of them.
    first = await client.list("watched")
    for _ in range(EVENTS):
        item = await client.update("watched", "a", SPEC, item.version)
    reflector.view.version = first.version
    reflector.view.objects = {found.name: found for found in first.items}
    started = time.process_time()
    watching = asyncio.create_task(reflector.watch_once())
    await asyncio.wait_for(done.wait(), 60)
    cpu = time.process_time() - started
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)
    note = f"backlog of {EVENTS} events of one object"
    report.add_figure("CPU of a watch event", cpu / EVENTS * 1e6, "us", note)


async def measure_leases(
    report: Report, url: str, session: aiohttp.ClientSession, count: int
) -> None:
    """Add the store calls a second for a number of leases that one host holds."""
    client = create_platform_client(url, session, limits=CallLimiter(UNLIMITED))
    keeper = create_lease_keeper(client, HostId("host-1"), Incarnation(str(count)))
    await keeper.start()
    names = [f"bench-{count}-{number}" for number in range(count)]
    leases = await asyncio.gather(*(keeper.acquire(name) for name in names))
    before, cpu = await counted_calls(url, session), time.process_time()
    started = time.perf_counter()
    await asyncio.sleep(LEASE_SECONDS)
    elapsed = time.perf_counter() - started
    calls = await counted_calls(url, session) - before
    cpu = time.process_time() - cpu
    held = sum(lease is not None and lease.end_reason is None for lease in leases)
    await keeper.stop()
    note = f"{held} of {count} still held after {elapsed:.1f} s"
    rate = calls / elapsed
    report.add_at_most(
        f"store calls a second of {count} leases",
        rate,
        "1/s",
        MAX_STORE_CALLS_PER_SECOND,
        note,
    )
    report.add_figure(
        f"CPU of {count} leases", cpu / elapsed * 100, "% of a core", note
    )


async def measure() -> Report:
    """Run the benchmark."""
    report = Report("platform", COMMAND)
    async with stand_in() as url, aiohttp.ClientSession() as session:
        limiter = CallLimiter(UNLIMITED)
        client = create_platform_client(url, session, limits=limiter)
        await measure_calls(report, url, session, client)
        await measure_watch(report, client)
        for count in (16, 64):
            await measure_leases(report, url, session, count)
    return report
