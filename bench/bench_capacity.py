"""Slopes of the control cost and of single operations, for docs/CAPACITY.md."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from bench.capacity_calls import measure_calls
from bench.capacity_fleet import Size
from bench.capacity_fleet import running_fleet
from bench.capacity_traffic import measure_traffic
from bench.fit import add_slope
from bench.report import Report

if TYPE_CHECKING:
    from bench.capacity_fleet import Fleet
    from bench.capacity_fleet import Reading

SETTLE_SECONDS = 9.0
WINDOW_SECONDS = 10.0
MAX_HOSTS = 22
"""Host processes at a time, so that runs side by side do not disturb each other."""
CALLS = "primroseford_platform_calls_total"
MESSAGES = "primroseford_peer_messages_total"
BYTES = "primroseford_peer_bytes_total"
BASE = Size()
AXES: dict[str, list[tuple[float, Size, float]]] = {
    "hosts": [(n, replace(BASE, hosts=n), 0.0) for n in (1, 3, 9, 18)],
    "groups": [(n, replace(BASE, groups=n), 0.0) for n in (4, 16, 64)],
    "organisations": [
        (n, replace(BASE, organisations=n), 0.0) for n in (8, 1900, 5700)
    ],
    "runners in the tables": [
        (n + 16, replace(BASE, leaving=n), 0.0) for n in (0, 4000, 9984)
    ],
    "feeders of a host": [(n / 3, replace(BASE, runners=n), 0.0) for n in (16, 48, 96)],
    "active jobs": [(n, replace(BASE, jobs=n), 0.0) for n in (0, 500, 2000)],
    "edits a second": [(n, BASE, float(n)) for n in (0, 2, 8)],
}


async def edit(fleet: Fleet, rate: float) -> None:
    """Edit an organisation again and again."""
    name, limit = "organisation-1", {"rate": 5.0, "burst": 5.0, "weight": 1}
    stored = await fleet.client.get("organisations", name)
    while True:
        limit["rate"] += 1
        stored = await fleet.client.update("organisations", name, limit, stored.version)
        await asyncio.sleep(1 / rate)


def per_host(before: list[Reading], after: list[Reading], seconds: float) -> dict:
    """Return mean figures of a host."""
    pairs = list(zip(before, after, strict=True))

    def rate(name: str, **labels: str) -> float:
        grown = sum(b.total(name, **labels) - a.total(name, **labels) for a, b in pairs)
        return grown / seconds / len(pairs)

    found = {
        "processor": sum(b.cpu - a.cpu for a, b in pairs) / seconds / len(pairs) * 100,
        "memory": sum(b.memory for _, b in pairs) / len(pairs) / 1e6,
        "peer messages": rate(MESSAGES, direction="sent"),
        "peer bytes": rate(BYTES, direction="sent"),
    }
    for verb in ("GET", "LIST", "WATCH", "PUT", "POST"):
        for purpose in ("lease", "other"):
            calls = rate(CALLS, verb=verb, purpose=purpose)
            found[f"{purpose} {verb}"] = calls * len(pairs)
    return found


async def run_point(
    size: Size, edits: float, slots: asyncio.Semaphore, gate: asyncio.Lock
) -> dict:
    """Return the figures of an idle fleet of one size."""
    async with contextlib.AsyncExitStack() as stack:
        # One fleet takes slots at a time, so that no two wait for each other's.
        async with gate:
            for _ in range(size.hosts):
                await stack.enter_async_context(slots)
        fleet = await stack.enter_async_context(running_fleet(size))
        editing = asyncio.create_task(edit(fleet, edits)) if edits else None
        await asyncio.sleep(SETTLE_SECONDS)
        before, started = await fleet.read_all(), time.perf_counter()
        await asyncio.sleep(WINDOW_SECONDS)
        after = await fleet.read_all()
        seconds = time.perf_counter() - started
        if editing is not None:
            editing.cancel()
        return per_host(before, after, seconds)


def add_axis(report: Report, axis: str, points: list[tuple[float, dict]]) -> None:
    """Add the slopes of one axis."""
    units = {
        "processor": "% of a core",
        "memory": "MB",
        "peer messages": "1/s",
        "peer bytes": "B/s",
    }
    for figure in points[0][1]:
        values = [(x, found[figure]) for x, found in points]
        if not any(y for _, y in values):
            continue
        unit = units.get(figure, "calls/s, all hosts")
        add_slope(report, f"{axis}: {figure}", values, f"{unit} each")


async def measure_idle(report: Report) -> None:
    """Add the control cost of idle fleets over each axis."""
    slots, gate = asyncio.Semaphore(MAX_HOSTS), asyncio.Lock()
    sizes = {(size, edits) for axis in AXES.values() for _, size, edits in axis}
    running = {}
    for key in sorted(sizes, key=lambda key: -key[0].hosts):
        running[key] = asyncio.create_task(run_point(*key, slots, gate))
    await asyncio.gather(*running.values())
    for axis, points in AXES.items():
        found = [(x, running[size, edits].result()) for x, size, edits in points]
        add_axis(report, axis, found)


async def measure() -> Report:
    """Run the benchmark."""
    report = Report("capacity", "make bench ARGS=capacity")
    await measure_calls(report)
    await measure_idle(report)
    await measure_traffic(report)
    return report
