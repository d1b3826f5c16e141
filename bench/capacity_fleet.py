"""A small fleet of host processes, measured by ``/proc`` and their metrics."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tempfile
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from bench.bench_platform import UNLIMITED
from primroseford.batch.state import Job
from primroseford.batch.state import encode_job
from primroseford.configuration.edits import issue_key
from primroseford.platform.client import create_platform_client
from primroseford.platform.limiter import CallLimiter

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from primroseford.platform.client import PlatformClient

ROOT = Path(__file__).parents[1]
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ORGANISATION = "organisation-0"
MODEL = "van-round"
WRITERS = 32


@dataclass(frozen=True)
class FleetSize:
    """Size of a fleet.

    :param leaving: runners in the state ``leaving``, which have no requests, feeders or
        load polls; they measure the cost of large tables alone
    :param jobs: active jobs that match no route, so that none of them runs
    :param engine: settings of the engine stand-in, as ``NAME=VALUE``
    """

    hosts: int = 3
    domains: int = 3
    groups: int = 16
    organisations: int = 8
    runners: int = 16
    leaving: int = 0
    jobs: int = 0
    engine: tuple[str, ...] = ()


@dataclass
class HostTotals:
    """Resource usage and counters of one host.

    :param cpu: processor seconds
    :param memory: resident bytes
    :param counters: values by metric name and ``label=value`` strings
    """

    cpu: float
    memory: float
    counters: dict[tuple[str, ...], float] = field(default_factory=dict)

    def total(self, name: str, **labels: str) -> float:
        """Return the sum of a counter over its labels that are not given."""
        wanted = {f"{key}={value}" for key, value in labels.items()}
        return sum(
            value
            for found, value in self.counters.items()
            if found[0] == name and wanted <= set(found[1:])
        )


def process_usage(pid: int) -> tuple[float, float]:
    """Return the processor seconds and resident bytes of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    cpu_seconds = sum(int(part) for part in stat.split()[11:13]) / TICKS_PER_SECOND
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return cpu_seconds, pages * os.sysconf("SC_PAGE_SIZE")


@dataclass
class Fleet:
    """A running fleet.

    :param key: secret of the first organisation's API key
    :param hosts: addresses of each host by kind: ``callers`` and ``operators``
    """

    client: PlatformClient
    session: aiohttp.ClientSession
    key: str
    hosts: list[dict[str, str]]
    pids: list[int]

    async def read(self, number: int) -> HostTotals:
        """Return the totals of one host."""
        url = f"http://{self.hosts[number]['operators']}/metrics"
        async with self.session.get(url) as response:
            text = await response.text()
        counters = {
            (sample.name, *(f"{k}={v}" for k, v in sample.labels.items())): sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }
        return HostTotals(*process_usage(self.pids[number]), counters)

    async def read_all(self) -> list[HostTotals]:
        """Return the totals of every host."""
        return [await self.read(number) for number in range(len(self.hosts))]


@contextlib.asynccontextmanager
async def run_process(*arguments: str) -> AsyncIterator[tuple[int, str]]:
    """Run a module as a process; yield its process ID and its first line of output."""
    child = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", *arguments),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        cwd=ROOT,
    )
    try:
        line = await asyncio.wait_for(child.stdout.readline(), 120)
        yield child.pid, line.decode()
    finally:
        child.stdin.close()
        with contextlib.suppress(ProcessLookupError):
            if arguments[0] == "primroseford.standins":
                child.terminate()
        try:
            await asyncio.wait_for(child.wait(), 15)
        except TimeoutError:
            child.kill()
            await child.wait()


@contextlib.asynccontextmanager
async def stand_in(kind: str, *settings: str) -> AsyncIterator[str]:
    """Run a stand-in in its own process and yield its URL."""
    options = [part for pair in settings for part in ("--set", pair)]
    base = ("primroseford.standins", "--listen", "127.0.0.1:0", "--kind", kind)
    async with run_process(*base, *options) as (_, line):
        yield line.removeprefix("listening on ").strip()


