"""Costs of heartbeats, runner selection and rate limits on an entry host, by size."""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING

from bench.report import Report
from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.gen.messages.ttypes import JobProgress
from primroseford.gateway.gen.messages.ttypes import RunnerLoad as ReportedLoad
from primroseford.gateway.gen.messages.ttypes import Spending
from primroseford.gateway.members import Members
from primroseford.gateway.quota import Quotas
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.slot_allocator import SlotAllocator
from primroseford.gateway.tables import Organisation
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode

if TYPE_CHECKING:
    from collections.abc import Callable

COMMAND = 'make bench ARGS="entry"'
MIN_CPU_SECONDS = 0.3
"""Least processor time that each figure is measured over."""
RUNNERS = (5, 45, 450)
HOSTS = (9, 54, 540)


def microseconds(operation: Callable[[], object]) -> float:
    """Return the processor time of one call in microseconds."""
    count, started = 0, time.process_time()
    while time.process_time() - started < MIN_CPU_SECONDS:
        for _ in range(20):
            operation()
        count += 20
    return (time.process_time() - started) / count * 1e6


def create_heartbeat(host: str, runners: int, sequence: int = 1) -> Heartbeat:
    """Return a heartbeat of a host.

    :param runners: number of runners whose load the host reports
    """
    return Heartbeat(
        host,
        "incarnation01",
        "10.1.0.5:7660",
        "domain-a",
        sequence,
        False,
        7,
        0,
        [ReportedLoad(f"i-{n:010x}", 0, n % 2, False) for n in range(runners)],
        [Spending(f"organisation-{n}", 1000 + n, 1) for n in range(8)],
        [JobProgress(f"{n:016x}", 3, "caroni", "/notes/", 900) for n in range(2)],
        True,
        900,
        [],
    )


def create_allocator(runners: int) -> SlotAllocator:
    """Return the slot allocator of a host with one pool of ready runners."""
    allocator = SlotAllocator("domain-a", time.monotonic, Random(1))
    entries = {}
    for number in range(runners):
        key = RunnerKey(f"i-{number:010x}", 1)
        address = f"10.1.1.{number % 250}:80"
        entries[key.name] = RunnerEntry(
            key, "pool", address, "domain-a", 8, RunnerStage.READY, "v1"
        )
    allocator.set_runners(entries)
    return allocator


async def measure() -> Report:
    """Measure and return the figures."""
    report = Report("entry", COMMAND)
    for runners in RUNNERS:
        message = create_heartbeat("peer", min(runners, 10))
        data = encode(message)
        allocator = create_allocator(runners)
        for host in range(4):
            allocator.apply_heartbeat(
                create_heartbeat(f"peer-{host}", min(runners, 10))
            )

        def receive(data=data, allocator=allocator) -> None:
            allocator.apply_heartbeat(decode(Heartbeat, data))

        def reserve_and_release(allocator=allocator) -> None:
            runner = allocator._choose("pool", ())
            allocator.reserve(runner)
            allocator.release(runner)

        name = f"{runners} runners"
        report.add_figure(f"heartbeat taken, {name}", microseconds(receive), "us")
        report.add_figure(
            f"request placed, {name}", microseconds(reserve_and_release), "us"
        )
        report.add_figure(f"heartbeat sent, {name}", float(len(data)), "bytes")
    for hosts in HOSTS:
        members = Members("own")
        for host in range(hosts):
            members.receive(create_heartbeat(f"peer-{host}", 10), 0.0)
        report.add_figure(
            f"live hosts listed, {hosts} hosts",
            microseconds(lambda members=members: members.live(0.5)),
            "us",
        )
    quotas = Quotas(0.0)
    organisation = Organisation("caroni", 1e9, 1e9)
    report.add_figure(
        "request admitted",
        microseconds(lambda: quotas.try_admit(organisation, 5.0)),
        "us",
    )
    return report
