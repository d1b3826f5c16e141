"""Costs of single operations, as slopes over the number of operations."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

import aiohttp

from bench.bench_platform import UNLIMITED
from bench.capacity_fleet import MODEL
from bench.capacity_fleet import create_pool
from bench.capacity_fleet import stand_in
from bench.fit import add_slope
from primroseford.clock import boottime
from primroseford.configuration import relay
from primroseford.configuration.objects import Change
from primroseford.configuration.objects import Delta
from primroseford.configuration.store import ConfigurationStore
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.lease.keeper import create_lease_keeper
from primroseford.limits import owner as owners
from primroseford.limits.bucket import Limit
from primroseford.limits.gen.messages.ttypes import Demand
from primroseford.limits.gen.messages.ttypes import DemandRequest
from primroseford.membership.gen.messages.ttypes import DomainView
from primroseford.membership.gen.messages.ttypes import Heartbeat
from primroseford.membership.gen.messages.ttypes import View
from primroseford.membership.messages import member_of
from primroseford.membership.rendezvous import rank_hosts
from primroseford.membership.service import create_membership
from primroseford.membership.state import HostInfo
from primroseford.metrics import Metrics
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode
from primroseford.platform.client import create_platform_client
from primroseford.platform.limiter import CallLimiter
from primroseford.platform.objects import PlatformObject
from primroseford.routing.poller import create_load_poller
from primroseford.routing.tracker import create_runner_tracker

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from bench.report import Report

RUN_LENGTHS = (500, 1000, 2000)
LEASE_SECONDS = 6.0
POLL_ROUNDS = 10


def create_host_info(number: int) -> HostInfo:
    """Return the description of a host in one of 21 failure domains."""
    domain = FailureDomainId(f"d{number % 21}")
    return HostInfo(HostId(f"h{number:04}"), Incarnation("1"), "127.0.0.1:1", domain)


class NullNetwork:
    """A peer network that sends and receives no messages."""

    def register(self, *_: object) -> None:
        """Ignore the handler."""


async def measure_slope(
    report: Report, name: str, step: Callable[[int], Awaitable[None]], note: str = ""
) -> None:
    """Add the processor time of one step, fitted to runs of several lengths."""
    points = []
    for count in RUN_LENGTHS:
        started = time.process_time()
        for number in range(count):
            await step(number)
        points.append((float(count), time.process_time() - started))
    add_slope(report, name, points, "us", 1e6, note)


async def measure_heartbeat(report: Report) -> None:
    """Add the cost of a heartbeat that changes no state, including its encoding."""
    membership = create_membership(create_host_info(0), NullNetwork(), None, boottime)
    sender = create_host_info(21)
    member = member_of(sender, 0)

    async def step(_: int) -> None:
        heartbeat = Heartbeat(sender.failure_domain, member, membership.digest, True)
        received = decode(Heartbeat, encode(heartbeat))
        encode(await membership.answer(sender.host_id, received))

    await step(0)
    await measure_slope(report, "heartbeat", step, "decoded, answered and encoded")


async def measure_grant(report: Report) -> None:
    """Add the owner's cost of a demand that it answers with one grant."""
    state = owners.create_empty_state(0, 1, 0.0)
    fallback_hosts = owners.FallbackHosts(frozenset({HostId("h")}), 1)
    limit = Limit(1e6, 1e6)

    async def step(number: int) -> None:
        step.sequence += 1
        demand = Demand("organisation", False, 10, 1, [])
        request = DemandRequest(
            0, step.sequence, Incarnation("1"), 1, step.sequence - 1, [demand]
        )
        received = decode(DemandRequest, encode(request))
        now = 10.0 + step.sequence / 1000
        encode(
            owners.answer(
                state, HostId("h"), received, lambda _: limit, fallback_hosts, now
            )
        )

    step.sequence = 0
    await measure_slope(report, "token grant", step, "decoded, answered and encoded")


