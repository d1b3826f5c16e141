"""Batch and online traffic on one runner, fairness, and a job of 57,000 items."""

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
from bench.batch_processes import SLOTS
from bench.batch_processes import create_configuration
from bench.batch_processes import create_feeder
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
"""Yields about 2,000 online requests, of which 20 are above the p99."""
SETTLE_SECONDS = 2.0
"""Idle time before each run, longer than the lag of the engine's load reports."""
ONLINE_TOKENS = 16
POLL_SECONDS = 0.5
BURST_SECONDS = 1.0
BURST_FACTOR = 5
BASE_RATE = 15.0
ENDPOINT = "/v1/chat/completions"
ROOT = Path(__file__).parent.parent


@contextlib.asynccontextmanager
async def run_process(*arguments: str):
    """Run a process of the benchmark and yield the addresses that it prints."""
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
    """Return an input file of ``count`` chat requests.

    :param salt: text that makes the requests differ from those of other files
    """
    lines = (
        {"custom_id": f"i{n}", "url": ENDPOINT, "body": request_body(f"{salt} {n}")}
        for n in range(count)
    )
    return b"\n".join(json.dumps(line).encode() for line in lines)


class OnlineClient:
    """Sends online requests directly to the engine and records their latencies.

    :ivar changed: called when the number of requests in flight changes
    """

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
        async with self.session.post(self.url + ENDPOINT, json=body) as response:
            await response.read()
        self.latencies.append(time.perf_counter() - started)
        self.in_flight -= 1
        self.done += 1
        self.changed()

    async def run(self, rate, seconds: float) -> None:
        """Send requests as a Poisson process.

        :param rate: returns requests a second at a time in seconds since the start
        """
        source, tasks, started = random.Random(7), [], time.perf_counter()
        next_at = 0.0
        while next_at < seconds:
            next_at += source.expovariate(rate(next_at))
            wait = started + next_at - time.perf_counter()
            await asyncio.sleep(max(0.0, wait))
            tasks.append(asyncio.create_task(self.send()))
        await asyncio.gather(*tasks)


def burst_rate(at: float) -> float:
    """Return the online rate: five times the base rate in every other second."""
    return BASE_RATE * (BURST_FACTOR if int(at / BURST_SECONDS) % 2 else 1)


async def submit(jobs: JobStore, organisation: str, count: int, salt: str) -> None:
    """Upload an input file and submit a job for it."""

    async def blocks():
        yield input_lines(count, salt)

    file_id, _ = await jobs.files.upload(organisation, "in.jsonl", blocks())
    key = f"{organisation}-{salt}"
    request = JobRequest(file_id, ENDPOINT, "24h", {}, key, 86_400.0)
    await jobs.submit(organisation, request)


class BatchSystem:
    """The batch components in this process, with stand-ins in another one.

    :ivar completed_items: successful items of the current run by organisation
    :ivar run_seconds: length of the last run without the settling time
    :ivar reports: (time, load) of the engine's load reports in the current run
    """

    def __init__(self, session, runner_session, addresses: dict[str, str]) -> None:
        self.session, self.addresses = session, addresses
        self.runner_session = runner_session
        client = create_platform_client(addresses["platform"], session)
        self.jobs = JobStore(client, FileStore(client, time.time), time.time)
        self.completed_items: dict[str, float] = {}
        self.run_seconds = 0.0
        self.reports: list[tuple[float, int]] = []

    async def create_counting_feeder(self, online: OnlineClient, preemption: bool):
        """Return a feeder of the active jobs that counts successful items.

        :param preemption: whether the feeder sees online load and keeps the headroom
        """
        address = self.addresses["engine"].removeprefix("http://")
        run_item, completed_items = (
            create_run_item(self.runner_session),
            self.completed_items,
        )
        feeder = create_feeder(
            self.jobs,
            create_configuration(address, {}),
            run_item,
            lambda name: online.in_flight if preemption else 0,
            lambda name: self.reports[-1] if self.reports and preemption else None,
        )
        handle_answer = feeder._handle_answer

        def count_completed(candidate, answer):
            organisation = candidate.chunk.job.organisation
            if answer.status == 200:
                completed_items[organisation] = (
                    completed_items.get(organisation, 0.0) + 1
                )
            handle_answer(candidate, answer)

        feeder._handle_answer = count_completed
        online.changed = lambda: feeder.context.load.changed("r")
        if not preemption:
            batch_settings = feeder.pool.batch.model_copy(update={"headroom": 0})
            feeder.pool = feeder.pool.model_copy(update={"batch": batch_settings})
        feeder.context.index.replace(await self.jobs.active(), set())
        return feeder

    async def poll_reports(self) -> None:
        """Poll the engine's load reports, as the load poller of the routing does."""
        while True:
            async with self.session.get(
                self.addresses["engine"] + "/v1/load"
            ) as response:
                load = await response.json()
            measured_at = boottime() - load["measured_ms_ago"] / 1000
            self.reports.append((measured_at, load["running"] + load["waiting"]))
            await asyncio.sleep(POLL_SECONDS)

    async def run_traffic(
        self, rate, seconds: float, batch: bool, preemption: bool = True
    ):
        """Run online traffic, batch traffic or both.

        :param rate: the online rate as a function of time; no online traffic if None
        :returns: the online client and the number of successful batch items
        """
        online = OnlineClient(self.session, self.addresses["engine"])
        await asyncio.sleep(SETTLE_SECONDS)
        self.completed_items.clear()
        feeder = (
            await self.create_counting_feeder(online, preemption) if batch else None
        )
        tasks = [asyncio.create_task(self.poll_reports())]
        if feeder is not None:
            tasks.append(asyncio.create_task(feeder.run()))
        started = time.perf_counter()
        if rate is None:
            await asyncio.sleep(seconds)
        else:
            await online.run(rate, seconds)
        items = sum(self.completed_items.values())
        self.run_seconds = time.perf_counter() - started
        for task in tasks:
            task.cancel()
        if feeder is not None:
            await feeder.stop()
        self.reports.clear()
        return online, items


