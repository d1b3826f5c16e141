"""Distribution of the configuration between in-process hosts over a fake network."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from typing import TYPE_CHECKING

import aiohttp
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from bench.report import Report
from primroseford.clock import boottime
from primroseford.configuration.service import create_configuration_service
from primroseford.configuration.tests.fakes import FakeMembership
from primroseford.configuration.tests.fakes import FakeNetwork
from primroseford.configuration.tests.fakes import host_info
from primroseford.configuration.tests.fakes import rank_hosts
from primroseford.platform.client import create_platform_client
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.serving import serve

if TYPE_CHECKING:
    from primroseford.configuration.gen import ttypes

NOTE = "9 hosts in one process, fake peer network, stand-in platform over loopback"
HOSTS = 9
EDIT_COUNT = 100
EDIT_PAUSE_SECONDS = 0.05
LOAD_SECONDS = 5.0
SETTLE_SECONDS = 3.0
"""Delay after startup, so that snapshots and the first pulls are not counted."""


class CountingNetwork(FakeNetwork):
    """Counts the bytes of messages in thrift's compact encoding."""

    def __init__(self):
        super().__init__()
        self.bytes = 0
        self.factory = TCompactProtocolAcceleratedFactory()

    def count_bytes(self, message: ttypes.Message | None) -> None:
        """Add the encoded size of a message to the total."""
        if message is not None:
            self.bytes += len(serialize(message, self.factory))

    async def deliver(self, sender, receiver, kind, message):
        """Deliver a message; count the bytes of the message and of its response."""
        self.count_bytes(message)
        response = await super().deliver(sender, receiver, kind, message)
        self.count_bytes(response)
        return response


class Fleet:
    """Hosts in this process, with the platform's stand-in."""

    def __init__(self, hosts: int, organisations: int, runners: int) -> None:
        infos = [host_info(f"h{n}", f"d{n % 3}") for n in range(hosts)]
        self.membership = FakeMembership(infos)
        self.network = CountingNetwork()
        self.platform = create_platform_stand_in()
        self.services = []
        for n in range(organisations):
            self.put("organisations", f"o{n}", {"rate": 5, "burst": 5})
            self.put("keys", f"k{n}", {"organisation": f"o{n}", "hash": "0" * 64})
        for n in range(0, runners, 1000):
            entries = [
                {
                    "name": f"r{n + i}",
                    "address": "10.0.0.1:80",
                    "failure_domain": "d0",
                }
                for i in range(min(1000, runners - n))
            ]
            self.put("pools", f"p{n}", {"runners": entries})

    def put(self, kind: str, name: str, spec: dict) -> int:
        """Create or update an object and return the platform's version."""
        state = self.platform.state
        existing = state.objects.get(kind, {}).get(name)
        metadata: dict[str, object] = {"name": name}
        if existing is None:
            state.create(kind, {"metadata": metadata, "spec": spec})
        else:
            metadata["revision"] = existing["metadata"]["revision"]
            state.update(kind, {"metadata": metadata, "spec": spec})
        self.platform.announce()
        return state.version

    async def start(self) -> None:
        """Start all hosts and wait until they have the configuration."""
        self.platform_server = await serve(create_platform_application(self.platform))
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)
        for info in self.membership.hosts():
            service = create_configuration_service(
                info.host_id,
                create_platform_client(self.platform_server.url, self.session),
                self.network.peer(info.host_id),
                self.membership,
                rank_hosts,
                boottime,
            )
            self.services.append(service)
            await service.start()
        await self.wait_until_in_force(self.platform.state.version)

    async def wait_until_in_force(self, version: int) -> None:
        """Wait until at least this version is in force on all hosts."""
        async with asyncio.timeout(60):
            while any(  # noqa: ASYNC110
                service.store.current().version < version for service in self.services
            ):
                await asyncio.sleep(0.001)

    async def stop(self) -> None:
        """Stop all hosts."""
        for service in self.services:
            await service.stop()
        await self.session.close()
        await self.platform_server.stop()


async def measure_delays(report: Report) -> None:
    """Measure the delay until edits and key withdrawals are in force on all hosts."""
    fleet = Fleet(HOSTS, 200, 100)
    await fleet.start()
    for name, kind, spec in (
        ("edit", "organisations", {"rate": 5, "burst": 5}),
        ("key withdrawal", "keys", {"organisation": "o1", "hash": "0" * 64}),
    ):
        delays = []
        for n in range(EDIT_COUNT):
            change = {"withdrawn": True} if kind == "keys" else {"rate": n + 1}
            object_name = f"k{n}" if kind == "keys" else "o1"
            started = time.perf_counter()
            await fleet.wait_until_in_force(fleet.put(kind, object_name, spec | change))
            delays.append(time.perf_counter() - started)
            await asyncio.sleep(EDIT_PAUSE_SECONDS)
        delays.sort()
        report.add_at_most(f"{name} in force, p99", delays[-2], "s", 2.0, NOTE)
        report.add_figure(f"{name} in force, p50", delays[len(delays) // 2], "s", NOTE)
    await fleet.stop()


async def measure_load(
    report: Report, label: str, hosts: int, organisations: int, runners: int, rate: int
) -> None:
    """Measure processor time, bytes, memory and platform calls at a rate of edits.

    :param label: prefix of the figures' names
    :param rate: edits a second
    """
    tracemalloc.start()
    fleet = Fleet(hosts, organisations, runners)
    before = tracemalloc.get_traced_memory()[0]
    await fleet.start()
    memory = (tracemalloc.get_traced_memory()[0] - before) / hosts
    tracemalloc.stop()
    await asyncio.sleep(SETTLE_SECONDS)
    calls, bytes_before = fleet.platform.state.calls.total(), fleet.network.bytes
    cpu, started = time.process_time(), time.perf_counter()
    edit_count = 0
    while (elapsed := time.perf_counter() - started) < LOAD_SECONDS:
        if rate and edit_count <= elapsed * rate:
            edit_count += 1
            fleet.put("organisations", "o1", {"rate": edit_count, "burst": 5})
        await asyncio.sleep(0.01)
    seconds = time.perf_counter() - started
    cpu_share = (time.process_time() - cpu) / seconds / hosts
    note = f"{hosts} hosts, {organisations} organisations, {runners} runners, {rate}/s"
    calls = (fleet.platform.state.calls.total() - calls) / seconds
    report.add_figure(
        f"{label}: processor per host", 100 * cpu_share, "% of a core", note
    )
    bytes_per_host = (fleet.network.bytes - bytes_before) / seconds / hosts
    report.add_figure(f"{label}: bytes per host", bytes_per_host, "B/s", note)
    report.add_figure(f"{label}: memory per host", memory / 1e6, "MB", note)
    report.add_figure(f"{label}: platform calls in all", calls, "1/s", note)
    await fleet.stop()


async def measure() -> Report:
    """Run the benchmark."""
    report = Report("configuration", "make bench ARGS=configuration")
    await measure_delays(report)
    base = (9, 200, 100, 1)
    await measure_load(report, "base", *base)
    await measure_load(report, "more hosts", 45, 200, 100, 1)
    await measure_load(report, "more organisations", 9, 5_700, 100, 1)
    await measure_load(report, "more runners", 9, 200, 10_000, 1)
    await measure_load(report, "more edits", 9, 200, 100, 20)
    return report
