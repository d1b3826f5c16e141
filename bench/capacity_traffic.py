"""Costs of online requests and batch items on one host of a small fleet."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import replace
from typing import TYPE_CHECKING

import aiohttp

from bench.capacity_fleet import MODEL
from bench.capacity_fleet import FleetSize
from bench.capacity_fleet import running_fleet
from bench.fit import add_slope

if TYPE_CHECKING:
    from bench.capacity_fleet import Fleet
    from bench.report import Report

SETTLE_SECONDS = 7.0
WINDOW_SECONDS = 8.0
REQUEST_RATES = (20, 60, 120)
STREAM_COUNTS = (50, 150, 300)
JOB_SIZES = (500, 1500, 3000)
CHUNK_SECONDS = 0.25
ENDPOINT = "/v1/chat/completions"
FAST_ENGINE = (
    "capacity=2000",
    "slowdown=0",
    "token_seconds=0.001",
    "prefill_seconds=0.001",
)
SLOW_ENGINE = ("capacity=2000", "slowdown=0", f"token_seconds={CHUNK_SECONDS}")
GRANT_MESSAGE_KIND = "200"


def chat_request(text: str, tokens: int, stream: bool) -> dict:
    """Return a chat request."""
    message = {"role": "user", "content": text}
    request = {"model": MODEL, "messages": [message], "max_tokens": tokens}
    return request | {"stream": True} if stream else request


async def send(fleet: Fleet, number: int, tokens: int, stream: bool) -> bool:
    """Send a request to the first host; return whether it succeeds."""
    url = f"http://{fleet.hosts[0]['callers']}{ENDPOINT}"
    headers = {"Authorization": f"Bearer {fleet.key}", "X-Request-Timeout-Ms": "60000"}
    content = chat_request(f"request {number}", tokens, stream)
    async with fleet.session.post(url, json=content, headers=headers) as response:
        await response.read()
        return response.status == 200


async def run_rate(rate: int) -> tuple[float, float, float, int]:
    """Return CPU share, grant messages and bytes a second, and failures.

    :param rate: requests a second
    """
    async with running_fleet(FleetSize(engine=FAST_ENGINE)) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        before = await fleet.read(0)
        tasks, started = [], time.perf_counter()
        for number in range(int(rate * WINDOW_SECONDS)):
            due = started + number / rate - time.perf_counter()
            await asyncio.sleep(max(0.0, due))
            tasks.append(asyncio.create_task(send(fleet, number, 2, False)))
        failed = (await asyncio.gather(*tasks)).count(False)
        elapsed = time.perf_counter() - started
        after = await fleet.read(0)
        cpu_share = (after.cpu - before.cpu) / elapsed
        names = ("primroseford_peer_messages_total", "primroseford_peer_bytes_total")
        messages, size = (
            (
                after.total(n, kind=GRANT_MESSAGE_KIND)
                - before.total(n, kind=GRANT_MESSAGE_KIND)
            )
            / elapsed
            for n in names
        )
        return cpu_share, messages, size, failed


async def run_streams(count: int) -> tuple[float, float]:
    """Return CPU share and resident bytes of a host with open streams."""
    async with running_fleet(FleetSize(engine=SLOW_ENGINE)) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        tokens = int((WINDOW_SECONDS + SETTLE_SECONDS) / CHUNK_SECONDS)
        tasks = [
            asyncio.create_task(send(fleet, n, tokens, True)) for n in range(count)
        ]
        await asyncio.sleep(SETTLE_SECONDS / 2)
        before, started = await fleet.read(0), time.perf_counter()
        await asyncio.sleep(WINDOW_SECONDS)
        after = await fleet.read(0)
        elapsed = time.perf_counter() - started
        succeeded = await asyncio.gather(*tasks)
        if not all(succeeded):
            raise RuntimeError(
                f"{succeeded.count(False)} of {count} streams were refused"
            )
        return (after.cpu - before.cpu) / elapsed, after.memory


async def run_job(items: int) -> tuple[float, float, float]:
    """Return CPU seconds, platform writes and duration in seconds of one job."""
    size = replace(FleetSize(engine=FAST_ENGINE), hosts=1, domains=1)
    async with running_fleet(size) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        base = f"http://{fleet.hosts[0]['callers']}/v1"
        headers = {"Authorization": f"Bearer {fleet.key}"}
        lines = [
            json.dumps(
                {"custom_id": f"i{n}", "method": "POST", "url": ENDPOINT}
                | {"body": chat_request(f"item {n}", 2, False)}
            )
            for n in range(items)
        ]
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        form.add_field("file", "\n".join(lines).encode(), filename="i.jsonl")
        before, started = await fleet.read(0), time.perf_counter()
        post, get = fleet.session.post, fleet.session.get
        async with post(base + "/files", data=form, headers=headers) as response:
            request = {"input_file_id": (await response.json())["id"]}
        request |= {"endpoint": ENDPOINT, "completion_window": "24h"}
        async with post(base + "/batches", json=request, headers=headers) as response:
            job_id = (await response.json())["id"]
        status = ""
        async with asyncio.timeout(120):
            while status != "completed":
                await asyncio.sleep(0.25)
                url = f"{base}/batches/{job_id}"
                async with get(url, headers=headers) as response:
                    status = (await response.json())["status"]
        after = await fleet.read(0)
        metric = "primroseford_platform_calls_total"
        writes = sum(
            after.total(metric, verb=verb, purpose="other")
            - before.total(metric, verb=verb, purpose="other")
            for verb in ("POST", "PUT")
        )
        return after.cpu - before.cpu, writes, time.perf_counter() - started


async def measure_traffic(report: Report) -> None:
    """Add the costs of requests, streams and batch items."""
    results = await asyncio.gather(*(run_rate(r) for r in REQUEST_RATES))
    rates = list(zip(REQUEST_RATES, results, strict=True))
    failed = sum(results[3] for _, results in rates)
    note = f"3 hosts, all requests at one; {failed} failed"
    add_slope(
        report, "request", [(r, result[0]) for r, result in rates], "us", 1e6, note
    )
    points = [(r, result[1]) for r, result in rates]
    add_slope(report, "grant messages of a request", points, "messages", note=note)
    points = [(r, result[2]) for r, result in rates]
    add_slope(report, "grant bytes of a request", points, "bytes", note=note)
    results = await asyncio.gather(*(run_streams(n) for n in STREAM_COUNTS))
    streams = list(zip(STREAM_COUNTS, results, strict=True))
    points = [(n / CHUNK_SECONDS, result[0]) for n, result in streams]
    add_slope(report, "streamed chunk", points, "us", 1e6)
    points = [(n, result[1]) for n, result in streams]
    add_slope(report, "open stream", points, "kB", 1e-3, "resident memory")
    results = await asyncio.gather(*(run_job(n) for n in JOB_SIZES))
    jobs = list(zip(JOB_SIZES, results, strict=True))
    note = "upload, run and results of one job on one host"
    add_slope(
        report, "batch item", [(n, result[0]) for n, result in jobs], "us", 1e6, note
    )
    points = [(n / 500, result[1]) for n, result in jobs]
    add_slope(report, "platform writes of a chunk", points, "writes", note=note)
