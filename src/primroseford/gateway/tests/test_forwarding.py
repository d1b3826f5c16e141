from __future__ import annotations

import asyncio
import gzip

import aiohttp
import pytest

from primroseford.gateway.platform_watcher import PlatformWatcher
from primroseford.standins.fleet_objects import HOST
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.fleet_objects import runner_entry
from primroseford.standins.fleet_runner import event

WHOLE_STREAM = b"".join(event(number) for number in range(1, 6))


def find_service(host, kind):
    """Return a host's service of the given class."""
    return next(found for found in host.services if isinstance(found, kind))


def received(site) -> list:
    """Return the requests that all runners received."""
    return [request for runner in site.runners for request in runner.received]


async def test_request_reaches_a_runner_unchanged(site):
    """Guards against altered bytes, a leaked key and a forged organisation."""
    status, headers, body = await site.call(
        "/once/whole%2Fx?a=%20b&a=2",
        "id-7",
        body=b"\x00raw",
        Tenant="forged",
        Target_Instance="forged",
        X_Kept="yes",
    )
    (run,) = received(site)
    assert (status, headers["Request-Id"]) == (200, "id-7")
    assert headers["Server-Signature"].startswith("sig-") and body
    assert (run.method, run.target, run.body) == (
        "POST",
        "/once/whole%2Fx?a=%20b&a=2",
        b"\x00raw",
    )
    assert run.headers["Tenant"] == "caroni" and run.headers["X-Kept"] == "yes"
    assert run.headers["Host"] == HOST and "Api-Key" not in run.headers
    assert run.headers["Target-Instance"] in ("i-1", "i-2")
    assert 4000 < int(run.headers["Deadline-Ms"]) <= 5000


@pytest.mark.parametrize("body", [gzip.compress(b"prompt", mtime=0), b"no gzip"])
async def test_encoded_body_reaches_a_runner_decoded(site, body):
    """Guards against a body that does not match the encoding that its headers name."""
    status, _, _ = await site.call("/once/whole", body=body, Content_Encoding="gzip")
    (run,) = received(site)
    assert (status, run.body, run.headers["Content-Encoding"]) == (200, body, "gzip")


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/absent/x", {}, 404),
        ("/once/whole", {"Api-Key": "unknown"}, 401),
        ("/once/whole", {"Deadline-Ms": "soon"}, 400),
        ("/lots/absent", {}, 404),
        ("/lots/bad%20id", {}, 400),
    ],
)
async def test_requests_without_route_or_authorisation(site, path, headers, status):
    """Guards against requests that run without a route or a key."""
    found, answer, _ = await site.call(path, method="GET", body=b"", **headers)
    assert found == status and not received(site)
    assert answer["Request-Id"] == "id-1"


@pytest.mark.parametrize(
    ("path", "faults", "status", "runs"),
    [
        ("/ping/whole", {"status": 500}, 500, 2),
        ("/ping/whole", {"wrong_id": True}, 502, 2),
        ("/ping/whole", {"unsigned": True}, 502, 2),
        ("/ping/whole", {"refuse": True}, 503, 0),
        ("/once/whole", {"status": 500}, 500, 1),
        ("/once/whole", {"wrong_id": True}, 502, 1),
        ("/once/whole", {"unsigned": True}, 502, 1),
        ("/once/whole", {"refuse": True}, 503, 0),
        ("/nudge/x", {"wrong_id": True}, 502, 1),
        ("/nudge/x", {"refuse": True}, 503, 0),
        ("/pick/x", {"wrong_id": True}, 502, 2),
        ("/pick/x", {"refuse": True}, 503, 0),
    ],
)
async def test_outcome_reported_for_failures(site, path, faults, status, runs):
    """Guards against a second run, and a 503 for a request that may have run."""
    for runner in site.runners:
        for name, value in faults.items():
            setattr(runner.faults, name, value)
    found, headers, _ = await site.call(path)
    assert (found, len(received(site))) == (status, runs)
    assert ("Retry-After" in headers) == (status == 503)


@pytest.mark.parametrize("path", ["/ping/whole", "/once/whole", "/nudge/x", "/pick/x"])
async def test_refused_request_is_retried_at_another_runner(site, path):
    """Guards against a refusal while another runner has a free slot."""
    site.runners[0].faults.refuse = True
    for number in range(4):
        status, _, _ = await site.call(path, f"id-{number}")
        assert status == 200
    assert not site.runners[0].received