def p99(values: list[float]) -> float:
    """Return the 99th percentile."""
    return statistics.quantiles(values, n=100)[98]


async def measure_engine_capacity(system: BatchSystem) -> float:
    """Return the engine's requests a second while all its slots are in use."""
    online, end_time = (
        OnlineClient(system.session, system.addresses["engine"]),
        time.perf_counter() + 4,
    )

    async def send_continuously() -> None:
        while time.perf_counter() < end_time:
            await online.send()

    await asyncio.gather(*(send_continuously() for _ in range(SLOTS)))
    return online.done / 4


async def measure_batch_beside_online(report: Report, system: BatchSystem) -> None:
    """Measure the online latency under batch load, and the batch throughput."""
    capacity = await measure_engine_capacity(system)
    report.add_figure("engine capacity", capacity, "requests/s", f"{SLOTS} in flight")
    await submit(system.jobs, ORGANISATIONS[0], 30_000, "beside")
    without_batch, _ = await system.run_traffic(
        burst_rate, BURST_RUN_SECONDS, batch=False
    )
    with_batch, _ = await system.run_traffic(burst_rate, BURST_RUN_SECONDS, batch=True)
    without_preemption, _ = await system.run_traffic(
        burst_rate, BURST_RUN_SECONDS, batch=True, preemption=False
    )
    base = p99(without_batch.latencies)
    note = f"bursts of {BURST_FACTOR}x over {BASE_RATE:g}/s, without: {base:.3f} s"
    note += f", {len(with_batch.latencies)} requests"
    ratio = p99(with_batch.latencies) / base
    report.add_at_most(
        "online p99, with batch over without", ratio, "ratio", 1.15, note
    )
    report.add_figure(
        "the same, no yielding", p99(without_preemption.latencies) / base, "ratio"
    )
    _, batch_only_items = await system.run_traffic(None, RUN_SECONDS, batch=True)
    rate = batch_only_items / system.run_seconds / capacity
    note = f"{SLOTS} places, {HEADROOM} of them headroom while online is seen"
    report.add_at_least("batch alone over capacity", rate, "ratio", 0.95, note)
    half_capacity = capacity / 2
    online, items = await system.run_traffic(
        lambda at: half_capacity, RUN_SECONDS, batch=True
    )
    seconds = system.run_seconds
    spare_capacity = capacity - online.done / seconds
    share = items / seconds / spare_capacity
    note = f"online {online.done / seconds:.0f}/s"
    report.add_at_least("batch over spare capacity", share, "ratio", 0.8, note)


