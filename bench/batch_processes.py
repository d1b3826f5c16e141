"""Processes of the batch benchmark: stand-ins and a host with the batch slice.

Each prints one JSON line with its addresses and serves until its input ends.
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

PLACES = 16
HEADROOM = 2
TICK_SECONDS = 0.001
ORGANISATIONS = tuple(f"org-{n}" for n in range(8))


class Permit:
    """A token that is not counted."""

    def refund(self) -> None:
        """Do nothing."""


class OpenLimiter:
    """Grants every request, so that rates do not bound the measurement."""

    async def acquire(self, organisation, amount, deadline, batch) -> Permit:
        """Grant a token."""
        return Permit()


async def answer_at_once(request: ItemRequest) -> ItemAnswer:
    """Answer an item without a runner."""
    await asyncio.sleep(0)
    body = json.dumps({"id": request.request_id}).encode()
    return ItemAnswer(200, body, Outcome.RAN)


def tables(address: str, secrets: dict[str, str]) -> ConfigurationStore:
    """Return a configuration with one runner and eight organisations."""
    store = ConfigurationStore()
    runner = {"name": "r", "address": address, "failure_domain": "d"}
    pool = {"runners": [runner], "max_in_flight": PLACES}
    pool["batch"] = {"headroom": HEADROOM}
    route = {"match": {"models": ["van-round"]}, "pool": "vans", "repeatable": True}
    rows = [("pools", "vans", pool)]
    rows.append(("routes", "vans", route | {"organisations": list(ORGANISATIONS)}))
    for name in ORGANISATIONS:
        rows.append(("organisations", name, {"rate": 1e6, "burst": 1e6}))
    for key_id, key_hash in secrets.items():
        record = {"organisation": ORGANISATIONS[0], "hash": key_hash}
        rows.append(("keys", key_id, record))
    store.replace(1, [PlatformObject(k, n, 1, s) for k, n, s in rows])
    return store


def create_feed(jobs, store, run_item, online, load_report=lambda name: None):
    """Return a feeder of the only runner with its shared context."""
    context = FeederContext(
        jobs=jobs,
        claimer=Claimer(jobs, Holder("a", "a"), boottime),
        run_item=run_item,
        limiter=OpenLimiter(),
        configuration=store,
        clock=boottime,
        index=JobIndex(),
        load=LoadView(online),
        load_report=load_report,
        live=lambda: frozenset({"a"}),
    )
    pool = store.current().pools["vans"]
    feed = RunnerFeeder(context, pool, pool.runners[0])
    context.load.on_change(lambda name: feed.wake.set())
    context.index.on_change(feed.wake.set)
    return feed


async def serve_stand_ins() -> None:
    """Serve the platform and one engine."""
    platform = create_platform_stand_in()
    app = create_platform_application(platform)
    served = await serve(app)
    engine = create_engine_stand_in(EngineSettings(capacity=PLACES))
    engine_served = await serve(create_engine_application(engine))
    await announce({"platform": served.url, "engine": engine_served.url})


def memory_mib(field: str) -> float:
    """Return a memory figure of this process, for example ``VmHWM``."""
    with open("/proc/self/status") as status:
        line = next(text for text in status if text.startswith(field))
    return int(line.split()[1]) / 1024


async def watch_loop(longest: list[float]) -> None:
    """Keep the longest stall of the event loop, in seconds."""
    while True:
        before = time.perf_counter()
        await asyncio.sleep(TICK_SECONDS)
        stall = time.perf_counter() - before - TICK_SECONDS
        longest[0] = max(longest[0], stall)


async def serve_host(platform_url: str) -> None:
    """Serve the batch interface and a feeder with an immediate runner."""
    key = create_key()
    store = tables("127.0.0.1:1", {key.key_id: key.hash})
    async with aiohttp.ClientSession() as session:
        client = create_platform_client(platform_url, session)
        files = FileStore(client, time.time)
        jobs = JobStore(client, files, time.time)
        feed = create_feed(jobs, store, answer_at_once, lambda name: 0)
        longest, base = [0.0], memory_mib("VmRSS")

        async def figures(request: web.Request) -> web.Response:
            found = {"stall": longest[0], "peak": memory_mib("VmHWM"), "base": base}
            longest[0] = 0.0
            return web.json_response(found)

        async def feed_jobs(request: web.Request) -> web.Response:
            feed.context.index.replace(await jobs.active(), set())
            return web.Response()

        app = create_online_application(store)
        app.router.add_get("/figures", figures)
        app.router.add_post("/feed", feed_jobs)
        add_batch_routes(app, BatchApi(store, files, jobs))
        served = await serve(app)
        gc.collect()
        gc.freeze()  # as the daemon does after its start
        tasks = [asyncio.create_task(c) for c in (watch_loop(longest), feed.run())]
        await announce({"url": served.url, "secret": key.secret})
        for task in tasks:
            task.cancel()


async def announce(addresses: dict[str, str]) -> None:
    """Print the addresses and wait until the parent closes the input."""
    print(json.dumps(addresses), flush=True)
    await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    if sys.argv[1] == "stand-ins":
        asyncio.run(serve_stand_ins())
    else:
        asyncio.run(serve_host(sys.argv[2]))