@pytest.mark.parametrize("cuts", [1, 2])
async def test_interrupted_stream_resumes_at_another_runner(site, cuts):
    """Guards against missing or duplicate events after a stream was interrupted."""
    for runner in site.runners:
        runner.faults.cut_after = 2
        runner.faults.cuts = 1 if cuts == 2 else 0
    site.runners[0].faults.cuts = site.runners[1].faults.cuts = 1
    if cuts == 1:
        site.runners[1].faults.cut_after = None
        site.hosts[0].gateway.allocator.runners["i-2"].online = 1
    if cuts == 2:
        with pytest.raises(aiohttp.ClientPayloadError):
            await site.call("/pick/x")
    else:
        status, headers, body = await site.call("/pick/x")
        assert (status, body) == (200, WHOLE_STREAM)
        assert headers["Server-Signature"] == "sig-i-1"
        assert site.runners[1].received[0].headers["Last-Event-Id"] == "2"
    assert len(received(site)) == 2


async def test_interrupted_stream_does_not_look_complete(site):
    """Guards against a truncated response that looks complete."""
    for runner in site.runners:
        runner.faults.cut_after = 2
    with pytest.raises(aiohttp.ClientPayloadError):
        await site.call("/nudge/x")
    assert len(received(site)) == 1


@pytest.mark.parametrize(
    ("path", "runs"), [("/ping/whole", 2), ("/pick/x", 2), ("/once/whole", 1)]
)
async def test_unresponsive_runner(site, path, runs):
    """Guards against repeatable requests that wait for an unresponsive runner."""
    site.runners[0].faults.silent = True
    site.hosts[0].gateway.allocator.runners["i-2"].online = 1
    status, _, _ = await site.call(path, Deadline_Ms="2000")
    assert (status, len(received(site))) == (200 if runs == 2 else 504, runs)
    assert site.hosts[0].gateway.metrics.suspicions._metrics


async def test_run_is_cancelled_when_the_caller_disconnects(site):
    """Guards against runs that continue after the caller disconnected."""
    for runner in site.runners:
        runner.event_seconds = 0.5
    task = asyncio.create_task(site.call("/nudge/x"))
    await site.until(lambda: sum(runner.open for runner in site.runners) == 1)
    task.cancel()
    await site.until(lambda: sum(runner.open for runner in site.runners) == 0)
    await site.until(
        lambda: all(
            r.online == 0 for r in site.hosts[0].gateway.allocator.runners.values()
        )
    )


async def test_address_reassigned_to_another_runner(site):
    """Guards against requests to an address that was reassigned."""
    site.runners[0].faults.other_runner = "i-9"
    site.hosts[0].gateway.allocator.runners["i-2"].online = 1
    for number in range(3):
        status, _, _ = await site.call("/once/whole", f"id-{number}")
        assert status == 200
    assert "i-1" not in site.hosts[0].gateway.allocator.runners


@pytest.mark.parametrize("state", ["draining", "removed", "unreadable"])
async def test_draining_runner_gets_no_new_requests(site, state):
    """Guards against new requests to draining or removed runners."""
    if state == "removed":
        site.platform.state.delete("servers", "i-1", None)
        site.platform.announce()
    else:
        changes = {"state": "draining"} if state == "draining" else {"slots": "8"}
        site.put("servers", "i-1", runner_entry("127.0.0.1:1", **changes))
    allocator = site.hosts[0].gateway.allocator
    await site.until(lambda: len(allocator.pool_runners("models")) == 1)
    for number in range(4):
        status, _, _ = await site.call("/once/whole", f"id-{number}")
        assert status == 200
    assert not site.runners[0].received


async def test_configuration_is_in_force_and_never_reverts(site):
    """Guards against withdrawn keys that still work, and older versions."""
    other = [{"name": "caroni", "api_keys": ["new"], "rate_per_s": 0, "burst": 0}]
    site.put("config", "main", configuration(9, tenants=other))
    gateway = site.hosts[0].gateway
    await site.until(lambda: gateway.tables.version == 9)
    assert (await site.call("/once/whole", Api_Key=KEY))[0] == 401
    assert (await site.call("/once/whole", Api_Key="new"))[0] == 200
    site.put("config", "main", configuration(8))
    site.put("config", "main", {"routes": "unreadable"})
    site.put("config", "main", configuration(10, tenants=other))
    await site.until(lambda: gateway.tables.version == 10)
    assert (await site.call("/once/whole", Api_Key=KEY))[0] == 401


async def test_host_without_configuration_answers_503(platform, site):
    """Guards against 401 and 404 by a host without a configuration."""
    platform.faults.down = True
    await site.add_host(wait_ready=False)
    status, headers, _ = await site.call("/once/whole", host=1)
    assert status == 503 and float(headers["Retry-After"]) > 0
    url = f"http://{site.hosts[1].settings.readiness}/ready"
    async with site.session.get(url) as answer:
        assert answer.status == 503


