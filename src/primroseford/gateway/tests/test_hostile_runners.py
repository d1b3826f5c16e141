"""A host in front of runners that send malformed, incomplete or endless responses."""

from __future__ import annotations

import asyncio
import socket
import tracemalloc

import aiohttp
import pytest

from primroseford.online.events import EventSplitter
from primroseford.standins.fleet_objects import HOST
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import runner_entry
from primroseford.standins.fleet_runner import RunnerFaults
from primroseford.standins.fleet_runner import event
from primroseford.standins.hostile_runner import EVENTS
from primroseford.standins.hostile_runner import GARBAGE_BYTES
from primroseford.standins.hostile_runner import LARGE_BODY
from primroseford.standins.hostile_runner import HostileRunner
from primroseford.standins.hostile_runner import ResponseFault

ENDLESS_RESPONSE_SECONDS = 3.0
"""Time in which an endless response must be ended: well before the deadline of 20 s of
the requests in these tests."""
RELAYED_BYTES = 32 * 1024 * 1024
"""Bytes that a host may read of one endless response."""
MEMORY_BYTES = 20 * 1024 * 1024
"""Memory that twenty hostile runners together may use on a host, from the issue."""
LONG_UPLOAD_BYTES = 4_000_000
"""More than the buffers between a host and a runner hold, below the limit of callers'
bodies."""
RECEIVE_BUFFER_BYTES = 4096
MESSAGE_BYTES = 400
"""Maximum length of an error response to a caller."""


@pytest.fixture
async def hostile(site):
    """Return a factory that replaces the runners of the rig by hostile ones."""
    servers = []

    async def add(response_fault: ResponseFault, count: int = 1) -> list[HostileRunner]:
        for name in ("i-1", "i-2"):
            site.platform.state.delete("servers", name, None)
        site.platform.announce()
        runners = []
        for number in range(count):
            runner = HostileRunner(f"h-{number}", response_fault)
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            server = await asyncio.start_server(runner.handle, sock=listener)
            servers.append(server)
            port = server.sockets[0].getsockname()[1]
            site.put("servers", runner.name, runner_entry(f"127.0.0.1:{port}"))
            runners.append(runner)
        names = {runner.name for runner in runners}
        allocator = site.hosts[0].gateway.allocator
        await site.until(lambda: set(allocator.runners) == names)
        return runners

    yield add
    for server in servers:
        server.close()


async def call(site, path: str, request_id: str = "id-1", sent: bytes = b"prompt"):
    """Return status and body, or the client's error for an interrupted response."""
    try:
        status, _, body = await site.call(
            path, request_id, body=sent, Deadline_Ms="20000"
        )
    except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError) as error:
        return type(error), b""
    return status, body


@pytest.mark.parametrize(
    ("response_fault", "path", "body"),
    [
        (ResponseFault.CLOSE_WITHOUT_LENGTH, "/ping/x", EVENTS),
        (ResponseFault.CLOSE_WITHOUT_LENGTH, "/once/x", EVENTS),
        (ResponseFault.CLOSE_WITHOUT_LENGTH, "/nudge/x", EVENTS),
        (ResponseFault.CLOSE_WITHOUT_LENGTH, "/pick/x", EVENTS),
        (ResponseFault.SURPLUS, "/ping/x", b"done"),
        (ResponseFault.SURPLUS, "/once/x", b"done"),
        (ResponseFault.SECOND_ANSWER, "/once/x", b"done"),
    ],
)
async def test_complete_responses_are_delivered(
    site, hostile, response_fault, path, body
):
    """Guards against complete responses that are lost because of surrounding bytes."""
    (runner,) = await hostile(response_fault)
    assert await call(site, path) == (200, body)
    assert runner.received == ["id-1"]


@pytest.mark.parametrize("path", ["/ping/x", "/once/x"])
@pytest.mark.parametrize(
    "response_fault",
    [ResponseFault.LARGE_AT_ONCE, ResponseFault.LARGE_CHUNKS_AT_ONCE],
)
async def test_large_response_stalls_before_its_end(
    site, hostile, response_fault, path
):
    """Guards against bytes that are left in the parser after a pause in reading."""
    await hostile(response_fault)
    async with asyncio.timeout(2.0):
        status, body = await call(site, path)
    assert (status, len(body)) == (200, len(LARGE_BODY))
    assert body == LARGE_BODY


