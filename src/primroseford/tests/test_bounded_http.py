"""Calls to addresses at which a faulty program answers without end."""

from __future__ import annotations

import asyncio

import pytest

from primroseford.gateway.peer_bootstrap import create_peer_reader
from primroseford.ids import JobId
from primroseford.ids import Version
from primroseford.jobs.peers import JobPeers
from primroseford.jobs.results_watch import ResultsWatch
from primroseford.jobs.results_watch import create_segment_status_reader
from primroseford.online.exchange import create_runner_session
from primroseford.platform.transport import create_session
from primroseford.platform.transport import probe_service
from primroseford.routing.poller import create_load_poller
from primroseford.standins.hostile_runner import HostileRunner
from primroseford.standins.hostile_runner import ResponseFault

JOB = JobId("job1")
SECONDS = 3.0
ACCEPTED_BYTES = {
    "segment status": 4096,
    "load report": 1024 * 1024,
    "peer's lists": 16 * 1024 * 1024,
    "peer's job": 32 * 1024 * 1024,
    "probe of the store": 64 * 1024 * 1024,
}
"""Bytes that a host may accept of each response."""
BUFFER_BYTES = 12 * 1024 * 1024
"""Bytes that may be in the buffers of a connection."""


@pytest.fixture
async def endless():
    """Return a program whose responses have no end, and its URL."""
    runner = HostileRunner("h-0", ResponseFault.ENDLESS_BODY)
    server = await asyncio.start_server(runner.handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    yield runner, f"http://127.0.0.1:{port}"
    server.close()


async def read_segment_status(url, session, client, metrics):
    clock = asyncio.get_running_loop().time
    watch = ResultsWatch(client, clock)
    watch.version = Version(1)
    await create_segment_status_reader(session, watch, lambda: url)(JOB)


async def read_load_report(url, session, client, metrics):
    poller = create_load_poller(None, None, session, metrics)
    view = type("View", (), {"runner": type("Runner", (), {"address": url[7:]})})
    await poller._poll_runner(view, with_cache=False)


async def read_lists(url, session, client, metrics):
    await create_peer_reader(session, lambda: [url])()


async def read_job(url, session, client, metrics):
    clock = asyncio.get_running_loop().time
    await JobPeers(session, lambda _: [url], lambda _: [], clock).load(JOB)


async def probe_store(url, session, client, metrics):
    await probe_service(session, url, 1.0)


CALLS = {
    "segment status": read_segment_status,
    "load report": read_load_report,
    "peer's lists": read_lists,
    "peer's job": read_job,
    "probe of the store": probe_store,
}


@pytest.mark.parametrize("name", CALLS)
async def test_response_without_end_is_kept_in_memory(name, endless, client, metrics):
    """Guards against a host that keeps what a program at a reused address sends."""
    runner, url = endless
    create = create_runner_session if name == "load report" else create_session
    async with create() as session, asyncio.timeout(SECONDS):
        await CALLS[name](url, session, client, metrics)
    async with asyncio.timeout(SECONDS):
        while runner.open:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    assert 0 < runner.sent < ACCEPTED_BYTES[name] + BUFFER_BYTES
