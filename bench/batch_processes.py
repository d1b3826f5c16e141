"""Processes of the batch benchmark: stand-ins and a host with the batch components.

Each process prints its addresses as one JSON line and serves until its standard input
is closed.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import time

import aiohttp
from aiohttp import web

from primroseford.batch.claimed_chunk import Claimer
from primroseford.batch.claimed_chunk import Holder
from primroseford.batch.feeder import FeederContext
from primroseford.batch.feeder import RunnerFeeder
from primroseford.batch.files import FileStore
from primroseford.batch.index import JobIndex
from primroseford.batch.jobs import JobStore
from primroseford.batch.load import LoadView
from primroseford.batch.routes import BatchApi
from primroseford.batch.routes import add_batch_routes
from primroseford.batch.runners import ItemAnswer
from primroseford.batch.runners import ItemRequest
from primroseford.clock import boottime
from primroseford.configuration.store import ConfigurationStore
from primroseford.errors import Outcome
from primroseford.keys.secrets import create_key
from primroseford.online.application import create_online_application
from primroseford.platform.client import create_platform_client
from primroseford.platform.objects import PlatformObject
from primroseford.standins.engine import EngineSettings
from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.serving import serve

SLOTS = 16
HEADROOM = 2
TICK_SECONDS = 0.001
ORGANISATIONS = tuple(f"org-{n}" for n in range(8))


class Permit:
    """A permit whose tokens are not counted."""

    def refund(self) -> None:
        """Do nothing."""


class UnlimitedLimiter:
    """Grants every request, so that rate limits do not affect the measurement."""

    async def acquire(self, organisation, amount, deadline, batch) -> Permit:
        """Return a permit without waiting."""
        return Permit()


async def answer_immediately(request: ItemRequest) -> ItemAnswer:
    """Return a successful response to an item without sending it to a runner."""
    await asyncio.sleep(0)
    body = json.dumps({"id": request.request_id}).encode()
    return ItemAnswer(200, body, Outcome.RAN)


def create_configuration(
    address: str, key_hashes: dict[str, str]
) -> ConfigurationStore:
    """Return a configuration with one runner and eight organisations."""
    store = ConfigurationStore()
    runner = {"name": "r", "address": address, "failure_domain": "d"}
    pool = {"runners": [runner], "max_in_flight": SLOTS}
    pool["batch"] = {"headroom": HEADROOM}
    route = {"match": {"models": ["van-round"]}, "pool": "vans", "repeatable": True}
    rows = [("pools", "vans", pool)]
    rows.append(("routes", "vans", route | {"organisations": list(ORGANISATIONS)}))
    for name in ORGANISATIONS:
        rows.append(("organisations", name, {"rate": 1e6, "burst": 1e6}))
    for key_id, key_hash in key_hashes.items():
        record = {"organisation": ORGANISATIONS[0], "hash": key_hash}
        rows.append(("keys", key_id, record))
    store.replace(1, [PlatformObject(k, n, 1, s) for k, n, s in rows])
    return store


def create_feeder(jobs, store, run_item, online, load_report=lambda name: None):
    """Return the feeder of the only runner, with a new feeder context."""
    context = FeederContext(
        jobs=jobs,
        claimer=Claimer(jobs, Holder("a", "a"), boottime),
        run_item=run_item,
        limiter=UnlimitedLimiter(),
        configuration=store,
        clock=boottime,
        index=JobIndex(),
        load=LoadView(online),
        load_report=load_report,
        live=lambda: frozenset({"a"}),
    )
    pool = store.current().pools["vans"]
    feeder = RunnerFeeder(context, pool, pool.runners[0])
    context.load.on_change(lambda name: feeder.wake.set())
    context.index.on_change(feeder.wake.set)
    return feeder


async def serve_stand_ins() -> None:
    """Serve the stand-ins of the platform and of one engine."""
    platform = create_platform_stand_in()
    app = create_platform_application(platform)
    platform_server = await serve(app)
    engine = create_engine_stand_in(EngineSettings(capacity=SLOTS))
    engine_server = await serve(create_engine_application(engine))
    await announce_and_wait(
        {"platform": platform_server.url, "engine": engine_server.url}
    )


def memory_mib(field: str) -> float:
    """Return a memory figure of this process in MiB.

    :param field: line of ``/proc/self/status``, for example ``VmHWM``
    """
    with open("/proc/self/status") as status:
        line = next(text for text in status if text.startswith(field))
    return int(line.split()[1]) / 1024


async def record_stalls(longest_stall: list[float]) -> None:
    """Record the longest stall of the event loop.

    :param longest_stall: its only element is updated, in seconds
    """
    while True:
        before = time.perf_counter()
        await asyncio.sleep(TICK_SECONDS)
        stall = time.perf_counter() - before - TICK_SECONDS
        longest_stall[0] = max(longest_stall[0], stall)


async def serve_host(platform_url: str) -> None:
    """Serve the batch interface, with a feeder whose items succeed immediately."""
    key = create_key()
    store = create_configuration("127.0.0.1:1", {key.key_id: key.hash})
    async with aiohttp.ClientSession() as session:
        client = create_platform_client(platform_url, session)
        files = FileStore(client, time.time)
        jobs = JobStore(client, files, time.time)
        feeder = create_feeder(jobs, store, answer_immediately, lambda name: 0)
        longest_stall, base_memory = [0.0], memory_mib("VmRSS")

        async def get_figures(request: web.Request) -> web.Response:
            figures = {
                "stall": longest_stall[0],
                "peak": memory_mib("VmHWM"),
                "base": base_memory,
            }
            longest_stall[0] = 0.0
            return web.json_response(figures)

        async def index_active_jobs(request: web.Request) -> web.Response:
            feeder.context.index.replace(await jobs.active(), set())
            return web.Response()

        app = create_online_application(store)
        app.router.add_get("/figures", get_figures)
        app.router.add_post("/feed", index_active_jobs)
        add_batch_routes(app, BatchApi(store, files, jobs))
        server = await serve(app)
        gc.collect()
        gc.freeze()  # as the daemon does at the end of its startup
        tasks = [
            asyncio.create_task(c) for c in (record_stalls(longest_stall), feeder.run())
        ]
        await announce_and_wait({"url": server.url, "secret": key.secret})
        for task in tasks:
            task.cancel()


async def announce_and_wait(addresses: dict[str, str]) -> None:
    """Print the addresses and wait until the parent closes standard input."""
    print(json.dumps(addresses), flush=True)
    await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    if sys.argv[1] == "stand-ins":
        asyncio.run(serve_stand_ins())
    else:
        asyncio.run(serve_host(sys.argv[2]))
