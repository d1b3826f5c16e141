"""Time to first token by runner selection algorithm, with nine hosts and five engines.

The runner trackers and load pollers of nine hosts run in this process. They send over
loopback HTTP to five engine stand-ins of different capacity and speed, each in its own
process, whose load reports are 500 ms old.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

import aiohttp

from primroseford.clock import boottime
from primroseford.configuration.store import ConfigurationStore
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Version
from primroseford.metrics import Metrics
from primroseford.platform.objects import PlatformObject
from primroseford.routing.poller import create_load_poller
from primroseford.routing.tracker import AttemptResult
from primroseford.routing.tracker import create_runner_tracker

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from primroseford.routing.poller import LoadPoller
    from primroseford.routing.tracker import RunnerTracker

HOSTS = 9
CAPACITIES = (16, 16, 12, 8, 8)
SPEEDS = (1.0, 1.0, 0.9, 0.8, 0.7)
SLOW_SPEEDS = (1.0, 1.0, 0.9, 0.8, 0.14)
PREFILL_SECONDS = 0.02
TOKEN_SECONDS = 0.008
MEAN_TOKENS = 16
MAX_TOKENS = 96
REPORT_LAG_SECONDS = 0.5
WEAKEST_LOAD = 0.7
"""Utilisation of the weakest runner if each runner gets a fifth of the requests."""
RUN_SECONDS = 25.0
WARM_UP_SECONDS = 4.0


@dataclass
class LiveHost:
    """The runner tracker and load poller of a host, with their own HTTP session."""

    number: int
    store: ConfigurationStore
    tracker: RunnerTracker
    poller: LoadPoller
    session: aiohttp.ClientSession


def random_chooser(views, host, random):
    """Choose a random runner."""
    return random.choice(views)


def round_robin_chooser():
    """Return a chooser that applies round robin on each host independently."""
    counters = list(range(HOSTS))

    def choose(views, host, random):
        counters[host] += 1
        return views[counters[host] % len(views)]

    return choose


def least_reported_chooser(views, host, random):
    """Choose the runner with the lowest load in its last report."""

    def load(view):
        report = view.report
        found = (report.running + report.waiting) / report.capacity if report else 0.0
        return found, random.random()

    return min(views, key=load)


def request_rate() -> float:
    """Return the total requests a second at which the weakest runner has its load.

    Each runner is assumed to get the same share; see ``WEAKEST_LOAD``.
    """
    seconds = PREFILL_SECONDS + TOKEN_SECONDS * MEAN_TOKENS
    capacities = [c * s / seconds for c, s in zip(CAPACITIES, SPEEDS, strict=True)]
    return WEAKEST_LOAD * min(capacities) * len(capacities)


async def start_engine(capacity: int, speed: float):
    """Start an engine stand-in; return its process and its address."""
    settings = {
        "capacity": capacity,
        "token_seconds": TOKEN_SECONDS / speed,
        "prefill_seconds": PREFILL_SECONDS / speed,
        "slowdown": 0.0,
        "cached_prefixes": 0,
        "report_lag_seconds": REPORT_LAG_SECONDS,
    }
    pairs = [part for k, v in settings.items() for part in ("--set", f"{k}={v}")]
    command = [sys.executable, "-m", "primroseford.standins", "--kind", "engine"]
    process = await asyncio.create_subprocess_exec(
        *command, "--listen", "127.0.0.1:0", *pairs, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None
    line = (await process.stdout.readline()).decode().strip()
    return process, line.rpartition("http://")[2]


@asynccontextmanager
async def running_engines(speeds: tuple[float, ...]) -> AsyncIterator[list[str]]:
    """Run five engines of different capacity within a ``with`` block.

    :param speeds: relative speeds of the engines
    """
    engines = [
        await start_engine(capacity, speed)
        for capacity, speed in zip(CAPACITIES, speeds, strict=True)
    ]
    try:
        yield [address for _, address in engines]
    finally:
        for process, _ in engines:
            process.terminate()
            await process.wait()


async def start_host(number: int, addresses: list[str], seed: int) -> LiveHost:
    """Return a host with a running load poller."""
    store = ConfigurationStore()
    runners = [
        {"name": f"r{n}", "address": address, "failure_domain": f"d{n % 3}"}
        for n, address in enumerate(addresses)
    ]
    spec = {"runners": runners, "max_in_flight": 64}
    store.replace(Version(1), [PlatformObject("pools", "p", Version(1), spec)])
    domain = FailureDomainId(f"d{number % 3}")
    tracker = create_runner_tracker(
        HostId(f"h{number}"), domain, boottime, Random(seed + number)
    )
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    poller = create_load_poller(store, tracker, session, Metrics())
    await poller.start()
    return LiveHost(number, store, tracker, poller, session)


async def send(host: LiveHost, choose: Callable | None, tokens: int, random) -> float:
    """Send one request to the chosen runner; return the seconds to its first token.

    :param choose: a naive chooser; the system's own selection if None
    """
    pool = host.store.current().pools["p"]
    views = host.tracker.pool_views(pool)
    if choose is None:
        view = host.tracker.choose(pool, None) or views[0]
    else:
        view = choose(views, host.number, random)
    host.tracker.start(view)
    body = {"model": "van-round", "stream": True, "max_tokens": tokens, "messages": []}
    started = boottime()
    latency, result = 0.0, AttemptResult.FAILED
    try:
        url = f"http://{view.runner.address}/v1/chat/completions"
        async with host.session.post(url, json=body) as response:
            assert response.status == 200, response.status
            await response.content.readany()
            latency = boottime() - started
            while await response.content.readany():
                pass
        result = AttemptResult.SUCCEEDED
        return latency
    finally:
        host.tracker.finish(view, result, latency)


async def offer_load(
    hosts: list[LiveHost], choose: Callable | None, seed: int, seconds: float
) -> list[float]:
    """Send requests as a Poisson process; return times to first token after warm-up."""
    random, loop = Random(seed), asyncio.get_running_loop()
    start = loop.time()
    send_time, warm_up_count, tasks = 0.0, 0, []
    while send_time < seconds:
        send_time += random.expovariate(request_rate())
        tokens = min(MAX_TOKENS, 1 + int(random.expovariate(1 / MEAN_TOKENS)))
        await asyncio.sleep(max(0.0, start + send_time - loop.time()))
        host = hosts[len(tasks) % HOSTS]
        tasks.append(asyncio.create_task(send(host, choose, tokens, random)))
        warm_up_count += send_time < WARM_UP_SECONDS
    return (await asyncio.gather(*tasks))[warm_up_count:]


async def run_live(
    choose: Callable | None,
    seed: int,
    speeds: tuple[float, ...] = SPEEDS,
    seconds: float = RUN_SECONDS,
) -> list[float]:
    """Return times to first token in seconds, with newly started engines and hosts.

    :param choose: a naive chooser; the system's own selection if None
    :param seed: determines the arrival times and the numbers of tokens
    :param speeds: relative speeds of the engines
    :param seconds: duration of the load
    """
    hosts: list[LiveHost] = []
    async with running_engines(speeds) as addresses:
        try:
            for number in range(HOSTS):
                hosts.append(await start_host(number, addresses, seed))
            return await offer_load(hosts, choose, seed, seconds)
        finally:
            for host in hosts:
                await host.poller.stop()
                await host.session.close()
