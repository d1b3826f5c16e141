"""Memory of a host process while callers hold incomplete requests and responses."""

from __future__ import annotations

import asyncio
import base64
import fcntl
import json
import os
import socket
import tempfile
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import pytest

from primroseford.jobs import store
from primroseford.soak.fleet import SoakFleet
from primroseford.standins.fleet_objects import HOST
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import runner_entry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Iterator

    from primroseford.soak.processes import HostProcess

MEMORY_MB = 160
"""``limits.memory_mb`` of the host; its process has 59 MB without any load."""
MAX_MEMORY_BYTES = MEMORY_MB * 1_000_000
CROWD = 64
"""Connections of a crowd, whose bodies together exceed the limit of memory."""
MAX_DESCRIPTORS = CROWD + 64
"""Bound of open descriptors; a host without load has 15."""
LARGEST_BODY_BYTES = 4 * 1024 * 1024
WITHHELD_BYTES = 64 * 1024
PIECE_BYTES = 64 * 1024
SMALL_PIECE_BYTES = 4 * 1024
ITEM_BYTES = 2_900_000
"""Decoded body of a batch item that slow readers request."""
JOBS = 40
"""Jobs that one caller submits; with ``ITEM_BYTES`` each has 3.9 MB in base64."""
RECEIVE_BUFFER_BYTES = 4 * 1024
"""Receive buffer of a slow reader, so that the kernel holds little for it."""
QUIET_SECONDS = 3.0
"""Time without progress of a crowd, or change of the host's memory, after which the
crowd has stalled."""
STEP_TIMEOUT_SECONDS = 40.0
"""Time limit of each step; only a host that hangs reaches it."""
LOCK = Path(tempfile.gettempdir()) / f"primroseford-host-memory-{os.getuid()}.lock"


@pytest.fixture(autouse=True)
def alone() -> Iterator[None]:
    """Let one test of this module run at a time, over all test processes."""
    with LOCK.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


@pytest.fixture
async def fleet(tmp_path) -> AsyncIterator[SoakFleet]:
    """Return a fleet of one host with little memory and one runner."""
    fleet = SoakFleet(tmp_path, limits={"memory_mb": MEMORY_MB})
    try:
        await fleet.start(1, 1, version="v1")
        async with asyncio.timeout(STEP_TIMEOUT_SECONDS):
            while await request(fleet, "/ping/whole") != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        yield fleet
    finally:
        await fleet.stop()


async def request(
    fleet: SoakFleet, path: str, body: bytes = b"prompt", request_id: str = "ordinary"
) -> int:
    """Send an ordinary request; return the status, or 0 without a response."""
    headers = {"Host": HOST, "Request-Id": request_id, "Api-Key": KEY}
    try:
        async with aiohttp.ClientSession() as session:
            url = fleet.hosts[0].ingress + path
            async with session.post(url, data=body, headers=headers) as response:
                await response.read()
                return response.status
    except (aiohttp.ClientError, OSError):
        return 0


async def submit_job(fleet: SoakFleet, job: str, path: str = "/notes/whole") -> int:
    """Submit a job of one large item; return the status, or 0 without a response.

    :param path: path of the item; runners answer one that ends with ``whole`` without
        events, so that it never gets a result
    """
    item = {
        "id": "large",
        "path": path,
        "headers": {},
        "body": base64.b64encode(b"x" * ITEM_BYTES).decode(),
        "tokens": 10,
    }
    body = json.dumps({"items": [item]}).encode()
    return await request(fleet, "/notes/x", body, job)


async def served(fleet: SoakFleet, path: str, body: bytes = b"prompt") -> bool:
    """Return whether a request is served; it is repeated after a refusal."""
    with suppress(TimeoutError):
        async with asyncio.timeout(STEP_TIMEOUT_SECONDS):
            while fleet.hosts[0].running:
                if await request(fleet, path, body) == 200:
                    return True
                await asyncio.sleep(0.2)
    return False


