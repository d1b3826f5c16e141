"""Online path against a bare pass-through, and runner choosers against naive ones."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import re
import statistics
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
import yaml

from bench.chooser_live import SLOW_SPEEDS
from bench.chooser_live import least_reported_chooser
from bench.chooser_live import random_chooser
from bench.chooser_live import request_rate
from bench.chooser_live import round_robin_chooser
from bench.chooser_live import run_live
from bench.chooser_live import running_engines
from bench.online_processes import EVENTS
from bench.online_processes import documents
from bench.report import Report
from primroseford.configuration.edits import issue_key
from primroseford.demo.fleet import apply_documents
from primroseford.demo.fleet import host_settings
from primroseford.platform.client import create_platform_client

ROUNDS = 4
REQUESTS_PER_ROUND = 4_000
CONCURRENCY = 32
HALF_LOAD_REQUESTS = 3_000
"""In each of the rounds; a p99 then comes from 12,000 requests."""
STREAMS = 100
START_SECONDS = 1.0
READY_SECONDS = 60.0
PEER_SECRET = "only-for-the-benchmark-" * 2
MEMORY_REQUESTS = 100_000
SEED = 1
TICKS = os.sysconf("SC_CLK_TCK")
PATH = "/v1/chat/completions"
WHOLE = json.dumps({"model": "m", "messages": [{"role": "user", "content": "x" * 200}]})
HEADERS = {"Content-Type": "application/json"}
HEDGED = json.dumps({"model": "m", "messages": [], "max_tokens": 16})
SLOW_SECONDS = 80.0
HEDGE_SECONDS = 0.4
HEDGE_RATE = 60.0
HEDGE_REQUESTS = 1_200
STREAM = json.dumps({"model": "m", "messages": [], "stream": True})


class Process:
    """One process of the benchmark.

    :param url: base URL
    """

    def __init__(self, handle: asyncio.subprocess.Process, port: int) -> None:
        self.handle = handle
        self.address = f"127.0.0.1:{port}"
        self.url = f"http://{self.address}{PATH}"

    def cpu_seconds(self) -> float:
        """Return the processor time used so far."""
        with open(f"/proc/{self.handle.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def resident_mb(self) -> float:
        """Return the resident memory."""
        with open(f"/proc/{self.handle.pid}/statm") as file:
            pages = int(file.read().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def stop(self) -> None:
        """End the process."""
        self.handle.terminate()
        await self.handle.wait()


async def start(role: str, backend: str = "") -> Process:
    """Start a role in its own process."""
    command = [sys.executable, "-m", "bench.online_processes", role, backend]
    handle = await asyncio.create_subprocess_exec(
        *command, stdout=asyncio.subprocess.PIPE
    )
    assert handle.stdout is not None
    return Process(handle, int(await handle.stdout.readline()))


async def start_daemon(
    session, folder: Path, platform: str, tables: list[dict]
) -> Process:
    """Start ``primrosefordd`` with tables on the platform; return it once it admits.

    :param folder: where the settings and the peer secret are written
    :param platform: address of the platform's stand-in
    :param tables: documents with the organisation ``o``
    """
    client = create_platform_client(f"http://{platform}", session)
    await apply_documents(client, tables)
    HEADERS["Authorization"] = f"Bearer {(await issue_key(client, 'o')).secret}"
    secret_file = folder / "peer-secret"
    secret_file.write_text(PEER_SECRET)
    secret_file.chmod(0o600)
    settings = host_settings(1, f"http://{platform}", secret_file)
    settings_file = folder / "settings.yaml"
    settings_file.write_text(yaml.safe_dump(settings.model_dump(mode="json")))
    command = [sys.executable, "-m", "primroseford.daemon.main"]
    handle = await asyncio.create_subprocess_exec(
        *command, "--settings", str(settings_file), stderr=asyncio.subprocess.PIPE
    )
    assert handle.stderr is not None
    while b"'host started'" not in (line := await handle.stderr.readline()):
        assert line, "the daemon ended before it listened"
    listen = re.search(rb"listen='[\d.]+:(\d+)'", line)
    assert listen is not None, line
    process = Process(handle, int(listen[1]))
    async with asyncio.timeout(READY_SECONDS):
        while not await serves(session, process):  # noqa: ASYNC110
            await asyncio.sleep(0.1)
    return process


async def serves(session: aiohttp.ClientSession, process: Process) -> bool:
    """Return whether a request gets its answer."""
    async with session.post(process.url, data=WHOLE, headers=HEADERS) as answer:
        await answer.read()
        return answer.status == 200


async def post(session: aiohttp.ClientSession, url: str, body: str) -> bytes:
    """Send one request and return the whole answer."""
    async with session.post(url, data=body, headers=HEADERS) as answer:
        content = await answer.read()
        assert answer.status == 200, content
        return content


async def saturate(session, process: Process, count: int) -> float:
    """Return requests a second per core of the process, at full load."""

    async def work(number: int) -> None:
        for _ in range(number):
            await post(session, process.url, WHOLE)

    before = process.cpu_seconds()
    await asyncio.gather(*(work(count // CONCURRENCY) for _ in range(CONCURRENCY)))
    return count / (process.cpu_seconds() - before)


async def paced(session, process: Process, rate: float) -> list[float]:
    """Return latencies in seconds at a fixed rate, sent on schedule."""
    latencies: list[float] = []

    async def one(due: float) -> None:
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        begun = time.perf_counter()
        await post(session, process.url, WHOLE)
        latencies.append(time.perf_counter() - begun)

    # Starts later, so that creating the tasks does not send the first ones in a burst.
    first = time.perf_counter() + START_SECONDS
    await asyncio.gather(*(one(first + n / rate) for n in range(HALF_LOAD_REQUESTS)))
    return latencies


async def streamed(session, process: Process) -> float:
    """Return streamed chunks a second per core of the process."""
    before = process.cpu_seconds()
    answers = await asyncio.gather(
        *(post(session, process.url, STREAM) for _ in range(STREAMS))
    )
    used = process.cpu_seconds() - before
    assert all(answer.count(b"id: ") == EVENTS for answer in answers)
    return STREAMS * EVENTS / used


def percentile(values: list[float], part: float) -> float:
    """Return a percentile of unsorted values."""
    return sorted(values)[min(len(values) - 1, int(len(values) * part))]


async def measure_relay(report: Report, session, bare: Process, own: Process) -> None:
    """Compare the system with the pass-through, in alternating rounds."""
    rates: dict[Process, list[float]] = {bare: [], own: []}
    latencies: dict[Process, list[float]] = {bare: [], own: []}
    chunks: dict[Process, list[float]] = {bare: [], own: []}
    for process in (bare, own):
        await saturate(session, process, REQUESTS_PER_ROUND)
    for _ in range(ROUNDS):
        for process in (bare, own):
            rates[process].append(await saturate(session, process, REQUESTS_PER_ROUND))
    # Half of what the slower of the two can serve, equal for both.
    half = min(statistics.median(r) for r in rates.values()) / 2
    for _ in range(ROUNDS):
        for process in (bare, own):
            latencies[process] += await paced(session, process, half)
            chunks[process].append(await streamed(session, process))
    for name, part in (("p50", 0.5), ("p99", 0.99)):
        bare_ms = percentile(latencies[bare], part) * 1000
        own_ms = percentile(latencies[own], part) * 1000
        note = f"{own_ms:.2f} ms against {bare_ms:.2f} ms at {half:.0f} requests/s"
        report.at_most(
            f"latency over pass-through, {name}", own_ms / bare_ms, "ratio", 1.5, note
        )
    own_rate, bare_rate = (statistics.median(rates[p]) for p in (own, bare))
    note = f"{own_rate:.0f} against {bare_rate:.0f} requests/s per core"
    report.at_least("requests per core", own_rate / bare_rate, "ratio", 0.7, note)
    own_chunks, bare_chunks = (statistics.median(chunks[p]) for p in (own, bare))
    report.at_least("chunks per core, ratio", own_chunks / bare_chunks, "ratio", 0.9)
    report.at_least("chunks per core", own_chunks, "1/s", 10_000)


async def measure_memory(report: Report, session, own: Process) -> None:
    """Compare the memory before and after many requests."""
    before = own.resident_mb()
    await saturate(session, own, MEMORY_REQUESTS)
    grown = own.resident_mb() - before
    report.at_most(
        "memory growth", grown, "MB", 2.0, f"over {MEMORY_REQUESTS} requests"
    )


async def measure_choosers(report: Report) -> None:
    """Compare the chooser with naive ones on live engine stand-ins."""
    choosers = {
        "own": lambda: None,
        "random": lambda: random_chooser,
        "round robin": round_robin_chooser,
        "least reported load": lambda: least_reported_chooser,
    }
    p99 = {
        name: percentile(await run_live(create(), SEED), 0.99) * 1000
        for name, create in choosers.items()
    }
    own = p99.pop("own")
    load = f"live run, {request_rate():.0f} requests/s"
    for name, other in p99.items():
        note = f"{own:.0f} ms against {other:.0f} ms, {load}"
        report.at_most(f"first token p99 over {name}", own / other, "ratio", 1.0, note)
    # Each host ejects the slow runner once it has seen enough answers of it.
    slow = await run_live(None, SEED, SLOW_SPEEDS, SLOW_SECONDS)
    parts = (
        ("from the start", slow[: len(slow) // 2]),
        ("second half", slow[len(slow) // 2 :]),
    )
    for name, values in parts:
        value = percentile(values, 0.99) * 1000
        note = f"{value:.0f} ms against {own:.0f} ms, {SLOW_SECONDS:.0f} s, {load}"
        title = f"first token p99, one runner 5x slower, {name}"
        report.at_most(title, value / own, "ratio", 1.3, note)


async def late_answers(hedge_after: float | None) -> list[float]:
    """Return latencies in seconds through a daemon with one slow runner of five.

    :param hedge_after: the route's setting in seconds
    """
    latencies: list[float] = []
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        addresses = await stack.enter_async_context(running_engines(SLOW_SPEEDS))
        platform = await start("platform")
        stack.push_async_callback(platform.stop)
        tables = documents(addresses, hedge_after)
        own = await start_daemon(session, Path(folder), platform.address, tables)
        stack.push_async_callback(own.stop)

        async def one(due: float) -> None:
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            begun = time.perf_counter()
            await post(session, own.url, HEDGED)
            latencies.append(time.perf_counter() - begun)

        first = time.perf_counter()
        await asyncio.gather(
            *(one(first + n / HEDGE_RATE) for n in range(HEDGE_REQUESTS))
        )
    return latencies


async def measure_hedging(report: Report) -> None:
    """Compare a route with and without hedging while one runner is slow."""
    plain = percentile(await late_answers(None), 0.99) * 1000
    hedged = percentile(await late_answers(HEDGE_SECONDS), 0.99) * 1000
    note = (
        f"{hedged:.0f} ms against {plain:.0f} ms, weakest of 5 runners 5x slower, "
        f"{HEDGE_REQUESTS} requests at {HEDGE_RATE:.0f}/s, hedge after "
        f"{HEDGE_SECONDS * 1000:.0f} ms"
    )
    report.plain("answer p99 with hedging over without", hedged / plain, "ratio", note)


async def measure() -> Report:
    """Run the benchmark."""
    report = Report("online", 'make bench ARGS="online"')
    # A collection in the load generator would count as latency of what it measures.
    gc.disable()
    connector = aiohttp.TCPConnector(limit=0)
    processes: list[Process] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            async with aiohttp.ClientSession(connector=connector) as session:
                backend, platform = await start("backend"), await start("platform")
                processes += [backend, platform]
                bare = await start("passthrough", backend.address)
                processes.append(bare)
                own = await start_daemon(
                    session,
                    Path(folder),
                    platform.address,
                    documents([backend.address]),
                )
                processes.append(own)
                await measure_relay(report, session, bare, own)
                await measure_memory(report, session, own)
        finally:
            for process in reversed(processes):
                await process.stop()
    await measure_choosers(report)
    await measure_hedging(report)
    return report