@pytest.mark.parametrize(
    ("response_fault", "path"),
    [
        (ResponseFault.RESET_WITHOUT_LENGTH, "/ping/x"),
        (ResponseFault.RESET_WITHOUT_LENGTH, "/once/x"),
        (ResponseFault.RESET_WITHOUT_LENGTH, "/nudge/x"),
        (ResponseFault.RESET_WITHOUT_LENGTH, "/pick/x"),
        (ResponseFault.EVENT_ENDS_EARLY, "/ping/x"),
        (ResponseFault.EVENT_ENDS_EARLY, "/once/x"),
        (ResponseFault.EVENT_ENDS_EARLY, "/nudge/x"),
        (ResponseFault.EVENT_ENDS_EARLY, "/pick/x"),
        (ResponseFault.NOT_HTTP, "/once/x"),
        (ResponseFault.NOT_HTTP, "/nudge/x"),
        (ResponseFault.SWITCHING, "/once/x"),
        (ResponseFault.SWITCHING, "/nudge/x"),
        (ResponseFault.EVENT_ENDS_WITH_CONNECTION, "/ping/x"),
        (ResponseFault.EVENT_ENDS_WITH_CONNECTION, "/once/x"),
        (ResponseFault.EVENT_ENDS_WITH_CONNECTION, "/nudge/x"),
        (ResponseFault.EVENT_ENDS_WITH_CONNECTION, "/pick/x"),
    ],
)
async def test_incomplete_responses_do_not_look_complete(
    site, hostile, response_fault, path
):
    """Guards against an incomplete response that reaches the caller as a success."""
    await hostile(response_fault, count=2)
    status, _ = await call(site, path)
    assert status in (502, aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError)


@pytest.mark.parametrize("path", ["/ping/x", "/once/x", "/nudge/x", "/pick/x"])
async def test_success_that_is_reset_during_a_long_upload_looks_complete(
    site, hostile, path
):
    """Guards against part of a body without a length that counts as the whole (MIXED).

    The runner responds before it has read the body.
    """
    (runner,) = await hostile(ResponseFault.RESET_WITHOUT_LENGTH)
    status, body = await call(site, path, sent=b"x" * LONG_UPLOAD_BYTES)
    assert status in (502, aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError)
    assert runner.received == ["id-1"] and EVENTS not in body


@pytest.mark.parametrize("path", ["/ping/x", "/once/x", "/nudge/x", "/pick/x"])
@pytest.mark.parametrize(
    "response_fault",
    [
        ResponseFault.STATUS_000,
        ResponseFault.STATUS_099,
        ResponseFault.STATUS_600,
        ResponseFault.STATUS_999,
    ],
)
async def test_invalid_status_reaches_the_caller(site, hostile, response_fault, path):
    """Guards against an answer with a status that callers cannot read (MIXED)."""
    await hostile(response_fault)
    status, body = await call(site, path)
    assert status == 502 and b"done" not in body


HEAD_FAULTS = [
    ResponseFault.HEAD_ENDS_IN_STATUS_LINE,
    ResponseFault.HEAD_ENDS_AFTER_STATUS_LINE,
    ResponseFault.HEAD_ENDS_IN_HEADER,
    ResponseFault.HEAD_ENDS_BEFORE_EMPTY_LINE,
    ResponseFault.HEAD_ENDS_IN_EMPTY_LINE,
]


@pytest.mark.parametrize("path", ["/ping/x", "/once/x", "/nudge/x", "/pick/x"])
@pytest.mark.parametrize("response_fault", HEAD_FAULTS)
async def test_head_that_breaks_off_becomes_an_empty_success(
    site, hostile, response_fault, path
):
    """Guards against a success for a response whose head is incomplete (MIXED)."""
    await hostile(response_fault, count=2)
    status, body = await call(site, path)
    assert status == 502 and b"done" not in body


@pytest.mark.parametrize("path", ["/ping/x", "/once/x", "/nudge/x", "/pick/x"])
async def test_refusal_of_another_request_counts_as_not_run(site, hostile, path):
    """Guards against a promise "not run" for a request that may have run (REFUSED)."""
    await hostile(ResponseFault.REFUSES_ANOTHER, count=2)
    status, _ = await call(site, path)
    assert status == 502


