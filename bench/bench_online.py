"""Online path against a plain pass-through proxy, and runner selection algorithms."""

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
from bench.online_processes import STREAM_EVENTS
from bench.online_processes import create_tables
from bench.report import Report
from primroseford.configuration.edits import issue_key
from primroseford.demo.fleet import apply_documents
from primroseford.demo.fleet import host_settings
from primroseford.platform.client import create_platform_client

ROUNDS = 4
REQUESTS_PER_ROUND = 4_000
CONCURRENCY = 32
HALF_LOAD_REQUESTS = 3_000
"""Requests of one round; over all rounds a p99 is taken from 12,000 requests."""
STREAMS = 100
START_DELAY_SECONDS = 1.0
READY_SECONDS = 60.0
PEER_SECRET = "only-for-the-benchmark-" * 2
MEMORY_REQUESTS = 100_000
SEED = 1
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PATH = "/v1/chat/completions"
CHAT_BODY = json.dumps(
    {"model": "m", "messages": [{"role": "user", "content": "x" * 200}]}
)
HEADERS = {"Content-Type": "application/json"}
HEDGING_BODY = json.dumps({"model": "m", "messages": [], "max_tokens": 16})
SLOW_RUNNER_RUN_SECONDS = 80.0
HEDGE_AFTER_SECONDS = 0.4
HEDGE_REQUESTS_PER_SECOND = 60.0
HEDGE_REQUESTS = 1_200
STREAM_BODY = json.dumps({"model": "m", "messages": [], "stream": True})


class Process:
    """One process of the benchmark.

    :ivar address: IP address and port
    :ivar url: URL of the chat endpoint
    """

    def __init__(self, handle: asyncio.subprocess.Process, port: int) -> None:
        self.handle = handle
        self.address = f"127.0.0.1:{port}"
        self.url = f"http://{self.address}{PATH}"

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used."""
        with open(f"/proc/{self.handle.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def resident_mb(self) -> float:
        """Return the resident memory in MiB."""
        with open(f"/proc/{self.handle.pid}/statm") as file:
            pages = int(file.read().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def stop(self) -> None:
        """Terminate the process."""
        self.handle.terminate()
        await self.handle.wait()


async def start_process(role: str, backend: str = "") -> Process:
    """Start a role of :mod:`bench.online_processes` in its own process."""
    command = [sys.executable, "-m", "bench.online_processes", role, backend]
    handle = await asyncio.create_subprocess_exec(
        *command, stdout=asyncio.subprocess.PIPE
    )
    assert handle.stdout is not None
    return Process(handle, int(await handle.stdout.readline()))


async def start_daemon(
    session, folder: Path, platform: str, tables: list[dict]
) -> Process:
    """Write tables to the platform, start ``primrosefordd`` and wait until it serves.

    :param folder: folder for the settings and the peer secret
    :param platform: address of the platform's stand-in
    :param tables: objects, one of them the organisation ``o``
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
        assert line, "the daemon exited before it listened"
    listen = re.search(rb"listen='[\d.]+:(\d+)'", line)
    assert listen is not None, line
    process = Process(handle, int(listen[1]))
    async with asyncio.timeout(READY_SECONDS):
        while not await is_serving(session, process):  # noqa: ASYNC110
            await asyncio.sleep(0.1)
    return process


async def is_serving(session: aiohttp.ClientSession, process: Process) -> bool:
    """Return whether a request is answered with status 200."""
    async with session.post(process.url, data=CHAT_BODY, headers=HEADERS) as response:
        await response.read()
        return response.status == 200


async def post(session: aiohttp.ClientSession, url: str, body: str) -> bytes:
    """Send one request and return the body of the response."""
    async with session.post(url, data=body, headers=HEADERS) as response:
        content = await response.read()
        assert response.status == 200, content
        return content


