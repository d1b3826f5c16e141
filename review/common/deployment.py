"""A small deployment: store, runners, entry hosts and the clients of batch jobs."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from common.hosts import BOUNDS
from common.hosts import EntryHost
from common.runner import Runner
from common.runner import Workload
from common.store import Store

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from common.record import Record

SERVICE = "models"
HOST = "vans.example"
TENANT = "caroni"
KEY = "2b9wu3fexd9dnn2ctnfz"
BATCH_PREFIX = "/notes/"
PING_PREFIX = "/ping/"
SLOTS = 8
CALL_SECONDS = 4.0
FINISHED_SECONDS = 3.0
FAILED_SECONDS = 20.0
"""Times of the rule LOST: without a finished item, and without a failed run."""
RULE_BROKEN = 10
"""Exit code of a broken rule, which the interpreter itself never ends with."""
WATCHDOG_SECONDS = 100.0
"""Longest time of a run."""


def configuration(version: int = 1) -> dict[str, Any]:
    """Return the operator's configuration."""
    common = {
        "host": HOST,
        "priority": 0,
        "service": SERVICE,
        "public": False,
        "max_attempts": 3,
    }
    return {
        "version": version,
        "routes": [
            common
            | {
                "name": "r-notes",
                "path_prefix": BATCH_PREFIX,
                "kind": "batch",
                "timeout_ms": 15_000,
                "slo_ms": 400,
                "due_ms": 18_000,
                "max_wait_s": 60,
                "max_count": 1_000_000,
            },
            common
            | {
                "name": "r-ping",
                "path_prefix": PING_PREFIX,
                "kind": "idempotent",
                "timeout_ms": 1500,
                "slo_ms": 125,
            },
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_conns": 360,
                "engine": {"slots": SLOTS},
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": TENANT, "api_keys": [KEY], "rate_per_s": 100, "burst": 100}
        ],
    }


@dataclass
class SentJob:
    """A batch job of a client.

    :ivar accepted_at: time of the first 202
    :ivar results: results that were read, by position
    """

    id: str
    items: list[str]
    body: bytes
    accepted_at: float | None = None
    results: list[dict[str, str]] = field(default_factory=list)

    @property
    def listed(self) -> set[str]:
        """Items with a result."""
        return {result["id"] for result in self.results}

    @property
    def complete(self) -> bool:
        """Whether all items have a result."""
        return len(self.results) >= len(self.items)


@dataclass
class Deployment:
    """All parts of a run.

    :ivar tasks: clients that run in the background
    """

    record: Record
    workload: Workload
    session: aiohttp.ClientSession
    folder: Path
    store: Store = field(default_factory=Store)
    runners: list[Runner] = field(default_factory=list)
    hosts: list[EntryHost] = field(default_factory=list)
    jobs: dict[str, SentJob] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    calls: int = 0

    async def add_runner(self, name: str) -> Runner:
        """Start a runner and register it."""
        runner = Runner(name, SERVICE, SLOTS, self.workload, self.record)
        await runner.start()
        runner.register(self.store)
        self.runners.append(runner)
        self.record.add("runner started", runner=name)
        return runner

    async def start(self, hosts: int, runners: int) -> None:
        """Start the store, the runners and the hosts, and wait until all are ready."""
        if not self.store.address:
            await self.store.start()
        self.store.put("config", "main", configuration())
        for number in range(runners):
            await self.add_runner(f"i-{number:04x}")
        for number in range(hosts):
            host = EntryHost(number, self.store.address, self.folder, self.record)
            self.hosts.append(host)
            await host.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all hosts are ready."""
        await asyncio.gather(*(host.wait_ready(self.session) for host in self.hosts))

    async def stop(self) -> None:
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for host in self.hosts:
            await host.kill()
        self.record.add(
            "processes",
            started=sum(len(host.ids) for host in self.hosts),
            running=sum(host.running for host in self.hosts),
        )
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()

    async def call(
        self, host: EntryHost, method: str, path: str, **headers: str
    ) -> tuple[int, bytes]:
        """Send one request; the status is 0 if there is no answer."""
        return await self.send(host, method, path, b"", headers)

    async def send(
        self,
        host: EntryHost,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> tuple[int, bytes]:
        """Send one request with a body on a new connection."""
        sent = {"Host": HOST, "Api-Key": KEY} | headers
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        try:
            async with self.session.request(
                method,
                host.url + path,
                data=body or None,
                headers=sent,
                timeout=timeout,
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.record.add("no answer", path=path, error=type(error).__name__)
            return 0, b""

    def ready_order(self) -> list[EntryHost]:
        """Return the hosts in the order in which the next call tries them."""
        self.calls += 1
        first = self.calls % len(self.hosts)
        return self.hosts[first:] + self.hosts[:first]

    async def submit(self, job: SentJob, attempts: int = 10) -> None:
        """Submit a batch job until it is accepted."""
        headers = {
            "Request-Id": job.id,
            "Content-Type": "application/json",
            "Deadline-Ms": "4000",
        }
        self.jobs[job.id] = job
        for attempt in range(attempts):
            host = self.ready_order()[0]
            status, _ = await self.send(
                host, "POST", BATCH_PREFIX + job.id[:6], job.body, headers
            )
            self.record.add(
                "batch job sent",
                job=job.id,
                items=len(job.items),
                bytes=len(job.body),
                host=host.name,
                attempt=attempt,
                answer=status,
            )
            if status == 202:
                job.accepted_at = time.monotonic()
                return
            await asyncio.sleep(0.5)
        raise RuntimeError(f"job {job.id} was not accepted")

    async def read(self, job: SentJob) -> int:
        """Read the results after those that the client has; return the status."""
        after = len(job.results)
        host = self.ready_order()[0]
        path = f"/lots/{job.id}?after={after}"
        status, body = await self.call(host, "GET", path, **{"Wait-Ms": "200"})
        if status == 200:
            content = json.loads(body)
            new = content["results"]
            job.results += new
            if new:
                self.record.add(
                    "results read",
                    job=job.id,
                    host=host.name,
                    after=after,
                    new=len(new),
                    total=content["total"],
                )
        elif status:
            self.record.add("read refused", job=job.id, host=host.name, answer=status)
        return status

    async def follow(self, job: SentJob) -> None:
        """Read a batch job twice a second until all its items are listed."""
        while not job.complete:
            await self.read(job)
            await asyncio.sleep(0.5)

    def in_background(self, work: Awaitable[None]) -> asyncio.Task:
        """Run a client in the background."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def busy_runners(self) -> dict[str, int]:
        """Return the number of requests that each runner works on."""
        return {runner.name: len(runner.running) for runner in self.runners}


