"""Hosts that have lost their links to the runners, while others have not."""

from __future__ import annotations

import asyncio
import gc
from random import Random

import pytest

from primroseford.gateway.members import Peer
from primroseford.gateway.runner_connector import connect_directly
from primroseford.gateway.runner_paths import choose_hosts
from primroseford.gateway.runner_state import RunnerState
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.tunnel import TunnelRefused
from primroseford.gateway.tunnel import open_tunnel
from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import submit
from primroseford.proof.resuming_caller import read_stream

REQUESTS = 12
AT_ONCE_SECONDS = 1.5
"""Bound for a refusal, well below the deadline of 5 s."""
PATHS = ("/ping/whole", "/once/whole", "/pick/x", "/nudge/x")
LONG = {"events": 40, "event_seconds": 0.03}


async def refuse(address: str):
    """Refuse a connection, like a link that rejects new ones."""
    raise ConnectionRefusedError(111, "Connection refused")


async def hang(address: str):
    """Open no connection and return no error, like a link that loses packets."""
    await asyncio.sleep(3600)


CUTS = {"refused": refuse, "hanging": hang}


def cut(host, connect) -> None:
    """Cut a host from all runners; what is open lives on."""
    host.gateway.paths.connect = connect


def cut_and_reset(host) -> None:
    """Cut a host from all runners and reset its connections to them."""
    cut(host, refuse)
    for protocol in list(host.gateway.session.connector._acquired):
        protocol.transport.abort()


async def add_hosts(site, count: int) -> list:
    """Add hosts and return all once they have heard each other."""
    while len(site.hosts) < count:
        await site.add_host()
    for host in site.hosts:
        members = host.gateway.members
        await site.until(lambda m=members, h=host: len(m.live(h.clock())) == count - 1)
    return site.hosts


async def send_all(site, path: str, prefix: str = "r") -> list[int]:
    """Send requests to the first host and return the statuses."""
    return [
        (await site.call(path, f"{prefix}-{number}"))[0] for number in range(REQUESTS)
    ]


def runs(site, request_id: str) -> int:
    """Return how often a request was executed."""
    return sum(
        run.request_id == request_id
        for runner in site.runners
        for run in runner.received
    )


@pytest.mark.parametrize("connect", CUTS.values(), ids=CUTS)
@pytest.mark.parametrize("path", PATHS)
async def test_callers_of_a_host_that_is_cut_from_all_runners_are_refused(
    site, path, connect
):
    """Guards against callers who are served far worse than those of other hosts."""
    await add_hosts(site, 2)
    cut(site.hosts[0], connect)
    assert await send_all(site, path) == [200] * REQUESTS
    assert [runs(site, f"r-{number}") for number in range(REQUESTS)] == [1] * REQUESTS


async def test_callers_are_refused_where_most_hosts_are_cut(site):
    """Guards against requests that are sent through hosts which are cut, too."""
    hosts = await add_hosts(site, 4)
    for host in hosts[:3]:
        cut(host, refuse)
    assert await send_all(site, "/ping/whole") == [200] * REQUESTS


@pytest.mark.parametrize("connect", CUTS.values(), ids=CUTS)
async def test_requests_wait_where_all_hosts_are_cut(site, connect):
    """Guards against requests that are held until their deadline in vain."""
    for host in await add_hosts(site, 2):
        cut(host, connect)
    await site.call("/ping/whole", "first")
    async with asyncio.timeout(AT_ONCE_SECONDS):
        status, headers, _ = await site.call("/ping/whole", "second")
    assert status == 503 and float(headers["Retry-After"]) >= 0


async def test_stream_of_a_host_that_is_cut_breaks_off(create_versions_site):
    """Guards against a stream that is not resumed through another host."""
    site = await create_versions_site(("v1", "v1"), 2, **LONG)

    def on_event(stream) -> None:
        if len(stream.events) == 2:
            cut_and_reset(site.hosts[0])

    url = f"http://{site.hosts[0].settings.ingress}"
    stream = await read_stream(site.session, [url], "/pick/x", "s", 1, on_event)
    assert stream.complete
    assert [int(event.id) for event in stream.events] == [*range(1, 41)]


