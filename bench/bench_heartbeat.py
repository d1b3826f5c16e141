"""Processor time that a host of a large fleet spends on the other hosts' heartbeats."""

from __future__ import annotations

import itertools
import logging
import time
from random import Random
from typing import TYPE_CHECKING

import structlog

from bench.report import Report
from primroseford.clock import ManualClock
from primroseford.gateway.gen.messages.ttypes import Bundle
from primroseford.gateway.placement import heartbeat_interval
from primroseford.gateway.relay import RELAY_SECONDS
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.ids import JobId
from primroseford.jobs.state import JobReport
from primroseford.peer.codec import encode
from primroseford.platform.configuration import decode_tables
from primroseford.proof.heartbeats import IdleJobs
from primroseford.proof.heartbeats import create_heartbeats
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import configuration

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseford.gateway.heartbeat import HeartbeatService

COMMAND = 'make bench ARGS="heartbeat"'
HOSTS, DOMAINS, RUNNERS, ORGANISATIONS = 165, 5, 45, 140
"""Size of the users' large site."""
REQUESTS_PER_SECOND = 240
"""Requests of all callers at that site."""
BUSY_SLOTS = 320
"""Requests and batch items in flight on all runners of that site."""
LINK_BYTES_PER_SECOND = 12.5e6
"""Bandwidth of a host's link."""
SIMULATED_SECONDS = 20
"""Length of a run in simulated time."""
LOG_LEVEL = logging.WARNING
"""Lowest level that is logged."""
RUNS = 5
"""Number of runs. The shortest one is reported: other processes only add time."""


def create_service(number: int, clock: ManualClock) -> HeartbeatService:
    """Return the heartbeat service of one host."""
    name, domain = f"host-{number}", f"d{number % DOMAINS}"
    reported_jobs = {JobId(f"job-{number}"): JobReport(1, "o-1", "/notes/", 2000)}
    service = create_heartbeats(
        name,
        domain,
        (f"10.1.0.{number}", 7660),
        clock,
        Random(number),
        LINK_BYTES_PER_SECOND,
        jobs=IdleJobs(reported_jobs),
    )
    gateway = service.gateway
    tenants = [
        {"name": f"o-{n}", "api_keys": [f"{KEY}{n}"], "rate_per_s": 20, "burst": 20}
        for n in range(ORGANISATIONS)
    ]
    gateway.tables = decode_tables(configuration(tenants=tenants))
    gateway.allocator.set_runners(
        {
            f"r-{n}": RunnerEntry(
                RunnerKey(f"r-{n}", 1),
                "models",
                f"10.0.0.{n}:80",
                f"d{n % DOMAINS}",
                8,
                RunnerStage.READY,
                "v1",
            )
            for n in range(RUNNERS)
        }
    )
    return service


def relay_bundles(
    senders: list[HeartbeatService], clock: ManualClock
) -> Iterator[list[bytes]]:
    """Yield the bundles that all relays send in each relay interval."""
    random = Random(1)
    interval = heartbeat_interval(HOSTS)
    next_heartbeat = [interval * random.random() for _ in senders]
    for step in itertools.count():
        heartbeats_by_domain: dict[str, list[bytes]] = {
            f"d{n}": [] for n in range(DOMAINS)
        }
        for number, sender in enumerate(senders):
            if next_heartbeat[number] > step * RELAY_SECONDS:
                continue
            next_heartbeat[number] += interval
            # The state of the host that changes between two of its heartbeats.
            gateway = sender.gateway
            for _ in range(round(interval * REQUESTS_PER_SECOND / HOSTS)):
                name = f"o-{min(random.randrange(ORGANISATIONS), 20)}"
                gateway.quotas.admitted[name] = gateway.quotas.admitted.get(name, 0) + 1
            runners = list(gateway.allocator.runners.values())
            for runner in runners:
                runner.online = runner.batch = 0
            for runner in random.sample(runners, round(BUSY_SLOTS / HOSTS)):
                runner.online = 1
            sender.last_jobs = sender.jobs.reported_jobs()
            heartbeats_by_domain[sender.domain].append(encode(sender.heartbeat()))
        yield [
            encode(Bundle(f"relay-{d}", heartbeats))
            for d, heartbeats in heartbeats_by_domain.items()
            if heartbeats
        ]
        clock.advance(RELAY_SECONDS)


def measure_run() -> tuple[float, int]:
    """Return the receiver's processor time in one run and the number of heartbeats."""
    clock = ManualClock(100.0)
    receiver, *senders = [create_service(n, clock) for n in range(HOSTS)]
    cpu_seconds = 0.0
    steps = round(SIMULATED_SECONDS / RELAY_SECONDS)
    for data in itertools.islice(relay_bundles(senders, clock), steps):
        started = time.process_time()
        for bundle in data:
            receiver.receive_bundle(bundle)
        receiver.relay.drain(clock())
        cpu_seconds += time.process_time() - started
    return cpu_seconds, sum(sender.sequence for sender in senders)


async def measure() -> Report:
    """Measure and return the figures."""
    report = Report("heartbeat", COMMAND)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(LOG_LEVEL))
    runs = [measure_run() for _ in range(RUNS)]
    cpu_seconds, count = min(runs)
    note = f"{HOSTS} hosts, {count / SIMULATED_SECONDS:.0f} heartbeats a second"
    report.add_figure("taking a heartbeat", cpu_seconds / count * 1e6, "us", note)
    report.add_figure("part of a core", cpu_seconds / SIMULATED_SECONDS, "ratio", note)
    return report