@dataclass(frozen=True)
class Incomplete:
    """Requests whose bodies lack their end.

    :param chunked: whether the bodies are sent in chunks, without a length
    :param pause: seconds between two pieces
    """

    path: str = "/ping/whole"
    key: str = KEY
    chunked: bool = False
    piece: int = PIECE_BYTES
    pause: float = 0.0

    def head(self, number: int) -> bytes:
        """Return the head of one request."""
        length = f"Content-Length: {LARGEST_BODY_BYTES}"
        framing = "Transfer-Encoding: chunked" if self.chunked else length
        key = f"Api-Key: {self.key}\r\n" if self.key else ""
        return (
            f"POST {self.path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: crowd-{number}\r\n{key}{framing}\r\n\r\n"
        ).encode()

    def pieces(self) -> Iterator[bytes]:
        """Yield what is sent of a body."""
        data = b"x" * self.piece
        if self.chunked:
            data = b"%x\r\n%s\r\n" % (self.piece, data)
        for _ in range((LARGEST_BODY_BYTES - WITHHELD_BYTES) // self.piece):
            yield data


@dataclass
class Crowd:
    """Connections that are opened at once and stay open.

    :ivar steps: progress of all connections together
    :ivar writers: connections in use
    """

    host: HostProcess
    steps: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)

    def start(self, connect: Callable) -> None:
        """Open the connections; ``connect`` is called with the number of each."""
        for number in range(CROWD):
            self.tasks.append(asyncio.create_task(self._run(connect, number)))

    async def _run(self, connect: Callable, number: int) -> None:
        with suppress(OSError):
            await connect(self, number)

    async def open(self, receive_buffer: int | None = None) -> asyncio.StreamWriter:
        """Open a connection on which nothing is read."""
        connection = socket.socket()
        connection.setblocking(False)
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        loop = asyncio.get_running_loop()
        address = (self.host.ip, self.host.ingress_port)
        await loop.sock_connect(connection, address)
        _, writer = await asyncio.open_connection(sock=connection, limit=1024)
        self.writers.append(writer)
        return writer

    async def stalled(self) -> None:
        """Wait until neither the crowd nor the host's memory has changed for a while.

        What the kernel has accepted from the crowd is read by the host later.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + STEP_TIMEOUT_SECONDS
        seen, since = None, loop.time()
        while self.host.running and loop.time() < end:
            current = (self.steps, peak_bytes(self.host))
            if current != seen:
                seen, since = current, loop.time()
            if loop.time() - since > QUIET_SECONDS:
                return
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()


async def send_incomplete(kind: Incomplete, crowd: Crowd, number: int) -> None:
    """Send a request whose body lacks its end."""
    writer = await crowd.open()
    writer.write(kind.head(number))
    for piece in kind.pieces():
        writer.write(piece)
        await writer.drain()
        crowd.steps += 1
        await asyncio.sleep(kind.pause)


async def stop_reading(target: bytes, crowd: Crowd, number: int) -> None:
    """Send a request and read nothing of its response."""
    writer = await crowd.open(RECEIVE_BUFFER_BYTES)
    writer.transport.pause_reading()
    writer.write(
        b"%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: crowd-%d\r\nApi-Key: %s\r\n"
        b"Content-Length: 0\r\n\r\n" % (target, HOST.encode(), number, KEY.encode())
    )
    await writer.drain()
    crowd.steps += 1
    await asyncio.sleep(QUIET_SECONDS)


def peak_bytes(host: HostProcess) -> int:
    """Return the peak of the process's resident memory."""
    status = Path(f"/proc/{host.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def descriptors(host: HostProcess) -> int:
    """Return the number of open descriptors of the process."""
    return len(os.listdir(f"/proc/{host.process.pid}/fd"))


async def check_crowd(fleet: SoakFleet, connect: Callable) -> None:
    """Check the host while a crowd holds connections, and after it has left."""
    host = fleet.hosts[0]
    crowd = Crowd(host)
    crowd.start(connect)
    try:
        await crowd.stalled()
        assert not host.unexpected_exits
        peak, opened = peak_bytes(host), descriptors(host)
        print(f"peak {peak / 1e6:.0f} MB, {opened} descriptors")
        assert peak < MAX_MEMORY_BYTES
        assert opened < MAX_DESCRIPTORS
        assert await served(fleet, "/ping/whole")
    finally:
        await crowd.close()
    assert await served(fleet, "/ping/whole", b"x" * LARGEST_BODY_BYTES)
    assert not host.unexpected_exits
    assert peak_bytes(host) < MAX_MEMORY_BYTES


@pytest.mark.parametrize(
    "kind",
    [
        pytest.param(Incomplete(), id="declared length"),
        pytest.param(Incomplete(chunked=True), id="chunked"),
        pytest.param(
            Incomplete(piece=SMALL_PIECE_BYTES, pause=0.001), id="small pieces"
        ),
        pytest.param(Incomplete(key=""), id="without a key"),
        pytest.param(Incomplete(path="/none/x"), id="on no route"),
        pytest.param(Incomplete(path="/notes/x"), id="batch job"),
    ],
)
async def test_incomplete_bodies_stay_within_the_memory_of_the_host(fleet, kind):
    """Guards against a host whose memory grows with all bodies that stop short."""

    async def connect(crowd: Crowd, number: int) -> None:
        await send_incomplete(kind, crowd, number)

    await check_crowd(fleet, connect)


async def test_unread_streams_stay_within_the_memory_of_the_host(fleet):
    """Guards against a host that buffers the responses that its callers do not read."""
    runner = fleet.runners[0]
    instance = runner.runs[-1]
    instance.token, instance.events, instance.event_seconds = "x" * 65_536, 64, 0.0
    entry = runner_entry(
        runner.proxy.address, slots=CROWD, born=instance.born, sequence=2
    )
    fleet._put("servers", runner.name, entry)
    await asyncio.sleep(QUIET_SECONDS)

    async def connect(crowd: Crowd, number: int) -> None:
        await stop_reading(b"POST /pick/x", crowd, number)

    await check_crowd(fleet, connect)


async def test_unread_items_stay_within_the_memory_of_the_host(fleet):
    """Guards against a host that holds a copy of an item for each unread response."""
    assert await submit_job(fleet, "job-1") == 202

    async def connect(crowd: Crowd, number: int) -> None:
        await stop_reading(b"GET /items/job-1?id=large", crowd, number)

    await check_crowd(fleet, connect)


@pytest.mark.parametrize(
    "path",
    [pytest.param("/notes/x", id="end"), pytest.param("/notes/whole", id="wait")],
)
async def test_accepted_jobs_stay_within_the_memory_of_the_host(fleet, path):
    """Guards against a host whose memory grows with the jobs that it has accepted.

    Jobs that are refused must not be stored, and those that are accepted must be.
    """
    host = fleet.hosts[0]
    fleet.runners[0].runs[-1].event_seconds = 0.0
    statuses = {}
    for number in range(JOBS):
        statuses[f"job-{number}"] = await submit_job(fleet, f"job-{number}", path)
    peak, opened = peak_bytes(host), descriptors(host)
    accepted = {job for job, status in statuses.items() if status == 202}
    print(f"peak {peak / 1e6:.0f} MB, {opened} descriptors, {len(accepted)} accepted")
    assert not host.unexpected_exits
    assert accepted
    assert set(statuses.values()) <= {202, 429, 503}
    objects = fleet.platform.state.objects
    assert set(objects[store.JOBS]) == accepted
    assert {name.rpartition(".")[0] for name in objects[store.PARTS]} == accepted
    assert peak < MAX_MEMORY_BYTES
    assert opened < MAX_DESCRIPTORS
    assert await served(fleet, "/ping/whole")
    assert await served(fleet, "/ping/whole", b"x" * LARGEST_BODY_BYTES)
    assert not host.unexpected_exits
    assert peak_bytes(host) < MAX_MEMORY_BYTES


async def test_largest_request_is_served_without_other_load(fleet):
    """Guards against limits that a single request within the caller's limits meets."""
    host = fleet.hosts[0]
    for _ in range(3):
        assert await request(fleet, "/ping/whole", b"x" * LARGEST_BODY_BYTES) == 200
    assert peak_bytes(host) < MAX_MEMORY_BYTES