async def test_items_of_a_host_that_is_cut_wait(site):
    """Guards against batch items that no host runs while theirs is cut."""
    await add_hosts(site, 2)
    cut(site.hosts[0], refuse)
    assert await submit(site, "job1", count=6) == 202
    results = await read_all(site, "job1")
    assert [result["state"] for result in results] == ["complete"] * 6


async def test_runners_are_reached_indirectly_after_a_cut(site):
    """Guards against tunnels, and a report of them, that outlive the cut."""
    hosts = await add_hosts(site, 2)
    paths = hosts[0].gateway.paths
    direct = paths.connect
    cut(hosts[0], refuse)
    await send_all(site, "/ping/whole")
    assert len(paths.indirect) == 2
    runners = hosts[1].gateway.allocator.runners.values()
    await site.until(lambda: all(runner.indirect_by for runner in runners))
    cut(hosts[0], direct)
    await site.until(lambda: not paths.indirect)
    await site.until(lambda: not any(runner.indirect_by for runner in runners))
    await site.until(lambda: not hosts[1].tunnels.tunnels)
    assert await send_all(site, "/ping/whole", "later") == [200] * REQUESTS
    assert hosts[1].tunnels.unused.is_set()


async def test_runner_works_on_after_the_caller_of_a_tunnel_has_left(
    create_versions_site,
):
    """Guards against runs for a caller who has closed the connection (GONE)."""
    site = await create_versions_site(("v1",), 2, **LONG)
    cut(site.hosts[0], refuse)
    call = asyncio.create_task(site.call("/pick/x", "s"))
    await site.until(lambda: site.runners[0].open)
    call.cancel()
    async with asyncio.timeout(0.5):
        await site.until(lambda: not site.runners[0].open)


async def test_stream_through_a_host_that_stops_breaks_off(create_versions_site):
    """Guards against a planned stop that cuts the requests of other hosts."""
    site = await create_versions_site(("v1",), 2, events=140, event_seconds=0.03)
    cut(site.hosts[0], refuse)
    tasks: list = []

    async def stop() -> None:
        await site.hosts[1].drain()
        await site.hosts[1].stop()

    def on_event(stream) -> None:
        if len(stream.events) == 2:
            tasks.append(asyncio.create_task(stop()))

    url = f"http://{site.hosts[0].settings.ingress}"
    stream = await read_stream(site.session, [url], "/nudge/x", "s", 1, on_event)
    assert stream.complete and len(stream.events) == 140
    await tasks[0]