async def measure_change(report: Report) -> None:
    """Add the cost to receive a change, apply it and push it to other hosts."""
    store = ConfigurationStore()
    for n in range(5700):
        content = json.dumps({"spec": {"rate": 5, "burst": 5}}).encode()
        store.apply(n + 1, [Change(n + 1, "organisations", f"o{n}", content)])

    async def step(_: int) -> None:
        step.version += 1
        content = json.dumps({"spec": {"rate": 6, "burst": 5}}).encode()
        change = Change(step.version, "organisations", "o1", content)
        delta = Delta(step.version - 1, step.version, (change,))
        push = relay.decode_delta(relay.encode_delta(delta))
        store.apply(push.end, push.changes)

    step.version = 5700
    note = "encoded, decoded and put in force beside 5,700 organisations"
    await measure_slope(report, "relayed change", step, note)


async def measure_leases(report: Report, url: str) -> None:
    """Add the cost of a lease renewal, fitted to several numbers of leases."""
    points = []
    async with aiohttp.ClientSession() as session:
        client = create_platform_client(url, session, limits=CallLimiter(UNLIMITED))
        for count in (4, 16, 64):
            name = Incarnation(str(count))
            keeper = create_lease_keeper(client, HostId("host-1"), name)
            await keeper.start()
            for n in range(count):
                await keeper.acquire(f"bench-{count}-{n}")
            started = time.process_time()
            await asyncio.sleep(LEASE_SECONDS)
            points.append((count, (time.process_time() - started) / LEASE_SECONDS))
            await keeper.stop()
    note = "processor share over leases held, each renewed every second"
    add_slope(report, "lease renewal", points, "us", 1e6, note)


async def measure_polls(report: Report, url: str) -> None:
    """Add the cost of a load poll, fitted to several numbers of runners."""
    tracker = create_runner_tracker(HostId("h"), FailureDomainId("d"), boottime)
    store = ConfigurationStore()
    address = url.removeprefix("http://")
    objects = [
        PlatformObject(
            "pools", f"p{n}", 1, create_pool(f"p{n}", 16, address, "ready"), {}
        )
        for n in range(10)
    ]
    store.replace(1, objects)
    async with aiohttp.ClientSession() as session:
        poller = create_load_poller(store, tracker, session, Metrics())
        views = poller.views_in_use()
        await poller.poll_round(views, False)
        points = []
        for count in (16, 64, 160):
            started = time.process_time()
            for _ in range(POLL_ROUNDS):
                await poller.poll_round(views[:count], False)
            points.append((count, (time.process_time() - started) / POLL_ROUNDS))
    if poller.failures._value.get():
        raise RuntimeError("some load polls failed")
    add_slope(report, "load poll", points, "us", 1e6, f"model {MODEL}")


async def measure_ranking(report: Report) -> None:
    """Add the cost of rendezvous hashing of one key, by the number of hosts."""
    points = []
    for count in (100, 500, 1500):
        hosts = [create_host_info(n) for n in range(count)]
        started = time.process_time()
        for n in range(100):
            rank_hosts(f"runner-{n}", hosts)
        points.append((count, (time.process_time() - started) / 100))
    add_slope(report, "ranking of a key, for each host", points, "us", 1e6)


def measure_view_size(report: Report) -> None:
    """Add the size of the membership's answer to a host with another digest."""
    points = []
    for count in (100, 500, 1500):
        hosts = [create_host_info(n) for n in range(count)]
        names = sorted({info.failure_domain for info in hosts})
        tables = [
            DomainView(d, 500, [member_of(h, 500) for h in hosts[n::21]])
            for n, d in enumerate(names)
        ]
        ages = dict.fromkeys(names, 500)
        full_view = View(1, ages, tables, [], names[0], member_of(hosts[0], 0))
        points.append((count, len(encode(full_view))))
    add_slope(report, "membership answer, for each host", points, "bytes")
    unchanged_view = View(1, ages, [], [], names[0], member_of(hosts[0], 0))
    note = "21 failure domains, nothing new"
    report.add_figure(
        "membership answer without news", len(encode(unchanged_view)), "bytes", note
    )


async def measure_calls(report: Report) -> None:
    """Add the costs of all single operations."""
    await measure_heartbeat(report)
    await measure_grant(report)
    await measure_change(report)
    await measure_ranking(report)
    measure_view_size(report)
    async with stand_in("platform") as platform, stand_in("engine") as engine:
        await measure_leases(report, platform)
        await measure_polls(report, engine)
