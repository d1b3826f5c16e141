"""Batch beside online on one runner, fairness, and a job of 57,000 items."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import statistics
import sys
import time
from pathlib import Path

import aiohttp

from bench.batch_processes import HEADROOM
from bench.batch_processes import ORGANISATIONS
from bench.batch_processes import PLACES
from bench.batch_processes import create_feed
from bench.batch_processes import tables
from bench.report import Report
from primroseford.batch.files import FileStore
from primroseford.batch.gen.ttypes import OnlineLoad
from primroseford.batch.jobs import JobRequest
from primroseford.batch.jobs import JobStore
from primroseford.batch.runners import create_run_item
from primroseford.batch.state import JobState
from primroseford.clock import boottime
from primroseford.online.exchange import create_runner_session
from primroseford.platform.client import create_platform_client

ITEMS = 57_000
RUN_SECONDS = 12.0
BURST_RUN_SECONDS = 46.0
"""Long enough for about 2,000 online requests, of which 20 lie above the p99."""
SETTLE_SECONDS = 2.0
"""Idle time before each run, longer than the lag of the engine's reports."""
ONLINE_TOKENS = 16
POLL_SECONDS = 0.5
BURST_SECONDS = 1.0
BURST_FACTOR = 5
BASE_RATE = 15.0
ENDPOINT = "/v1/chat/completions"
ROOT = Path(__file__).parent.parent


@contextlib.asynccontextmanager
async def process(*arguments: str):
    """Run a process of the benchmark and yield the addresses it prints."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.batch_processes",
        *arguments,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        cwd=ROOT,
    )
    try:
        yield json.loads(await child.stdout.readline())
    finally:
        child.stdin.close()
        await child.wait()


def request_body(text: str) -> dict:
    """Return a chat request."""
    message = {"role": "user", "content": text}
    return {"model": "van-round", "messages": [message], "max_tokens": ONLINE_TOKENS}


def input_lines(count: int, salt: str) -> bytes:
    """Return an input file."""
    lines = (
        {"custom_id": f"i{n}", "url": ENDPOINT, "body": request_body(f"{salt} {n}")}
        for n in range(count)
    )
    return b"\n".join(json.dumps(line).encode() for line in lines)


class Online:
    """Sends online requests straight to the engine and counts them."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session, self.url = session, url
        self.in_flight, self.done = 0, 0
        self.latencies: list[float] = []
        self.changed = lambda: None

    async def send(self) -> None:
        """Send one request."""
        self.in_flight += 1
        self.changed()
        started = time.perf_counter()
        body = request_body(f"online {random.random()}")
        async with self.session.post(self.url + ENDPOINT, json=body) as answer:
            await answer.read()
        self.latencies.append(time.perf_counter() - started)
        self.in_flight -= 1
        self.done += 1
        self.changed()

    async def run(self, rate, seconds: float) -> None:
        """Send requests at Poisson times; ``rate`` is a function of time."""
        source, tasks, started = random.Random(7), [], time.perf_counter()
        next_at = 0.0
        while next_at < seconds:
            next_at += source.expovariate(rate(next_at))
            wait = started + next_at - time.perf_counter()
            await asyncio.sleep(max(0.0, wait))
            tasks.append(asyncio.create_task(self.send()))
        await asyncio.gather(*tasks)


def bursts(at: float) -> float:
    """Return the online rate: every other second brings five times the base."""
    return BASE_RATE * (BURST_FACTOR if int(at / BURST_SECONDS) % 2 else 1)


async def submit(jobs: JobStore, organisation: str, count: int, salt: str) -> None:
    """Upload a file and submit its job."""

    async def blocks():
        yield input_lines(count, salt)

    file_id, _ = await jobs.files.upload(organisation, "in.jsonl", blocks())
    key = f"{organisation}-{salt}"
    request = JobRequest(file_id, ENDPOINT, "24h", {}, key, 86_400.0)
    await jobs.submit(organisation, request)