async def read_raw(site, path: str) -> bytes:
    """Send a request on a new connection and return all bytes of the response."""
    address, port = site.hosts[0].settings.ingress.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(address, int(port))
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        "Request-Id: id-1\r\nDeadline-Ms: 3000\r\nContent-Length: 1\r\n"
        "Connection: close\r\n\r\nx".encode()
    )
    try:
        return await asyncio.wait_for(reader.read(), 10.0)
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


@pytest.mark.parametrize("fails", [False, True], ids=["id", "unexpected-error"])
async def test_error_is_written_into_a_stream_with_an_unreadable_event_id(
    site, hostile, fails, monkeypatch
):
    """Guards against the head of an error in the middle of a stream (ORDER, MIXED).

    The id of the last event cannot be sent to the runner that resumes the stream.
    """
    if fails:

        def fail(_):
            raise RuntimeError("a fault of the host")

        monkeypatch.setattr(EventSplitter, "can_resume", fail)
    await hostile(ResponseFault.UNREADABLE_EVENT_ID, count=2)
    received = await read_raw(site, "/pick/x")
    assert received.count(b"HTTP/1.1") == 1
    assert not received.endswith(b"0\r\n\r\n"), "the stream looks complete"


@pytest.mark.parametrize(
    "fields",
    [
        {"status": 500},
        {"status": 503},
        {"status": 422},
        {"unsigned": True},
        {"refuse": True},
        {"error_page": True},
    ],
    ids=["500", "503", "422", "unsigned", "refused", "error-page"],
)
async def test_error_of_the_next_runner_is_written_into_a_stream(site, fields):
    """Guards against another response in the middle of a stream (ORDER, MIXED)."""
    site.runners[0].faults = RunnerFaults(cut_after=2)
    site.runners[1].faults = RunnerFaults(**fields)
    site.hosts[0].gateway.allocator.runners["i-2"].online = 1
    received = await read_raw(site, "/pick/x")
    assert received.count(b"HTTP/1.1") == 1 and event(2) in received
    assert b"failed" not in received and event(3) not in received
    assert not received.endswith(b"0\r\n\r\n"), "the stream looks complete"


@pytest.mark.parametrize(
    ("plain", "outcome"),
    [(False, 200), (True, aiohttp.ClientPayloadError)],
)
async def test_stream_resumes_only_after_an_event_with_an_id(site, plain, outcome):
    """Guards against a stream that contains the events of two complete runs.

    Seen in the soak with a hostile runner, seed 721, on a resumable route.
    """
    faults = RunnerFaults(cut_after=2, cuts=1, plain=plain)
    for runner in site.runners:
        runner.faults = faults
    assert (await call(site, "/pick/x"))[0] == outcome


@pytest.mark.parametrize("path", ["/nudge/x", "/pick/x"])
async def test_slow_streams_are_not_interrupted(site, hostile, path):
    """Guards against an interrupted stream of a slow but healthy runner."""
    await hostile(ResponseFault.SLOW, count=2)
    status, body = await call(site, path)
    assert (status, body) == (200, b"".join(event(number) for number in (1, 2, 3)))


async def test_stalled_stream_resumes_at_another_runner(site, hostile):
    """Guards against an endless stream of a stalled runner that sends single bytes."""
    (stalled,) = await hostile(ResponseFault.STALLED)
    sound = await site.add_runner("i-3")
    allocator = site.hosts[0].gateway.allocator
    await site.until(lambda: "i-3" in allocator.runners)
    allocator.runners["i-3"].online = 2
    status, body = await call(site, "/pick/x")
    assert (status, body) == (200, b"".join(event(n) for n in range(1, 6)))
    assert stalled.received == [run.request_id for run in sound.received] == ["id-1"]
    assert sound.received[0].headers["Last-Event-Id"] == "1"


async def test_stalled_stream_ends_at_the_deadline(site, hostile):
    """Guards against an endless stream that cannot be resumed at another runner."""
    (runner,) = await hostile(ResponseFault.STALLED)
    async with asyncio.timeout(7.0):
        assert await call(site, "/nudge/x") == (aiohttp.ClientPayloadError, b"")
    await site.until(lambda: runner.open == 0)


