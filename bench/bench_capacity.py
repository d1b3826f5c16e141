"""Cost slopes of the control plane and of single operations, for docs/CAPACITY.md."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from bench.capacity_calls import measure_calls
from bench.capacity_fleet import FleetSize
from bench.capacity_fleet import running_fleet
from bench.capacity_traffic import measure_traffic
from bench.fit import add_slope
from bench.report import Report

if TYPE_CHECKING:
    from bench.capacity_fleet import Fleet
    from bench.capacity_fleet import HostTotals

SETTLE_SECONDS = 9.0
WINDOW_SECONDS = 10.0
MAX_HOST_PROCESSES = 22
"""Bound on host processes in all fleets, so that concurrent fleets do not slow down."""
PLATFORM_CALLS_METRIC = "primroseford_platform_calls_total"
PEER_MESSAGES_METRIC = "primroseford_peer_messages_total"
PEER_BYTES_METRIC = "primroseford_peer_bytes_total"
BASE_SIZE = FleetSize()
AXES: dict[str, list[tuple[float, FleetSize, float]]] = {
    "hosts": [(n, replace(BASE_SIZE, hosts=n), 0.0) for n in (1, 3, 9, 18)],
    "groups": [(n, replace(BASE_SIZE, groups=n), 0.0) for n in (4, 16, 64)],
    "organisations": [
        (n, replace(BASE_SIZE, organisations=n), 0.0) for n in (8, 1900, 5700)
    ],
    "runners in the tables": [
        (n + 16, replace(BASE_SIZE, leaving=n), 0.0) for n in (0, 4000, 9984)
    ],
    "feeders of a host": [
        (n / 3, replace(BASE_SIZE, runners=n), 0.0) for n in (16, 48, 96)
    ],
    "active jobs": [(n, replace(BASE_SIZE, jobs=n), 0.0) for n in (0, 500, 2000)],
    "edits a second": [(n, BASE_SIZE, float(n)) for n in (0, 2, 8)],
}


async def edit_repeatedly(fleet: Fleet, rate: float) -> None:
    """Edit an organisation's limit until cancelled.

    :param rate: edits a second
    """
    name, limit = "organisation-1", {"rate": 5.0, "burst": 5.0, "weight": 1}
    stored = await fleet.client.get("organisations", name)
    while True:
        limit["rate"] += 1
        stored = await fleet.client.update("organisations", name, limit, stored.version)
        await asyncio.sleep(1 / rate)


def per_host(before: list[HostTotals], after: list[HostTotals], seconds: float) -> dict:
    """Return the mean figures of a host; those of platform calls are of the fleet."""
    pairs = list(zip(before, after, strict=True))

    def rate(name: str, **labels: str) -> float:
        increase = sum(
            b.total(name, **labels) - a.total(name, **labels) for a, b in pairs
        )
        return increase / seconds / len(pairs)

    figures = {
        "processor": sum(b.cpu - a.cpu for a, b in pairs) / seconds / len(pairs) * 100,
        "memory": sum(b.memory for _, b in pairs) / len(pairs) / 1e6,
        "peer messages": rate(PEER_MESSAGES_METRIC, direction="sent"),
        "peer bytes": rate(PEER_BYTES_METRIC, direction="sent"),
    }
    for verb in ("GET", "LIST", "WATCH", "PUT", "POST"):
        for purpose in ("lease", "other"):
            calls = rate(PLATFORM_CALLS_METRIC, verb=verb, purpose=purpose)
            figures[f"{purpose} {verb}"] = calls * len(pairs)
    return figures


async def measure_point(
    size: FleetSize,
    edits: float,
    host_slots: asyncio.Semaphore,
    acquire_lock: asyncio.Lock,
) -> dict:
    """Return the figures of a fleet without requests.

    :param edits: edits a second of the configuration
    :param host_slots: limits the number of host processes
    :param acquire_lock: held while a fleet acquires its slots
    """
    async with contextlib.AsyncExitStack() as stack:
        # The lock prevents a deadlock of two fleets that each hold some slots and
        # wait for the rest.
        async with acquire_lock:
            for _ in range(size.hosts):
                await stack.enter_async_context(host_slots)
        fleet = await stack.enter_async_context(running_fleet(size))
        editing = asyncio.create_task(edit_repeatedly(fleet, edits)) if edits else None
        await asyncio.sleep(SETTLE_SECONDS)
        before, started = await fleet.read_all(), time.perf_counter()
        await asyncio.sleep(WINDOW_SECONDS)
        after = await fleet.read_all()
        seconds = time.perf_counter() - started
        if editing is not None:
            editing.cancel()
        return per_host(before, after, seconds)


def add_axis(report: Report, axis: str, points: list[tuple[float, dict]]) -> None:
    """Add the slope of each figure over one axis; omit figures that are always zero."""
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
    """Add the control-plane cost of fleets without requests over each axis."""
    host_slots, acquire_lock = asyncio.Semaphore(MAX_HOST_PROCESSES), asyncio.Lock()
    point_keys = {(size, edits) for axis in AXES.values() for _, size, edits in axis}
    running = {}
    for key in sorted(point_keys, key=lambda key: -key[0].hosts):
        running[key] = asyncio.create_task(
            measure_point(*key, host_slots, acquire_lock)
        )
    await asyncio.gather(*running.values())
    for axis, points in AXES.items():
        results = [(x, running[size, edits].result()) for x, size, edits in points]
        add_axis(report, axis, results)


async def measure() -> Report:
    """Run the benchmark."""
    report = Report("capacity", "make bench ARGS=capacity")
    await measure_calls(report)
    await measure_idle(report)
    await measure_traffic(report)
    return report