class Bed:
    """The system under test beside stand-ins that run in another process.

    ``seconds`` is the length of the last run, without the time to settle.
    """

    def __init__(self, session, runner_session, addresses: dict[str, str]) -> None:
        self.session, self.addresses = session, addresses
        self.runner_session = runner_session
        client = create_platform_client(addresses["platform"], session)
        self.jobs = JobStore(client, FileStore(client, time.time), time.time)
        self.costs: dict[str, float] = {}
        self.seconds = 0.0
        self.reports: list[tuple[float, int]] = []

    async def feed(self, online: Online, yielding: bool):
        """Start a feeder over the active jobs."""
        address = self.addresses["engine"].removeprefix("http://")
        run_item, costs = create_run_item(self.runner_session), self.costs
        feed = create_feed(
            self.jobs,
            tables(address, {}),
            run_item,
            lambda name: online.in_flight if yielding else 0,
            lambda name: self.reports[-1] if self.reports and yielding else None,
        )
        landed = feed._handle_answer

        def count(choice, answer):
            owner = choice.work.job.organisation
            if answer.status == 200:
                costs[owner] = costs.get(owner, 0.0) + 1
            landed(choice, answer)

        feed._handle_answer = count
        online.changed = lambda: feed.context.load.changed("r")
        if not yielding:
            share = feed.pool.batch.model_copy(update={"headroom": 0})
            feed.pool = feed.pool.model_copy(update={"batch": share})
        feed.context.index.replace(await self.jobs.active(), set())
        return feed

    async def poll_reports(self) -> None:
        """Read the engine's load report as routing does."""
        while True:
            async with self.session.get(self.addresses["engine"] + "/v1/load") as got:
                found = await got.json()
            at = boottime() - found["measured_ms_ago"] / 1000
            self.reports.append((at, found["running"] + found["waiting"]))
            await asyncio.sleep(POLL_SECONDS)

    async def beside(self, rate, seconds: float, batch: bool, yielding: bool = True):
        """Run online traffic with or without batch; return online and items."""
        online = Online(self.session, self.addresses["engine"])
        await asyncio.sleep(SETTLE_SECONDS)
        self.costs.clear()
        feed = await self.feed(online, yielding) if batch else None
        tasks = [asyncio.create_task(self.poll_reports())]
        if feed is not None:
            tasks.append(asyncio.create_task(feed.run()))
        started = time.perf_counter()
        if rate is None:
            await asyncio.sleep(seconds)
        else:
            await online.run(rate, seconds)
        items = sum(self.costs.values())
        self.seconds = time.perf_counter() - started
        for task in tasks:
            task.cancel()
        if feed is not None:
            await feed.stop()
        self.reports.clear()
        return online, items


def p99(values: list[float]) -> float:
    """Return the 99th percentile."""
    return statistics.quantiles(values, n=100)[98]


async def raw_capacity(bed: Bed) -> float:
    """Return requests a second of the engine with all places always taken."""
    online, ends = Online(bed.session, bed.addresses["engine"]), time.perf_counter() + 4

    async def loop() -> None:
        while time.perf_counter() < ends:
            await online.send()

    await asyncio.gather(*(loop() for _ in range(PLACES)))
    return online.done / 4


async def measure_beside(report: Report, bed: Bed) -> None:
    """Measure harm to online and batch throughput."""
    capacity = await raw_capacity(bed)
    report.plain("engine capacity", capacity, "requests/s", f"{PLACES} in flight")
    await submit(bed.jobs, ORGANISATIONS[0], 30_000, "beside")
    without, _ = await bed.beside(bursts, BURST_RUN_SECONDS, batch=False)
    with_batch, _ = await bed.beside(bursts, BURST_RUN_SECONDS, batch=True)
    naive, _ = await bed.beside(bursts, BURST_RUN_SECONDS, batch=True, yielding=False)
    base = p99(without.latencies)
    note = f"bursts of {BURST_FACTOR}x over {BASE_RATE:g}/s, without: {base:.3f} s"
    note += f", {len(with_batch.latencies)} requests"
    ratio = p99(with_batch.latencies) / base
    report.at_most("online p99, with batch over without", ratio, "ratio", 1.15, note)
    report.plain("the same, no yielding", p99(naive.latencies) / base, "ratio")
    _, alone = await bed.beside(None, RUN_SECONDS, batch=True)
    rate = alone / bed.seconds / capacity
    note = f"{PLACES} places, {HEADROOM} of them headroom while online is seen"
    report.at_least("batch alone over capacity", rate, "ratio", 0.95, note)
    half = capacity / 2
    online, items = await bed.beside(lambda at: half, RUN_SECONDS, batch=True)
    seconds = bed.seconds
    spare = capacity - online.done / seconds
    share = items / seconds / spare
    note = f"online {online.done / seconds:.0f}/s"
    report.at_least("batch over spare capacity", share, "ratio", 0.8, note)