async def measure_preemption(report: Report, system: BatchSystem) -> None:
    """Measure the time from a peer's load report until no batch item is in flight."""
    online = OnlineClient(system.session, system.addresses["engine"])
    feeder = await system.create_counting_feeder(online, True)
    task, milliseconds = asyncio.create_task(feeder.run()), []
    for repetition in range(10):
        while len(feeder.in_flight_items) < SLOTS - HEADROOM:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        started = time.perf_counter()
        feeder.context.load.record("b", OnlineLoad("r", SLOTS, 2 * repetition + 1))
        while feeder.in_flight_items:  # noqa: ASYNC110
            await asyncio.sleep(0.0005)
        milliseconds.append((time.perf_counter() - started) * 1000)
        feeder.context.load.record("b", OnlineLoad("r", 0, 2 * repetition + 2))
    await feeder.stop()
    await task
    report.add_at_most("step back, longest of 10", max(milliseconds), "ms", 100.0)


async def measure_fairness(report: Report, system: BatchSystem) -> None:
    """Measure the lowest share that one of eight uneven organisations receives.

    A share is the number of completed items over the organisation's max-min fair share.
    """
    sizes = [4000, 3000, 2000, 1000, 500, 40, 20, 10]
    for job, _ in await system.jobs.active():
        await system.jobs.finish(job, JobState.CANCELLED)
    for name, size in zip(ORGANISATIONS, sizes, strict=True):
        await submit(system.jobs, name, size, "fair")
    _, total = await system.run_traffic(None, RUN_SECONDS, batch=True)
    demand = dict(zip(ORGANISATIONS, map(float, sizes), strict=True))
    level = max_min_level(demand, total)
    shares = [
        system.completed_items.get(n, 0.0) / min(demand[n], level)
        for n in ORGANISATIONS
    ]
    note = f"{total:.0f} items of equal cost, jobs of {sizes}"
    report.add_at_least("worst share of max-min", min(shares), "ratio", 0.95, note)


def max_min_level(demand: dict[str, float], total: float) -> float:
    """Return the level up to which max-min fairness serves each demand."""
    remaining, unserved = total, len(demand)
    for size in sorted(demand.values()):
        if size * unserved > remaining:
            return remaining / unserved
        remaining, unserved = remaining - size, unserved - 1
    return max(demand.values())


async def measure_large_job(report: Report, session, addresses) -> None:
    """Submit and run a job of 57,000 items and read its results over HTTP."""
    async with run_process("host", addresses["platform"]) as host:
        url, headers = host["url"], {"Authorization": f"Bearer {host['secret']}"}
        form = aiohttp.FormData({"purpose": "batch"}, default_to_multipart=True)
        form.add_field("file", input_lines(ITEMS, "large"), filename="in.jsonl")
        stalls = {}

        async def send_request(method, path, **options):
            options |= {"headers": headers}
            async with session.request(method, url + path, **options) as response:
                assert response.status == 200, await response.text()
                return await response.read()

        async def read_figures(step: str) -> dict:
            figures = json.loads(await send_request("GET", "/figures"))
            stalls[step] = figures["stall"] * 1000
            return figures

        file = json.loads(await send_request("POST", "/v1/files", data=form))
        await read_figures("upload")
        batch_request = {"input_file_id": file["id"], "endpoint": ENDPOINT}
        batch_request["completion_window"] = "24h"
        batch_id = json.loads(
            await send_request("POST", "/v1/batches", json=batch_request)
        )["id"]
        await send_request("POST", "/feed")
        status = ""
        while status != "completed":
            await asyncio.sleep(0.2)
            status = json.loads(await send_request("GET", f"/v1/batches/{batch_id}"))[
                "status"
            ]
        await read_figures("run")
        content = await send_request("GET", f"/v1/files/{batch_id}-output/content")
        figures = await read_figures("read")
    assert content.count(b"\n") == ITEMS
    for step, stall in stalls.items():
        report.add_at_most(f"longest stall, {step} {ITEMS} items", stall, "ms", 50.0)
    report.add_figure("memory added at peak", figures["peak"] - figures["base"], "MiB")


async def measure_writes(report: Report, session) -> None:
    """Count the store writes of a large job by the store's version."""
    async with run_process("stand-ins") as addresses:
        await measure_large_job(report, session, addresses)
        client = create_platform_client(addresses["platform"], session)
        # Each write increments the version of the store by one.
        writes = (await client.list("none")).version
    per_thousand = writes / ITEMS * 1000
    report.add_at_most("store writes", per_thousand, "per 1000 items", 10.0)


async def measure() -> Report:
    """Run the benchmark."""
    report = Report("batch", 'make bench ARGS="batch"')
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with (
            run_process("stand-ins") as addresses,
            create_runner_session() as runner_session,
        ):
            system = BatchSystem(session, runner_session, addresses)
            await measure_batch_beside_online(report, system)
            await measure_preemption(report, system)
            await measure_fairness(report, system)
        await measure_writes(report, session)
    return report