async def test_host_with_unconfirmed_configuration_answers_503(site):
    """Guards against 401 and 404 for requests that a newer configuration allows."""
    site.hosts[0].gateway.confirmed_at -= 100.0
    site.platform.faults.down = True
    watcher = find_service(site.hosts[0], PlatformWatcher)
    await site.until(lambda: not watcher.tables.reachable)
    site.hosts[0].gateway.confirmed_at -= 100.0
    assert (await site.call("/absent/x"))[0] == 503
    assert (await site.call("/once/whole", Api_Key="unknown"))[0] == 503
    assert (await site.call("/once/whole"))[0] == 200


@pytest.mark.parametrize("iterations", range(5))
async def test_request_received_while_its_connection_closes(site, iterations, caplog):
    """Guards against a run whose response cannot be delivered to the caller."""
    host = site.hosts[0]
    address, port = host.settings.ingress.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(address, int(port))
    await site.until(lambda: len(host.ingress.server.connections) == 1)
    (connection,) = host.ingress.server.connections
    await asyncio.sleep(0)
    head = f"POST /once/whole HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
    connection.data_received(f"{head}Content-Length: 1\r\n\r\nx".encode())
    for _ in range(iterations):
        # Lets the event loop run one more iteration before the close.
        await asyncio.sleep(0)
    host.gateway.stopping = True
    host.ingress.close_idle(0.0)
    answer = await reader.read()
    writer.close()
    await site.until(lambda: not host.ingress.server.connections)
    answered = answer.startswith(b"HTTP/1.1 200")
    ends = host.gateway.metrics.requests._metrics.keys()
    assert ends == ({("non_idempotent", "ok")} if answered else set())
    assert len(received(site)) == answered
    assert not [r for r in caplog.records if r.levelname == "ERROR"]
    assert site.hosts[0].gateway.allocator.runners["i-1"].online == 0


async def test_metrics_count_requests(site):
    """Guards against missing metrics of requests, refusals and platform calls."""
    for number in range(3):
        await site.call("/once/whole", f"id-{number}")
    await site.call("/absent/x")
    text = (await site.hosts[0]._metrics(None)).body.decode()
    kind = 'code="ok",kind="non_idempotent"'
    assert f"primroseford_gateway_requests_total{{{kind}}} 3.0" in text
    assert 'gateway_refusals_total{code="route_not_found"} 1.0' in text
    assert 'gateway_request_seconds_bucket{kind="non_idempotent"' in text
    assert "primroseford_platform_calls_total" in text


@pytest.mark.parametrize("before_seconds", [0.2, 0.02, 0.0, -0.1])
@pytest.mark.parametrize("pause_seconds", [0.0, 0.02, 0.1])
async def test_drain_serves_new_connections(
    site, monkeypatch, before_seconds, pause_seconds
):
    """Guards against requests that get no response because of a graceful shutdown.

    :param before_seconds: time from the connection until the load balancer opens no
        new ones; negative if the connection is opened later
    :param pause_seconds: time from the connection to the request on it
    """
    monkeypatch.setattr("primroseford.gateway.host.BALANCER_SECONDS", 0.3)
    host = site.hosts[0]
    address, port = host.settings.ingress.rsplit(":", 1)
    draining = asyncio.create_task(host.drain())
    await asyncio.sleep(0.3 - before_seconds)
    reader, writer = await asyncio.open_connection(address, int(port))
    await asyncio.sleep(pause_seconds)
    head = f"POST /once/whole HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
    writer.write(f"{head}Content-Length: 1\r\n\r\nx".encode())
    answer = await reader.read()
    writer.close()
    assert answer.startswith(b"HTTP/1.1 200")
    await draining
    assert not host.ingress.server.connections


async def test_drain_closes_idle_connections_and_finishes_requests(site):
    """Guards against unread requests on connections that stay open in a drain."""
    host = site.hosts[0]
    for runner in site.runners:
        runner.event_seconds = 0.1
    status, _, _ = await site.call("/once/whole")
    address, port = host.settings.ingress.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(address, int(port))
    running = asyncio.create_task(site.call("/nudge/x"))
    await site.until(lambda: sum(runner.open for runner in site.runners) == 1)
    draining = asyncio.create_task(host.drain())
    assert await reader.read() == b""
    writer.close()
    assert (await running)[2] == WHOLE_STREAM
    await draining
    assert not host.ingress.server.connections