def create_job(job: str, events: dict[str, int], body_bytes: int = 300) -> SentJob:
    """Return a batch job.

    :param events: number of events of each item
    :param body_bytes: length of the body of each item
    """
    items = [
        {
            "id": item,
            "path": f"{BATCH_PREFIX}3/{item}",
            "headers": {
                "Model": "m",
                "Token-Count": "350,400",
                "Prompt-Prefix": f"9c2e41:100,{item}:250",
            },
            "body": base64.b64encode(os.urandom(body_bytes)).decode(),
            "tokens": 750,
        }
        for item in events
    ]
    return SentJob(job, list(events), json.dumps({"items": items}).encode())


async def wait_for_finish(
    deployment: Deployment, jobs: list[SentJob], since: float, calm_seconds: float
) -> list[str]:
    """Wait until all items are listed, or the rule LOST can be judged.

    That is once ``finish_s`` is over, no runner has had any work for ``calm_seconds``
    (so that none had an unlisted item and all were under half full), no item was
    finished in the last 3 s, and the last run that was broken off is 20 s old, so that
    no item is excused by one.

    :param since: time from which ``finish_s`` is counted
    :param calm_seconds: time without work at the runners that the rule wants
    :returns: items that are lost
    """
    busy_at = time.monotonic()
    while not all(job.complete for job in jobs):
        await asyncio.sleep(0.1)
        now = time.monotonic()
        if any(deployment.busy_runners().values()):
            busy_at = now
        finished_at = max(
            (at for r in deployment.runners for at in r.finished.values()), default=0.0
        )
        broken_at = max((r.broken_at for r in deployment.runners), default=0.0)
        if (
            now - since > BOUNDS["finish_s"]
            and now - busy_at > calm_seconds
            and now - finished_at > FINISHED_SECONDS
            and now - broken_at > FAILED_SECONDS
        ):
            break
    lost = []
    for job in jobs:
        for item in job.items:
            if item not in job.listed:
                lost.append(item)
        deployment.record.add(
            "at the end",
            job=job.id,
            items=len(job.items),
            listed=len(job.results),
            states=sorted({r["state"] for r in job.results}),
        )
    return lost


def wants_disruption() -> bool:
    """Return whether the command line asks for the disruption."""
    return "--without-disruption" not in sys.argv[1:]


async def run_case(
    record: Record,
    workload: Workload,
    case: Callable[[Deployment, bool], Awaitable[bool]],
    trouble: bool,
) -> int:
    """Run a case and return its exit code.

    :param case: the case; gets the deployment and whether the disruption is wanted, and
        returns whether the rule held
    :param trouble: whether the disruption is wanted
    """
    record.add("start", disruption="yes" if trouble else "no")
    # A run that is ended from outside ends its processes, too.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(total=CALL_SECONDS),
    ) as session:
        deployment = Deployment(record, workload, session, folder)
        try:
            async with asyncio.timeout(WATCHDOG_SECONDS):
                held = await case(deployment, trouble)
        except (Exception, asyncio.CancelledError) as error:
            record.add("the case could not run", error=repr(error))
            return 2
        finally:
            await deployment.stop()
            keep = os.environ.get("REVIEW_LOGS")
            if keep:
                shutil.copytree(folder, keep, dirs_exist_ok=True)
            with contextlib.suppress(OSError):
                shutil.rmtree(folder)
    record.add("rule held" if held else "rule broken")
    return 0 if held else RULE_BROKEN
