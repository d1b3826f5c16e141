"""Limits on what callers send, at the wire."""

from __future__ import annotations

import asyncio

import pytest

from primroseford.errors import ResultCode
from primroseford.gateway.host_memory import MB
from primroseford.gateway.host_memory import SMALL_BYTES
from primroseford.gateway.host_memory import STALL_SECONDS
from primroseford.gateway.host_memory import HostMemory
from primroseford.standins.fleet_objects import HOST
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import configuration

LARGEST_BODY_BYTES = 4 * 1024 * 1024
WITHHELD_BYTES = 64 * 1024


async def connect(site) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to the first host."""
    address, port = site.hosts[0].settings.ingress.rsplit(":", 1)
    return await asyncio.open_connection(address, int(port))


def head(path: str = "/ping/whole", key: str = KEY, **fields: str) -> bytes:
    """Return the head of a request."""
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", "Request-Id: id-1"]
    lines += [f"Api-Key: {key}"] if key else []
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode()


async def response(reader: asyncio.StreamReader) -> bytes:
    """Return all that is received until the connection is closed."""
    try:
        async with asyncio.timeout(20.0):
            return await reader.read()
    except ConnectionResetError:
        return b""


@pytest.mark.parametrize(
    ("request_head", "status"),
    [
        pytest.param(
            head(key="", Content_Length=str(LARGEST_BODY_BYTES)), 401, id="no key"
        ),
        pytest.param(
            head(key="no", Content_Length=str(LARGEST_BODY_BYTES)), 401, id="key"
        ),
        pytest.param(
            head("/none/x", Content_Length=str(LARGEST_BODY_BYTES)), 404, id="route"
        ),
        pytest.param(
            head(Content_Length=str(LARGEST_BODY_BYTES + 1)), 413, id="length"
        ),
        pytest.param(
            head("/none/x", Transfer_Encoding="chunked"), 404, id="chunked, route"
        ),
    ],
)
async def test_head_is_judged_before_the_body(site, request_head, status):
    """Guards against a host that waits for a body which it will refuse anyway."""
    reader, writer = await connect(site)
    writer.write(request_head)
    received = await response(reader)
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert not any(runner.received for runner in site.runners)
    writer.close()


async def test_small_refused_request_keeps_its_connection(site):
    """Guards against refusals that cost proper callers their connections."""
    reader, writer = await connect(site)
    for _ in range(2):
        writer.write(head(key="", Content_Length="6"))
        await asyncio.sleep(0.05)
        writer.write(b"prompt")
        async with asyncio.timeout(20.0):
            received = await reader.readuntil(b"}")
        assert received.startswith(b"HTTP/1.1 401 ")
    writer.close()


async def test_stalled_body_gives_way_to_another(site, clock):
    """Guards against a refusal that may have run, or that a caller cannot repeat."""
    bodies = site.hosts[0].gateway.bodies
    bodies.memory, bodies.clock = HostMemory(6 * MB), clock
    reader, writer = await connect(site)
    writer.write(head(Content_Length=str(LARGEST_BODY_BYTES)))
    writer.write(b"x" * (LARGEST_BODY_BYTES - WITHHELD_BYTES))
    await site.until(lambda: bodies.memory.large == LARGEST_BODY_BYTES - WITHHELD_BYTES)
    body = b"y" * LARGEST_BODY_BYTES
    status, headers, _ = await site.call("/ping/whole", "early", body=body)
    assert status == 503
    assert 0 < float(headers["Retry-After"]) <= 1.0
    assert (await site.call("/ping/whole", "small"))[0] == 200
    clock.advance(STALL_SECONDS)
    assert (await site.call("/ping/whole", "late", body=body))[0] == 200
    received = await response(reader)
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After:" in received
    assert b'"code": %d' % ResultCode.HOST_MEMORY_SHORT in received
    ran = {run.request_id for runner in site.runners for run in runner.received}
    assert ran == {"small", "late"}
    await site.until(lambda: not bodies.memory.holdings and not bodies.readers)
    assert bodies.memory.total == 0
    writer.close()


async def test_caller_that_leaves_releases_its_body(site):
    """Guards against bodies that stay charged after their callers have left."""
    memory = site.hosts[0].gateway.bodies.memory
    _, writer = await connect(site)
    writer.write(head(Content_Length=str(LARGEST_BODY_BYTES)))
    writer.write(b"x" * 2 * SMALL_BYTES)
    await site.until(lambda: memory.large == 2 * SMALL_BYTES)
    writer.transport.abort()
    await site.until(lambda: not memory.holdings)
    assert memory.total == memory.large == 0


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"X-Long": "x" * 9000}, id="9,000 bytes"),
        pytest.param({f"X-{n}": "x" for n in range(130)}, id="130 fields"),
    ],
)
async def test_head_within_the_configured_limit_is_accepted(site, fields):
    """Guards against 400 for heads that the configuration allows."""
    assert (await site.call("/ping/whole", **fields))[0] == 200


async def test_endless_head_is_cut(site):
    """Guards against memory for heads above ``max_header_bytes``."""
    reader, writer = await connect(site)
    writer.write(head()[:-2])
    for number in range(100):
        writer.write(b"X-%d: %s\r\n" % (number, b"x" * 1000))
    assert await response(reader) == b""
    writer.close()


@pytest.mark.parametrize(
    ("limits", "sent", "received"),
    [
        ({"header_timeout_ms": 1000}, head()[:-2], b""),
        (
            {"idle_timeout_ms": 1000},
            head(Content_Length=str(LARGEST_BODY_BYTES)) + b"x" * SMALL_BYTES,
            b"HTTP/1.1 503 ",
        ),
    ],
)
async def test_configured_timeouts_end_connections(site, limits, sent, received):
    """Guards against connections that slow callers keep without end."""
    version = site.hosts[0].gateway.tables.version
    site.put("config", "main", configuration(version + 1, limits=limits))
    await site.until(lambda: site.hosts[0].gateway.tables.version == version + 1)
    reader, writer = await connect(site)
    writer.write(sent)
    assert (await response(reader)).startswith(received)
    writer.close()
