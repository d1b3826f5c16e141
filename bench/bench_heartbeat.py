"""Processor time that a host of a large fleet spends on heartbeats of the others."""

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
"""Sizes of the users' large site."""
REQUESTS_A_SECOND = 240
"""Requests of all callers there."""
BUSY_SLOTS = 320
"""Requests and items on all runners there."""
LINK = 12.5e6
"""Bytes a second of a host's link."""
SECONDS = 20
"""Simulated time of a run."""
QUIET = logging.WARNING
"""Lowest level that is logged."""
RUNS = 5
"""Runs; the shortest one counts, since other work only adds time."""


def create_service(number: int, clock: ManualClock) -> HeartbeatService:
    """Return the heartbeats of one host."""
    name, domain = f"host-{number}", f"d{number % DOMAINS}"
    told = {JobId(f"job-{number}"): JobReport(1, "o-1", "/notes/", 2000)}
    service = create_heartbeats(
        name,
        domain,
        (f"10.1.0.{number}", 7660),
        clock,
        Random(number),
        LINK,
        jobs=IdleJobs(told),
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
            )
            for n in range(RUNNERS)
        }
    )
    return service


def bundles(
    senders: list[HeartbeatService], clock: ManualClock
) -> Iterator[list[bytes]]:
    """Yield the bundles of all relays that come in each period of relays."""
    random = Random(1)
    interval = heartbeat_interval(HOSTS)
    due = [interval * random.random() for _ in senders]
    for step in itertools.count():
        parts: dict[str, list[bytes]] = {f"d{n}": [] for n in range(DOMAINS)}
        for number, sender in enumerate(senders):
            if due[number] > step * RELAY_SECONDS:
                continue
            due[number] += interval
            # What changes between two heartbeats of a host.
            gateway = sender.gateway
            for _ in range(round(interval * REQUESTS_A_SECOND / HOSTS)):
                name = f"o-{min(random.randrange(ORGANISATIONS), 20)}"
                gateway.quotas.admitted[name] = gateway.quotas.admitted.get(name, 0) + 1
            runners = list(gateway.allocator.runners.values())
            for runner in runners:
                runner.online = runner.batch = 0
            for runner in random.sample(runners, round(BUSY_SLOTS / HOSTS)):
                runner.online = 1
            sender.last_jobs = sender.jobs.reported_jobs()
            parts[sender.domain].append(encode(sender.heartbeat()))
        yield [encode(Bundle(f"relay-{d}", part)) for d, part in parts.items() if part]
        clock.advance(RELAY_SECONDS)


def take_seconds() -> tuple[float, int]:
    """Return the processor time of all heartbeats of a run, and their number."""
    clock = ManualClock(100.0)
    receiver, *senders = [create_service(n, clock) for n in range(HOSTS)]
    spent = 0.0
    steps = round(SECONDS / RELAY_SECONDS)
    for data in itertools.islice(bundles(senders, clock), steps):
        before = time.process_time()
        for bundle in data:
            receiver.receive_bundle(bundle)
        receiver.relay.drain(clock())
        spent += time.process_time() - before
    return spent, sum(sender.sequence for sender in senders)


async def measure() -> Report:
    """Measure and return the figures."""
    report = Report("heartbeat", COMMAND)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(QUIET))
    runs = [take_seconds() for _ in range(RUNS)]
    spent, count = min(runs)
    note = f"{HOSTS} hosts, {count / SECONDS:.0f} heartbeats a second"
    report.plain("taking a heartbeat", spent / count * 1e6, "us", note)
    report.plain("part of a core", spent / SECONDS, "ratio", note)
    return report