@pytest.mark.parametrize("through", ["direct connection", "tunnel"])
async def test_response_without_a_length_is_complete_through_a_tunnel(site, through):
    """Guards against a part of a response that looks whole when a host is lost."""
    hosts = await add_hosts(site, 2)

    async def respond(reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = next(
            line for line in head.split(b"\r\n") if line.startswith(b"Request-Id")
        )
        start = b"HTTP/1.1 200 OK\r\nServer-Signature: s\r\n" + request_id
        writer.write(start + b"\r\n\r\npart")
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    site.servers.append(server)
    port = server.sockets[0].getsockname()[1]
    for runner in site.runners:
        spec = dict(site.platform.state.objects["servers"][runner.name]["spec"])
        site.put("servers", runner.name, spec | {"address": f"127.0.0.1:{port}"})
    for host in hosts:
        runners = host.gateway.allocator.runners
        await site.until(
            lambda found=runners: all(
                r.entry.address.endswith(f":{port}") for r in found.values()
            )
        )
    if through == "tunnel":
        cut(hosts[0], refuse)
    status, _, body = await site.call("/once/x", "s")
    expected = (200, b"part") if through == "direct connection" else (502, b"")
    assert status == expected[0] and (status != 200 or body == expected[1])


@pytest.mark.parametrize(
    ("head", "status"),
    [
        ("CONNECT {runner} HTTP/1.1\r\n\r\n", 200),
        ("CONNECT 127.0.0.1:1 HTTP/1.1\r\n\r\n", 403),
        ("CONNECT {runner} HTTP/1.1\r\n\r\nGET", 400),
        ("GET / HTTP/1.1\r\n\r\n", 400),
        ("CONNECT {runner}/x HTTP/1.1\r\n\r\n", 400),
        ("x" * 2000, 400),
    ],
    ids=["runner", "other address", "bytes after the head", "get", "path", "long"],
)
async def test_tunnel_leads_to_another_address(site, head, status):
    """Guards against tunnels to anything but a listed runner."""
    host, port = (await add_hosts(site, 1))[0].gateway.members.own, site.port
    assert host
    runner = next(iter(site.hosts[0].gateway.allocator.runners.values()))
    reader, writer = await asyncio.open_connection(site.hosts[0].settings.ip, port)
    writer.write(head.format(runner=runner.entry.address).encode())
    line = await reader.readline()
    assert int(line.split()[1]) == status
    writer.close()


@pytest.mark.parametrize("seconds", [0.0, 0.001, 0.01])
async def test_connection_to_a_runner_outlives_a_tunnel_that_is_given_up(site, seconds):
    """Guards against slots of runners that are taken by connections of nobody."""
    host = (await add_hosts(site, 1))[0]
    runner = next(iter(host.gateway.allocator.runners.values()))
    opened: list = []

    async def connect(address: str):
        await asyncio.sleep(seconds)
        opened.append(await connect_directly(address))
        return opened[-1]

    host.gateway.paths.connect = connect
    ends = (host.settings.ip, site.port)
    for number in range(20):
        _, writer = await asyncio.open_connection(*ends)
        writer.write(f"CONNECT {runner.entry.address} HTTP/1.1\r\n\r\n".encode())
        await asyncio.sleep(number * 0.0005)
        writer.transport.abort()
    await site.until(lambda: not host.tunnels.tunnels)
    gc.collect()
    await site.until(lambda: all(connection.fileno() < 0 for connection in opened))


async def test_tunnel_is_opened_by_a_host_that_stops(site):
    """Guards against tunnels through a host that will be gone."""
    host = (await add_hosts(site, 1))[0]
    runner = next(iter(host.gateway.allocator.runners.values()))
    host.gateway.stopping = True
    with pytest.raises(TunnelRefused) as caught:
        await open_tunnel(f"{host.settings.ip}:{site.port}", runner.entry.address)
    assert caught.value.status == 503


async def test_cut_counts_as_a_crash_of_the_runners(create_versions_site):
    """Guards against a quarantine of the prompts that a cut host was sending."""
    site = await create_versions_site(("v1", "v1"), 2, **LONG)
    parts = "aa:10,bb:10"
    headers = {"Prompt_Prefix": parts, "Token_Count": "20,40"}
    calls = [
        asyncio.create_task(site.call("/pick/x", f"s-{n}", **headers)) for n in range(4)
    ]
    await site.until(lambda: sum(runner.open for runner in site.runners) == 4)
    cut_and_reset(site.hosts[0])
    await asyncio.gather(*calls)
    gateway = site.hosts[0].gateway
    assert not gateway.quarantine.records
    assert gateway.metrics.crashes._value.get() == 0


def runner_state(**fields) -> RunnerState:
    """Return a runner on which ``a`` and ``b`` have requests."""
    key = RunnerKey("i-1", 1)
    entry = RunnerEntry(key, "models", "h:1", "z", 8, RunnerStage.READY, "v1")
    state = RunnerState(entry, **fields)
    for host in ("a", "b"):
        state.set_peer_load(host, 1, 0)
    return state


@pytest.mark.parametrize(
    ("fields", "first", "hosts"),
    [
        ({}, {"a", "b"}, {"a", "b", "c", "d"}),
        ({"suspected_by": {"a"}}, {"b"}, {"b", "c", "d"}),
        ({"indirect_by": {"a", "b"}}, {"c", "d"}, {"c", "d"}),
        ({"indirect_by": {"a", "b"}, "suspected_by": {"c", "d"}}, set(), set()),
    ],
)
@pytest.mark.parametrize("seed", range(3))
def test_host_is_asked_that_does_not_reach_the_runner(fields, first, hosts, seed):
    """Guards against tunnels through a host that has lost its links, too."""
    peers = [Peer(name, "ip:1", 0.0) for name in "abcd"]
    chosen = choose_hosts(runner_state(**fields), peers, Random(seed))
    assert set(chosen) == hosts and set(chosen[: len(first)]) == first