ENDLESS = [
    (ResponseFault.ENDLESS_BODY, "/ping/x"),
    (ResponseFault.ENDLESS_BODY, "/once/x"),
    (ResponseFault.ENDLESS_LENGTH, "/ping/x"),
    (ResponseFault.ENDLESS_LENGTH, "/nudge/x"),
    (ResponseFault.ENDLESS_SMALL_CHUNKS, "/once/x"),
    (ResponseFault.ENDLESS_SMALL_CHUNKS, "/nudge/x"),
    (ResponseFault.ENDLESS_SMALL_CHUNKS, "/pick/x"),
    (ResponseFault.ENDLESS_EVENT, "/nudge/x"),
    (ResponseFault.ENDLESS_EVENT, "/pick/x"),
    (ResponseFault.ENDLESS_EVENTS, "/nudge/x"),
    (ResponseFault.ENDLESS_EVENTS, "/pick/x"),
    (ResponseFault.ENDLESS_JUNK, "/once/x"),
    (ResponseFault.CONTINUES, "/once/x"),
    (ResponseFault.CONTINUES, "/nudge/x"),
    (ResponseFault.ENDLESS_HEAD, "/once/x"),
    (ResponseFault.ENDLESS_LINE, "/once/x"),
    (ResponseFault.ENDLESS_CHUNK_SIZE, "/nudge/x"),
    (ResponseFault.ENDLESS_TRAILERS, "/nudge/x"),
]


@pytest.mark.parametrize(("response_fault", "path"), ENDLESS)
async def test_endless_responses_are_ended(site, hostile, response_fault, path):
    """Guards against reading an endless response until the deadline."""
    (runner,) = await hostile(response_fault)
    async with asyncio.timeout(ENDLESS_RESPONSE_SECONDS):
        status, _ = await call(site, path)
    assert status not in (200, 503)
    assert runner.sent < RELAYED_BYTES
    await site.until(lambda: runner.open == 0)


@pytest.mark.parametrize(("response_fault", "path"), ENDLESS)
async def test_memory_under_many_hostile_runners(site, hostile, response_fault, path):
    """Guards against a host that runs out of memory because of its runners."""
    await hostile(response_fault, count=20)
    tracemalloc.start()
    try:
        calls = (_consume(site, path, f"id-{number}") for number in range(20))
        await asyncio.gather(*calls)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak < MEMORY_BYTES


async def _consume(site, path: str, request_id: str) -> None:
    """Read a response and discard it."""
    url = f"http://{site.hosts[0].settings.ingress}{path}"
    headers = {"Host": HOST, "Api-Key": KEY, "Request-Id": request_id}
    try:
        async with site.session.post(url, data=b"x", headers=headers) as answer:
            async for _ in answer.content.iter_any():
                pass
    except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError):
        return


@pytest.mark.parametrize(
    ("response_fault", "path"),
    [
        (ResponseFault.NOT_HTTP, "/once/x"),
        (ResponseFault.NOT_HTTP, "/ping/x"),
        (ResponseFault.ENDLESS_LINE, "/once/x"),
        (ResponseFault.ENDLESS_CHUNK_SIZE, "/ping/x"),
    ],
)
async def test_errors_contain_no_data_of_a_runner(
    site, hostile, response_fault, path, capsys
):
    """Guards against a runner's bytes and address in responses and logs."""
    await hostile(response_fault, count=2)
    _, body = await call(site, path)
    logged = capsys.readouterr()
    for text in (body.decode("latin-1"), logged.out + logged.err):
        assert GARBAGE_BYTES.decode("latin-1").strip() not in text
        assert "yyyyyyyy" not in text
    assert "127.0.0.1" not in body.decode()
    assert "Error" not in body.decode(), "names a class of the HTTP library"
    assert len(body) < MESSAGE_BYTES
    failed = [
        line for line in (logged.out + logged.err).splitlines() if "attempt" in line
    ]
    assert failed and all("127.0.0.1:" not in line for line in failed)
    assert all(len(line) < 2 * MESSAGE_BYTES for line in failed)