def create_pool(name: str, count: int, address: str, state: str) -> dict:
    """Return a pool whose runners all share the address of one stand-in."""
    runners = [
        {
            "name": f"{name}-{n}",
            "address": address,
            "failure_domain": f"domain-{n % 3}",
            "state": state,
        }
        for n in range(count)
    ]
    return {"models": [MODEL], "runners": runners, "max_in_flight": 64}


async def write_tables(client: PlatformClient, size: FleetSize, address: str) -> str:
    """Write the tables and jobs; return an API key secret of the first organisation."""
    objects: list[tuple[str, str, dict]] = []
    limit = {"rate": 1e6, "burst": 1e6, "weight": 1}
    for n in range(size.organisations):
        name = f"organisation-{n}"
        objects.append(("organisations", name, limit))
        key = {"organisation": name, "hash": f"{n:064x}"}
        objects.append(("keys", f"{n:012x}", key))
    for first in range(0, size.runners, 16):
        count = min(16, size.runners - first)
        objects.append(
            (
                "pools",
                f"ready-{first}",
                create_pool(f"r{first}", count, address, "ready"),
            )
        )
    for first in range(0, size.leaving, 1000):
        count = min(1000, size.leaving - first)
        objects.append(
            (
                "pools",
                f"gone-{first}",
                create_pool(f"g{first}", count, address, "leaving"),
            )
        )
    match = {"host": "", "path_prefix": "/v1/", "models": [MODEL]}
    route = {"match": match, "pool": "ready-0", "repeatable": True}
    route |= {"organisations": [ORGANISATION], "timeout_seconds": 60}
    objects.append(("routes", "all", route))
    for n in range(size.jobs):
        job = Job(
            *(ORGANISATION, "f", "u", "/v1/none", "none", [500] * 28),
            *(f"{n}", "24h", 4e9, 1.0),
        )
        objects.append(("jobs", f"job-{n}", encode_job(job)))
    remaining_objects = iter(objects)

    async def create_objects() -> None:
        for kind, name, spec in remaining_objects:
            labels = {"state": "active"} if kind == "jobs" else {}
            await client.create(kind, name, spec, labels)

    await asyncio.gather(*(create_objects() for _ in range(WRITERS)))
    return (await issue_key(client, ORGANISATION)).secret


@contextlib.asynccontextmanager
async def running_fleet(size: FleetSize, profile: str = "") -> AsyncIterator[Fleet]:
    """Run the stand-ins and hosts of a fleet within a ``with`` block.

    :param profile: file to which a profile of the first host is written; none if empty
    """
    async with contextlib.AsyncExitStack() as stack:
        url = await stack.enter_async_context(stand_in("platform"))
        engine = await stack.enter_async_context(stand_in("engine", *size.engine))
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        limits = CallLimiter(UNLIMITED)
        client = create_platform_client(url, session, limits=limits)
        key = await write_tables(client, size, engine.removeprefix("http://"))
        secret = folder / "secret"
        secret.write_text("only-for-the-benchmark-" * 2)
        secret.chmod(0o600)
        fleet = Fleet(client, session, key, [{}] * size.hosts, [0] * size.hosts)

        async def start_host(number: int) -> None:
            path = folder / f"{number}.yaml"
            path.write_text(json.dumps(create_host_settings(number, size, url, secret)))
            profile_arguments = (profile,) if profile and number == 0 else ()
            running = run_process("bench.capacity_host", str(path), *profile_arguments)
            pid, line = await stack.enter_async_context(running)
            fleet.hosts[number], fleet.pids[number] = json.loads(line), pid

        await asyncio.gather(*(start_host(number) for number in range(size.hosts)))
        yield fleet


def create_host_settings(number: int, size: FleetSize, url: str, secret: Path) -> dict:
    """Return the settings of one host; the kernel chooses its ports."""
    return {
        "host": f"entry-{number}",
        "failure_domain": f"domain-{number % size.domains}",
        "listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": url,
        "peer_secret_file": str(secret),
        "limits": {"groups": size.groups},
        "stop": {"balancer_lag": 0},
    }
