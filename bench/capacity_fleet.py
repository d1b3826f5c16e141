"""A small fleet of host processes whose costs are read from outside."""

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
TICKS = os.sysconf("SC_CLK_TCK")
ORGANISATION = "organisation-0"
MODEL = "van-round"
WRITERS = 32


@dataclass(frozen=True)
class Size:
    """What a fleet consists of.

    :param leaving: runners that are in the tables and get no work, no feeder and no
        polls; they measure the size of the tables alone
    :param jobs: active jobs for which no pool has a route
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
class Reading:
    """Totals of one host.

    :param cpu: processor seconds
    :param memory: resident bytes
    :param counters: values by metric and its labels
    """

    cpu: float
    memory: float
    counters: dict[tuple[str, ...], float] = field(default_factory=dict)

    def total(self, name: str, **labels: str) -> float:
        """Return the sum of a counter over all other labels."""
        wanted = {f"{key}={value}" for key, value in labels.items()}
        return sum(
            value
            for found, value in self.counters.items()
            if found[0] == name and wanted <= set(found[1:])
        )


def usage(pid: int) -> tuple[float, float]:
    """Return a process's processor seconds and resident bytes."""
    stat = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    used = sum(int(part) for part in stat.split()[11:13]) / TICKS
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return used, pages * os.sysconf("SC_PAGE_SIZE")


@dataclass
class Fleet:
    """Running processes.

    :param hosts: addresses of each host
    """

    client: PlatformClient
    session: aiohttp.ClientSession
    key: str
    hosts: list[dict[str, str]]
    pids: list[int]

    async def read(self, number: int) -> Reading:
        """Return the totals of one host."""
        url = f"http://{self.hosts[number]['operators']}/metrics"
        async with self.session.get(url) as answer:
            text = await answer.text()
        counters = {
            (sample.name, *(f"{k}={v}" for k, v in sample.labels.items())): sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }
        return Reading(*usage(self.pids[number]), counters)

    async def read_all(self) -> list[Reading]:
        """Return the totals of every host."""
        return [await self.read(number) for number in range(len(self.hosts))]


@contextlib.asynccontextmanager
async def process(*arguments: str) -> AsyncIterator[tuple[int, str]]:
    """Run a module as a process; yield its id and the first line it printed."""
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
    """Run a stand-in as a process and yield its URL."""
    options = [part for pair in settings for part in ("--set", pair)]
    base = ("primroseford.standins", "--listen", "127.0.0.1:0", "--kind", kind)
    async with process(*base, *options) as (_, line):
        yield line.removeprefix("listening on ").strip()


def pool(name: str, count: int, address: str, state: str) -> dict:
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


async def write_tables(client: PlatformClient, size: Size, address: str) -> str:
    """Write the tables and jobs; return a secret of the first organisation."""
    work: list[tuple[str, str, dict]] = []
    limit = {"rate": 1e6, "burst": 1e6, "weight": 1}
    for n in range(size.organisations):
        name = f"organisation-{n}"
        work.append(("organisations", name, limit))
        key = {"organisation": name, "hash": f"{n:064x}"}
        work.append(("keys", f"{n:012x}", key))
    for first in range(0, size.runners, 16):
        count = min(16, size.runners - first)
        work.append(
            ("pools", f"ready-{first}", pool(f"r{first}", count, address, "ready"))
        )
    for first in range(0, size.leaving, 1000):
        count = min(1000, size.leaving - first)
        work.append(
            ("pools", f"gone-{first}", pool(f"g{first}", count, address, "leaving"))
        )
    match = {"host": "", "path_prefix": "/v1/", "models": [MODEL]}
    route = {"match": match, "pool": "ready-0", "repeatable": True}
    route |= {"organisations": [ORGANISATION], "timeout_seconds": 60}
    work.append(("routes", "all", route))
    for n in range(size.jobs):
        job = Job(
            *(ORGANISATION, "f", "u", "/v1/none", "none", [500] * 28),
            *(f"{n}", "24h", 4e9, 1.0),
        )
        work.append(("jobs", f"job-{n}", encode_job(job)))
    items = iter(work)

    async def write() -> None:
        for kind, name, spec in items:
            labels = {"state": "active"} if kind == "jobs" else {}
            await client.create(kind, name, spec, labels)

    await asyncio.gather(*(write() for _ in range(WRITERS)))
    return (await issue_key(client, ORGANISATION)).secret


@contextlib.asynccontextmanager
async def running_fleet(size: Size, profile: str = "") -> AsyncIterator[Fleet]:
    """Run the stand-ins and hosts for the time of a ``with`` block.

    :param size: what the fleet consists of
    :param profile: file for a profile of the first host
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

        async def start(number: int) -> None:
            path = folder / f"{number}.yaml"
            path.write_text(json.dumps(settings_of(number, size, url, secret)))
            extra = (profile,) if profile and number == 0 else ()
            running = process("bench.capacity_host", str(path), *extra)
            pid, line = await stack.enter_async_context(running)
            fleet.hosts[number], fleet.pids[number] = json.loads(line), pid

        await asyncio.gather(*(start(number) for number in range(size.hosts)))
        yield fleet


def settings_of(number: int, size: Size, url: str, secret: Path) -> dict:
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