async def measure_step_back(report: Report, bed: Bed) -> None:
    """Measure the time from a peer's message until the places are free."""
    online = Online(bed.session, bed.addresses["engine"])
    feed = await bed.feed(online, True)
    task, times = asyncio.create_task(feed.run()), []
    for turn in range(10):
        while len(feed.in_flight_items) < PLACES - HEADROOM:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        started = time.perf_counter()
        feed.context.load.record("b", OnlineLoad("r", PLACES, 2 * turn + 1))
        while feed.in_flight_items:  # noqa: ASYNC110
            await asyncio.sleep(0.0005)
        times.append((time.perf_counter() - started) * 1000)
        feed.context.load.record("b", OnlineLoad("r", 0, 2 * turn + 2))
    await feed.stop()
    await task
    report.at_most("step back, longest of 10", max(times), "ms", 100.0)


async def measure_fairness(report: Report, bed: Bed) -> None:
    """Measure the worst share of eight uneven organisations."""
    sizes = [4000, 3000, 2000, 1000, 500, 40, 20, 10]
    for job, _ in await bed.jobs.active():
        await bed.jobs.finish(job, JobState.CANCELLED)
    for name, size in zip(ORGANISATIONS, sizes, strict=True):
        await submit(bed.jobs, name, size, "fair")
    _, total = await bed.beside(None, RUN_SECONDS, batch=True)
    demand = dict(zip(ORGANISATIONS, map(float, sizes), strict=True))
    level = max_min_level(demand, total)
    shares = [bed.costs.get(n, 0.0) / min(demand[n], level) for n in ORGANISATIONS]
    note = f"{total:.0f} items of equal cost, jobs of {sizes}"
    report.at_least("worst share of max-min", min(shares), "ratio", 0.95, note)


def max_min_level(demand: dict[str, float], total: float) -> float:
    """Return the level up to which each demand is served."""
    left, count = total, len(demand)
    for size in sorted(demand.values()):
        if size * count > left:
            return left / count
        left, count = left - size, count - 1
    return max(demand.values())


async def measure_large_job(report: Report, session, addresses) -> None:
    """Submit, run and read a job of 57,000 items over HTTP."""
    async with process("host", addresses["platform"]) as host:
        url, headers = host["url"], {"Authorization": f"Bearer {host['secret']}"}
        form = aiohttp.FormData({"purpose": "batch"}, default_to_multipart=True)
        form.add_field("file", input_lines(ITEMS, "large"), filename="in.jsonl")
        stalls = {}

        async def call(method, path, **options):
            options |= {"headers": headers}
            async with session.request(method, url + path, **options) as answer:
                assert answer.status == 200, await answer.text()
                return await answer.read()

        async def figures(step: str) -> dict:
            found = json.loads(await call("GET", "/figures"))
            stalls[step] = found["stall"] * 1000
            return found

        file = json.loads(await call("POST", "/v1/files", data=form))
        await figures("upload")
        asked = {"input_file_id": file["id"], "endpoint": ENDPOINT}
        asked["completion_window"] = "24h"
        name = json.loads(await call("POST", "/v1/batches", json=asked))["id"]
        await call("POST", "/feed")
        status = ""
        while status != "completed":
            await asyncio.sleep(0.2)
            status = json.loads(await call("GET", f"/v1/batches/{name}"))["status"]
        await figures("run")
        content = await call("GET", f"/v1/files/{name}-output/content")
        found = await figures("read")
    assert content.count(b"\n") == ITEMS
    for step, stall in stalls.items():
        report.at_most(f"longest stall, {step} {ITEMS} items", stall, "ms", 50.0)
    report.plain("memory added at peak", found["peak"] - found["base"], "MiB")


async def measure_writes(report: Report, session) -> None:
    """Count the writes of a whole job from the service's versions."""
    async with process("stand-ins") as addresses:
        await measure_large_job(report, session, addresses)
        client = create_platform_client(addresses["platform"], session)
        # Each write raises the version of the service by one.
        writes = (await client.list("none")).version
    per_thousand = writes / ITEMS * 1000
    report.at_most("store writes", per_thousand, "per 1000 items", 10.0)


async def measure() -> Report:
    """Run all parts."""
    report = Report("batch", 'make bench ARGS="batch"')
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with (
            process("stand-ins") as addresses,
            create_runner_session() as runner_session,
        ):
            bed = Bed(session, runner_session, addresses)
            await measure_beside(report, bed)
            await measure_step_back(report, bed)
            await measure_fairness(report, bed)
        await measure_writes(report, session)
    return report