async def measure_full_load_rate(session, process: Process, count: int) -> float:
    """Return requests per second of the process's CPU time, at full load."""

    async def send_requests(number: int) -> None:
        for _ in range(number):
            await post(session, process.url, CHAT_BODY)

    before = process.cpu_seconds()
    await asyncio.gather(
        *(send_requests(count // CONCURRENCY) for _ in range(CONCURRENCY))
    )
    return count / (process.cpu_seconds() - before)


async def measure_latencies(session, process: Process, rate: float) -> list[float]:
    """Return latencies in seconds of requests sent at a fixed rate (open loop)."""
    latencies: list[float] = []

    async def send_at(due: float) -> None:
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        started = time.perf_counter()
        await post(session, process.url, CHAT_BODY)
        latencies.append(time.perf_counter() - started)

    # The delay keeps the first requests from being sent in a burst while the tasks are
    # created.
    first = time.perf_counter() + START_DELAY_SECONDS
    await asyncio.gather(
        *(send_at(first + n / rate) for n in range(HALF_LOAD_REQUESTS))
    )
    return latencies


async def measure_chunk_rate(session, process: Process) -> float:
    """Return streamed chunks per second of the process's CPU time."""
    before = process.cpu_seconds()
    responses = await asyncio.gather(
        *(post(session, process.url, STREAM_BODY) for _ in range(STREAMS))
    )
    used = process.cpu_seconds() - before
    assert all(response.count(b"id: ") == STREAM_EVENTS for response in responses)
    return STREAMS * STREAM_EVENTS / used


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of unsorted values.

    :param fraction: for example 0.99 for the 99th percentile
    """
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))]


async def measure_forwarding(
    report: Report, session, passthrough: Process, daemon: Process
) -> None:
    """Compare the daemon with the pass-through proxy, in alternating rounds."""
    rates: dict[Process, list[float]] = {passthrough: [], daemon: []}
    latencies: dict[Process, list[float]] = {passthrough: [], daemon: []}
    chunks: dict[Process, list[float]] = {passthrough: [], daemon: []}
    for process in (passthrough, daemon):
        await measure_full_load_rate(session, process, REQUESTS_PER_ROUND)
    for _ in range(ROUNDS):
        for process in (passthrough, daemon):
            rates[process].append(
                await measure_full_load_rate(session, process, REQUESTS_PER_ROUND)
            )
    # Half of the rate that the slower process can serve; the same rate for both.
    half_rate = min(statistics.median(r) for r in rates.values()) / 2
    for _ in range(ROUNDS):
        for process in (passthrough, daemon):
            latencies[process] += await measure_latencies(session, process, half_rate)
            chunks[process].append(await measure_chunk_rate(session, process))
    for name, fraction in (("p50", 0.5), ("p99", 0.99)):
        passthrough_ms = percentile(latencies[passthrough], fraction) * 1000
        daemon_ms = percentile(latencies[daemon], fraction) * 1000
        note = (
            f"{daemon_ms:.2f} ms against {passthrough_ms:.2f} ms "
            f"at {half_rate:.0f} requests/s"
        )
        report.add_at_most(
            f"latency over pass-through, {name}",
            daemon_ms / passthrough_ms,
            "ratio",
            1.5,
            note,
        )
    daemon_rate, passthrough_rate = (
        statistics.median(rates[p]) for p in (daemon, passthrough)
    )
    note = f"{daemon_rate:.0f} against {passthrough_rate:.0f} requests/s per core"
    report.add_at_least(
        "requests per core", daemon_rate / passthrough_rate, "ratio", 0.7, note
    )
    daemon_chunks, passthrough_chunks = (
        statistics.median(chunks[p]) for p in (daemon, passthrough)
    )
    report.add_at_least(
        "chunks per core, ratio", daemon_chunks / passthrough_chunks, "ratio", 0.9
    )
    report.add_at_least("chunks per core", daemon_chunks, "1/s", 10_000)


async def measure_memory(report: Report, session, daemon: Process) -> None:
    """Compare the daemon's memory before and after many requests."""
    before = daemon.resident_mb()
    await measure_full_load_rate(session, daemon, MEMORY_REQUESTS)
    growth = daemon.resident_mb() - before
    report.add_at_most(
        "memory growth", growth, "MB", 2.0, f"over {MEMORY_REQUESTS} requests"
    )


async def measure_choosers(report: Report) -> None:
    """Compare the system's runner selection with naive algorithms on stand-ins."""
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
    own_p99 = p99.pop("own")
    load = f"live run, {request_rate():.0f} requests/s"
    for name, naive_p99 in p99.items():
        note = f"{own_p99:.0f} ms against {naive_p99:.0f} ms, {load}"
        report.add_at_most(
            f"first token p99 over {name}", own_p99 / naive_p99, "ratio", 1.0, note
        )
    # Each host ejects the slow runner after it has measured enough of its responses.
    slow = await run_live(None, SEED, SLOW_SPEEDS, SLOW_RUNNER_RUN_SECONDS)
    parts = (
        ("from the start", slow[: len(slow) // 2]),
        ("second half", slow[len(slow) // 2 :]),
    )
    for name, values in parts:
        value = percentile(values, 0.99) * 1000
        note = (
            f"{value:.0f} ms against {own_p99:.0f} ms, "
            f"{SLOW_RUNNER_RUN_SECONDS:.0f} s, {load}"
        )
        title = f"first token p99, one runner 5x slower, {name}"
        report.add_at_most(title, value / own_p99, "ratio", 1.3, note)


async def measure_latencies_with_slow_runner(hedge_after: float | None) -> list[float]:
    """Return latencies in seconds through a daemon with five runners, one of them slow.

    :param hedge_after: the route's hedging delay in seconds; no hedging if None
    """
    latencies: list[float] = []
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        addresses = await stack.enter_async_context(running_engines(SLOW_SPEEDS))
        platform = await start_process("platform")
        stack.push_async_callback(platform.stop)
        tables = create_tables(addresses, hedge_after)
        daemon = await start_daemon(session, Path(folder), platform.address, tables)
        stack.push_async_callback(daemon.stop)

        async def send_at(due: float) -> None:
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            started = time.perf_counter()
            await post(session, daemon.url, HEDGING_BODY)
            latencies.append(time.perf_counter() - started)

        first = time.perf_counter()
        await asyncio.gather(
            *(
                send_at(first + n / HEDGE_REQUESTS_PER_SECOND)
                for n in range(HEDGE_REQUESTS)
            )
        )
    return latencies


async def measure_hedging(report: Report) -> None:
    """Compare a route with and without hedging while one runner is slow."""
    without_hedging = (
        percentile(await measure_latencies_with_slow_runner(None), 0.99) * 1000
    )
    with_hedging = (
        percentile(await measure_latencies_with_slow_runner(HEDGE_AFTER_SECONDS), 0.99)
        * 1000
    )
    note = (
        f"{with_hedging:.0f} ms against {without_hedging:.0f} ms, "
        "weakest of 5 runners 5x slower, "
        f"{HEDGE_REQUESTS} requests at {HEDGE_REQUESTS_PER_SECOND:.0f}/s, hedge after "
        f"{HEDGE_AFTER_SECONDS * 1000:.0f} ms"
    )
    report.add_figure(
        "answer p99 with hedging over without",
        with_hedging / without_hedging,
        "ratio",
        note,
    )


async def measure() -> Report:
    """Run the benchmark."""
    report = Report("online", 'make bench ARGS="online"')
    # A garbage collection in the load generator would be measured as latency.
    gc.disable()
    connector = aiohttp.TCPConnector(limit=0)
    processes: list[Process] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            async with aiohttp.ClientSession(connector=connector) as session:
                backend, platform = (
                    await start_process("backend"),
                    await start_process("platform"),
                )
                processes += [backend, platform]
                passthrough = await start_process("passthrough", backend.address)
                processes.append(passthrough)
                daemon = await start_daemon(
                    session,
                    Path(folder),
                    platform.address,
                    create_tables([backend.address]),
                )
                processes.append(daemon)
                await measure_forwarding(report, session, passthrough, daemon)
                await measure_memory(report, session, daemon)
        finally:
            for process in reversed(processes):
                await process.stop()
    await measure_choosers(report)
    await measure_hedging(report)
    return report
